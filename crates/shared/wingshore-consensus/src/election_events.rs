//! Events of elections, for the log of the host: why nobody is elected.
//!
//! Candidates repeat their requests, so an event that equals the previous one of its kind is
//! reported only once until a leader is known.

use crate::interface::Output;
use wingshore_types::{LogIndex, ReplicaId};

/// Event of an election at one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionEvent {
    /// A campaign of this member ended without the votes of a majority.
    CampaignFailed(FailedCampaign),
    /// This member refused its vote.
    VoteRefused(RefusedVote),
}

/// Campaign that ended without the votes of a majority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedCampaign {
    /// Term in which this member would have led.
    pub term: u64,
    /// Whether it asked for pre-votes, which change no term.
    pub is_pre_vote: bool,
    /// Index of the membership change that counts; 0 if it is that of a snapshot or of the founding.
    pub configuration: LogIndex,
    /// Last entry of this member's log.
    pub last_index: LogIndex,
    /// The voters of that membership, of which a majority was needed.
    pub voters: Vec<ReplicaId>,
    /// The voters and learners that granted their vote.
    pub granted: Vec<ReplicaId>,
}

/// Vote that this member refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedVote {
    /// The member that asked for the vote.
    pub candidate: ReplicaId,
    /// Term in which the candidate would lead.
    pub term: u64,
    /// Whether it asked for a pre-vote.
    pub is_pre_vote: bool,
    /// Why the vote was refused.
    pub reason: VoteRefusal,
}

/// Reason why a vote is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoteRefusal {
    /// No membership has named this member yet, or it has lost the disk that recorded its votes.
    NotEnrolled,
    /// A leader was in contact within the election timeout.
    LeaderInContact,
    /// The term is not newer than this member's.
    OldTerm,
    /// This member has voted for another candidate in the term.
    VotedForOther,
    /// This member's log is more up to date than the candidate's.
    LogBehind,
}

/// Reports election events, each only once while it repeats.
#[derive(Debug, Default)]
pub(crate) struct ElectionReporter {
    last_campaign: Option<FailedCampaign>,
    last_refusal: Option<RefusedVote>,
}

impl ElectionReporter {
    /// Reports a failed campaign, unless it equals the last reported one.
    pub(crate) fn campaign_failed(&mut self, campaign: FailedCampaign, out: &mut Vec<Output>) {
        if self.last_campaign.as_ref() == Some(&campaign) {
            return;
        }
        self.last_campaign = Some(campaign.clone());
        out.push(Output::Election(ElectionEvent::CampaignFailed(campaign)));
    }

    /// Reports a refused vote, unless it equals the last reported one.
    pub(crate) fn vote_refused(&mut self, refused: RefusedVote, out: &mut Vec<Output>) {
        if self.last_refusal.as_ref() == Some(&refused) {
            return;
        }
        self.last_refusal = Some(refused.clone());
        out.push(Output::Election(ElectionEvent::VoteRefused(refused)));
    }

    /// Records that a leader is known: later events are reported even if they equal earlier ones.
    pub(crate) fn leader_known(&mut self) {
        *self = Self::default();
    }
}
