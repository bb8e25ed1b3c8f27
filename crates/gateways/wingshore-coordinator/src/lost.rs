//! Machines of coordinators that were lost recently. A decision without I/O.
//!
//! Question: which machines cannot have sent an order recently, so that a new leader need not wait
//! for them? Inputs: the ends of connections, and the uptime that each process reports in its hello
//! messages. Rule: a machine is lost when the last connection to it ends, or when its uptime shows
//! that its process started within the given window. Why: a new leader waits until the orders of
//! the holder before it have expired, unless that machine was lost. A leader that had itself
//! restarted saw no connection end, and so sent its first order late; the uptime covers that. A
//! machine of which nothing is known counts as not lost, so the new leader waits.

use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::Instant;

/// A process counts as restarted only if its uptime is shorter than the window by this much: clocks
/// differ, and a hello message takes time to arrive.
const RESTART_MARGIN: Duration = Duration::from_millis(500);

/// Time at which each machine was last lost. No more orders are to arrive from its incarnation
/// before that.
#[derive(Debug, Default)]
pub struct LostMachines {
    lost_at: BTreeMap<String, Instant>,
}

impl LostMachines {
    /// Records that the last connection to a machine has ended.
    pub fn record_loss(&mut self, now: Instant, node: &str) {
        self.lost_at.insert(node.to_owned(), now);
    }

    /// Records that a machine's process has been running for `uptime`. Returns whether that shows a
    /// loss within `window` that was not known yet.
    pub fn record_uptime(
        &mut self,
        now: Instant,
        node: &str,
        uptime: Duration,
        window: Duration,
    ) -> bool {
        if uptime + RESTART_MARGIN >= window {
            return false;
        }
        let started_at = now - uptime;
        let known = self.lost_at.get(node);
        if known.is_some_and(|lost| *lost + RESTART_MARGIN >= started_at) {
            return false;
        }
        self.lost_at.insert(node.to_owned(), started_at);
        true
    }

    /// Returns the machines that were lost within `window`.
    pub fn lost_within(&self, now: Instant, window: Duration) -> Vec<String> {
        let recent = self
            .lost_at
            .iter()
            .filter(|(_, at)| now.since(**at) < window);
        recent.map(|(node, _)| node.clone()).collect()
    }
}
