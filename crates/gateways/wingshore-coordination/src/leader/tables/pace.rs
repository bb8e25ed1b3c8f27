//! The pace of engines: its measurement and comparison.

use std::time::Duration;

/// Weight of the newest measurement in the moving average of an engine's pace, between 0 and 1.
const NEWEST_WEIGHT: f64 = 0.15;

/// Increase of the time between two events caused by each item on an engine, as a fraction of the
/// time without other items.
const SLOWDOWN_PER_ITEM: f64 = 0.009;

/// Number of steps per doubling of the pace; paces within one step compare as equal. Measurements
/// change the pace all the time, and an engine's position in the index is updated only when it can
/// matter.
const STEPS_PER_DOUBLING: f64 = 64.0;

/// Lower limit of a pace, in milliseconds per event.
const MIN_PACE_MS: f64 = 0.001;

/// Number of steps, about 3 %, that the pace of an idle connected engine may be behind the fastest
/// known one without being passed over for an unconnected engine. That is the random variation of
/// single measurements. Engines of unknown pace count as the best ones, so without this limit each
/// item of a site with many more engines than items would go to an unmeasured engine over a new
/// connection.
const SIMILAR_STEPS: u32 = 3;

/// Returns the factor by which this many items lengthen the time between two events.
pub(crate) fn slowdown_factor(running: usize) -> f64 {
    1.0 + SLOWDOWN_PER_ITEM * running as f64
}

/// Returns the updated pace of an engine in milliseconds per event of a single stream, after one of
/// its `running` streams has delivered `events`, at least one, in `time`.
pub(crate) fn updated_pace(known: Option<f64>, running: usize, events: u64, time: Duration) -> f64 {
    let measured = time.as_secs_f64() * 1000.0 / events as f64;
    let sample = measured / slowdown_factor(running);
    let known = known.unwrap_or(sample);
    known + (sample - known) * NEWEST_WEIGHT
}

/// Step into which an engine's pace falls; lower is faster. Unknown paces sort first, since they
/// count as the best known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PaceStep(Option<u32>);

impl PaceStep {
    /// Step of an unknown pace.
    pub(crate) const UNKNOWN: Self = Self(None);
    /// Fastest step of a known pace.
    pub(crate) const FASTEST: Self = Self(Some(0));

    /// Returns the step of a pace in milliseconds per event.
    pub(crate) fn of(pace: Option<f64>) -> Self {
        let steps = |pace: f64| {
            let doublings = (pace.max(MIN_PACE_MS) / MIN_PACE_MS).log2();
            (doublings * STEPS_PER_DOUBLING) as u32
        };
        Self(pace.map(steps))
    }

    /// Returns whether the pace is about as good as the fastest known one.
    pub(crate) fn is_similar(self, fastest: Option<Self>) -> bool {
        match (self.0, fastest.and_then(|fastest| fastest.0)) {
            (Some(own), Some(fastest)) => own <= fastest + SIMILAR_STEPS,
            // An unknown pace is no reason to pass over an engine that is connected already.
            (None, _) | (_, None) => true,
        }
    }
}
