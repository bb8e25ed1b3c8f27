//! Membership changes of the group, and whether there are enough coordinators. A decision without
//! I/O.
//!
//! Question: which one membership change is proposed now, may a machine be retired, and can the
//! group tolerate the losses that the settings ask for? Inputs: the members and those that have
//! caught up, which hold what was committed before a heartbeat that they answered (from the log);
//! when each coordinator was last heard from and in which zone (from hello and consensus messages,
//! at most 300 ms apart); the losses to tolerate; the machines that are to leave.
//!
//! Rule: the group has as many members as the losses to tolerate require, or one per zone, plus a
//! spare; the other coordinators are on standby. An odd number of the live members vote: at least
//! twice the losses plus one, at most [`MAX_VOTERS`]. There is one change at a time, in the order
//! of [`MembershipPlanner::plan`]: a member whose disk is lost is removed first, and a silent voter
//! is removed only when a learner can replace it, and after the promotion of that learner where the
//! voters would be too few between the two changes. Only the addition of a coordinator does not
//! wait for other changes.
//!
//! Invariant: once a group has as many voters as tolerate the losses, no membership in the log of
//! any member, committed or not, has fewer, except by the removal of a member whose disk is lost.
//! A membership counts as soon as it is appended. With fewer voters, one more lost disk before the
//! next change may take the majority for good, though most disks were never touched. The vote of a
//! lost disk is lost whether it is removed or not, so that its removal needs no more of the others.
//!
//! Why: with an odd number of voters each majority of the members holds a majority of the voters,
//! whichever way the network is partitioned. Each member has a cost: the leader sends it the whole
//! log, and it holds the whole state. Silent members do not count for the number of voters. If they
//! did, a group could grow to seven voters with a dead one among them, and lose acknowledged writes
//! with two more disks.
//!
//! Old or missing input: until the leader has led for as long as a timeout, silence is counted from
//! the start of its leadership, so that no member is removed for lack of messages.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::protocol::membership::{Member, Membership, MembershipRequest};
use wingshore_types::{Instant, ReplicaId};

/// Silence after which a voter is replaced by a learner that has caught up: five hello intervals.
const VOTER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Silence after which a learner or a superfluous voter is removed. It is longer than a restart,
/// after which the member continues with its data folder.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(8);
/// Silence after which a coordinator is no longer added as a member: three hello intervals.
const JOINER_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of voters: seven tolerate three losses, and each further one makes every commit
/// more expensive.
const MAX_VOTERS: usize = 7;
/// Members besides those that the losses and zones require: one that can vote at once in place of a
/// lost one.
const SPARE_MEMBERS: usize = 1;
/// Time from the start of a leadership until all running coordinators have sent a hello message:
/// they connect every 250 ms and send one every 300 ms. It is long compared with both, and with the
/// start of a machine.
const DISCOVERY_TIME: Duration = Duration::from_secs(5);

/// Returns how many simultaneous losses a group with so many voters tolerates while a majority is
/// left.
pub(crate) fn losses_borne_by(voters: usize) -> usize {
    voters.saturating_sub(1) / 2
}

/// Fewer coordinators than are needed to tolerate the losses that the settings ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// Coordinators that are members, or can become members.
    pub coordinators: usize,
    /// Smallest number of coordinators that tolerates the losses.
    pub needed: usize,
}

/// Coordinator that has sent a hello message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownCoordinator {
    /// Its identity, which is bound to its data folder.
    pub id: ReplicaId,
    /// Where it listens for the site's own processes.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// When a message of it last arrived.
    pub last_heard_at: Instant,
}

/// What the leader knows of the members and of the other coordinators.
pub struct MembershipView<'a> {
    /// Identity of the leader.
    pub own: ReplicaId,
    /// Zone of the leader.
    pub own_zone: &'a str,
    /// The members.
    pub membership: &'a Membership,
    /// All coordinators that have sent a hello message, by identity.
    pub known_coordinators: &'a BTreeMap<ReplicaId, KnownCoordinator>,
    /// Members that hold the newest membership change and what was committed before a heartbeat
    /// that they answered.
    pub caught_up: BTreeSet<ReplicaId>,
    /// Simultaneous losses of members that the group must tolerate.
    pub losses_borne: usize,
    /// Members that are to leave, or have left, for good.
    pub retired: &'a BTreeSet<ReplicaId>,
}

