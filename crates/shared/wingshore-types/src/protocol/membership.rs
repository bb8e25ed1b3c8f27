//! Requests about the membership of a group, which every group accepts.

use crate::ids::ReplicaId;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A member of a group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The replica id, which is bound to the member's data folder.
    pub id: ReplicaId,
    /// The address that the member accepts frames on.
    pub address: SocketAddr,
}

/// The members of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Voting members.
    pub voters: Vec<Member>,
    /// Non-voting members that receive the log and may be promoted to voters.
    pub learners: Vec<Member>,
}

/// A request about the membership of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipRequest {
    /// Returns the members and their replication progress.
    Show,
    /// Adds a new member as a learner.
    AddLearner(Member),
    /// Promotes a learner that has caught up to a voter.
    Promote(ReplicaId),
    /// Removes a member.
    Remove(ReplicaId),
    /// Transfers leadership to another voter.
    TransferLeadership(ReplicaId),
}

/// A reply to a [`MembershipRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipReply {
    /// The members.
    Members {
        /// The current membership.
        membership: Membership,
        /// The leader.
        leader: ReplicaId,
        /// The index of the last entry known to be synced on each member.
        synced: Vec<(ReplicaId, u64)>,
        /// The index of the last entry in the leader's log.
        last_index: u64,
    },
    /// The change is committed.
    Done,
    /// The request was refused.
    Refused {
        /// The reason and the accepted values.
        message: String,
    },
}
