//! Which change the group's members need next. A decision without I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::protocol::membership::{Member, Membership, MembershipRequest};
use wingshore_types::{Instant, ReplicaId};

/// A voter that is silent for this long gives its place to a learner that has caught up.
const VOTER_SILENCE: Duration = Duration::from_millis(1500);
/// A learner that is silent for this long is taken out.
const LEARNER_SILENCE: Duration = Duration::from_secs(8);
/// A joiner that was last heard of longer ago is not taken in.
const JOINER_SILENCE: Duration = Duration::from_secs(1);

/// A coordinator that has introduced itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Joiner {
    /// Its identity, bound to its data folder.
    pub id: ReplicaId,
    /// Where it listens for the site's own processes.
    pub address: SocketAddr,
    /// When it was last heard of.
    pub heard: Instant,
}

/// What the leader knows of members and joiners.
pub struct MembershipView<'a> {
    /// The leader itself.
    pub own: ReplicaId,
    /// The members.
    pub membership: &'a Membership,
    /// All coordinators that have introduced themselves, by identity.
    pub heard: &'a BTreeMap<ReplicaId, Joiner>,
    /// Members that hold all that is committed.
    pub caught_up: &'a dyn Fn(ReplicaId) -> bool,
    /// Voters that are wanted.
    pub voters: usize,
}

/// Plans one change at a time.
#[derive(Debug, Default)]
pub struct MembershipPlanner {
    /// Members that were never heard of count from here.
    since: Option<Instant>,
}

impl MembershipPlanner {
    /// A leadership begins: silence is counted from here.
    pub fn begin(&mut self, now: Instant) {
        self.since = Some(now);
    }

    /// The change that is needed next, if any.
    pub fn plan(&self, now: Instant, view: &MembershipView<'_>) -> Option<MembershipRequest> {
        self.replaced_member(now, view)
            .or_else(|| self.learner_to_promote(now, view))
            .or_else(|| self.joiner_to_add(now, view))
            .or_else(|| self.silent_learner(now, view))
    }

    /// A member whose address now belongs to another identity: its folder is lost.
    fn replaced_member(
        &self,
        now: Instant,
        view: &MembershipView<'_>,
    ) -> Option<MembershipRequest> {
        let successor_of = |member: &&Member| {
            view.heard.values().any(|joiner| {
                let is_fresh = now.since(joiner.heard) < JOINER_SILENCE;
                is_fresh && joiner.address == member.address && joiner.id != member.id
            })
        };
        members(view.membership)
            .filter(|member| member.id != view.own)
            .filter(|member| self.silence(now, member.id, view) >= JOINER_SILENCE / 4)
            .find(successor_of)
            .map(|member| MembershipRequest::Remove(member.id))
    }

    /// A learner that has caught up votes where a voter is missing, or in the place of one that
    /// is silent.
    fn learner_to_promote(
        &self,
        now: Instant,
        view: &MembershipView<'_>,
    ) -> Option<MembershipRequest> {
        let ready = view.membership.learners.iter().find(|learner| {
            (view.caught_up)(learner.id) && self.silence(now, learner.id, view) < JOINER_SILENCE
        })?;
        if view.membership.voters.len() < view.voters {
            return Some(MembershipRequest::Promote(ready.id));
        }
        let voters = view.membership.voters.iter();
        let silent = voters
            .filter(|voter| voter.id != view.own)
            .find(|voter| self.silence(now, voter.id, view) >= VOTER_SILENCE)?;
        Some(MembershipRequest::Remove(silent.id))
    }

    fn joiner_to_add(&self, now: Instant, view: &MembershipView<'_>) -> Option<MembershipRequest> {
        let is_new = |joiner: &&Joiner| {
            let is_fresh = now.since(joiner.heard) < JOINER_SILENCE;
            let clashes =
                |member: &Member| member.id == joiner.id || member.address == joiner.address;
            is_fresh && joiner.id != view.own && !members(view.membership).any(clashes)
        };
        view.heard.values().find(is_new).map(|joiner| {
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
        let heard = view.heard.get(&id).map_or(begin, |joiner| joiner.heard);
        now.since(heard.max(begin))
    }
}

fn members(membership: &Membership) -> impl Iterator<Item = &Member> {
    membership.voters.iter().chain(&membership.learners)
}
