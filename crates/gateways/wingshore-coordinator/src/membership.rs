//! Which change the group's members need next, and whether there are enough coordinators. A
//! decision without I/O.
//!
//! Question: which one change of members is to be proposed now, may a machine be retired, and can
//! the group bear the losses that the settings ask for? Inputs: the members and those that have
//! caught up, which hold what was committed before a heartbeat that they answered (from the log),
//! when each coordinator was last heard of and in which zone (from introductions and consensus
//! messages, each 300 ms at the longest), the losses to bear, the machines that are to leave.
//!
//! Rule: as many members as bear the losses, or one a zone, and a spare; the other coordinators
//! stand by. Of the live members an odd number votes, at least twice the losses and one, at most
//! [`MAX_VOTERS`]. One change at a time, in the order of [`MembershipPlanner::plan`]: a member
//! whose disk is lost goes first, a voter that is silent goes only when a learner can take its
//! place. Only a coordinator that is taken in waits for no other change.
//!
//! Why: with an odd number of voters each majority of the members holds a majority of the voters,
//! whichever way they are cut apart. Each member costs: the leader sends it the whole log, and it
//! holds the whole state. Silent members do not count for the number of voters: if they did, a group
//! could grow to seven voters with a dead one among them, and lose what was acknowledged with two
//! more disks.
//!
//! Old or missing input: before a leadership has lasted as long as a limit, silence is counted from
//! its begin, so that nothing is removed for want of news.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::protocol::membership::{Member, Membership, MembershipRequest};
use wingshore_types::{Instant, ReplicaId};

/// A voter that is silent for this long gives its place to a learner that has caught up: five
/// introductions.
const VOTER_SILENCE: Duration = Duration::from_millis(1500);
/// A learner that is silent for this long is removed, and a superfluous voter: longer than a
/// restart, after which it goes on with its folder.
const LEARNER_SILENCE: Duration = Duration::from_secs(8);
/// A joiner that was last heard of longer ago is not added: three introductions.
const JOINER_SILENCE: Duration = Duration::from_secs(1);
/// Voters at most: seven bear three losses, and each further one makes every commit dearer.
const MAX_VOTERS: usize = 7;
/// Members besides those that the losses and zones ask for: one that can vote at once in the place
/// of a lost one.
const SPARE_MEMBERS: usize = 1;
/// After this much of a leadership all coordinators that run have introduced themselves: they dial
/// each 250 ms and introduce themselves each 300 ms. Long beside both, and beside the start of a
/// machine.
const ALL_HEARD_AFTER: Duration = Duration::from_secs(5);

/// Members whose loss at one time so many voters bear: a majority is left.
pub(crate) fn losses_borne_by(voters: usize) -> usize {
    voters.saturating_sub(1) / 2
}

/// Fewer coordinators than bear the losses that the settings ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// Coordinators that are members, or can become members.
    pub coordinators: usize,
    /// The fewest that bear the losses.
    pub needed: usize,
}

/// A coordinator that has introduced itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownCoordinator {
    /// Its identity, bound to its data folder.
    pub id: ReplicaId,
    /// Where it listens for the site's own processes.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// When it was last heard of.
    pub last_heard_at: Instant,
}

/// What the leader knows of members and joiners.
pub struct MembershipView<'a> {
    /// The leader itself.
    pub own: ReplicaId,
    /// The leader's zone.
    pub own_zone: &'a str,
    /// The members.
    pub membership: &'a Membership,
    /// All coordinators that have introduced themselves, by identity.
    pub known_coordinators: &'a BTreeMap<ReplicaId, KnownCoordinator>,
    /// Members that hold what was committed before a heartbeat that they answered, and the newest change of
    /// members.
    pub caught_up: BTreeSet<ReplicaId>,
    /// Members whose loss at one time the group must bear.
    pub losses_borne: usize,
    /// Members that are to leave, or have left, for good.
    pub retired: &'a BTreeSet<ReplicaId>,
}