impl MembershipView<'_> {
    /// Returns the smallest number of voters that tolerates the losses.
    fn min_voters(&self) -> usize {
        2 * self.losses_borne + 1
    }

    /// Returns how many members the group should have: as many as the losses require, or one in
    /// each zone, whose gateways read from it, plus a spare. The other coordinators are on standby,
    /// without the state.
    pub fn target_members(&self, now: Instant) -> usize {
        let zones: BTreeSet<&str> = self
            .live_others(now)
            .map(|coordinator| coordinator.zone.as_str())
            .chain([self.own_zone])
            .collect();
        self.min_voters().max(zones.len()) + SPARE_MEMBERS
    }

    /// Returns the coordinators other than the leader that were heard from recently and are not to
    /// leave.
    fn live_others(&self, now: Instant) -> impl Iterator<Item = &KnownCoordinator> {
        self.known_coordinators.values().filter(move |coordinator| {
            let is_fresh = now.since(coordinator.last_heard_at) < VOTER_TIMEOUT;
            is_fresh && coordinator.id != self.own && !self.retired.contains(&coordinator.id)
        })
    }

    /// Returns the shortage if there are too few coordinators. Members count also while they are
    /// away: a shortage is a property of the site's layout, not of a moment.
    pub fn shortage(&self, now: Instant) -> Option<Shortage> {
        let standby = self.live_others(now).map(|coordinator| coordinator.id);
        let mut coordinators: BTreeSet<ReplicaId> = members(self.membership)
            .map(|member| member.id)
            .filter(|id| !self.retired.contains(id))
            .collect();
        coordinators.extend(standby);
        let shortage = Shortage {
            coordinators: coordinators.len(),
            needed: self.min_voters(),
        };
        (shortage.coordinators < shortage.needed).then_some(shortage)
    }

    /// Returns the live members: the leader, and those that were heard from recently, unless they
    /// are to leave.
    fn live_members(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let fresh: BTreeSet<ReplicaId> = self
            .live_others(now)
            .map(|coordinator| coordinator.id)
            .collect();
        members(self.membership).filter(move |member| {
            let is_own = member.id == self.own && !self.retired.contains(&member.id);
            is_own || fresh.contains(&member.id)
        })
    }

    /// Returns the zones with a live member.
    fn zones_with_live_members(&self, now: Instant) -> BTreeSet<&str> {
        let others = self
            .live_members(now)
            .filter_map(|member| self.known_coordinators.get(&member.id));
        others
            .map(|coordinator| coordinator.zone.as_str())
            .chain([self.own_zone])
            .collect()
    }

    /// Returns how many voters the group should have: an odd number, and as many of the live
    /// members as possible. So each majority of them holds a majority of the voters, whichever way
    /// the network is partitioned.
    pub fn target_voters(&self, now: Instant) -> usize {
        let live = self.live_members(now).count();
        let odd = live.saturating_sub(1) / 2 * 2 + 1;
        odd.min(MAX_VOTERS).max(self.min_voters())
    }

    /// Returns whether the group would tolerate a loss right now without this coordinator: it is no
    /// member, enough others vote, and all of them were heard from recently and have caught up.
    pub fn is_fault_tolerant_without(&self, now: Instant, id: ReplicaId) -> bool {
        let is_member = members(self.membership).any(|member| member.id == id);
        let voters = &self.membership.voters;
        !is_member
            && voters.len() >= self.target_voters(now)
            && voters
                .iter()
                .all(|voter| self.caught_up.contains(&voter.id) && self.is_live(now, voter.id))
    }

    /// Returns whether the member is the leader or was heard from recently: what a lost member held
    /// is lost with it.
    fn is_live(&self, now: Instant, id: ReplicaId) -> bool {
        let is_recent =
            |coordinator: &KnownCoordinator| now.since(coordinator.last_heard_at) < VOTER_TIMEOUT;
        id == self.own || self.known_coordinators.get(&id).is_some_and(is_recent)
    }
}

/// Plans membership changes: one at a time, and additions besides.
#[derive(Debug, Default)]
pub struct MembershipPlanner {
    /// Start of the leadership, from which the silence of members counts that were never heard
    /// from.
    leading_since: Option<Instant>,
}

impl MembershipPlanner {
    /// Records the start of a leadership, from which silence counts.
    pub fn leadership_began(&mut self, now: Instant) {
        self.leading_since = Some(now);
    }

    /// Returns whether the leadership has lasted long enough for all running coordinators to be
    /// known.
    pub fn is_discovery_complete(&self, now: Instant) -> bool {
        self.leading_since
            .is_some_and(|since| now.since(since) >= DISCOVERY_TIME)
    }

