//! Paces of engines: how they are measured, and when two count as alike.

use std::time::Duration;

/// Weight of the newest measurement of an engine's pace, as a part of one.
const NEWEST_WEIGHT: f64 = 0.15;

/// By how much each item on an engine slows the others down, as a part of the time from event to event
/// with none.
const SLOW_DOWN_OF_AN_ITEM: f64 = 0.009;

/// Paces that differ by less than a part of this many of a doubling count as one: they change with
/// each measurement, and an engine is put in another place only where that can matter.
const STEPS_OF_A_DOUBLING: f64 = 64.0;

/// Paces below this many milliseconds an event count as that.
const MIN_PACE_MS: f64 = 0.001;

/// An engine without a connection is left for items that find no idle one with a connection, of
/// which the pace is at most this many steps, 3 %, behind the fastest known: as much as paces that
/// are measured once differ by chance. Engines of unknown pace count as the best, so that each item
/// of a site with many more engines than items would go to one that nothing is known of, on a new
/// connection.
const SIMILAR_STEPS: u32 = 3;

/// How many times longer an engine takes from event to event with this many items than with none.
pub(crate) fn slow_down(running: usize) -> f64 {
    1.0 + SLOW_DOWN_OF_AN_ITEM * running as f64
}

/// The pace of an engine in milliseconds an event, if it ran one stream alone, after one of its
/// `running` streams has brought `events`, at least one, in `time`.
pub(crate) fn measured(known: Option<f64>, running: usize, events: u64, time: Duration) -> f64 {
    let measured = time.as_secs_f64() * 1000.0 / events as f64;
    let sample = measured / slow_down(running);
    let known = known.unwrap_or(sample);
    known + (sample - known) * NEWEST_WEIGHT
}

/// The step in which an engine's pace falls; lower ones are faster. Unknown paces come first: they
/// count as the best one known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PaceStep(Option<u32>);

impl PaceStep {
    /// Of engines whose pace is not known.
    pub(crate) const UNKNOWN: Self = Self(None);
    /// The fastest one of known paces.
    pub(crate) const FASTEST: Self = Self(Some(0));

    /// Of a pace in milliseconds.
    pub(crate) fn of(pace: Option<f64>) -> Self {
        let steps = |pace: f64| {
            let doublings = (pace.max(MIN_PACE_MS) / MIN_PACE_MS).log2();
            (doublings * STEPS_OF_A_DOUBLING) as u32
        };
        Self(pace.map(steps))
    }

    /// Whether it is about as good as the fastest known one.
    pub(crate) fn is_similar(self, fastest: Option<Self>) -> bool {
        match (self.0, fastest.and_then(|fastest| fastest.0)) {
            (Some(own), Some(fastest)) => own <= fastest + SIMILAR_STEPS,
            // Nothing speaks against one of unknown pace that is connected already.
            (None, _) | (_, None) => true,
        }
    }
}
