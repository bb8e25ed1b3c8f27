//! What gateways report about load, and the list of gateways that they are sent in return. Parts of
//! messages since [`LOAD_REPORTS_FORMAT`](super::LOAD_REPORTS_FORMAT).

use crate::ids::{GatewayId, InstanceId, ServiceName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// A gateway that clients may be directed to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedGateway {
    /// Incarnation of the gateway.
    pub gateway: GatewayId,
    /// Address on which clients reach it.
    pub front: SocketAddr,
    /// Zone of the gateway.
    pub zone: String,
}

/// An update of the list of ready gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayListUpdate {
    /// The whole list; first message after a subscription.
    Whole(Vec<ListedGateway>),
    /// What has changed since the previous update on this link.
    Changed {
        /// Gateways that are ready now and were not listed, or are listed with other data.
        present: Vec<ListedGateway>,
        /// Gateways that are no longer listed.
        gone: Vec<GatewayId>,
    },
}

/// What a gateway observed at a scoring service since its previous report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScoringLoad {
    /// The service.
    pub service: ServiceName,
    /// Live requests that the gateway has in flight at its servers.
    pub live_in_flight: u32,
    /// Requests that were answered within their target latency.
    pub in_time: u32,
    /// Requests that were refused, answered late or not answered.
    pub overloaded: u32,
}

/// The pace of an engine as a gateway measured it from its streams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MeasuredPace {
    /// The engine.
    pub instance: InstanceId,
    /// Time between two events of one stream, in microseconds.
    pub microseconds_per_event: u32,
    /// Time since the last event that the measurement includes.
    pub age: Duration,
}
