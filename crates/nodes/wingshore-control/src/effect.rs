//! I/O that the leader requests from the host, and the events that report its results.

use crate::settings::LeaderSettings;
use std::net::SocketAddr;
use wingshore_types::ids::{ReplicaId, ServerId};
use wingshore_types::platform::{EngineOrder, EngineState, FencedReply, LoadReport, OrderFence};
use wingshore_types::{Instant, Verdict};

/// I/O requested by the leader. The host performs it only while it holds the quorum lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlEffect {
    /// `POST /orders` on an engine; answered by [`ControlEvent::OrderAnswered`].
    SendOrder {
        /// Id of the engine.
        server: ServerId,
        /// Address that it listens at.
        address: SocketAddr,
        /// Order to send.
        order: EngineOrder,
    },
    /// `GET /state` on an engine; answered by [`ControlEvent::StateRead`].
    ReadState {
        /// Id of the engine.
        server: ServerId,
        /// Address that it listens at.
        address: SocketAddr,
    },
    /// `GET /load` on a live server; answered by [`ControlEvent::LoadRead`].
    ReadLoad {
        /// Id of the server.
        server: ServerId,
        /// Address that it listens at.
        address: SocketAddr,
    },
}

/// The result of an effect, or information from the host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlEvent {
    /// Names the leading replica and its settings. The host sends it at the beginning of a
    /// leadership; the defaults apply until then.
    Configured {
        /// The replica that leads.
        replica: ReplicaId,
        /// Times and limits; the lease is equal on all replicas.
        settings: Box<LeaderSettings>,
    },
    /// An order was answered, or failed without an answer.
    OrderAnswered {
        /// Engine that the order was sent to.
        server: ServerId,
        /// Fence of the order.
        fence: OrderFence,
        /// Answer of the engine.
        answer: OrderAnswer,
    },
    /// A poll of an engine's state was answered, or failed.
    StateRead {
        /// Id of the engine.
        server: ServerId,
        /// When the poll was sent, by the leader's clock.
        polled_at: Instant,
        /// Reported state; the error says whether the engine may have received the poll.
        state: Result<EngineState, Verdict>,
    },
    /// A poll of a live server's load was answered, or failed.
    LoadRead {
        /// Id of the server.
        server: ServerId,
        /// When the poll was sent, by the leader's clock.
        polled_at: Instant,
        /// Reported load; the error says whether the server may have received the poll.
        load: Result<LoadReport, Verdict>,
    },
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// Accepted (202), now or when the same order was sent earlier.
    Accepted,
    /// Rejected (409): the engine has seen a higher fence.
    Fenced(FencedReply),
    /// No answer, or an error; the verdict says whether the engine may have accepted it.
    Failed(Verdict),
}
