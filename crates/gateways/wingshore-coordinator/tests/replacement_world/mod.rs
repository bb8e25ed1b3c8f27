//! A group of members with their logs, under the real planner: no processes, no clock. Entries are
//! replicated, committed and elections held by the rules of Raft alone.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordinator::{KnownCoordinator, MembershipPlanner, MembershipView};
use wingshore_types::protocol::membership::{Member, Membership, MembershipRequest};
use wingshore_types::{Instant, ReplicaId};

/// Silence of a member that stands still: long enough for its replacement by a learner.
const SILENCE: Duration = Duration::from_secs(2);
/// Time at which a leader plans: long after the start of its leadership.
const NOW: Instant = Instant::from_millis(60_000);

/// Entry of a log: the term of its leader and the membership that counts from it on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    term: u64,
    membership: Membership,
}

/// State of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Power {
    Running,
    /// It answers nothing, and keeps its disk.
    Frozen,
    /// Its disk is gone, and with it its identity.
    Lost,
}

/// Member, or coordinator that may become one.
#[derive(Clone, Debug)]
struct Coordinator {
    machine: u64,
    power: Power,
    log: Vec<LogEntry>,
}

/// Group of coordinators.
#[derive(Clone, Debug)]
pub struct Group {
    coordinators: BTreeMap<ReplicaId, Coordinator>,
    leader: ReplicaId,
    /// The committed entries.
    committed: Vec<LogEntry>,
    losses_borne: usize,
    pub retired: BTreeSet<ReplicaId>,
    /// Silence of the members that do not run.
    pub silence: Duration,
    term: u64,
}

fn address(machine: u64) -> SocketAddr {
    ([10, 0, 0, machine as u8], 7700).into()
}

fn member(id: ReplicaId, machine: u64) -> Member {
    Member {
        id,
        address: address(machine),
    }
}

impl Group {
    /// Creates a group of `voters` voters and `learners` learners that have caught up, led by
    /// `leader`. Coordinators are numbered from 1 on.
    pub fn new(losses_borne: usize, voters: u64, learners: u64, leader: u64) -> Self {
        let members = |ids: std::ops::RangeInclusive<u64>| -> Vec<Member> {
            ids.map(|id| member(ReplicaId(id), id)).collect()
        };
        let membership = Membership {
            voters: members(1..=voters),
            learners: members(voters + 1..=voters + learners),
        };
        let log = vec![LogEntry {
            term: 1,
            membership,
        }];
        let coordinators = (1..=voters + learners).map(|id| {
            let coordinator = Coordinator {
                machine: id,
                power: Power::Running,
                log: log.clone(),
            };
            (ReplicaId(id), coordinator)
        });
        Self {
            coordinators: coordinators.collect(),
            leader: ReplicaId(leader),
            committed: log,
            losses_borne,
            retired: BTreeSet::new(),
            silence: SILENCE,
            term: 1,
        }
    }

    pub fn leader(&self) -> ReplicaId {
        self.leader
    }

    /// Returns the membership that counts for a member.
    fn membership_of(&self, id: ReplicaId) -> &Membership {
        let log = &self.coordinators[&id].log;
        &log.last().expect("a log").membership
    }

    /// Returns the membership that counts for the leader.
    pub fn membership(&self) -> &Membership {
        self.membership_of(self.leader)
    }

    /// Returns whether the membership that counts for the leader has this member.
    pub fn is_member(&self, id: ReplicaId) -> bool {
        members(self.membership()).any(|member| member == id)
    }

    /// Returns the smallest number of voters in the log of any member.
    pub fn fewest_voters(&self) -> usize {
        let logs = self
            .coordinators
            .values()
            .map(|coordinator| &coordinator.log);
        let memberships = logs.flatten().map(|entry| &entry.membership);
        let voters = memberships.map(|membership| membership.voters.len());
        voters.min().unwrap_or(0)
    }

    pub fn set_power(&mut self, id: ReplicaId, power: Power) {
        self.coordinators.get_mut(&id).expect("a coordinator").power = power;
    }

    /// Lets all that stand still go on.
    pub fn wake_all(&mut self) {
        for coordinator in self.coordinators.values_mut() {
            if coordinator.power == Power::Frozen {
                coordinator.power = Power::Running;
            }
        }
    }

    /// Starts the machines without a disk again: each is a new coordinator at the old address.
    pub fn return_lost(&mut self) {
        let lost: Vec<u64> = self
            .coordinators
            .iter()
            .filter(|(id, coordinator)| coordinator.power == Power::Lost && id.0 < 100)
            .map(|(_, coordinator)| coordinator.machine)
            .collect();
        for machine in lost {
            let returned = Coordinator {
                machine,
                power: Power::Running,
                log: Vec::new(),
            };
            self.coordinators.insert(ReplicaId(100 + machine), returned);
        }
    }

    /// Returns all identities with their state.
    pub fn powers(&self) -> Vec<(ReplicaId, Power)> {
        let all = self.coordinators.iter();
        all.map(|(id, coordinator)| (*id, coordinator.power))
            .collect()
    }

    fn is_running(&self, id: ReplicaId) -> bool {
        let coordinator = self.coordinators.get(&id);
        coordinator.is_some_and(|coordinator| coordinator.power == Power::Running)
    }

