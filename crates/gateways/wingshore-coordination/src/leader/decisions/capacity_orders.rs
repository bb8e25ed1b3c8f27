//! When is the number of servers of a pool ordered from the provider?
//!
//! Inputs: the number that is committed; servers of the pool that are registered and not leaving; what
//! the provider answered to the last order, and when; the time that a new server takes to serve.
//!
//! Rule: until the provider acknowledges the number, with [`INITIAL_BACKOFF`] after a first failure,
//! twice as long each time, [`MAX_BACKOFF`] at the most; and again while the registry shows another
//! number [`BOOT_MARGIN`] after the servers should serve. Not any more once the provider has seen an
//! order of a later holder.
//!
//! Why: an older order may have been carried out late, or servers may be lost.
//!
//! Old or missing inputs: a new leader orders once what is committed, whatever its predecessor had done:
//! numbers are absolute.

use crate::provider::ProviderAnswer;
use std::time::Duration;
use wingshore_types::{Instant, doubled_backoff};

/// Backoff after a first order without success.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Servers that were ordered are missed this long after they should serve.
const BOOT_MARGIN: Duration = Duration::from_secs(4);

/// The status of a pool's order.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolOrder {
    is_under_way: bool,
    failures: u32,
    not_before: Instant,
    /// The number that the provider has acknowledged, and when.
    acknowledged: Option<(u32, Instant)>,
    /// Whether another holder has acted on it: this one does not any more.
    is_fenced: bool,
}

impl PoolOrder {
    /// Whether `count` is to be ordered now, of which `present` are there; new servers take `boot` until
    /// they serve.
    pub(crate) fn is_due(&self, now: Instant, count: u32, present: u32, boot: Duration) -> bool {
        if self.is_under_way || self.is_fenced || now < self.not_before {
            return false;
        }
        let is_had = self.acknowledged.is_some_and(|(acknowledged, at)| {
            let is_booting = now < at + boot + BOOT_MARGIN;
            acknowledged == count && (is_booting || present == count)
        });
        !is_had
    }

    /// The order is sent.
    pub(crate) fn sent(&mut self) {
        self.is_under_way = true;
    }

    /// Another number is wanted: it need not wait for the backoff of the one before.
    pub(crate) fn number_changed(&mut self, now: Instant) {
        self.not_before = now;
    }

    /// The provider has answered an order for `count` servers, or has not. Of `reclaimable` servers it
    /// says by a conflict that there are none to be had.
    pub(crate) fn on_answer(
        &mut self,
        now: Instant,
        count: u32,
        reclaimable: bool,
        answer: ProviderAnswer,
    ) {
        self.is_under_way = false;
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
