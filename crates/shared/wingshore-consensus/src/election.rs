//! Pre-votes, votes and campaigns.

use crate::election_events::{FailedCampaign, RefusedVote, VoteRefusal};
use crate::interface::Output;
use crate::message::{Body, VoteRequest};
use crate::raft::Raft;
use crate::role::{Ballot, Role};
use std::collections::BTreeSet;
use wingshore_types::{Instant, ReplicaId};

impl Raft {
    /// Returns whether this member may vote: only after a membership has named it, and never if it
    /// has lost the disk that recorded its votes.
    ///
    /// A learner may grant votes: the entry that promotes it may have reached only the candidate,
    /// and without its vote there might never be a quorum.
    fn may_vote(&self) -> bool {
        self.faults.empty_disk_votes || self.enrolled
    }

    /// Returns whether this member may campaign.
    pub(crate) fn may_campaign(&self) -> bool {
        self.enrolled && self.members.is_voter(self.id)
    }

    /// Returns whether votes are refused because a leader was in contact within the election
    /// timeout. The leader lease depends on this rule, so it also applies for one election timeout
    /// after a start.
    fn has_recent_leader(&self, now: Instant) -> bool {
        let last_contact_at = match &self.role {
            Role::Leader(leader) if leader.rounds.is_released() => return false,
            Role::Leader(leader) => leader.rounds.quorum_sent_at(),
            _ => self.last_contact,
        };
        now < last_contact_at + self.timing.election_timeout
    }

    /// Returns whether the candidate's log is at least as up to date as this one (section 5.4.1 of
    /// the paper).
    fn is_up_to_date(&self, request: &VoteRequest) -> bool {
        let own = (self.log.last_term(), self.log.last_index());
        (request.last_term, request.last_index) >= own
    }