impl MembershipView<'_> {
    /// The fewest voters that bear the losses.
    fn min_voters(&self) -> usize {
        2 * self.losses_borne + 1
    }

    /// How many members the group is to have: as many as bear the losses, or one in each zone, whose
    /// gateways read from it, and a spare. The other coordinators are on standby, without the state.
    pub fn target_members(&self, now: Instant) -> usize {
        let zones: BTreeSet<&str> = self
            .fresh(now)
            .map(|joiner| joiner.zone.as_str())
            .chain([self.own_zone])
            .collect();
        self.min_voters().max(zones.len()) + SPARE_MEMBERS
    }

    /// Coordinators other than the leader that are heard of and are not to leave.
    fn fresh(&self, now: Instant) -> impl Iterator<Item = &KnownCoordinator> {
        self.known_coordinators.values().filter(move |joiner| {
            let is_fresh = now.since(joiner.last_heard_at) < VOTER_SILENCE;
            is_fresh && joiner.id != self.own && !self.retired.contains(&joiner.id)
        })
    }

    /// Whether there are too few coordinators. Members count while they are away: a shortage is one
    /// of the site's layout, not of a moment.
    pub fn shortage(&self, now: Instant) -> Option<Shortage> {
        let standby = self.fresh(now).map(|joiner| joiner.id);
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

    /// Live members: the leader, and those that are heard of and are not to leave.
    fn live_members(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let fresh: BTreeSet<ReplicaId> = self.fresh(now).map(|joiner| joiner.id).collect();
        members(self.membership).filter(move |member| {
            let is_own = member.id == self.own && !self.retired.contains(&member.id);
            is_own || fresh.contains(&member.id)
        })
    }

    /// Zones with a live member.
    fn zones_with_live_members(&self, now: Instant) -> BTreeSet<&str> {
        let others = self
            .live_members(now)
            .filter_map(|member| self.known_coordinators.get(&member.id));
        others
            .map(|joiner| joiner.zone.as_str())
            .chain([self.own_zone])
            .collect()
    }

    /// How many voters the group is to have: an odd number, and as many of the live members as
    /// possible. So each majority of them holds a majority of the voters, whichever way they are
    /// cut apart.
    pub fn target_voters(&self, now: Instant) -> usize {
        let there = self.live_members(now).count();
        let odd = there.saturating_sub(1) / 2 * 2 + 1;
        odd.min(MAX_VOTERS).max(self.min_voters())
    }

    /// Whether the group would bear a loss right now without this coordinator: it is no member, enough
    /// others vote, and all of them are heard of and have caught up.
    pub fn is_fault_tolerant_without(&self, now: Instant, id: ReplicaId) -> bool {
        let is_member = members(self.membership).any(|member| member.id == id);
        let voters = &self.membership.voters;
        !is_member
            && voters.len() >= self.target_voters(now)
            && voters
                .iter()
                .all(|voter| self.caught_up.contains(&voter.id) && self.is_live(now, voter.id))
    }

    /// Whether it is the leader itself, or was heard of lately: what a lost member is known to hold is
    /// gone with it.
    fn is_live(&self, now: Instant, id: ReplicaId) -> bool {
        let is_heard = |joiner: &KnownCoordinator| now.since(joiner.last_heard_at) < VOTER_SILENCE;
        id == self.own || self.known_coordinators.get(&id).is_some_and(is_heard)
    }
}

/// Plans one change at a time, and additions beside it.
#[derive(Debug, Default)]
pub struct MembershipPlanner {
    /// Members that were never heard of count from here.
    since: Option<Instant>,
}

impl MembershipPlanner {
    /// A leadership begins: silence is counted from here.
    pub fn leadership_began(&mut self, now: Instant) {
        self.since = Some(now);
    }

    /// Whether the leadership is old enough to have heard of all coordinators that run.
    pub fn is_discovery_complete(&self, now: Instant) -> bool {
        self.since
            .is_some_and(|since| now.since(since) >= ALL_HEARD_AFTER)
    }

    /// The change that is needed beside one that is not committed yet: a coordinator without the state
    /// is taken in at once, since a learner belongs to no quorum.
    pub fn plan_concurrent(
        &self,
        now: Instant,
        view: &MembershipView<'_>,
    ) -> Option<MembershipRequest> {
        self.joiner_to_add(now, view)
    }

    /// The change that is needed next, if any.
    pub fn plan(&self, now: Instant, view: &MembershipView<'_>) -> Option<MembershipRequest> {
        self.replaced_member(now, view)
            .or_else(|| self.retirement(now, view))
            .or_else(|| self.learner_to_promote(now, view))
            .or_else(|| self.joiner_to_add(now, view))
            .or_else(|| self.silent_learner(now, view))
            .or_else(|| self.superfluous_voter(now, view))
    }

    /// A member whose address now belongs to another identity: its folder is lost.
    fn replaced_member(
        &self,
        now: Instant,
        view: &MembershipView<'_>,
    ) -> Option<MembershipRequest> {
        let successor_of = |member: &&Member| {
            view.known_coordinators.values().any(|joiner| {
                let is_fresh = now.since(joiner.last_heard_at) < JOINER_SILENCE;
                is_fresh && joiner.address == member.address && joiner.id != member.id
            })
        };
        members(view.membership)
            .filter(|member| member.id != view.own)
            .filter(|member| self.silence(now, member.id, view) >= JOINER_SILENCE / 4)
            .find(successor_of)
            .map(|member| MembershipRequest::Remove(member.id))
    }

