//! Requests about a group's own members; every group takes them.

use crate::ids::ReplicaId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One member of a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its identity, bound to its data folder.
    pub id: ReplicaId,
    /// Where it listens for frames.
    pub address: SocketAddr,
}

/// The members of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Members that vote.
    pub voters: Vec<Member>,
    /// Members that only receive, on their way to vote.
    pub learners: Vec<Member>,
}

/// A request about members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipRequest {
    /// The members and how far each has come.
    Show,
    /// Takes a new member in as a learner.
    AddLearner(Member),
    /// Makes a caught-up learner a voter.
    Promote(ReplicaId),
    /// Removes a member.
    Remove(ReplicaId),
    /// Hands leadership to another voter.
    TransferLeadership(ReplicaId),
}

/// The group's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipReply {
    /// The members.
    Members {
        /// As of now.
        membership: Membership,
        /// The leader.
        leader: ReplicaId,
        /// For each member, the index up to which its log is known to be synced.
        synced: Vec<(ReplicaId, u64)>,
        /// The leader's last index.
        last_index: u64,
    },
    /// Committed.
    Done,
    /// Refused; says why and what is allowed.
    Refused {
        /// Why.
        message: String,
    },
}
