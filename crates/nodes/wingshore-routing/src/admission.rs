//! Question: has a server a slot for one more request of a class, and when is a refused caller to
//! ask again?
//!
//! Inputs: the server's slots, the live share of them in thousandths, this node's own requests by
//! class, those of others as estimated, whether the other class asks for its guarantee, the recent
//! peak of live demand.
//!
//! Rule: each class has a guaranteed number of a server's slots and may borrow what the other does not
//! use. A class that is refused although it is below its guarantee *asks*: for the reclaim window
//! the other class may not borrow, so that slots come back as its requests end; what it uses
//! beyond its guarantee is named by [`SlotShares::slots_to_reclaim`], so that it may be cancelled
//! sooner. Rollouts run long, so while they borrow they leave a part of the live guarantee free: as
//! much as live requests used at their recent peak, and a least share. The retry-after of a refusal is
//! the mean service time of the class, times the refusals within a second, divided by its requests
//! in flight.
//!
//! Why: neither class starves, and slots are not left unused.
//!
//! Missing input: without a load report that counts, others' requests are taken for none; without
//! an observed service time the retry-after is the least one.

use crate::class::Class;
use crate::load::Load;
use std::time::Duration;
use wingshore_types::Instant;
use wingshore_types::configuration::{Permille, Service};

/// On what terms a class may take slots beyond its guarantee now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Borrowing {
    /// False while the other class asks for its guarantee.
    pub(crate) is_allowed: bool,
    /// Slots per server that live requests took more at their recent peak than now.
    pub(crate) burst: u32,
}

/// The slots of each server of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SlotShares {
    slots: u32,
    live: u32,
    reserve: u32,
    guaranteed: bool,
}

impl SlotShares {
    /// Shares of a service; `guaranteed` is false only under a deliberate fault.
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

    /// Shares of one server while `dedicated` of `servers` are dedicated to live requests: those
    /// are live requests' alone, and of the others that much less is guaranteed to them, rounded
    /// up to whole slots.
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

    /// Slots of a server.
    pub(crate) fn slots(&self) -> u32 {
        self.slots
    }

    /// Slots guaranteed to a class.
    pub(crate) fn guarantee(&self, class: Class) -> u32 {
        match class {
            Class::Live => self.live,
            Class::Rollout => self.slots - self.live,
        }
    }

    /// Whether a server has a slot for one more request of `class`.
    ///
    /// Own requests never exceed the slots. Others' requests are only estimated and their class
    /// is unknown: they keep a class from borrowing, and from its guarantee only once the server
    /// has the whole guarantee on top of its slots.
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

    /// Slots that `class` uses beyond its guarantee.
    pub(crate) fn borrowed(&self, load: &Load, class: Class) -> u32 {
        load.own_of(class).saturating_sub(self.guarantee(class))
    }

    /// Slots of its guarantee that `class` could take at once.
    pub(crate) fn free_within_guarantee(&self, load: &Load, class: Class) -> u32 {
        let missing = self.guarantee(class).saturating_sub(load.own_of(class));
        missing.min(self.slots.saturating_sub(load.own()))
    }

    /// Borrowed slots that must end for the other class to reach its guarantee.
    pub(crate) fn slots_to_reclaim(&self, load: &Load, class: Class) -> u32 {
        let other = class.other();
        let missing = self.guarantee(other).saturating_sub(load.own_of(other));
        let held = missing.saturating_sub(self.free_within_guarantee(load, other));
        held.min(self.borrowed(load, class))
    }

    /// Slots that a borrower leaves free for the owner's next burst.
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

/// Slots guaranteed to live requests. A share that is neither nothing nor all gives each class
/// at least one slot where there are two.
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

/// Refusals of a class below its guarantee, within one service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReclaimRequests {
    count: u32,
    expires_at: Instant,
}

impl ReclaimRequests {
    /// The class was refused below its guarantee.
    pub(crate) fn record(&mut self, now: Instant, window: Duration) {
        if now >= self.expires_at {
            self.count = 0;
        }
        self.count = self.count.saturating_add(1);
        self.expires_at = now + window;
    }

    /// Whether it asks now.
    pub(crate) fn is_active(&self, now: Instant) -> bool {
        now < self.expires_at
    }

    /// How many requests asked within the window.
    pub(crate) fn count(&self, now: Instant) -> u32 {
        if self.is_active(now) { self.count } else { 0 }
    }

    /// One of those that asked was admitted.
    pub(crate) fn on_admitted(&mut self) {
        self.count = self.count.saturating_sub(1);
    }
}

/// Observed service times of one class, and from them when to ask again.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceTime {
    mean: Option<Duration>,
    refused: u32,
    window_ends: Instant,
}

/// Weight of a new observation is one over this.
const SMOOTHING_DIVISOR: u32 = 8;
/// Refusals are counted over this time.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);

impl ServiceTime {
    /// A request took `latency`.
    pub(crate) fn on_success(&mut self, latency: Duration) {
        self.mean = Some(match self.mean {
            None => latency,
            Some(mean) => (mean * (SMOOTHING_DIVISOR - 1) + latency) / SMOOTHING_DIVISOR,
        });
    }

    /// A request was refused while `in_flight` of its class run: they end one by one, and those
    /// refused before it come first.
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
