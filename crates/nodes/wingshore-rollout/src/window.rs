//! Size of the lease window.
//!
//! Question: how many samples does a runner lease at once?
//!
//! Inputs: the number of running attempts, refusals by the router, the maximum in the settings.
//!
//! Rule: the window doubles while the router admits all leased samples. A refusal because no slot
//! is free shrinks it to the number of running attempts plus [`EXTRA_SAMPLES`]; from then on it
//! grows by an eighth after each [`GROWTH_INTERVAL`] without a refusal. A refusal because no engine
//! is available also shrinks it, but not below its initial size.
//!
//! Why: no report states how much rollout capacity is free for one node, and samples that are
//! leased without a slot are not available to other nodes.

use std::time::Duration;
use wingshore_types::Instant;

/// Initial window size, in samples.
const INITIAL_SIZE: u32 = 8;
/// Time without a refusal after which the window grows.
const GROWTH_INTERVAL: Duration = Duration::from_millis(200);
/// After the first refusal, the window grows by its size divided by this number.
const GROWTH_DIVISOR: u32 = 8;
/// Samples leased beyond the running ones, so that a released slot is filled immediately.
const EXTRA_SAMPLES: u32 = 2;

/// Limit on the number of leased samples.
#[derive(Clone, Debug)]
pub(crate) struct LeaseWindow {
    size: u32,
    max_size: u32,
    was_refused: bool,
    grows_at: Instant,
}

impl LeaseWindow {
    pub(crate) fn new(max_size: u32) -> Self {
        Self {
            size: INITIAL_SIZE.min(max_size),
            max_size,
            was_refused: false,
            grows_at: Instant::ZERO,
        }
    }

    pub(crate) fn size(&self) -> u32 {
        self.size
    }

    /// Shrinks the window after the router had no usable engine while `running` attempts ran.
    pub(crate) fn on_no_engine(&mut self, running: u32) {
        self.size = (running + EXTRA_SAMPLES).max(INITIAL_SIZE).min(self.size);
    }

    /// Shrinks the window after the router had no free slot while `running` attempts ran.
    pub(crate) fn on_refused(&mut self, now: Instant, running: u32) {
        self.was_refused = true;
        self.size = (running + EXTRA_SAMPLES).min(self.max_size);
        self.grows_at = now + GROWTH_INTERVAL;
    }

    /// Grows the window if it is full and all leased samples run.
    pub(crate) fn on_all_running(&mut self, now: Instant, running: u32) {
        if running < self.size || now < self.grows_at {
            return;
        }
        let growth = if self.was_refused {
            (self.size / GROWTH_DIVISOR).max(1)
        } else {
            self.size
        };
        self.size = self.size.saturating_add(growth).min(self.max_size);
        if self.was_refused {
            self.grows_at = now + GROWTH_INTERVAL;
        }
    }
}
