//! Admission control: decides whether a server has a free slot for one more request of a class, and
//! when a refused caller should retry.
//!
//! Inputs: the slots of a server, the live share in thousandths, this node's own requests per
//! class, the estimated requests of other nodes, whether the other class reclaims its guarantee,
//! and the recent peak of live demand.
//!
//! Each class has a guaranteed number of slots on a server and may borrow slots that the other
//! class does not use, so that neither class starves and no slot stays unused. A class that is
//! refused while below its guarantee *reclaims* it: for the reclaim window the other class may not
//! borrow, so that slots return as its requests end. [`SlotShares::slots_to_reclaim`] counts the
//! borrowed slots whose requests may be cancelled to return them sooner. Rollouts run long, so
//! while they borrow they leave a part of the live guarantee free: as much as live requests used at
//! their recent peak, and at least a configured reserve.
//!
//! The retry-after of a refusal is the mean service time of the class, times the refusals within
//! one second, divided by the requests of the class in flight.
//!
//! Without a valid load report, the requests of other nodes count as zero. Without an observed
//! service time, the retry-after is the configured minimum.

use crate::class::Class;
use crate::load::Load;
use std::time::Duration;
use wingshore_types::Instant;
use wingshore_types::configuration::{Permille, Service};

/// Conditions under which a class may currently take slots beyond its guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Borrowing {
    /// False while the other class reclaims its guarantee.
    pub(crate) is_allowed: bool,
    /// Slots per server by which the recent peak of live demand exceeds the current demand.
    pub(crate) burst: u32,
}

/// Slots of each server of a service, divided between the classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SlotShares {
    slots: u32,
    live: u32,
    reserve: u32,
    guaranteed: bool,
}

impl SlotShares {
    /// Returns the shares of a service. `guaranteed` is false only under an injected fault.
    pub(crate) fn new(service: &Service, live_reserve: Permille, guaranteed: bool) -> Self {
        let slots = service.slots_per_server;
        let live = live_slots(slots, service.live_share);
        Self {
            slots,
            live,
            reserve: (live * u32::from(live_reserve.0)).div_ceil(1000),
            guaranteed,
        }
    }

    /// Returns the shares of one server while `dedicated` of `servers` are dedicated to live
    /// requests. A dedicated server guarantees all its slots to live requests. The live guarantee
    /// on the other servers shrinks by as many slots in total, rounded up to whole slots.
    pub(crate) fn with_dedicated(
        self,
        is_dedicated: bool,
        dedicated: usize,
        servers: usize,
    ) -> Self {
        if dedicated == 0 {
            return self;
        }
        let whole = u64::from(self.live) * servers as u64;
        let at_dedicated = u64::from(self.slots) * dedicated as u64;
        let others = servers.saturating_sub(dedicated).max(1) as u64;
        let elsewhere = whole.saturating_sub(at_dedicated).div_ceil(others);
        let (live, reserve) = match is_dedicated {
            true => (self.slots, self.slots),
            false => {
                let live = u32::try_from(elsewhere).unwrap_or(self.live);
                (live, self.reserve.min(live))
            }
        };
        Self {
            live,
            reserve,
            ..self
        }
    }

    /// Returns the number of slots of a server.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the number of slots guaranteed to a class.
    pub(crate) fn guarantee(&self, class: Class) -> u32 {
        match class {
            Class::Live => self.live,
            Class::Rollout => self.slots - self.live,
        }
    }

    /// Returns whether a server has a free slot for one more request of `class`.
    ///
    /// Own requests never exceed the slots. Requests of other nodes (`external`) are only estimated
    /// and their class is unknown: they limit borrowing, but they keep a class from its guarantee
    /// only once all requests reach the slots plus the whole guarantee.
    pub(crate) fn has_free_slot(
        &self,
        load: &Load,
        external: u32,
        class: Class,
        borrowing: Borrowing,
    ) -> bool {
        let own = load.own();
        if own >= self.slots {
            return false;
        }
        let all = own.saturating_add(external);
        if !self.guaranteed {
            return all < self.slots;
        }
        let guarantee = self.guarantee(class);
        if load.own_of(class) < guarantee {
            return all < self.slots + guarantee;
        }
        borrowing.is_allowed && all + self.reserved_slots(load, class, borrowing) < self.slots
    }

