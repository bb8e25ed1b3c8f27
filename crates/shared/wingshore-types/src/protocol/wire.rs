//! The frames that are exchanged between wingshore processes.

use crate::ids::{GroupId, ReplicaId, RequestId};
use crate::protocol::claims::{ClaimsReply, ClaimsRequest};
use crate::protocol::control::{ControlReply, ControlRequest};
use crate::protocol::ledger::{LedgerReply, LedgerRequest};
use crate::protocol::membership::{MembershipReply, MembershipRequest};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of the frame format. Peers with another version are refused at the handshake.
pub const WIRE_VERSION: u16 = 1;

/// The first frame of each connection, sent by the side that opened it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`WIRE_VERSION`] of the sender.
    pub version: u16,
    /// The name of the sender's site. Processes of different sites refuse each other.
    pub site: String,
    /// The sender's replica id, if it is a replica.
    pub replica: Option<ReplicaId>,
}

/// The reason why a process refuses a connection at the handshake.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectionRefusal {
    /// The two sides have different frame format versions.
    WrongVersion {
        /// The refusing side's [`WIRE_VERSION`].
        ours: u16,
        /// The other side's [`WIRE_VERSION`].
        theirs: u16,
    },
    /// The two sides belong to different sites.
    WrongSite {
        /// The refusing side's site.
        ours: String,
        /// The other side's site.
        theirs: String,
    },
    /// The refusing side has reached its connection limit.
    TooManyConnections {
        /// The maximum number of connections.
        limit: u32,
    },
    /// The first frame was not a [`Hello`].
    NoHello,
}

/// A request to a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GroupRequest {
    /// A request to the control group.
    Control(ControlRequest),
    /// A request to a ledger group.
    Ledger(LedgerRequest),
    /// A request to a claims group.
    Claims(ClaimsRequest),
    /// A request about the members of the group.
    Membership(MembershipRequest),
    /// Makes the process dump its log ring to a file.
    DumpLog,
}

/// A reply of a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GroupReply {
    /// A reply of the control group.
    Control(ControlReply),
    /// A reply of a ledger group.
    Ledger(LedgerReply),
    /// A reply of a claims group.
    Claims(ClaimsReply),
    /// A reply about members.
    Membership(MembershipReply),
    /// The path of the file that the log ring was dumped to, on the machine of the replica.
    LogDumped(String),
    /// The replica is not the leader, or is a leader without a lease. The request has had no effect
    /// through this process and may be sent to another.
    NotLeader {
        /// The address of the presumed leader, if known.
        leader: Option<SocketAddr>,
    },
    /// Leadership was lost while the request was being committed, so it may or may not take effect.
    /// All requests are designed to be safe to retry.
    Unknown,
    /// The process rejected the request, with the reason.
    Rejected(String),
}

/// A frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Opens the connection.
    Hello(Hello),
    /// A request.
    Request {
        /// The id of the request, which the reply repeats.
        id: RequestId,
        /// The group that the request is for.
        group: GroupId,
        /// The request.
        body: GroupRequest,
    },
    /// A reply. Replies may be sent in any order.
    Reply {
        /// The id of the request.
        id: RequestId,
        /// The reply.
        body: GroupReply,
    },
    /// A consensus message between members of a group, encoded with `postcard`. It is opaque here
    /// because the consensus crate defines its type.
    Consensus {
        /// The group.
        group: GroupId,
        /// The message.
        #[serde(with = "crate::protocol::byte_vector")]
        message: Vec<u8>,
    },
    /// An empty frame, sent on an idle connection to detect a peer that became unreachable without
    /// closing the connection. It is not answered.
    KeepAlive,
    /// Sent instead of a [`Hello`] before the connection is closed.
    Refused(ConnectionRefusal),
}

/// Implements the conversions of the requests and replies of one kind of group from and to the
/// contents of frames.
macro_rules! impl_frame_conversions {
    ($variant:ident, $request:ty, $reply:ty) => {
        impl TryFrom<GroupRequest> for $request {
            /// The request, which is for another kind of group.
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

impl_frame_conversions!(Control, ControlRequest, ControlReply);
impl_frame_conversions!(Ledger, LedgerRequest, LedgerReply);
impl_frame_conversions!(Claims, ClaimsRequest, ClaimsReply);
