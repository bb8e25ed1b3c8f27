//! What the leader wants done outside the group, and what came of it.

use crate::settings::LeaderSettings;
use std::net::SocketAddr;
use wingshore_types::ids::{ReplicaId, ServerId};
use wingshore_types::platform::{EngineOrder, EngineState, FencedReply, LoadReport, OrderFence};
use wingshore_types::{Instant, Verdict};

/// Something to do outside the group. The host releases it only under the quorum lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlEffect {
    /// `POST /orders` on an engine; answered by [`ControlEvent::OrderAnswered`].
    SendOrder {
        /// Which engine.
        server: ServerId,
        /// Where it listens.
        address: SocketAddr,
        /// The order.
        order: EngineOrder,
    },
    /// `GET /state` on an engine; answered by [`ControlEvent::StateRead`].
    ReadState {
        /// Which engine.
        server: ServerId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// `GET /load` on a live server; answered by [`ControlEvent::LoadRead`].
    ReadLoad {
        /// Which server.
        server: ServerId,
        /// Where it listens.
        address: SocketAddr,
    },
}

/// The result of an effect, or news from the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlEvent {
    /// Who leads, and by which settings. The driver sends it at the beginning of a leadership;
    /// the defaults hold until then.
    Configured {
        /// The replica that leads.
        replica: ReplicaId,
        /// Times and limits; the lease is the same on all replicas.
        settings: Box<LeaderSettings>,
    },
    /// An order was answered, or not.
    OrderAnswered {
        /// By which engine.
        server: ServerId,
        /// Which order.
        fence: OrderFence,
        /// What it said.
        answer: OrderAnswer,
    },
    /// An engine's state was read, or not.
    StateRead {
        /// Which engine.
        server: ServerId,
        /// When the poll was sent, by the leader's clock.
        asked_at: Instant,
        /// Its state; the error says whether the engine may have seen the poll.
        state: Result<EngineState, Verdict>,
    },
    /// A live server's load was read, or not.
    LoadRead {
        /// Which server.
        server: ServerId,
        /// When the poll was sent, by the leader's clock.
        asked_at: Instant,
        /// Its report.
        load: Result<LoadReport, Verdict>,
    },
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// Taken (202), now or at an earlier sending of the same order.
    Accepted,
    /// Refused (409): the engine has seen a higher fence.
    Fenced(FencedReply),
    /// No answer, or an error; the verdict says whether the engine may have taken it.
    Failed(Verdict),
}
