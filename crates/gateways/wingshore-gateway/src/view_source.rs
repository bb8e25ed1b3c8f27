//! Decision: at which coordinator is the view followed?
//!
//! No I/O; `now` is passed in.
//!
//! **Inputs.** The coordinators with a copy of the state that were heard of lately, with their zone, how
//! far the copy is (an index of the log) and which one leads; how far the gateway's own view is.
//!
//! **Rule.** One in the gateway's own zone is followed and kept; without one, after 0.2 s, any other,
//! the leader last. A view that stays behind what any coordinator has announced for 0.7 s is followed at
//! another coordinator, and the one before is avoided for 3 s.
//!
//! **Why.** Any copy is true, but it may be cut off from the leader while this gateway is not. Were the
//! leader to send the view to all gateways of a large site, its link would be full for seconds; of what
//! members of each zone send, little crosses between zones.
//!
//! **Old or missing inputs.** A coordinator that was not heard of lately is no candidate. While there is
//! none, nothing changes.

use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::{Instant, LogIndex};

/// The view may lag this long behind the newest entry that any coordinator has announced. Copies
/// learn of commits each 100 ms and announce them to their followers each 300 ms, so that one that
/// works is never so late; what is in force everywhere within 2 s has a second of it left for asking
/// elsewhere.
const LAG_LIMIT: Duration = Duration::from_millis(700);
/// A gateway without any view waits this long for a copy in its own zone to show itself: links to
/// all coordinators come up within some milliseconds of each other.
const NEAR_COPY_WAIT: Duration = Duration::from_millis(200);
/// A copy that was left because it lagged is not asked again for this long.
const AVOIDED_FOR: Duration = Duration::from_secs(3);

/// A coordinator with a copy of the state that was heard of lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it stands in the gateway's zone.
    pub is_near: bool,
    /// Whether it leads, as far as this gateway knows.
    pub leads: bool,
    /// The last entry that its copy accounts for.
    pub revision: LogIndex,
}

/// What a gateway knows when it chooses.
#[derive(Clone, Copy, Debug)]
pub struct Choice<'a> {
    /// The coordinators to choose from.
    pub candidates: &'a [Candidate],
    /// The last entry that its own view accounts for.
    pub known: Option<LogIndex>,
    /// Different numbers choose different ones of several that are alike.
    pub salt: u64,
}

/// The coordinator that is followed.
#[derive(Debug, Default)]
pub struct ViewSource {
    /// Where the view is followed now.
    current: Option<SocketAddr>,
    /// Since when a newer entry is known than the view accounts for, and that entry.
    lag: Option<(Instant, LogIndex)>,
    /// Until when a copy that was left because it lagged is not asked again, and which one.
    avoided: Option<(Instant, SocketAddr)>,
    /// Since when there are candidates and none is followed.
    waiting_since: Option<Instant>,
}

impl ViewSource {
    /// The coordinator that is followed.
    pub fn current(&self) -> Option<SocketAddr> {
        self.current
    }

    /// The link to a coordinator has ended.
    pub fn link_ended(&mut self, address: SocketAddr) {
        if self.current == Some(address) {
            self.current = None;
        }
    }

    /// Chooses anew; gives the coordinator to follow from now on, if it is another one.
    pub fn choose(&mut self, now: Instant, choice: &Choice<'_>) -> Option<SocketAddr> {
        self.note_lag(now, choice);
        let wanted = self.wanted(now, choice)?;
        if self.current == Some(wanted) {
            return None;
        }
        self.current = Some(wanted);
        self.waiting_since = None;
        Some(wanted)
    }

    fn note_lag(&mut self, now: Instant, choice: &Choice<'_>) {
        let known = choice.known.unwrap_or(LogIndex(0));
        let newest = choice.candidates.iter().map(|known| known.revision).max();
        if self.lag.is_some_and(|(_, entry)| known >= entry) {
            self.lag = None;
        }
        if let (None, Some(newest)) = (self.lag, newest.filter(|newest| *newest > known)) {
            self.lag = Some((now, newest));
        }
    }

    fn wanted(&mut self, now: Instant, choice: &Choice<'_>) -> Option<SocketAddr> {
        self.avoided = self.avoided.filter(|(until, _)| now < *until);
        let lagging = self.lag.filter(|(since, _)| now.since(*since) >= LAG_LIMIT);
        if let (Some((_, entry)), Some(current)) = (lagging, self.current) {
            let is_ahead = |known: &&Candidate| known.revision >= entry;
            let others = choice.candidates.iter().filter(is_ahead);
            let others: Vec<Candidate> = others
                .filter(|known| known.address != current)
                .copied()
                .collect();
            let other = best(&others, choice.salt)?;
            self.avoided = Some((now + AVOIDED_FOR, current));
            self.lag = Some((now, entry));
            return Some(other);
        }
        let near = self.near(choice);
        let follows_near = choice
            .candidates
            .iter()
            .any(|known| known.is_near && Some(known.address) == self.current);
        match self.current {
            Some(current) if follows_near => Some(current),
            Some(current) => near.or(Some(current)),
            None => near.or_else(|| self.far(now, choice)),
        }
    }

    /// A copy in the own zone that is not known to lag.
    fn near(&self, choice: &Choice<'_>) -> Option<SocketAddr> {
        let avoided = self.avoided.map(|(_, address)| address);
        let near = choice.candidates.iter().filter(|known| known.is_near);
        let near = near.filter(|known| Some(known.address) != avoided);
        let near: Vec<Candidate> = near.copied().collect();
        best(&near, choice.salt)
    }

    /// Any copy, once none in the own zone has shown itself in time.
    fn far(&mut self, now: Instant, choice: &Choice<'_>) -> Option<SocketAddr> {
        let far = best(choice.candidates, choice.salt)?;
        let since = *self.waiting_since.get_or_insert(now);
        (now.since(since) >= NEAR_COPY_WAIT).then_some(far)
    }
}

/// One of several candidates: copies before the leader, which has most to do.
fn best(candidates: &[Candidate], salt: u64) -> Option<SocketAddr> {
    let followers: Vec<&Candidate> = candidates.iter().filter(|known| !known.leads).collect();
    let all: Vec<&Candidate> = candidates.iter().collect();
    let choices = if followers.is_empty() { all } else { followers };
    let count = u64::try_from(choices.len())
        .ok()
        .filter(|count| *count > 0)?;
    let index = usize::try_from(salt % count).ok()?;
    choices.get(index).map(|known| known.address)
}
