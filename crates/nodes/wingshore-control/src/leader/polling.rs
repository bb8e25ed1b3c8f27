//! Decision: which engines are polled for their state now?
//!
//! Inputs: when each engine was polled last and whether the poll was answered; the usual time of a
//! swap of its service, from committed measurements; the pace in polls a second over all engines.
//!
//! Rule: engines at rest are polled every `poll_interval`, less often where that would take more
//! than half of the pace. An engine that swaps is polled first when its swap should be nearly over,
//! then at short intervals. The most overdue go first.
//!
//! Why: each poll costs the leader a reading, and each moment between the end of a swap and the poll
//! that shows it delays the engines that could fetch from this one.
//!
//! Missing input: without a measured time of swaps the usual one is taken to be `poll_interval`. An
//! unanswered poll is repeated after `poll_timeout`.

use crate::settings::LeaderSettings;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wingshore_types::Instant;
use wingshore_types::ids::ServerId;

/// Nanoseconds in a second.
const NANOSECONDS: u64 = 1_000_000_000;
/// Most unused polls that may be sent at once later, as a time at full pace.
const MAX_BURST: Duration = Duration::from_millis(200);

/// An engine is polled first when this part of the usual time of a swap is over, in parts of
/// [`POLLS_PER_SWAP`].
const FIRST_POLL: u32 = 14;
/// Parts of the usual time of a swap between two further polls.
const POLLS_PER_SWAP: u32 = 16;
/// Longest time from an order to the first poll: a failed swap is to be noticed by then.
const MAX_FIRST_POLL_DELAY: Duration = Duration::from_secs(5);
/// Shortest time between two polls of an engine that swaps.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// When an engine that swaps is polled whether it is done. Each poll before that costs a
/// reading, and each moment after it delays those that could fetch from this engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SwapPolling {
    /// From the order to the first poll.
    pub(crate) first: Duration,
    /// Between two further ones.
    pub(crate) interval: Duration,
}

impl SwapPolling {
    /// For swaps that usually take `usual`, where that is known.
    pub(crate) fn new(usual: Option<Duration>, settings: &LeaderSettings) -> Self {
        let longest = settings.poll_interval;
        let usual = usual.unwrap_or(longest);
        let interval = usual / POLLS_PER_SWAP;
        Self {
            first: (usual * FIRST_POLL / POLLS_PER_SWAP)
                .min(MAX_FIRST_POLL_DELAY)
                .max(longest),
            interval: interval.max(MIN_POLL_INTERVAL).min(longest),
        }
    }
}

/// One server's place in the schedule.
#[derive(Clone, Copy, Debug)]
struct Slot {
    due: Instant,
    asked_at: Option<Instant>,
}

/// Which server is asked when.
#[derive(Debug, Default)]
pub(crate) struct PollSchedule {
    slots: BTreeMap<ServerId, Slot>,
    by_time: BTreeSet<(Instant, ServerId)>,
    /// Polls that may be sent now, in units of a billionth.
    allowance: u64,
    updated_at: Instant,
}

impl PollSchedule {
    /// Adds a server, to be asked at once as the pace allows.
    pub(crate) fn add(&mut self, now: Instant, server: &ServerId) {
        self.put(
            server,
            Slot {
                due: now,
                asked_at: None,
            },
        );
    }

    /// Lets a server go.
    pub(crate) fn remove(&mut self, server: &ServerId) {
        if let Some(slot) = self.slots.remove(server) {
            self.by_time.remove(&(slot.due, server.clone()));
        }
    }

    /// The servers to ask now, the most overdue first.
    pub(crate) fn take_due(&mut self, now: Instant, settings: &LeaderSettings) -> Vec<ServerId> {
        self.gain_allowance(now, settings);
        let mut due = Vec::new();
        while self.allowance >= NANOSECONDS {
            let Some((at, server)) = self.by_time.first().cloned() else {
                break;
            };
            if at > now {
                break;
            }
            self.allowance -= NANOSECONDS;
            self.put(
                &server,
                Slot {
                    due: now + settings.poll_timeout,
                    asked_at: Some(now),
                },
            );
            due.push(server);
        }
        due
    }

    /// A poll was answered, or failed: the next one follows after a while, sooner when the
    /// engine is in a swap.
    pub(crate) fn on_answer(
        &mut self,
        server: &ServerId,
        asked_at: Instant,
        swap: Option<SwapPolling>,
        settings: &LeaderSettings,
    ) {
        let Some(slot) = self.slots.get(server).copied() else {
            return;
        };
        if slot.asked_at.is_none_or(|newest| newest > asked_at) {
            return;
        }
        let interval = match swap {
            Some(polling) => polling.interval,
            None => self.steady_interval(settings),
        };
        self.put(
            server,
            Slot {
                due: asked_at + interval,
                asked_at: None,
            },
        );
    }

    /// Brings a server's next poll forward.
    pub(crate) fn hurry(&mut self, server: &ServerId, at: Instant) {
        let Some(slot) = self.slots.get(server).copied() else {
            return;
        };
        if slot.asked_at.is_none() && slot.due > at {
            self.put(server, Slot { due: at, ..slot });
        }
    }

    /// Moves a server's next poll to `at`, sooner or later, unless one is on its way.
    pub(crate) fn ask_at(&mut self, server: &ServerId, at: Instant) {
        let Some(slot) = self.slots.get(server).copied() else {
            return;
        };
        if slot.asked_at.is_none() {
            self.put(server, Slot { due: at, ..slot });
        }
    }

    /// Engines at rest take half of the pace at most; the rest is for those that swap.
    fn steady_interval(&self, settings: &LeaderSettings) -> Duration {
        let servers = u32::try_from(self.slots.len()).unwrap_or(u32::MAX);
        let whole_round = Duration::from_secs(1) * servers / settings.polls_per_second.max(1);
        settings.poll_interval.max(whole_round * 2)
    }

    fn gain_allowance(&mut self, now: Instant, settings: &LeaderSettings) {
        let pace = u64::from(settings.polls_per_second.max(1));
        let elapsed = now.since(self.updated_at).min(MAX_BURST);
        let gained = u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX);
        let most = u64::try_from(MAX_BURST.as_nanos()).unwrap_or(u64::MAX);
        let limit = most.saturating_mul(pace).max(NANOSECONDS);
        self.allowance = self
            .allowance
            .saturating_add(gained.saturating_mul(pace))
            .min(limit);
        self.updated_at = now;
    }

    fn put(&mut self, server: &ServerId, slot: Slot) {
        if let Some(old) = self.slots.insert(server.clone(), slot) {
            self.by_time.remove(&(old.due, server.clone()));
        }
        self.by_time.insert((slot.due, server.clone()));
    }
}
