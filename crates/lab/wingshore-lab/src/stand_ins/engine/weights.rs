//! Which weights an engine holds, fetches and generates by.

use std::time::Duration;
use wingshore_types::{Instant, WeightVersion};

/// What came of a swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightChange {
    /// The version is in force.
    InForce {
        version: WeightVersion,
        /// The one it took over from, when that was known.
        previous: Option<WeightVersion>,
    },
    /// The swap failed partway: nobody knows what is loaded.
    Lost,
}

/// A fetched version that takes force after a pause.
#[derive(Clone, Copy, Debug)]
struct Swap {
    version: WeightVersion,
    at: Instant,
}

/// The engine's weights. Serving goes on by the old version during a fetch; generation stands
/// still during the swap.
#[derive(Clone, Debug)]
pub struct Weights {
    current: Option<WeightVersion>,
    loading: Option<WeightVersion>,
    swap: Option<Swap>,
    pause: Duration,
    fail_next: bool,
}

impl Weights {
    /// Weights of a fresh start.
    pub fn new(version: WeightVersion, pause: Duration) -> Self {
        Self {
            current: Some(version),
            loading: None,
            swap: None,
            pause,
            fail_next: false,
        }
    }

    /// The version in force; `None` is unknown.
    pub fn current(&self) -> Option<WeightVersion> {
        self.current
    }

    /// The version being fetched or swapped in.
    pub fn loading(&self) -> Option<WeightVersion> {
        self.loading
    }

    /// The version to generate by, unless generation stands still.
    pub fn generating(&self) -> Option<WeightVersion> {
        if self.swap.is_some() {
            return None;
        }
        self.current
    }

    /// When the fetched version takes force.
    pub fn takes_force_at(&self) -> Option<Instant> {
        self.swap.map(|swap| swap.at)
    }

    /// Begins to fetch `version`; an earlier fetch is forgotten.
    pub fn load(&mut self, version: WeightVersion) {
        self.loading = Some(version);
        self.swap = None;
    }

    /// A fetch has ended. One that is no longer wanted changes nothing.
    pub fn fetched(&mut self, now: Instant, version: WeightVersion, succeeded: bool) {
        if self.loading != Some(version) || self.swap.is_some() {
            return;
        }
        if !succeeded {
            self.loading = None;
            return;
        }
        self.swap = Some(Swap {
            version,
            at: now + self.pause,
        });
    }

    /// Ends the swap that is due.
    pub fn take_force(&mut self, now: Instant) -> Option<WeightChange> {
        let swap = self.swap.filter(|swap| swap.at <= now)?;
        self.swap = None;
        self.loading = None;
        let previous = self.current.take();
        if std::mem::take(&mut self.fail_next) {
            return Some(WeightChange::Lost);
        }
        self.current = Some(swap.version);
        Some(WeightChange::InForce {
            version: swap.version,
            previous,
        })
    }

    /// Makes the next swap fail partway.
    pub fn fail_next_swap(&mut self) {
        self.fail_next = true;
    }
}
