//! Forms that the previous release wrote into the log and into snapshots, of structures that have
//! since gained fields.
//!
//! The codec identifies fields by their order only, so the earlier form of a structure is decoded
//! as such, and missing fields get default values. These types deliberately share no code with the
//! current ones: they must stay as they were written while the current ones change. They have to
//! remain as long as any log or snapshot contains them, and a group with few commands takes no
//! snapshot for many releases.

use super::orders::OrderState;
use super::servers::ServerRegistry;
use super::site::CoordinationState;
use crate::configuration::{
    EngineProfile, IngressLimits, Route, RouteKind, RouteTarget, Service, SiteConfiguration,
};
use crate::ids::{InstanceId, JobId, ModelName, ServiceName};
use crate::jobs::Job;
use crate::registry::{ModelVersion, ServerRecord};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use wingshore_types::ReplicaId;
use wingshore_types::protocol::byte_vector;

/// A configuration without tenants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EarlierConfiguration {
    version: u64,
    routes: Vec<EarlierRoute>,
    services: Vec<EarlierService>,
    limits: IngressLimits,
    #[serde(with = "byte_vector")]
    document: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct EarlierRoute {
    name: String,
    host: String,
    path_prefix: String,
    kind: RouteKind,
    timeout: Duration,
    target_latency: Duration,
    priority: u8,
    targets: Vec<RouteTarget>,
    max_attempts: u32,
    max_queue: Option<Duration>,
    due: Option<Duration>,
    single_version: bool,
    resumable: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct EarlierService {
    name: ServiceName,
    health_path: String,
    max_connections: u32,
    engine: Option<EngineProfile>,
}

/// A server record without the `reclaimable` field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EarlierServer {
    instance: InstanceId,
    service: ServiceName,
    address: SocketAddr,
    zone: String,
    slots: u32,
    draining: bool,
    models: Vec<ModelVersion>,
}

/// The complete state except the evidence, and except the jobs where those have records of their
/// own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EarlierState {
    configuration: Option<Arc<EarlierConfiguration>>,
    servers: BTreeMap<InstanceId, EarlierServer>,
    departed: BTreeSet<InstanceId>,
    departures: VecDeque<InstanceId>,
    named_versions: BTreeMap<ModelName, u64>,
    jobs: BTreeMap<JobId, Job>,
    orders: OrderState,
    member_nodes: BTreeMap<ReplicaId, String>,
    retired_members: BTreeMap<String, ReplicaId>,
}

impl EarlierConfiguration {
    /// Converts the configuration to the current form.
    pub(super) fn upgrade(self: Arc<Self>) -> Arc<SiteConfiguration> {
        Arc::new(Arc::unwrap_or_clone(self).into())
    }
}

impl From<EarlierConfiguration> for SiteConfiguration {
    fn from(earlier: EarlierConfiguration) -> Self {
        Self {
            version: earlier.version,
            routes: earlier.routes.into_iter().map(Route::from).collect(),
            services: earlier.services.into_iter().map(Service::from).collect(),
            limits: earlier.limits,
            tenants: Vec::new(),
            document: earlier.document,
        }
    }
}

impl From<EarlierRoute> for Route {
    fn from(earlier: EarlierRoute) -> Self {
        Self {
            name: earlier.name,
            host: earlier.host,
            path_prefix: earlier.path_prefix,
            kind: earlier.kind,
            timeout: earlier.timeout,
            target_latency: earlier.target_latency,
            priority: earlier.priority,
            targets: earlier.targets,
            max_attempts: earlier.max_attempts,
            max_queue: earlier.max_queue,
            due: earlier.due,
            single_version: earlier.single_version,
            resumable: earlier.resumable,
            public: false,
        }
    }
}

impl From<EarlierService> for Service {
    fn from(earlier: EarlierService) -> Self {
        Self {
            name: earlier.name,
            health_path: earlier.health_path,
            max_connections: earlier.max_connections,
            engine: earlier.engine,
            scaling: None,
        }
    }
}

impl From<EarlierServer> for ServerRecord {
    fn from(earlier: EarlierServer) -> Self {
        Self {
            instance: earlier.instance,
            service: earlier.service,
            address: earlier.address,
            zone: earlier.zone,
            slots: earlier.slots,
            draining: earlier.draining,
            reclaimable: false,
            models: earlier.models,
        }
    }
}

impl From<EarlierState> for CoordinationState {
    fn from(earlier: EarlierState) -> Self {
        let servers = earlier.servers.into_iter();
        let registry = ServerRegistry {
            servers: servers
                .map(|(instance, server)| (instance, server.into()))
                .collect(),
            departed: earlier.departed,
            departures: earlier.departures,
        };
        Self {
            configuration: earlier.configuration.map(EarlierConfiguration::upgrade),
            registry,
            named_versions: earlier.named_versions,
            jobs: earlier.jobs,
            orders: earlier.orders,
            member_nodes: earlier.member_nodes,
            retired_members: earlier.retired_members,
            ..Self::default()
        }
    }
}