    /// Returns the number of slots that `class` uses beyond its guarantee.
    pub(crate) fn borrowed(&self, load: &Load, class: Class) -> u32 {
        load.own_of(class).saturating_sub(self.guarantee(class))
    }

    /// Returns the number of free slots that `class` can take within its guarantee.
    pub(crate) fn free_within_guarantee(&self, load: &Load, class: Class) -> u32 {
        let missing = self.guarantee(class).saturating_sub(load.own_of(class));
        missing.min(self.slots.saturating_sub(load.own()))
    }

    /// Returns the number of slots borrowed by `class` that must become free before the other class
    /// reaches its guarantee.
    pub(crate) fn slots_to_reclaim(&self, load: &Load, class: Class) -> u32 {
        let other = class.other();
        let missing = self.guarantee(other).saturating_sub(load.own_of(other));
        let held = missing.saturating_sub(self.free_within_guarantee(load, other));
        held.min(self.borrowed(load, class))
    }

    /// Returns the number of slots that a borrowing class leaves free for the next burst of the
    /// other class.
    fn reserved_slots(&self, load: &Load, class: Class, borrowing: Borrowing) -> u32 {
        match class {
            Class::Live => 0,
            Class::Rollout => {
                let unused = self.live.saturating_sub(load.own_of(Class::Live));
                self.reserve.max(borrowing.burst).min(unused)
            }
        }
    }
}

/// Returns the number of slots guaranteed to live requests. If the share is neither zero nor the
/// whole and the server has at least two slots, each class gets at least one.
fn live_slots(slots: u32, share: Permille) -> u32 {
    let share = share.0.min(Permille::WHOLE.0);
    let rounded = (u64::from(slots) * u64::from(share) + 500) / 1000;
    let rounded = u32::try_from(rounded).unwrap_or(slots);
    let is_split = share > 0 && share < Permille::WHOLE.0 && slots >= 2;
    match is_split {
        true => rounded.clamp(1, slots - 1),
        false => rounded,
    }
}

/// Counts refusals of a class below its guarantee within one service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReclaimRequests {
    count: u32,
    expires_at: Instant,
}

impl ReclaimRequests {
    /// Records a refusal of the class below its guarantee.
    pub(crate) fn record(&mut self, now: Instant, window: Duration) {
        if now >= self.expires_at {
            self.count = 0;
        }
        self.count = self.count.saturating_add(1);
        self.expires_at = now + window;
    }

    /// Returns whether the class currently reclaims its guarantee.
    pub(crate) fn is_active(&self, now: Instant) -> bool {
        now < self.expires_at
    }

    /// Returns the number of refused requests for which slots are still reclaimed, or zero after
    /// the window.
    pub(crate) fn count(&self, now: Instant) -> u32 {
        if self.is_active(now) { self.count } else { 0 }
    }

    /// Records that a request of the class was admitted, which satisfies one refused request.
    pub(crate) fn on_admitted(&mut self) {
        self.count = self.count.saturating_sub(1);
    }
}

/// Observed service times of one class, from which the retry-after is computed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceTime {
    mean: Option<Duration>,
    refused: u32,
    window_ends: Instant,
}

/// Divisor of the exponential moving average: a new observation has a weight of one eighth.
const SMOOTHING_DIVISOR: u32 = 8;
/// Time over which refusals are counted.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);

impl ServiceTime {
    /// Records the latency of a successful request.
    pub(crate) fn on_success(&mut self, latency: Duration) {
        self.mean = Some(match self.mean {
            None => latency,
            Some(mean) => (mean * (SMOOTHING_DIVISOR - 1) + latency) / SMOOTHING_DIVISOR,
        });
    }

    /// Records a refusal while `in_flight` requests of the class run, and returns the time after
    /// which to retry; `None` before the first observation. Running requests end one by one, and
    /// callers refused earlier are expected to be served first.
    pub(crate) fn on_refused(&mut self, now: Instant, in_flight: u32) -> Option<Duration> {
        if now >= self.window_ends {
            self.refused = 0;
            self.window_ends = now + REFUSAL_WINDOW;
        }
        self.refused = self.refused.saturating_add(1);
        self.mean
            .map(|mean| mean.saturating_mul(self.refused) / in_flight.max(1))
    }
}