    /// Returns the change that is needed while another one is not committed yet: a coordinator
    /// without the state is added at once, since a learner belongs to no quorum.
    pub fn plan_concurrent(
        &self,
        now: Instant,
        view: &MembershipView<'_>,
    ) -> Option<MembershipRequest> {
        self.joiner_to_add(now, view)
    }

    /// Returns the change that is needed next, if any.
    pub fn plan(&self, now: Instant, view: &MembershipView<'_>) -> Option<MembershipRequest> {
        self.replaced_member(now, view)
            .or_else(|| self.retirement(now, view))
            .or_else(|| self.learner_to_promote(now, view))
            .or_else(|| self.voter_beyond_odd_number(now, view))
            .or_else(|| self.joiner_to_add(now, view))
            .or_else(|| self.silent_learner(now, view))
            .or_else(|| self.superfluous_voter(now, view))
    }

    /// Removes a member whose address now belongs to another identity: its data folder is lost.
    fn replaced_member(
        &self,
        now: Instant,
        view: &MembershipView<'_>,
    ) -> Option<MembershipRequest> {
        let successor_of = |member: &&Member| {
            view.known_coordinators.values().any(|coordinator| {
                let is_fresh = now.since(coordinator.last_heard_at) < JOINER_TIMEOUT;
                is_fresh && coordinator.address == member.address && coordinator.id != member.id
            })
        };
        members(view.membership)
            .filter(|member| member.id != view.own)
            .filter(|member| self.silence(now, member.id, view) >= JOINER_TIMEOUT / 4)
            .find(successor_of)
            .map(|member| MembershipRequest::Remove(member.id))
    }

    /// Returns whether enough coordinators would be left without `id`: as many as tolerate the
    /// losses, all heard from recently.
    pub fn can_retire(&self, now: Instant, id: ReplicaId, view: &MembershipView<'_>) -> bool {
        let mut left: BTreeSet<ReplicaId> = members(view.membership)
            .map(|member| member.id)
            .filter(|member| self.silence(now, *member, view) < VOTER_TIMEOUT)
            .collect();
        let fresh = view.known_coordinators.values();
        left.extend(
            fresh
                .filter(|coordinator| now.since(coordinator.last_heard_at) < JOINER_TIMEOUT)
                .map(|coordinator| coordinator.id),
        );
        left.insert(view.own);
        left.remove(&id);
        left.retain(|member| !view.retired.contains(member));
        left.len() >= view.min_voters()
    }

    /// Returns the next step towards a group without the members that are to leave: first a
    /// successor votes, then a leader that is to leave transfers its leadership, then the member is
    /// removed.
    fn retirement(&self, now: Instant, view: &MembershipView<'_>) -> Option<MembershipRequest> {
        let is_retired = |member: &&Member| view.retired.contains(&member.id);
        if let Some(learner) = view.membership.learners.iter().find(is_retired) {
            return Some(MembershipRequest::Remove(learner.id));
        }
        let leaving = view.membership.voters.iter().find(is_retired)?;
        if view.membership.voters.len() <= view.target_voters(now) {
            let ready = self.ready_learner(now, view)?;
            return Some(MembershipRequest::Promote(ready));
        }
        if leaving.id != view.own {
            return Some(MembershipRequest::Remove(leaving.id));
        }
        let mut others = view.membership.voters.iter().map(|voter| voter.id);
        let successor = others.find(|id| {
            let silence = self.silence(now, *id, view);
            !view.retired.contains(id) && view.caught_up.contains(id) && silence < JOINER_TIMEOUT
        })?;
        Some(MembershipRequest::TransferLeadership(successor))
    }

    /// Returns a learner that can become a voter.
    fn ready_learner(&self, now: Instant, view: &MembershipView<'_>) -> Option<ReplicaId> {
        let mut learners = view.membership.learners.iter().map(|learner| learner.id);
        learners.find(|id| {
            let silence = self.silence(now, *id, view);
            !view.retired.contains(id) && view.caught_up.contains(id) && silence < JOINER_TIMEOUT
        })
    }

    /// Promotes a learner that has caught up where a voter is missing, and in place of a silent
    /// voter: that one is removed before the promotion only where enough voters are left without
    /// it, else after it.
    fn learner_to_promote(
        &self,
        now: Instant,
        view: &MembershipView<'_>,
    ) -> Option<MembershipRequest> {
        let ready = self.ready_learner(now, view)?;
        let voters = view.membership.voters.len();
        let silent = self.silent_voter(now, VOTER_TIMEOUT, view);
        match silent {
            Some(silent) if voters > view.min_voters() => Some(MembershipRequest::Remove(silent)),
            Some(_) => Some(MembershipRequest::Promote(ready)),
            None => (voters < view.target_voters(now)).then_some(MembershipRequest::Promote(ready)),
        }
    }

