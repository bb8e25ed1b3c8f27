//! Decision: which replica is asked next?
//!
//! Inputs: the listed replicas, answers and failures with their times, hints of replicas that do not
//! lead.
//!
//! Rule: the group's leader where it is known and has not just failed, otherwise the next replica in
//! turn that has not just failed, otherwise the next one. A hint to a replica that has just failed
//! is ignored: followers name a leader that was cut off until they elect another.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wingshore_types::GroupId;

/// How long a replica that failed an attempt is passed over while there are others: half of the
/// default election timeout.
const SUSPECT_TIME: Duration = Duration::from_millis(500);

/// Most addresses learned from hints that are kept beside the listed ones.
const MAX_LEARNED: usize = 16;

/// What a client knows about where groups are led. Reads no clock.
#[derive(Clone, Debug)]
pub struct Route {
    listed: Vec<SocketAddr>,
    learned: VecDeque<SocketAddr>,
    leaders: BTreeMap<GroupId, SocketAddr>,
    suspects: BTreeMap<SocketAddr, Instant>,
    cursor: usize,
}

impl Route {
    /// Knows the listed replicas; `start` picks the one to begin with.
    pub fn new(listed: Vec<SocketAddr>, start: usize) -> Self {
        Self {
            listed,
            learned: VecDeque::new(),
            leaders: BTreeMap::new(),
            suspects: BTreeMap::new(),
            cursor: start,
        }
    }

    /// How many replicas are known.
    pub fn candidate_count(&self) -> usize {
        self.listed.len() + self.learned.len()
    }

    /// Whom to ask: the group's leader where it is known and not suspect, otherwise the next
    /// replica that is not suspect, otherwise the next one.
    pub fn choose(&self, group: GroupId, now: Instant) -> Option<SocketAddr> {
        let leader = self.leaders.get(&group).copied();
        if let Some(leader) = leader.filter(|leader| !self.is_suspect(*leader, now)) {
            return Some(leader);
        }
        let count = self.candidate_count();
        let in_turn = (0..count).filter_map(|offset| self.candidate(self.cursor + offset));
        let trusted = in_turn
            .clone()
            .find(|address| !self.is_suspect(*address, now));
        trusted.or_else(|| in_turn.clone().next())
    }

    /// `address` has answered for the group.
    pub fn on_answer(&mut self, group: GroupId, address: SocketAddr) {
        self.leaders.insert(group, address);
        self.suspects.remove(&address);
    }

    /// `address` does not lead the group. Its hint is taken unless it names a replica that is
    /// suspect: followers go on naming a leader that was cut off until they elect another.
    pub fn on_not_leader(
        &mut self,
        group: GroupId,
        address: SocketAddr,
        hint: Option<SocketAddr>,
        now: Instant,
    ) {
        self.suspects.remove(&address);
        self.forget_leader(group, address);
        let other = hint.filter(|leader| *leader != address);
        if let Some(leader) = other.filter(|leader| !self.is_suspect(*leader, now)) {
            self.learn(leader);
            self.leaders.insert(group, leader);
        }
    }

    /// `address` answers, but cannot serve the group now: another may.
    pub fn on_unavailable(&mut self, group: GroupId, address: SocketAddr) {
        self.forget_leader(group, address);
    }

    /// `address` was not reached, or did not answer in time.
    pub fn on_failure(&mut self, group: GroupId, address: SocketAddr, now: Instant) {
        self.forget_leader(group, address);
        self.suspects.retain(|_, until| *until > now);
        self.suspects.insert(address, now + SUSPECT_TIME);
    }

    /// Forgets `address` as the leader and lets the next replica have its turn.
    fn forget_leader(&mut self, group: GroupId, address: SocketAddr) {
        if self.leaders.get(&group) == Some(&address) {
            self.leaders.remove(&group);
        }
        let position =
            (0..self.candidate_count()).find(|position| self.candidate(*position) == Some(address));
        if let Some(position) = position {
            self.cursor = position + 1;
        }
    }

    fn is_suspect(&self, address: SocketAddr, now: Instant) -> bool {
        self.suspects
            .get(&address)
            .is_some_and(|until| *until > now)
    }

    fn candidate(&self, position: usize) -> Option<SocketAddr> {
        let position = position.checked_rem(self.candidate_count())?;
        let listed = self.listed.get(position);
        let learned = || self.learned.get(position - self.listed.len());
        listed.or_else(learned).copied()
    }

    fn learn(&mut self, address: SocketAddr) {
        if self.listed.contains(&address) || self.learned.contains(&address) {
            return;
        }
        if self.learned.len() == MAX_LEARNED {
            self.learned.pop_front();
        }
        self.learned.push_back(address);
    }
}
