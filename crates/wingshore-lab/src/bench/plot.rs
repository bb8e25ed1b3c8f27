//! Trainer idle time against staleness at several weights, as an SVG file.

use super::report::Report;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

/// Size of one site's panel.
const PANEL: (u32, u32) = (560, 420);
/// Room above the largest value, as a factor.
const HEADROOM: f64 = 1.15;

/// Why a plot cannot be drawn.
pub type PlotError = Box<dyn std::error::Error + Send + Sync>;

/// One site: its reports by weight, in order, and the baseline's.
pub struct Panel {
    /// The site.
    pub site: String,
    /// The product's policy at each weight.
    pub sweep: Vec<Report>,
    /// The simple policy.
    pub baseline: Report,
}

/// Draws the panels side by side.
///
/// # Errors
/// When the file cannot be written.
pub fn draw(path: &Path, panels: &[Panel]) -> Result<(), PlotError> {
    let size = (PANEL.0 * panels.len().max(1) as u32, PANEL.1);
    let root = SVGBackend::new(path, size).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, panel) in root
        .split_evenly((1, panels.len().max(1)))
        .iter()
        .zip(panels)
    {
        draw_panel(area, panel)?;
    }
    root.present()?;
    Ok(())
}

fn draw_panel(area: &DrawingArea<SVGBackend<'_>, Shift>, panel: &Panel) -> Result<(), PlotError> {
    let points: Vec<(f64, f64)> = panel.sweep.iter().map(point).collect();
    let baseline = point(&panel.baseline);
    let all = || points.iter().chain([&baseline]);
    let most_staleness = all().map(|point| point.0).fold(0.0, f64::max) * HEADROOM;
    let most_idle = all().map(|point| point.1).fold(0.0, f64::max) * HEADROOM;
    let mut chart = ChartBuilder::on(area)
        .caption(&panel.site, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..most_staleness, 0.0..most_idle)?;
    chart
        .configure_mesh()
        .x_desc("mean staleness, versions")
        .y_desc("trainer idle, % of the time")
        .draw()?;
    chart.draw_series(LineSeries::new(points.iter().copied(), BLUE))?;
    let weights = panel.sweep.iter().zip(&points);
    let mut dots: Vec<(String, (f64, f64), RGBColor)> = weights
        .map(|(report, at)| (format!("weight {}", report.idle_weight), *at, BLUE))
        .collect();
    dots.push(("baseline".to_owned(), baseline, RED));
    chart.draw_series(dots.into_iter().map(|(label, at, colour)| {
        EmptyElement::at(at)
            + Circle::new((0, 0), 4, colour.filled())
            + Text::new(label, (8, -14), ("sans-serif", 13).into_font())
    }))?;
    Ok(())
}

fn point(report: &Report) -> (f64, f64) {
    let idle = report.figure("trainer_idle").mean * 100.0;
    (report.figure("staleness_mean").mean, idle)
}