    /// Returns the change that the planner wants next.
    pub fn plan(&self) -> Option<MembershipRequest> {
        let known = self.known_coordinators();
        let leader_log = &self.coordinators[&self.leader].log;
        let has_caught_up = |id: &ReplicaId| {
            let coordinator = self.coordinators.get(id);
            coordinator.is_some_and(|coordinator| coordinator.log == *leader_log)
        };
        let membership = self.membership();
        let zone = format!("zone-{}", self.coordinators[&self.leader].machine);
        let view = MembershipView {
            own: self.leader,
            own_zone: &zone,
            membership,
            known_coordinators: &known,
            caught_up: members(membership).filter(has_caught_up).collect(),
            losses_borne: self.losses_borne,
            retired: &self.retired,
        };
        let mut planner = MembershipPlanner::default();
        planner.leadership_began(Instant::from_millis(1_000));
        planner.plan(NOW, &view)
    }

    fn known_coordinators(&self) -> BTreeMap<ReplicaId, KnownCoordinator> {
        let others = self
            .coordinators
            .iter()
            .filter(|(id, _)| **id != self.leader);
        let known = others.map(|(id, coordinator)| {
            let silence = match coordinator.power {
                Power::Running => Duration::ZERO,
                Power::Frozen | Power::Lost => self.silence,
            };
            let known = KnownCoordinator {
                id: *id,
                address: address(coordinator.machine),
                zone: format!("zone-{}", coordinator.machine),
                last_heard_at: NOW - silence,
            };
            (*id, known)
        });
        known.collect()
    }

    /// Appends a change to the log of the leader alone. A transfer of leadership elects at once.
    pub fn append(&mut self, request: &MembershipRequest) {
        let mut membership = self.membership().clone();
        match request {
            MembershipRequest::AddLearner(member) => membership.learners.push(member.clone()),
            MembershipRequest::Promote(id) => {
                let position = membership.learners.iter().position(|one| one.id == *id);
                let learner = membership.learners.remove(position.expect("a learner"));
                membership.voters.push(learner);
            }
            MembershipRequest::Remove(id) => {
                assert_ne!(*id, self.leader, "a leader cannot remove itself");
                membership.voters.retain(|one| one.id != *id);
                membership.learners.retain(|one| one.id != *id);
            }
            MembershipRequest::TransferLeadership(id) => return self.elect(*id),
            MembershipRequest::Show => return,
        }
        self.append_membership(membership);
    }

    fn append_membership(&mut self, membership: Membership) {
        let entry = LogEntry {
            term: self.term,
            membership,
        };
        let leader = self.coordinators.get_mut(&self.leader);
        leader.expect("the leader").log.push(entry);
    }

    /// Sends the leader's log to these members, and commits what a majority of its voters holds.
    pub fn replicate(&mut self, to: &[ReplicaId]) {
        let log = self.coordinators[&self.leader].log.clone();
        for id in to {
            if self.is_running(*id) {
                self.coordinators.get_mut(id).expect("a member").log = log.clone();
            }
        }
        let voters = &self.membership().voters;
        let holds = |voter: &&Member| self.coordinators[&voter.id].log == log;
        if voters.iter().filter(holds).count() > voters.len() / 2 {
            self.committed = log;
        }
    }

    /// Sends the leader's log to all members that run; returns whether all of it is committed.
    pub fn replicate_to_all(&mut self) -> bool {
        let all: Vec<ReplicaId> = members(self.membership()).collect();
        self.replicate(&all);
        self.committed == self.coordinators[&self.leader].log
    }

    /// Returns the members that can be elected now.
    pub fn electable(&self) -> Vec<ReplicaId> {
        let running = self.coordinators.keys().copied();
        running.filter(|id| self.can_win(*id)).collect()
    }

    fn can_win(&self, candidate: ReplicaId) -> bool {
        if !self.is_running(candidate) || self.coordinators[&candidate].log.is_empty() {
            return false;
        }
        let voters = &self.membership_of(candidate).voters;
        let votes = voters
            .iter()
            .filter(|voter| self.grants_vote(voter.id, candidate));
        voters.iter().any(|voter| voter.id == candidate) && votes.count() > voters.len() / 2
    }

    /// Returns whether a voter runs, has the disk with its log, and has no newer one than the
    /// candidate.
    fn grants_vote(&self, voter: ReplicaId, candidate: ReplicaId) -> bool {
        let position = |id: ReplicaId| {
            let log = &self.coordinators[&id].log;
            (log.last().map(|entry| entry.term), log.len())
        };
        let is_enrolled = !self.coordinators[&voter].log.is_empty();
        self.is_running(voter) && is_enrolled && position(candidate) >= position(voter)
    }

    /// Makes a member the leader of a new term, which begins with an entry of its own.
    pub fn elect(&mut self, leader: ReplicaId) {
        self.leader = leader;
        self.term += 1;
        let membership = self.membership().clone();
        self.append_membership(membership);
    }

    /// Returns whether a member's log holds all committed entries.
    pub fn holds_committed(&self, id: ReplicaId) -> bool {
        self.coordinators[&id].log.starts_with(&self.committed)
    }

    /// Returns whether all voters run, and are an odd number that bears the losses.
    pub fn is_whole(&self) -> bool {
        let voters = &self.membership().voters;
        let all_run = voters.iter().all(|voter| self.is_running(voter.id));
        all_run && voters.len() % 2 == 1 && voters.len() > 2 * self.losses_borne
    }
}

/// Returns the ids of all members.
fn members(membership: &Membership) -> impl Iterator<Item = ReplicaId> + '_ {
    let all = membership.voters.iter().chain(&membership.learners);
    all.map(|member| member.id)
}
