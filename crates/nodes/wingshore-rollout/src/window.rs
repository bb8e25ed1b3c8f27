//! How many samples to hold. Nobody tells a node how much rollout capacity is free: the window
//! grows while the router admits everything and shrinks to what runs when it refuses.

use std::time::Duration;
use wingshore_types::Instant;

/// Size at the start.
const INITIAL: u32 = 8;
/// Time without a refusal after which the window grows again.
const GROWTH_INTERVAL: Duration = Duration::from_millis(200);
/// After the first refusal the window grows by one part in this many.
const GROWTH_DIVISOR: u32 = 8;
/// Samples held beyond those that run, so that a freed slot is filled at once.
const SPARE: u32 = 2;

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
            size: INITIAL.min(most),
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
        self.size = (running + SPARE).max(INITIAL).min(self.size);
    }

    /// The router had no slot while `running` attempts ran.
    pub(crate) fn on_refused(&mut self, now: Instant, running: u32) {
        self.was_refused = true;
        self.size = (running + SPARE).min(self.most);
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
