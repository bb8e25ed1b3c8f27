//! Decision: which replica to try next.
//!
//! Inputs: the configured replicas, replies and failures with their times, and the leader hints of
//! followers.
//!
//! Rule: the leader of the group if it is known and has not failed recently, otherwise the next
//! replica in round-robin order that has not failed recently, otherwise the next one. A hint to a
//! replica that failed recently is ignored: followers name a partitioned leader until they elect
//! another.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wingshore_types::GroupId;

/// How long a replica that failed an attempt is skipped while there are others: half of the default
/// election timeout.
const SUSPECT_TIME: Duration = Duration::from_millis(500);

/// Maximum number of addresses learned from hints, in addition to the configured ones.
const MAX_LEARNED_ADDRESSES: usize = 16;

/// A client's knowledge of replicas and group leaders. Callers pass the current time.
#[derive(Clone, Debug)]
pub struct Route {
    listed: Vec<SocketAddr>,
    learned: VecDeque<SocketAddr>,
    leaders: BTreeMap<GroupId, SocketAddr>,
    suspects: BTreeMap<SocketAddr, Instant>,
    cursor: usize,
}

impl Route {
    /// Creates a route over the replicas `listed`; `start` is the index of the first one to try.
    pub fn new(listed: Vec<SocketAddr>, start: usize) -> Self {
        Self {
            listed,
            learned: VecDeque::new(),
            leaders: BTreeMap::new(),
            suspects: BTreeMap::new(),
            cursor: start,
        }
    }

    /// Returns the number of known replicas.
    pub fn candidate_count(&self) -> usize {
        self.listed.len() + self.learned.len()
    }

    /// Returns the replica to try: the leader of the group if it is known and not suspect,
    /// otherwise the next replica that is not suspect, otherwise the next one. `None` if no replica
    /// is known.
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

    /// Records that `address` served a request as the leader of the group.
    pub fn on_answer(&mut self, group: GroupId, address: SocketAddr) {
        self.leaders.insert(group, address);
        self.suspects.remove(&address);
    }

    /// Records that `address` does not lead the group. Follows its hint unless that names a suspect
    /// replica: followers name a partitioned leader until they elect another.
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

    /// Records that `address` replied but cannot serve the group now; another replica may.
    pub fn on_unavailable(&mut self, group: GroupId, address: SocketAddr) {
        self.forget_leader(group, address);
    }

    /// Records that `address` could not be reached or did not reply in time.
    pub fn on_failure(&mut self, group: GroupId, address: SocketAddr, now: Instant) {
        self.forget_leader(group, address);
        self.suspects.retain(|_, until| *until > now);
        self.suspects.insert(address, now + SUSPECT_TIME);
    }

    /// Removes `address` as the known leader and moves the cursor to the replica after it.
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
        if self.learned.len() == MAX_LEARNED_ADDRESSES {
            self.learned.pop_front();
        }
        self.learned.push_back(address);
    }
}
