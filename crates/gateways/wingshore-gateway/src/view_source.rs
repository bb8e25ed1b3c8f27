//! Decision: from which coordinator does a gateway follow the view?
//!
//! No I/O; `now` is passed in.
//!
//! **Inputs.** The coordinators with a copy of the state from which a message arrived recently,
//! with their zone, the revision of the copy (a log index) and which one leads; the revision of the
//! gateway's own view.
//!
//! **Rule.** A coordinator in the gateway's own zone is followed and kept. If there is none, any
//! other is followed after 0.2 s, the leader only as the last choice. If the view has lagged behind
//! the newest announced revision for 0.7 s, another coordinator is followed, and the previous one
//! is avoided for 3 s.
//!
//! **Why.** Every copy is correct, but its coordinator may be cut off from the leader while this
//! gateway is not. If the leader sent the view to all gateways of a large site, its link would be
//! saturated for seconds; if members in each zone send it, little traffic crosses zones.
//!
//! **Old or missing inputs.** A coordinator that has been silent for too long is not a candidate.
//! While there are no candidates, nothing changes.

use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::{Instant, LogIndex};

/// Limit on the view's lag behind the newest revision that any coordinator has announced. Copies
/// receive commits every 100 ms and announce them to their followers every 300 ms, so that a
/// working one never lags this long. Commits must be in force everywhere within 2 s, which leaves
/// one second for another coordinator.
const LAG_LIMIT: Duration = Duration::from_millis(700);
/// How long a gateway that follows no coordinator waits for a copy in its own zone to be announced:
/// links to all coordinators come up within a few milliseconds of each other.
const NEAR_COPY_WAIT: Duration = Duration::from_millis(200);
/// How long a coordinator is avoided whose copy lagged.
const AVOIDANCE_TIME: Duration = Duration::from_secs(3);

/// A coordinator with a copy of the state from which a message arrived recently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Address of the coordinator.
    pub address: SocketAddr,
    /// Whether the coordinator is in the gateway's zone.
    pub is_same_zone: bool,
    /// Whether the coordinator leads, as far as this gateway knows.
    pub is_leader: bool,
    /// The last log entry that the copy includes.
    pub revision: LogIndex,
}

/// Inputs of a gateway's choice of a coordinator to follow.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceInputs<'a> {
    /// The coordinators to choose from.
    pub candidates: &'a [Candidate],
    /// The last log entry that the gateway's own view includes.
    pub known: Option<LogIndex>,
    /// Selects among equally suitable coordinators; differs between gateways.
    pub salt: u64,
}

/// Selection of the coordinator to follow.
#[derive(Debug, Default)]
pub struct ViewSource {
    /// The coordinator that is followed now.
    current: Option<SocketAddr>,
    /// The newest announced entry when the view began to lag, and since when it has lagged.
    lag: Option<(Instant, LogIndex)>,
    /// The coordinator that is avoided because its copy lagged, and until when.
    avoided: Option<(Instant, SocketAddr)>,
    /// Since when there have been candidates while none is followed.
    waiting_since: Option<Instant>,
}

impl ViewSource {
    /// Returns the coordinator that is followed now.
    pub fn current(&self) -> Option<SocketAddr> {
        self.current
    }

    /// The link to a coordinator has ended.
    pub fn link_ended(&mut self, address: SocketAddr) {
        if self.current == Some(address) {
            self.current = None;
        }
    }

    /// Updates the choice; returns the coordinator to follow from now on if it has changed.
    pub fn choose(&mut self, now: Instant, choice: &ChoiceInputs<'_>) -> Option<SocketAddr> {
        self.update_lag(now, choice);
        let selected = self.select(now, choice)?;
        if self.current == Some(selected) {
            return None;
        }
        self.current = Some(selected);
        self.waiting_since = None;
        Some(selected)
    }

    fn update_lag(&mut self, now: Instant, choice: &ChoiceInputs<'_>) {
        let known = choice.known.unwrap_or(LogIndex(0));
        let newest = choice
            .candidates
            .iter()
            .map(|candidate| candidate.revision)
            .max();
        if self.lag.is_some_and(|(_, entry)| known >= entry) {
            self.lag = None;
        }
        if let (None, Some(newest)) = (self.lag, newest.filter(|newest| *newest > known)) {
            self.lag = Some((now, newest));
        }
    }

    fn select(&mut self, now: Instant, choice: &ChoiceInputs<'_>) -> Option<SocketAddr> {
        self.avoided = self.avoided.filter(|(until, _)| now < *until);
        let lagging = self.lag.filter(|(since, _)| now.since(*since) >= LAG_LIMIT);
        if let (Some((_, entry)), Some(current)) = (lagging, self.current) {
            let is_ahead = |candidate: &&Candidate| candidate.revision >= entry;
            let others = choice.candidates.iter().filter(is_ahead);
            let others: Vec<Candidate> = others
                .filter(|candidate| candidate.address != current)
                .copied()
                .collect();
            let other = pick(&others, choice.salt)?;
            self.avoided = Some((now + AVOIDANCE_TIME, current));
            self.lag = Some((now, entry));
            return Some(other);
        }
        let near = self.near_copy(choice);
        let follows_near = choice
            .candidates
            .iter()
            .any(|candidate| candidate.is_same_zone && Some(candidate.address) == self.current);
        match self.current {
            Some(current) if follows_near => Some(current),
            Some(current) => near.or(Some(current)),
            None => near.or_else(|| self.any_after_wait(now, choice)),
        }
    }

    /// Returns a copy in the gateway's own zone that is not avoided for lag.
    fn near_copy(&self, choice: &ChoiceInputs<'_>) -> Option<SocketAddr> {
        let avoided = self.avoided.map(|(_, address)| address);
        let near = choice
            .candidates
            .iter()
            .filter(|candidate| candidate.is_same_zone);
        let near = near.filter(|candidate| Some(candidate.address) != avoided);
        let near: Vec<Candidate> = near.copied().collect();
        pick(&near, choice.salt)
    }

    /// Returns any copy, once the wait for a copy in the gateway's own zone is over.
    fn any_after_wait(&mut self, now: Instant, choice: &ChoiceInputs<'_>) -> Option<SocketAddr> {
        let any = pick(choice.candidates, choice.salt)?;
        let since = *self.waiting_since.get_or_insert(now);
        (now.since(since) >= NEAR_COPY_WAIT).then_some(any)
    }
}

/// Selects one of several candidates; followers before the leader, which has the most work.
fn pick(candidates: &[Candidate], salt: u64) -> Option<SocketAddr> {
    let followers: Vec<&Candidate> = candidates
        .iter()
        .filter(|candidate| !candidate.is_leader)
        .collect();
    let all: Vec<&Candidate> = candidates.iter().collect();
    let choices = if followers.is_empty() { all } else { followers };
    let count = u64::try_from(choices.len())
        .ok()
        .filter(|count| *count > 0)?;
    let index = usize::try_from(salt % count).ok()?;
    choices.get(index).map(|candidate| candidate.address)
}
