//! The pace of engines: its measurement and comparison.

use std::time::Duration;

/// Weight of the newest measurement in the moving average of an engine's pace, between 0 and 1. A
/// report holds the events of 400 ms, and an engine's pauses for other requests last about as long.
const NEWEST_WEIGHT: f64 = 0.25;

/// Factor by which two measurements in a row must differ from the known pace, in the same
/// direction, to replace it at once. A pause that is shorter than two reports makes one of them
/// look that slow, but not both.
const CHANGE_FACTOR: f64 = 2.0;

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
/// single measurements. Without this limit, items of a site with many more engines than items would
/// go to unmeasured engines over new connections.
const SIMILAR_STEPS: u32 = 3;

/// Returns the factor by which this many items lengthen the time between two events.
pub(crate) fn slowdown_factor(running: usize) -> f64 {
    1.0 + SLOWDOWN_PER_ITEM * running as f64
}

/// The measured pace of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct MeasuredPace {
    /// Recently measured time between two events of a stream that runs alone, in milliseconds.
    known: Option<f64>,
    /// The newest measurement, if it differs widely from the known pace.
    deviating: Option<f64>,
}

/// What a measurement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PaceChange {
    /// Nothing but the moving average.
    None,
    /// The engine is slower than before by a wide margin.
    Slower,
    /// The engine is faster than before by a wide margin.
    Faster,
}

impl MeasuredPace {
    /// Returns the known pace in milliseconds per event; `None` if nothing was measured.
    pub(crate) fn known(&self) -> Option<f64> {
        self.known
    }

    /// Records a measurement, in milliseconds per event.
    pub(crate) fn record(&mut self, measured: f64) -> PaceChange {
        let Some(known) = self.known else {
            self.known = Some(measured);
            return PaceChange::None;
        };
        let change = wide_difference(known, measured);
        if change == PaceChange::None {
            self.known = Some(known + (measured - known) * NEWEST_WEIGHT);
            self.deviating = None;
            return PaceChange::None;
        }
        let before = self.deviating.replace(measured);
        if before.is_none_or(|before| wide_difference(known, before) != change) {
            return PaceChange::None;
        }
        *self = Self {
            known: Some(measured),
            deviating: None,
        };
        change
    }
}

fn wide_difference(known: f64, measured: f64) -> PaceChange {
    if measured >= known * CHANGE_FACTOR {
        PaceChange::Slower
    } else if measured * CHANGE_FACTOR <= known {
        PaceChange::Faster
    } else {
        PaceChange::None
    }
}

/// Returns the pace of an engine in milliseconds per event of a stream that runs alone, measured
/// while its `running` streams delivered `events`, at least one, in `time` together.
pub(crate) fn pace_of_streams(running: usize, events: u64, time: Duration) -> f64 {
    let measured = time.as_secs_f64() * 1000.0 / events as f64;
    measured / slowdown_factor(running)
}

/// Step into which an engine's pace falls; lower is faster. Unknown paces sort first, so that
/// searches for engines of known pace can leave them out.
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

    /// Returns the pace at the lower end of the step, in milliseconds per event; `None` if it is
    /// unknown.
    pub(crate) fn milliseconds(self) -> Option<f64> {
        let steps = f64::from(self.0?);
        Some(MIN_PACE_MS * (steps / STEPS_PER_DOUBLING).exp2())
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