    /// Removes a voter where there is one too many for an odd number, as there is after the
    /// promotion in place of a silent voter: that voter, or, if it was heard from again, the one
    /// that lags or has been silent for longest.
    fn voter_beyond_odd_number(
        &self,
        now: Instant,
        view: &MembershipView<'_>,
    ) -> Option<MembershipRequest> {
        let voters = &view.membership.voters;
        let is_one_too_many =
            voters.len().is_multiple_of(2) && voters.len() > view.target_voters(now);
        let is_retiring = voters.iter().any(|voter| view.retired.contains(&voter.id));
        if !is_one_too_many || is_retiring {
            return None;
        }
        let others = voters.iter().map(|voter| voter.id);
        let others = others.filter(|voter| *voter != view.own);
        let least_useful = others.max_by_key(|voter| {
            let silence = self.silence(now, *voter, view);
            (
                silence >= VOTER_TIMEOUT,
                !view.caught_up.contains(voter),
                silence,
            )
        });
        least_useful.map(MembershipRequest::Remove)
    }

    /// Removes a voter that has long been silent where there are more voters than the target:
    /// without it the group tolerates further losses better.
    fn superfluous_voter(
        &self,
        now: Instant,
        view: &MembershipView<'_>,
    ) -> Option<MembershipRequest> {
        let is_superfluous = view.membership.voters.len() > view.target_voters(now);
        let silent = self.silent_voter(now, LEARNER_TIMEOUT, view);
        let silent = silent.filter(|_| is_superfluous);
        silent.map(MembershipRequest::Remove)
    }

    /// Returns a voter other than the leader that has been silent for `limit`.
    fn silent_voter(
        &self,
        now: Instant,
        limit: Duration,
        view: &MembershipView<'_>,
    ) -> Option<ReplicaId> {
        let voters = view.membership.voters.iter().map(|voter| voter.id);
        let mut others = voters.filter(|voter| *voter != view.own);
        others.find(|voter| self.silence(now, *voter, view) >= limit)
    }

    /// Adds a coordinator on standby while there are fewer live members than the target, preferably
    /// one in a zone without a live member.
    fn joiner_to_add(&self, now: Instant, view: &MembershipView<'_>) -> Option<MembershipRequest> {
        if view.live_members(now).count() >= view.target_members(now) {
            return None;
        }
        let is_new = |coordinator: &&KnownCoordinator| {
            let is_fresh = now.since(coordinator.last_heard_at) < JOINER_TIMEOUT;
            let clashes = |member: &Member| {
                member.id == coordinator.id || member.address == coordinator.address
            };
            is_fresh
                && coordinator.id != view.own
                && !view.retired.contains(&coordinator.id)
                && !members(view.membership).any(clashes)
        };
        let zones = view.zones_with_live_members(now);
        let candidates = view.known_coordinators.values().filter(is_new);
        let best = candidates.min_by_key(|coordinator| zones.contains(coordinator.zone.as_str()));
        best.map(|coordinator| {
            MembershipRequest::AddLearner(Member {
                id: coordinator.id,
                address: coordinator.address,
            })
        })
    }

    /// Removes a learner that has been silent for [`LEARNER_TIMEOUT`].
    fn silent_learner(&self, now: Instant, view: &MembershipView<'_>) -> Option<MembershipRequest> {
        let learners = view.membership.learners.iter();
        learners
            .map(|learner| learner.id)
            .find(|id| self.silence(now, *id, view) >= LEARNER_TIMEOUT)
            .map(MembershipRequest::Remove)
    }

    /// Returns for how long a member has been silent, counted from the start of the leadership at
    /// the earliest.
    fn silence(&self, now: Instant, id: ReplicaId, view: &MembershipView<'_>) -> Duration {
        let begin = self.leading_since.unwrap_or(now);
        let heard = view
            .known_coordinators
            .get(&id)
            .map_or(begin, |coordinator| coordinator.last_heard_at);
        now.since(heard.max(begin))
    }
}

/// Returns all members: the voters, then the learners.
pub(crate) fn members(membership: &Membership) -> impl Iterator<Item = &Member> {
    membership.voters.iter().chain(&membership.learners)
}
