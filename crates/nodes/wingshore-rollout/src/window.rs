//! Question: how many leased samples does a runner hold?
//!
//! Inputs: attempts that run, refusals of the router, the most that the settings allow.
//!
//! Rule: the window doubles while the router admits everything that is held. A refusal for want of a
//! slot shrinks it to what runs, and a few more; from then on it grows by an eighth after some time
//! without a refusal. A refusal for want of an engine shrinks it as well, but not below its first
//! size.
//!
//! Why: no report says how much rollout capacity is free for one node, and samples that are held
//! without a slot are missing on other nodes.

use std::time::Duration;
use wingshore_types::Instant;

/// Samples held at the start.
const INITIAL_SIZE: u32 = 8;
/// Time without a refusal after which the window grows again.
const GROWTH_INTERVAL: Duration = Duration::from_millis(200);
/// After the first refusal the window grows by one part in this many.
const GROWTH_DIVISOR: u32 = 8;
/// Samples held beyond those that run, so that a freed slot is filled at once.
const EXTRA_SAMPLES: u32 = 2;

/// The window of held samples.
#[derive(Clone, Debug)]
pub(crate) struct LeaseWindow {
    size: u32,
    most: u32,
    was_refused: bool,
    grows_at: Instant,
}

impl LeaseWindow {
    pub(crate) fn new(most: u32) -> Self {
        Self {
            size: INITIAL_SIZE.min(most),
            most,
            was_refused: false,
            grows_at: Instant::ZERO,
        }
    }

    pub(crate) fn size(&self) -> u32 {
        self.size
    }

    /// The router had no engine at all, or none of use, while `running` attempts ran.
    pub(crate) fn on_no_engine(&mut self, running: u32) {
        self.size = (running + EXTRA_SAMPLES).max(INITIAL_SIZE).min(self.size);
    }

    /// The router had no slot while `running` attempts ran.
    pub(crate) fn on_refused(&mut self, now: Instant, running: u32) {
        self.was_refused = true;
        self.size = (running + EXTRA_SAMPLES).min(self.most);
        self.grows_at = now + GROWTH_INTERVAL;
    }

    /// Everything held runs: the window may be too small.
    pub(crate) fn on_all_running(&mut self, now: Instant, running: u32) {
        if running < self.size || now < self.grows_at {
            return;
        }
        let growth = if self.was_refused {
            (self.size / GROWTH_DIVISOR).max(1)
        } else {
            self.size
        };
        self.size = self.size.saturating_add(growth).min(self.most);
        if self.was_refused {
            self.grows_at = now + GROWTH_INTERVAL;
        }
    }
}
