//! The configuration of a site: routes, services, tenants and limits, under a version that its operators
//! choose.
//!
//! Owns the types and the check that refuses a configuration that cannot be in force. What operators
//! send is parsed where the platform is spoken to; which configuration is in force is decided by
//! [`crate::CoordinationState`].

use crate::ids::{ModelName, ServiceName};
use crate::scaling::Scaling;
use crate::tenants::{Tenant, TenantError, check_tenants};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wingshore_types::protocol::byte_vector;

/// Maximal bytes of a request's head, where a configuration names none.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// Maximal bytes of a request's body, where a configuration names none.
const DEFAULT_BODY_BYTES: usize = 32 * 1024 * 1024;
/// Longest time for a request to arrive whole, where a configuration names none.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time that a connection may be idle, where a configuration names none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// A whole configuration. The one with the highest version is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteConfiguration {
    /// Chosen by the operator; grows in uneven steps.
    pub version: u64,
    /// How requests find a service.
    pub routes: Vec<Route>,
    /// What can be routed to.
    pub services: Vec<Service>,
    /// What callers may send, and how long they may take.
    pub limits: IngressLimits,
    /// Who may call; empty where a site does not distinguish its callers.
    pub tenants: Vec<Tenant>,
    /// The document as the operator sent it, for reading it back.
    #[serde(with = "byte_vector")]
    pub document: Vec<u8>,
}

/// How requests of one host and path prefix are handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Names it in logs and metrics.
    pub name: String,
    /// The host that requests name, in lower case.
    pub host: String,
    /// Begins the path; starts and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request may be held before it is answered.
    pub timeout: Duration,
    /// Time within which an answer counts as in time.
    pub target_latency: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services and their shares of the requests.
    pub targets: Vec<RouteTarget>,
    /// Maximal number of servers to which one request may be sent.
    pub max_attempts: u32,
    /// Time after a batch job's first attempt from which on its items may be abandoned.
    pub max_queue: Option<Duration>,
    /// Time after a batch job's first attempt by which its results are due.
    pub due: Option<Duration>,
    /// Whether all events of a result must come from one weight version.
    pub single_version: bool,
    /// Whether a stream may be continued at another server.
    pub resumable: bool,
    /// Whether it is open to all, where a site has tenants.
    pub public: bool,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run more than once.
    Safe,
    /// A request runs at most once.
    Unsafe,
    /// The answer is a stream of events; runs at most once unless it may be resumed.
    Streaming,
    /// Batch jobs of token requests.
    Batch,
}

/// One service of a route and its share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the sum of the route's weights.
    pub weight: u32,
}

/// A set of servers that stand in for each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Path at which servers report their health.
    pub health_path: String,
    /// Maximal number of connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// Set where the servers are model engines.
    pub engine: Option<EngineProfile>,
    /// Set where the number of servers can be ordered.
    pub scaling: Option<Scaling>,
}

/// What the engines of a service have in common.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into an engine's cache memory.
    pub cache_tokens: u64,
    /// Models that each engine serves.
    pub models: Vec<ModelName>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IngressLimits {
    /// Maximal bytes of a request's head.
    pub head_bytes: usize,
    /// Maximal bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time for a request to arrive whole, counted from its first byte.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for IngressLimits {
    fn default() -> Self {
        Self {
            head_bytes: DEFAULT_HEAD_BYTES,
            body_bytes: DEFAULT_BODY_BYTES,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        }
    }
}

