//! What one frame between wingshore processes holds.

use crate::ids::{GroupId, ReplicaId, RequestId};
use crate::protocol::claims::{ClaimsReply, ClaimsRequest};
use crate::protocol::control::{ControlReply, ControlRequest};
use crate::protocol::ledger::{LedgerReply, LedgerRequest};
use crate::protocol::membership::{MembershipReply, MembershipRequest};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Format of frames; peers with another one are refused at the handshake.
pub const WIRE_VERSION: u16 = 1;

/// First frame of each connection, from the side that opened it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`WIRE_VERSION`] of the sender.
    pub version: u16,
    /// The site's name: processes of different sites refuse each other.
    pub site: String,
    /// The sender's replica identity, when it is a replica.
    pub replica: Option<ReplicaId>,
}

/// Why a process refuses a connection at the handshake.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectionRefusal {
    /// The two sides speak different formats.
    WrongVersion {
        /// The refusing side's [`WIRE_VERSION`].
        ours: u16,
        /// The other side's.
        theirs: u16,
    },
    /// The two sides belong to different sites.
    WrongSite {
        /// The refusing side's site.
        ours: String,
        /// The other side's.
        theirs: String,
    },
    /// The refusing side holds as many connections as it may.
    TooManyConnections {
        /// How many it may hold.
        limit: u32,
    },
    /// The first frame was not a [`Hello`].
    NoHello,
}

/// What a request asks of a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GroupRequest {
    /// To the control group.
    Control(ControlRequest),
    /// To a ledger group.
    Ledger(LedgerRequest),
    /// To a claims group.
    Claims(ClaimsRequest),
    /// About the group's members.
    Membership(MembershipRequest),
    /// Asks the process to write its log ring out.
    DumpLog,
}

/// What a group answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GroupReply {
    /// From the control group.
    Control(ControlReply),
    /// From a ledger group.
    Ledger(LedgerReply),
    /// From a claims group.
    Claims(ClaimsReply),
    /// About members.
    Membership(MembershipReply),
    /// The path the ring was written to, on the replica's machine.
    LogDumped(String),
    /// Not the leader, or a leader without a lease. The request has had no effect through this
    /// process and may be sent to another.
    NotLeader {
        /// Where the leader probably is.
        leader: Option<SocketAddr>,
    },
    /// Leadership was lost while the request was being committed: it may or may not take effect.
    /// Requests are made so that sending them again is safe.
    Unknown,
    /// The process does not take the request; says why.
    Rejected(String),
}

/// One frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Opens a connection.
    Hello(Hello),
    /// A request.
    Request {
        /// Returned with the reply.
        id: RequestId,
        /// The group meant.
        group: GroupId,
        /// What is asked.
        body: GroupRequest,
    },
    /// A reply; replies may come in any order.
    Reply {
        /// Of the request.
        id: RequestId,
        /// The answer.
        body: GroupReply,
    },
    /// Consensus messages between members of a group: a `postcard` message of the consensus
    /// crate, which this crate does not know.
    Consensus {
        /// The group.
        group: GroupId,
        /// The message.
        #[serde(with = "crate::protocol::byte_vector")]
        message: Vec<u8>,
    },
    /// No content: sent on an idle connection, so that a peer that was cut off silently is
    /// noticed. Needs no answer.
    KeepAlive,
    /// Sent instead of a [`Hello`] before the connection is closed.
    Refused(ConnectionRefusal),
}

/// Lets the requests and replies of one kind of group travel in frames.
macro_rules! travels_as {
    ($variant:ident, $request:ty, $reply:ty) => {
        impl TryFrom<GroupRequest> for $request {
            /// The request, which is one to another kind of group.
            type Error = Box<GroupRequest>;

            fn try_from(body: GroupRequest) -> Result<Self, Self::Error> {
                match body {
                    GroupRequest::$variant(request) => Ok(request),
                    other => Err(Box::new(other)),
                }
            }
        }

        impl From<$reply> for GroupReply {
            fn from(reply: $reply) -> Self {
                Self::$variant(reply)
            }
        }
    };
}

travels_as!(Control, ControlRequest, ControlReply);
travels_as!(Ledger, LedgerRequest, LedgerReply);
travels_as!(Claims, ClaimsRequest, ClaimsReply);
