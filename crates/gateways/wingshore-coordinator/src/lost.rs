//! Machines of coordinators that were lost a short while ago. A decision without I/O.
//!
//! Question: which machines cannot have given an order in the last moments, so that a new leader
//! need not wait for them? Inputs: ends of connections, and how long each process says that it has
//! been running, at each introduction. Rule: a machine is lost when the last connection to it ends,
//! and when its process turns out to have begun within the window that is asked for. Why: a new
//! leader waits out the orders of the holder before it, unless that machine was lost; where the
//! leader itself had restarted it saw no connection end, and gave its first order late. A machine
//! that was never heard of counts as not lost: then the new leader waits.

use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::Instant;

/// A process must be younger than the window by this much to count as lost before: clocks differ, and
/// an introduction is on its way.
const RESTART_MARGIN: Duration = Duration::from_millis(500);

/// When each machine was last lost: nothing more is to come from the incarnation before that.
#[derive(Debug, Default)]
pub struct LostMachines {
    at: BTreeMap<String, Instant>,
}

impl LostMachines {
    /// The last connection to a machine has ended.
    pub fn record_loss(&mut self, now: Instant, node: &str) {
        self.at.insert(node.to_owned(), now);
    }

    /// A machine's process has been running for `up`. Says whether that is news of a loss within
    /// `window`.
    pub fn record_uptime(
        &mut self,
        now: Instant,
        node: &str,
        up: Duration,
        window: Duration,
    ) -> bool {
        if up + RESTART_MARGIN >= window {
            return false;
        }
        let began = now - up;
        let known = self.at.get(node);
        if known.is_some_and(|lost| *lost + RESTART_MARGIN >= began) {
            return false;
        }
        self.at.insert(node.to_owned(), began);
        true
    }

    /// Machines that were lost within `window`.
    pub fn lost_within(&self, now: Instant, window: Duration) -> Vec<String> {
        let lately = self.at.iter().filter(|(_, at)| now.since(**at) < window);
        lately.map(|(node, _)| node.clone()).collect()
    }
}
