//! Decision: which engines are polled for their state now?
//!
//! Inputs: when each engine was polled last and whether the poll was answered; the usual duration
//! of a swap of its service, from committed measurements; the rate limit in polls per second over
//! all engines.
//!
//! Rule: engines that do not swap are polled every `poll_interval`, or less often if that would
//! take more than half of the rate limit. An engine that swaps is polled first when its swap should
//! be nearly over, then at short intervals. The most overdue engines go first.
//!
//! Why: each poll costs the leader the processing of a report, and any time between the end of a
//! swap and the poll that shows it delays the engines that could fetch from this one.
//!
//! Missing input: without a measured duration of swaps, `poll_interval` is assumed. An
//! unanswered poll is repeated after `poll_timeout`.

use crate::settings::LeaderSettings;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wingshore_types::Instant;
use wingshore_types::ids::ServerId;

/// Nanoseconds in a second; also the number of tokens that one poll costs.
const NANOSECONDS_PER_SECOND: u64 = 1_000_000_000;
/// Capacity of the token bucket, as the time in which it fills at the full rate.
const MAX_BURST: Duration = Duration::from_millis(200);

/// Part of the usual duration of a swap after which its engine is polled first, in units of
/// 1/[`POLLS_PER_SWAP`].
const FIRST_POLL_PART: u32 = 14;
/// Number of poll intervals in the usual duration of a swap.
const POLLS_PER_SWAP: u32 = 16;
/// Longest time from an order to the first poll, so that a failed swap is detected in time. A
/// longer `poll_interval` takes precedence.
const MAX_FIRST_POLL_DELAY: Duration = Duration::from_secs(5);
/// Shortest time between two polls of an engine that swaps.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// When an engine that swaps is polled. A poll before the end of the swap costs the leader the
/// processing of a report; any time after it delays engines that could fetch from this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SwapPolling {
    /// Time from the order to the first poll.
    pub(crate) first: Duration,
    /// Time between two further polls.
    pub(crate) interval: Duration,
}

impl SwapPolling {
    /// Returns the poll times for swaps that usually take `usual`, if that is known.
    pub(crate) fn new(usual: Option<Duration>, settings: &LeaderSettings) -> Self {
        let longest = settings.poll_interval;
        let usual = usual.unwrap_or(longest);
        let interval = usual / POLLS_PER_SWAP;
        Self {
            first: (usual * FIRST_POLL_PART / POLLS_PER_SWAP)
                .min(MAX_FIRST_POLL_DELAY)
                .max(longest),
            interval: interval.max(MIN_POLL_INTERVAL).min(longest),
        }
    }
}

/// The next poll of one server, and the time of the poll that is in flight.
#[derive(Clone, Copy, Debug)]
struct ScheduledPoll {
    due: Instant,
    polled_at: Option<Instant>,
}

/// Schedule of polls, limited by a token bucket.
#[derive(Debug, Default)]
pub(crate) struct PollSchedule {
    schedule: BTreeMap<ServerId, ScheduledPoll>,
    by_time: BTreeSet<(Instant, ServerId)>,
    /// Tokens in the bucket; a poll costs [`NANOSECONDS_PER_SECOND`] of them.
    tokens: u64,
    updated_at: Instant,
}

impl PollSchedule {
    /// Adds a server; its first poll is due at once, subject to the rate limit.
    pub(crate) fn add(&mut self, now: Instant, server: &ServerId) {
        self.put(
            server,
            ScheduledPoll {
                due: now,
                polled_at: None,
            },
        );
    }

    /// Removes a server.
    pub(crate) fn remove(&mut self, server: &ServerId) {
        if let Some(scheduled) = self.schedule.remove(server) {
            self.by_time.remove(&(scheduled.due, server.clone()));
        }
    }

    /// Returns the servers to poll now, the most overdue first.
    pub(crate) fn take_due(&mut self, now: Instant, settings: &LeaderSettings) -> Vec<ServerId> {
        self.refill_tokens(now, settings);
        let mut due = Vec::new();
        while self.tokens >= NANOSECONDS_PER_SECOND {
            let Some((at, server)) = self.by_time.first().cloned() else {
                break;
            };
            if at > now {
                break;
            }
            self.tokens -= NANOSECONDS_PER_SECOND;
            self.put(
                &server,
                ScheduledPoll {
                    due: now + settings.poll_timeout,
                    polled_at: Some(now),
                },
            );
            due.push(server);
        }
        due
    }

    /// Records that a poll was answered or failed, and schedules the next one: sooner if the engine
    /// is in a swap.
    pub(crate) fn on_answer(
        &mut self,
        server: &ServerId,
        polled_at: Instant,
        swap: Option<SwapPolling>,
        settings: &LeaderSettings,
    ) {
        let Some(scheduled) = self.schedule.get(server).copied() else {
            return;
        };
        if scheduled.polled_at.is_none_or(|newest| newest > polled_at) {
            return;
        }
        let interval = match swap {
            Some(polling) => polling.interval,
            None => self.steady_interval(settings),
        };
        self.put(
            server,
            ScheduledPoll {
                due: polled_at + interval,
                polled_at: None,
            },
        );
    }

    /// Makes a server's next poll due at `at`, if it is due later and none is in flight.
    pub(crate) fn poll_by(&mut self, server: &ServerId, at: Instant) {
        let Some(scheduled) = self.schedule.get(server).copied() else {
            return;
        };
        if scheduled.polled_at.is_none() && scheduled.due > at {
            self.put(
                server,
                ScheduledPoll {
                    due: at,
                    ..scheduled
                },
            );
        }
    }

    /// Moves a server's next poll to `at`, earlier or later, unless one is in flight.
    pub(crate) fn reschedule(&mut self, server: &ServerId, at: Instant) {
        let Some(scheduled) = self.schedule.get(server).copied() else {
            return;
        };
        if scheduled.polled_at.is_none() {
            self.put(
                server,
                ScheduledPoll {
                    due: at,
                    ..scheduled
                },
            );
        }
    }

    /// Returns the poll interval of engines that do not swap. They use at most half of the rate
    /// limit; the rest is for engines that swap.
    fn steady_interval(&self, settings: &LeaderSettings) -> Duration {
        let servers = u32::try_from(self.schedule.len()).unwrap_or(u32::MAX);
        let whole_round = Duration::from_secs(1) * servers / settings.polls_per_second.max(1);
        settings.poll_interval.max(whole_round * 2)
    }

    fn refill_tokens(&mut self, now: Instant, settings: &LeaderSettings) {
        let pace = u64::from(settings.polls_per_second.max(1));
        let elapsed = now.since(self.updated_at).min(MAX_BURST);
        let gained = u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX);
        let most = u64::try_from(MAX_BURST.as_nanos()).unwrap_or(u64::MAX);
        let limit = most.saturating_mul(pace).max(NANOSECONDS_PER_SECOND);
        self.tokens = self
            .tokens
            .saturating_add(gained.saturating_mul(pace))
            .min(limit);
        self.updated_at = now;
    }

    fn put(&mut self, server: &ServerId, scheduled: ScheduledPoll) {
        if let Some(old) = self.schedule.insert(server.clone(), scheduled) {
            self.by_time.remove(&(old.due, server.clone()));
        }
        self.by_time.insert((scheduled.due, server.clone()));
    }
}