/// Why a configuration is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ConfigurationError {
    /// A route names a service that is not in the configuration.
    #[snafu(display(
        "route `{route}`: unknown service `{service}`; allowed are the services of the same configuration"
    ))]
    UnknownService {
        /// The route.
        route: String,
        /// What it names.
        service: ServiceName,
    },
    /// Two routes have the same host and prefix.
    #[snafu(display(
        "routes `{first}` and `{second}` have the same host and path prefix; allowed is one route for each"
    ))]
    DuplicateRoute {
        /// One route.
        first: String,
        /// The other.
        second: String,
    },
    /// No service of a route gets anything.
    #[snafu(display("route `{route}`: its weights sum to 0; allowed is a sum of at least 1"))]
    ZeroTotalWeight {
        /// The route.
        route: String,
    },
    /// A route that may hold nothing.
    #[snafu(display("route `{route}`: a time-out of 0; allowed is at least 1 ms"))]
    ZeroTimeout {
        /// The route.
        route: String,
    },
    /// A prefix that is no prefix.
    #[snafu(display(
        "route `{route}`: path prefix `{prefix}`; allowed is one that starts and ends with a slash"
    ))]
    InvalidPathPrefix {
        /// The route.
        route: String,
        /// What it has.
        prefix: String,
    },
    /// Something is wrong with the tenants.
    #[snafu(display("{source}"), context(false))]
    Tenants {
        /// What.
        source: TenantError,
    },
    /// Two services of one name.
    #[snafu(display("service `{service}` stands twice; allowed is once"))]
    DuplicateService {
        /// The service.
        service: ServiceName,
    },
}

impl SiteConfiguration {
    /// Whether it can be in force.
    ///
    /// # Errors
    /// Says the first thing that is wrong, where, and what is allowed.
    pub fn check(&self) -> Result<(), ConfigurationError> {
        check_tenants(&self.tenants)?;
        let services = self.service_names()?;
        let mut places = BTreeMap::new();
        for route in &self.routes {
            route.check(&services)?;
            let place = (route.host.as_str(), route.path_prefix.as_str());
            if let Some(first) = places.insert(place, &route.name) {
                return DuplicateRouteSnafu {
                    first,
                    second: &route.name,
                }
                .fail();
            }
        }
        Ok(())
    }

    fn service_names(&self) -> Result<BTreeSet<&ServiceName>, ConfigurationError> {
        let mut names = BTreeSet::new();
        for service in &self.services {
            if !names.insert(&service.name) {
                return DuplicateServiceSnafu {
                    service: service.name.clone(),
                }
                .fail();
            }
        }
        Ok(names)
    }

    /// Whether callers have to show a key on this route.
    pub fn requires_key(&self, route: &Route) -> bool {
        !self.tenants.is_empty() && !route.public
    }

    /// The service of this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}

impl Route {
    fn check(&self, services: &BTreeSet<&ServiceName>) -> Result<(), ConfigurationError> {
        let route = &self.name;
        let prefix = &self.path_prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            return InvalidPathPrefixSnafu { route, prefix }.fail();
        }
        if self.timeout.is_zero() {
            return ZeroTimeoutSnafu { route }.fail();
        }
        let unknown = self
            .targets
            .iter()
            .find(|target| !services.contains(&target.service));
        if let Some(target) = unknown {
            return UnknownServiceSnafu {
                route,
                service: target.service.clone(),
            }
            .fail();
        }
        if self.total_weight() == 0 {
            return ZeroTotalWeightSnafu { route }.fail();
        }
        Ok(())
    }

    /// Sum of the weights.
    fn total_weight(&self) -> u64 {
        self.targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum()
    }

    /// The part of its requests that goes to a service, from 0 to 1.
    pub(crate) fn traffic_share(&self, service: &ServiceName) -> f64 {
        let own = self.targets.iter();
        let own = own.filter(|target| target.service == *service);
        let own: u64 = own.map(|target| u64::from(target.weight)).sum();
        own as f64 / self.total_weight().max(1) as f64
    }

    /// The service for a request with this number; numbers spread evenly give each service its
    /// share.
    pub fn target_for(&self, number: u64) -> Option<&ServiceName> {
        let mut place = number % self.total_weight().max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if place < weight {
                return Some(&target.service);
            }
            place -= weight;
        }
        None
    }
}