    /// Whether enough coordinators would be left without `id`: as many as bear the losses, heard of
    /// lately.
    pub fn can_retire(&self, now: Instant, id: ReplicaId, view: &MembershipView<'_>) -> bool {
        let mut left: BTreeSet<ReplicaId> = members(view.membership)
            .map(|member| member.id)
            .filter(|member| self.silence(now, *member, view) < VOTER_SILENCE)
            .collect();
        let fresh = view.known_coordinators.values();
        left.extend(
            fresh
                .filter(|joiner| now.since(joiner.last_heard_at) < JOINER_SILENCE)
                .map(|joiner| joiner.id),
        );
        left.insert(view.own);
        left.remove(&id);
        left.retain(|member| !view.retired.contains(member));
        left.len() >= view.min_voters()
    }

    /// The next step towards a group without the members that are to leave: first a successor
    /// votes, then a leader that is to leave hands over, then the member goes.
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
            !view.retired.contains(id) && view.caught_up.contains(id) && silence < JOINER_SILENCE
        })?;
        Some(MembershipRequest::TransferLeadership(successor))
    }

    /// A learner that can vote.
    fn ready_learner(&self, now: Instant, view: &MembershipView<'_>) -> Option<ReplicaId> {
        let mut learners = view.membership.learners.iter().map(|learner| learner.id);
        learners.find(|id| {
            let silence = self.silence(now, *id, view);
            !view.retired.contains(id) && view.caught_up.contains(id) && silence < JOINER_SILENCE
        })
    }

    /// A learner that has caught up votes where a voter is missing, or in the place of one that
    /// is silent.
    fn learner_to_promote(
        &self,
        now: Instant,
        view: &MembershipView<'_>,
    ) -> Option<MembershipRequest> {
        let ready = self.ready_learner(now, view)?;
        let voters = view.membership.voters.len();
        let silent = self.silent_voter(now, VOTER_SILENCE, view);
        match silent {
            Some(silent) if voters >= view.min_voters() => Some(MembershipRequest::Remove(silent)),
            _ => (voters < view.target_voters(now)).then_some(MembershipRequest::Promote(ready)),
        }
    }

    /// A voter that has long been silent, where more vote than the target: each loss weighs less
    /// without it.
    fn superfluous_voter(
        &self,
        now: Instant,
        view: &MembershipView<'_>,
    ) -> Option<MembershipRequest> {
        let is_superfluous = view.membership.voters.len() > view.target_voters(now);
        let silent = self.silent_voter(now, LEARNER_SILENCE, view);
        let silent = silent.filter(|_| is_superfluous);
        silent.map(MembershipRequest::Remove)
    }

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

    /// A coordinator on standby is added while there are fewer live members than the target, rather
    /// one in a zone without any.
    fn joiner_to_add(&self, now: Instant, view: &MembershipView<'_>) -> Option<MembershipRequest> {
        if view.live_members(now).count() >= view.target_members(now) {
            return None;
        }
        let is_new = |joiner: &&KnownCoordinator| {
            let is_fresh = now.since(joiner.last_heard_at) < JOINER_SILENCE;
            let clashes =
                |member: &Member| member.id == joiner.id || member.address == joiner.address;
            is_fresh
                && joiner.id != view.own
                && !view.retired.contains(&joiner.id)
                && !members(view.membership).any(clashes)
        };
        let zones = view.zones_with_live_members(now);
        let joiners = view.known_coordinators.values().filter(is_new);
        let best = joiners.min_by_key(|joiner| zones.contains(joiner.zone.as_str()));
        best.map(|joiner| {
            MembershipRequest::AddLearner(Member {
                id: joiner.id,
                address: joiner.address,
            })
        })
    }

    fn silent_learner(&self, now: Instant, view: &MembershipView<'_>) -> Option<MembershipRequest> {
        let learners = view.membership.learners.iter();
        learners
            .map(|learner| learner.id)
            .find(|id| self.silence(now, *id, view) >= LEARNER_SILENCE)
            .map(MembershipRequest::Remove)
    }

    fn silence(&self, now: Instant, id: ReplicaId, view: &MembershipView<'_>) -> Duration {
        let begin = self.since.unwrap_or(now);
        let heard = view
            .known_coordinators
            .get(&id)
            .map_or(begin, |joiner| joiner.last_heard_at);
        now.since(heard.max(begin))
    }
}

/// All members: voters, then learners.
pub(crate) fn members(membership: &Membership) -> impl Iterator<Item = &Member> {
    membership.voters.iter().chain(&membership.learners)
}
