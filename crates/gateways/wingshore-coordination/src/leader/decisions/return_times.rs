//! Decides when a caller whose job was refused for lack of room may come back, and who enters first.
//!
//! Inputs: for each job that was sent away its size in bytes, its priority and the time at which
//! its caller was told to come back; the bytes that ended jobs freed lately; the room that is free.
//!
//! Rule: a job that was sent away keeps a place: the more urgent one first, then the earlier one.
//! A job enters only if it fits beside the open jobs and those with a place before it. Retry-After
//! is the time in which as much room becomes free as it and those before it lack, at the rate of
//! the last [`RATE_WINDOW`]. A place is lost [`PLACE_GRACE`] after its caller should have returned.
//!
//! Rationale: the load is more open jobs than memory, while all callers submit again. Without
//! places, whoever comes at the right moment enters, and a caller may be sent away without end
//! while later ones are served; with one time for all, they return together and compete again.
//!
//! Stale or missing inputs: while nothing was freed lately, [`DEFAULT_RETRY_AFTER`] applies. A new
//! leader knows no places: callers return in the order of their Retry-After anyway.

use super::admission::has_room;
use crate::ids::JobId;
use std::collections::VecDeque;
use std::time::Duration;
use wingshore_types::Instant;

/// Retry-After while the rate is unknown: jobs end within seconds.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Shortest Retry-After.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Longest Retry-After: below the time in which the results of a job are due.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Time over which the rate of freed room is measured.
const RATE_WINDOW: Duration = Duration::from_secs(10);
/// Time for which a place is kept for a caller that is overdue.
const PLACE_GRACE: Duration = Duration::from_secs(2);

/// A job that was sent away.
#[derive(Clone, Debug)]
struct Place {
    job: JobId,
    bytes: usize,
    priority: u8,
    returns_at: Instant,
}

/// The memory that open jobs use and may use, in bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Room {
    /// Size of the contents of all open jobs.
    pub(crate) open_bytes: usize,
    /// Limit for the sum.
    pub(crate) max_bytes: usize,
}

/// The places of jobs that were sent away.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReturnTimes {
    places: Vec<Place>,
    freed: VecDeque<(Instant, usize)>,
}

impl ReturnTimes {
    /// Records that an open job has ended.
    pub(crate) fn freed(&mut self, now: Instant, bytes: usize) {
        self.freed.push_back((now, bytes));
        self.forget_old(now);
    }

    /// Returns whether a job may enter now; it gives up its place if so.
    pub(crate) fn may_enter(
        &mut self,
        now: Instant,
        job: &JobId,
        priority: u8,
        bytes: usize,
        room: Room,
    ) -> bool {
        self.forget_old(now);
        let reserved = self.bytes_before(job, priority);
        let taken = room.open_bytes.saturating_add(reserved);
        let enters = has_room(bytes, taken, room.max_bytes);
        if enters {
            self.places.retain(|place| place.job != *job);
        }
        enters
    }

    /// Sends a job away; returns its Retry-After.
    pub(crate) fn shed(
        &mut self,
        now: Instant,
        job: &JobId,
        priority: u8,
        bytes: usize,
        room: Room,
    ) -> Duration {
        let before = self.bytes_before(job, priority);
        let wanted = room.open_bytes.saturating_add(before).saturating_add(bytes);
        let retry_after = self.time_to_free(now, wanted.saturating_sub(room.max_bytes));
        let returns_at = now + retry_after;
        match self.places.iter_mut().find(|place| place.job == *job) {
            Some(place) => place.returns_at = returns_at,
            None => self.add(Place {
                job: job.clone(),
                bytes,
                priority,
                returns_at,
            }),
        }
        retry_after
    }

    fn add(&mut self, place: Place) {
        let behind = self
            .places
            .partition_point(|known| known.priority <= place.priority);
        self.places.insert(behind, place);
    }

    /// Returns the size of the jobs with a place before a job, which may have no place yet.
    fn bytes_before(&self, job: &JobId, priority: u8) -> usize {
        let places = self.places.iter();
        let before = places.take_while(|place| place.job != *job && place.priority <= priority);
        before.map(|place| place.bytes).sum()
    }

    fn time_to_free(&self, now: Instant, bytes: usize) -> Duration {
        let total: usize = self.freed.iter().map(|(_, bytes)| bytes).sum();
        let Some((first, _)) = self.freed.front().filter(|_| total > 0) else {
            return DEFAULT_RETRY_AFTER;
        };
        let window = now.since(*first).max(MIN_RETRY_AFTER);
        let share = bytes as f64 / total as f64;
        window
            .mul_f64(share)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    fn forget_old(&mut self, now: Instant) {
        self.freed.retain(|(at, _)| now.since(*at) <= RATE_WINDOW);
        self.places
            .retain(|place| now.since(place.returns_at) <= PLACE_GRACE);
    }
}