    /// Starts a campaign if the election timeout has passed; otherwise repeats due vote requests.
    pub(crate) fn election_tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        if now >= self.election_deadline {
            self.start_pre_vote(now, out);
        } else {
            self.retry_vote_requests(now, out);
        }
    }

    fn start_pre_vote(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.report_failed_campaign(out);
        self.reset_election_deadline(now);
        if !self.may_campaign() {
            return;
        }
        self.role = Role::PreCandidate(self.new_ballot(now, false));
        self.set_leader(None, out);
        self.request_votes(out);
        self.record_vote(now, self.id, out);
    }

    /// Reports the campaign of this member that has not won a majority by its election timeout.
    fn report_failed_campaign(&mut self, out: &mut Vec<Output>) {
        let (ballot, is_pre_vote) = match &self.role {
            Role::PreCandidate(ballot) => (ballot, true),
            Role::Candidate(ballot) => (ballot, false),
            Role::Follower | Role::Leader(_) => return,
        };
        let campaign = FailedCampaign {
            term: self.term + u64::from(is_pre_vote),
            is_pre_vote,
            configuration: self.members.last_change(),
            last_index: self.log.last_index(),
            voters: self.members.voter_ids().collect(),
            granted: ballot.granted.iter().copied().collect(),
        };
        self.election_reporter.campaign_failed(campaign, out);
    }

    /// Campaigns in the next term. The vote requests are sent once the own vote is durable:
    /// otherwise this member could restart and campaign in the same term with a shorter log.
    fn start_election(&mut self, now: Instant, transfer: bool, out: &mut Vec<Output>) {
        self.become_follower(now, self.term + 1, None, out);
        self.vote = Some(self.id);
        self.role = Role::Candidate(self.new_ballot(now, transfer));
        self.request_votes(out);
    }

    fn new_ballot(&self, now: Instant, transfer: bool) -> Ballot {
        Ballot {
            granted: BTreeSet::new(),
            transfer,
            next_retry: now + self.timing.heartbeat_interval,
        }
    }

    /// Sends vote or pre-vote requests to the voters that have not granted one.
    fn request_votes(&mut self, out: &mut Vec<Output>) {
        let (ballot, is_vote) = match &self.role {
            Role::PreCandidate(ballot) => (ballot, false),
            Role::Candidate(ballot) => (ballot, true),
            Role::Follower | Role::Leader(_) => return,
        };
        let request = VoteRequest {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            transfer: ballot.transfer,
        };
        let asked: Vec<ReplicaId> = self
            .members
            .voter_ids()
            .filter(|id| *id != self.id && !ballot.granted.contains(id))
            .collect();
        for to in asked {
            if is_vote {
                self.send_when_durable(to, Body::Vote(request), out);
            } else {
                self.send(to, Body::PreVote(request), out);
            }
        }
    }

    fn retry_vote_requests(&mut self, now: Instant, out: &mut Vec<Output>) {
        let next_retry = now + self.timing.heartbeat_interval;
        match &mut self.role {
            Role::PreCandidate(ballot) | Role::Candidate(ballot) if now >= ballot.next_retry => {
                ballot.next_retry = next_retry;
            }
            _ => return,
        }
        if self.persistence.hard_state_is_durable() {
            self.request_votes(out);
        }
    }

    /// Answers a pre-vote request. Changes no state of this member.
    pub(crate) fn on_pre_vote(
        &mut self,
        now: Instant,
        from: ReplicaId,
        term: u64,
        request: VoteRequest,
        out: &mut Vec<Output>,
    ) {
        let campaign_term = term + 1;
        let refusal = self.pre_vote_refusal(now, campaign_term, &request);
        self.report_refusal(from, campaign_term, true, refusal, out);
        let granted = refusal.is_none();
        let body = Body::PreVoteReply {
            campaign_term,
            granted,
        };
        self.send(from, body, out);
    }

    /// Returns why a pre-vote for a campaign in `campaign_term` is refused, if it is.
    fn pre_vote_refusal(
        &self,
        now: Instant,
        campaign_term: u64,
        request: &VoteRequest,
    ) -> Option<VoteRefusal> {
        if !self.may_vote() {
            return Some(VoteRefusal::NotEnrolled);
        }
        if campaign_term <= self.term {
            return Some(VoteRefusal::OldTerm);
        }
        if self.has_recent_leader(now) {
            return Some(VoteRefusal::LeaderInContact);
        }
        (!self.is_up_to_date(request)).then_some(VoteRefusal::LogBehind)
    }

    /// Returns why a vote for `candidate` in `term` is refused, if it is.
    fn vote_refusal(
        &self,
        candidate: ReplicaId,
        term: u64,
        request: &VoteRequest,
    ) -> Option<VoteRefusal> {
        if term != self.term {
            return Some(VoteRefusal::OldTerm);
        }
        if !self.may_vote() {
            return Some(VoteRefusal::NotEnrolled);
        }
        if self.vote.is_some_and(|vote| vote != candidate) {
            return Some(VoteRefusal::VotedForOther);
        }
        (!self.is_up_to_date(request)).then_some(VoteRefusal::LogBehind)
    }

    /// Reports a refusal of a vote or pre-vote, if it is one.
    fn report_refusal(
        &mut self,
        candidate: ReplicaId,
        term: u64,
        is_pre_vote: bool,
        refusal: Option<VoteRefusal>,
        out: &mut Vec<Output>,
    ) {
        let Some(reason) = refusal else {
            return;
        };
        let refused = RefusedVote {
            candidate,
            term,
            is_pre_vote,
            reason,
        };
        self.election_reporter.vote_refused(refused, out);
    }

    /// Answers a vote request. A granted vote is sent once it is durable.
    pub(crate) fn on_vote(
        &mut self,
        now: Instant,
        from: ReplicaId,
        term: u64,
        request: VoteRequest,
        out: &mut Vec<Output>,
    ) {
        if !request.transfer && self.has_recent_leader(now) {
            let refusal = Some(VoteRefusal::LeaderInContact);
            return self.report_refusal(from, term, false, refusal, out);
        }
        if term > self.term {
            self.become_follower(now, term, None, out);
        }
        let refusal = self.vote_refusal(from, term, &request);
        self.report_refusal(from, term, false, refusal, out);
        let granted = refusal.is_none();
        if !granted {
            return self.send(from, Body::VoteReply { granted }, out);
        }
        if self.vote.is_none() {
            self.vote = Some(from);
            self.persistence.hard_state_changed();
        }
        self.reset_election_deadline(now);
        self.send_when_durable(from, Body::VoteReply { granted }, out);
    }

    /// Records a pre-vote.
    pub(crate) fn on_pre_vote_reply(
        &mut self,
        now: Instant,
        from: ReplicaId,
        campaign_term: u64,
        granted: bool,
        out: &mut Vec<Output>,
    ) {
        let is_current = campaign_term == self.term + 1;
        if granted && is_current && matches!(self.role, Role::PreCandidate(_)) {
            self.record_vote(now, from, out);
        }
    }

    /// Records a vote.
    pub(crate) fn on_vote_reply(
        &mut self,
        now: Instant,
        from: ReplicaId,
        granted: bool,
        out: &mut Vec<Output>,
    ) {
        if granted && matches!(self.role, Role::Candidate(_)) {
            self.record_vote(now, from, out);
        }
    }

    /// Records the own vote once it is durable.
    pub(crate) fn count_own_vote(&mut self, now: Instant, out: &mut Vec<Output>) {
        let durable = self.persistence.hard_state_is_durable();
        if durable && matches!(self.role, Role::Candidate(_)) {
            self.record_vote(now, self.id, out);
        }
    }

    fn record_vote(&mut self, now: Instant, from: ReplicaId, out: &mut Vec<Output>) {
        let (ballot, is_vote) = match &mut self.role {
            Role::PreCandidate(ballot) => (ballot, false),
            Role::Candidate(ballot) => (ballot, true),
            Role::Follower | Role::Leader(_) => return,
        };
        ballot.granted.insert(from);
        if !self.members.is_quorum(|id| ballot.granted.contains(&id)) {
            return;
        }
        if is_vote {
            self.become_leader(now, out);
        } else {
            self.start_election(now, false, out);
        }
    }

    /// Campaigns at once, as the leader transfers leadership to this member.
    pub(crate) fn on_timeout_now(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.may_campaign() {
            self.start_election(now, true, out);
        }
    }
}
