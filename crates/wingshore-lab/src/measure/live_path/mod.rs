//! `wingshore-lab measure live-path`: what a node adds to live requests, and how many it carries.

pub mod first_token;
pub mod latency;
pub mod quantiles;
pub mod request;
pub mod throughput;

use crate::measure::error::{MeasureError, PrintSnafu};
use crate::measure::quiet_site::QuietSite;
use argh::FromArgs;
use quantiles::Comparison;
use request::LiveRequest;
use serde::Serialize;
use snafu::ResultExt;
use std::time::Duration;
use throughput::Throughput;

/// Measurements that share the time of the run.
const PHASES: u32 = 7;

/// Latency that a node adds to live requests and streams, and requests a second that it carries.
#[derive(FromArgs)]
#[argh(subcommand, name = "live-path")]
pub struct LivePathCommand {
    /// farewind or roster: a folder under `sites` (farewind)
    #[argh(option, default = "\"farewind\".to_owned()")]
    site: String,
    /// time of all measurements together (20)
    #[argh(option, default = "20")]
    seconds: u32,
    /// print one JSON object as the last line
    #[argh(switch)]
    json: bool,
}

/// The figures.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LivePathReport {
    /// Site.
    pub site: String,
    /// Time of all measurements together.
    pub seconds: u32,
    /// Both ways compared.
    pub latency: Vec<Comparison>,
    /// What one node carries.
    pub throughput: Vec<Throughput>,
}

impl LivePathCommand {
    /// Measures and prints.
    ///
    /// # Errors
    /// When the site cannot be run or a request fails.
    pub fn run(self) -> Result<(), MeasureError> {
        let site = QuietSite::start(&self.site)?;
        let report = self.measure(&site);
        site.stop()?;
        let report = report?;
        println!("{}", report.text());
        if self.json {
            println!("{}", serde_json::to_string(&report).context(PrintSnafu)?);
        }
        Ok(())
    }

    fn measure(&self, site: &QuietSite) -> Result<LivePathReport, MeasureError> {
        let length = Duration::from_secs(self.seconds.into()) / PHASES;
        let addresses = &site.addresses;
        let mut latency = Vec::new();
        for kind in LiveRequest::ALL {
            eprintln!("latency of: {}", kind.name());
            latency.push(latency::compare(kind, addresses, length)?);
        }
        eprintln!("first token of a stream");
        latency.push(first_token::compare(addresses, length)?);
        let process = site.node_process()?;
        let mut throughput = Vec::new();
        for kind in LiveRequest::ALL {
            eprintln!("requests a second of: {}", kind.name());
            throughput.push(throughput::measure(kind, addresses, process, length)?);
        }
        Ok(LivePathReport {
            site: self.site.clone(),
            seconds: self.seconds,
            latency,
            throughput,
        })
    }
}

impl LivePathReport {
    /// The figures for people.
    pub fn text(&self) -> String {
        let mut lines = vec!["latency, p50/p99:".to_owned()];
        lines.extend(self.latency.iter().map(Comparison::text));
        lines.push("carried by one node:".to_owned());
        lines.extend(self.throughput.iter().map(Throughput::text));
        lines.join("\n")
    }
}
