//! Site configuration: routes, services, tenants and limits, under a version number chosen by the
//! operators.
//!
//! Defines the types and validates a configuration before it takes effect. Parsing of the
//! operators' documents belongs to the control API; [`crate::CoordinationState`] decides which
//! configuration is in force.

use crate::ids::{ModelName, ServiceName};
use crate::scaling::Scaling;
use crate::tenants::{Tenant, TenantError, check_tenants};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wingshore_types::protocol::byte_vector;

/// Default maximum size of a request's head, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;
/// Default maximum size of a request's body, in bytes.
const DEFAULT_BODY_BYTES: usize = 32 * 1024 * 1024;
/// Default time limit for receiving a complete request.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Default idle timeout of a connection.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// A complete site configuration. The one with the highest version is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SiteConfiguration {
    /// Version chosen by the operator; it increases, not necessarily by 1.
    pub version: u64,
    /// Routes from hosts and paths to services.
    pub routes: Vec<Route>,
    /// Services that routes can refer to.
    pub services: Vec<Service>,
    /// Size limits and timeouts of client requests.
    pub limits: IngressLimits,
    /// Tenants that may call; empty if the site does not distinguish its callers.
    pub tenants: Vec<Tenant>,
    /// The operator's original document, returned when the configuration is read back.
    #[serde(with = "byte_vector")]
    pub document: Vec<u8>,
}

/// Handling of requests for one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route in logs and metrics.
    pub name: String,
    /// Host of the requests, in lower case.
    pub host: String,
    /// Prefix of the request path; starts and ends with a slash.
    pub path_prefix: String,
    /// Kind of traffic, which decides what may be retried.
    pub kind: RouteKind,
    /// Maximum time that a request may be held before it is answered.
    pub timeout: Duration,
    /// Latency up to which an answer counts as on time.
    pub target_latency: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services and their weights.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of servers to which one request may be sent.
    pub max_attempts: u32,
    /// Time after a batch job's first attempt from which its items may be abandoned.
    pub max_queue: Option<Duration>,
    /// Deadline of a batch job's results, counted from its first attempt.
    pub due: Option<Duration>,
    /// Whether all events of a result must come from one weight version.
    pub single_version: bool,
    /// Whether a stream may be resumed on another server.
    pub resumable: bool,
    /// Whether callers need no key, on a site with tenants.
    pub public: bool,
}

/// Kind of traffic, which decides what may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run more than once.
    Safe,
    /// A request runs at most once.
    Unsafe,
    /// The response is a stream of events; a request runs at most once unless the route is
    /// resumable.
    Streaming,
    /// Batch jobs of token requests.
    Batch,
}

/// A service of a route and its weight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Weight of the service, relative to the sum of the route's weights.
    pub weight: u32,
}

/// A set of interchangeable servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the servers' health check.
    pub health_path: String,
    /// Maximum number of connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// Set if the servers are model engines.
    pub engine: Option<EngineProfile>,
    /// Set if the number of servers can be ordered from the provider.
    pub scaling: Option<Scaling>,
}

/// Properties that all engines of a service share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Number of tokens that fit into an engine's KV cache.
    pub cache_tokens: u64,
    /// Models that each engine serves.
    pub models: Vec<ModelName>,
}

/// Size limits and timeouts of client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IngressLimits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving a complete request, counted from its first byte.
    pub head_timeout: Duration,
    /// Idle timeout of a connection.
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

/// Reason why a configuration is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ConfigurationError {
    /// A route refers to a service that is not in the configuration.
    #[snafu(display(
        "route `{route}`: unknown service `{service}`; allowed are the services of the same configuration"
    ))]
    UnknownService {
        /// The route.
        route: String,
        /// The unknown service.
        service: ServiceName,
    },
    /// Two routes have the same host and path prefix.
    #[snafu(display(
        "routes `{first}` and `{second}` have the same host and path prefix; allowed is one route for each"
    ))]
    DuplicateRoute {
        /// The first route.
        first: String,
        /// The second route.
        second: String,
    },
    /// The weights of a route sum to 0, so that no service would get requests.
    #[snafu(display("route `{route}`: its weights sum to 0; allowed is a sum of at least 1"))]
    ZeroTotalWeight {
        /// The route.
        route: String,
    },
    /// The timeout of a route is 0.
    #[snafu(display("route `{route}`: a time-out of 0; allowed is at least 1 ms"))]
    ZeroTimeout {
        /// The route.
        route: String,
    },
    /// The path prefix of a route does not start and end with a slash.
    #[snafu(display(
        "route `{route}`: path prefix `{prefix}`; allowed is one that starts and ends with a slash"
    ))]
    InvalidPathPrefix {
        /// The route.
        route: String,
        /// The invalid prefix.
        prefix: String,
    },
    /// The tenants are invalid.
    #[snafu(display("{source}"), context(false))]
    Tenants {
        /// The underlying error.
        source: TenantError,
    },
    /// Two services have the same name.
    #[snafu(display("service `{service}` stands twice; allowed is once"))]
    DuplicateService {
        /// The service.
        service: ServiceName,
    },
}

impl SiteConfiguration {
    /// Checks that the configuration is valid.
    ///
    /// # Errors
    /// Returns the first violation: where it is, and which values are allowed.
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

    /// Returns whether callers of this route must present an API key.
    pub fn requires_key(&self, route: &Route) -> bool {
        !self.tenants.is_empty() && !route.public
    }

    /// Returns the service with this name.
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

    /// Returns the sum of the weights.
    fn total_weight(&self) -> u64 {
        self.targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum()
    }

    /// Returns the share of the route's requests that goes to a service, from 0 to 1.
    pub(crate) fn traffic_share(&self, service: &ServiceName) -> f64 {
        let own = self.targets.iter();
        let own = own.filter(|target| target.service == *service);
        let own: u64 = own.map(|target| u64::from(target.weight)).sum();
        own as f64 / self.total_weight().max(1) as f64
    }

    /// Returns the service for the request with this number; evenly distributed numbers give each
    /// service its share.
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
