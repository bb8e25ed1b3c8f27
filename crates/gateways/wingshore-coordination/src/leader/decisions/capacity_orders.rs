//! Decides when the number of servers of a pool is ordered from the provider.
//!
//! Inputs: the committed number of servers; the number of registered servers of the pool that are
//! not draining; the provider's answer to the last order and its time; the boot time of a new
//! server.
//!
//! Rule: the number is ordered until the provider acknowledges it, with a backoff of
//! [`INITIAL_BACKOFF`] after the first failure, doubled after each further one up to
//! [`MAX_BACKOFF`]. It is ordered again if the registry still shows another number [`BOOT_MARGIN`]
//! after the servers should be serving. No more orders are sent once the provider has seen an order
//! of a later holder.
//!
//! Rationale: an older order may have been carried out late, and servers may be lost.
//!
//! Stale or missing inputs: a new leader orders the committed number once, whatever its predecessor
//! did. This is safe because orders name absolute numbers.

use crate::provider::ProviderAnswer;
use std::time::Duration;
use wingshore_types::{Instant, doubled_backoff};

/// Backoff after the first failed order.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Upper limit of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time after the expected boot time at which ordered servers that have not registered count as
/// missing.
const BOOT_MARGIN: Duration = Duration::from_secs(4);

/// State of the order for one pool.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolOrder {
    is_in_flight: bool,
    failures: u32,
    not_before: Instant,
    /// The number that the provider acknowledged last, and when.
    acknowledged: Option<(u32, Instant)>,
    /// Whether the provider has seen an order of a later holder; this leader then sends no more.
    is_fenced: bool,
}

impl PoolOrder {
    /// Returns whether `count` servers are to be ordered now. `present` is the number of registered
    /// servers, `boot` the time from an order until a new server serves.
    pub(crate) fn is_due(&self, now: Instant, count: u32, present: u32, boot: Duration) -> bool {
        if self.is_in_flight || self.is_fenced || now < self.not_before {
            return false;
        }
        let is_fulfilled = self.acknowledged.is_some_and(|(acknowledged, at)| {
            let is_booting = now < at + boot + BOOT_MARGIN;
            acknowledged == count && (is_booting || present == count)
        });
        !is_fulfilled
    }

    /// Records that an order was sent.
    pub(crate) fn sent(&mut self) {
        self.is_in_flight = true;
    }

    /// Ends the backoff of the previous number after the wanted number changed.
    pub(crate) fn count_changed(&mut self, now: Instant) {
        self.not_before = now;
    }

    /// Records the provider's answer to an order for `count` servers, or its absence. For
    /// `reclaimable` servers a conflict means that none are available at present; for other servers
    /// it means that a later holder has sent an order.
    pub(crate) fn on_answer(
        &mut self,
        now: Instant,
        count: u32,
        reclaimable: bool,
        answer: ProviderAnswer,
    ) {
        self.is_in_flight = false;
        match answer {
            ProviderAnswer::Done => {
                self.acknowledged = Some((count, now));
                self.failures = 0;
            }
            ProviderAnswer::Conflict if !reclaimable => self.is_fenced = true,
            ProviderAnswer::Conflict
            | ProviderAnswer::Busy
            | ProviderAnswer::Refused
            | ProviderAnswer::Unknown => {
                self.not_before =
                    now + doubled_backoff(INITIAL_BACKOFF, self.failures, MAX_BACKOFF);
                self.failures += 1;
            }
        }
    }
}
