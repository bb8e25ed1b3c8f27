//! Decision: when is a new mean of a service's swap durations committed?
//!
//! Inputs: the duration of each swap from its order to the report that shows it, in milliseconds;
//! the committed mean.
//!
//! Rule: an exponentially smoothed mean is committed when it differs from the committed one by more
//! than a fifth, at most once every [`COMMIT_INTERVAL`] per service. Plans estimate their duration
//! from it, and [`super::polling`] the time of the first poll of an engine that swaps; a rough
//! estimate suffices for both, so few commits are enough.

use super::engines::FinishedSwap;
use crate::command::ControlCommand;
use crate::state::ControlState;
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::Instant;
use wingshore_types::ids::ServiceId;

/// Weight of the earlier mean relative to one new measurement.
const EARLIER_WEIGHT: u64 = 3;
/// A mean is committed when it differs from the committed one by more than one part in this many.
const CHANGE_THRESHOLD_DIVISOR: u64 = 5;
/// Shortest time between two commits for one service.
const COMMIT_INTERVAL: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug)]
struct Mean {
    milliseconds: u64,
    committed_at: Option<Instant>,
}

/// Smoothed means of swap durations by service.
#[derive(Debug, Default)]
pub(crate) struct SwapTimes {
    means: BTreeMap<ServiceId, Mean>,
}

impl SwapTimes {
    /// Records a measurement; returns a command if the committed mean is out of date.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        swap: FinishedSwap,
        state: &ControlState,
    ) -> Option<ControlCommand> {
        let measured = u64::try_from(swap.duration.as_millis()).unwrap_or(u64::MAX);
        let committed = state.swap_time(&swap.service);
        let mean = self.means.entry(swap.service.clone()).or_insert(Mean {
            milliseconds: committed.unwrap_or(measured),
            committed_at: None,
        });
        let weighted = mean.milliseconds.saturating_mul(EARLIER_WEIGHT);
        mean.milliseconds = weighted.saturating_add(measured) / (EARLIER_WEIGHT + 1);
        let is_new = committed.is_none_or(|old| {
            old.abs_diff(mean.milliseconds)
                .saturating_mul(CHANGE_THRESHOLD_DIVISOR)
                > old
        });
        let may_commit = mean
            .committed_at
            .is_none_or(|at| now.since(at) >= COMMIT_INTERVAL);
        if !is_new || !may_commit {
            return None;
        }
        mean.committed_at = Some(now);
        Some(ControlCommand::RecordSwapTime {
            service: swap.service,
            milliseconds: mean.milliseconds,
        })
    }
}
