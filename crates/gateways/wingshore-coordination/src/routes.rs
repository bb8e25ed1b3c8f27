//! Decision: which route does a request take?
//!
//! Inputs: the host and path of the request, and the routes of one configuration. Among the routes
//! of the host, the one with the longest matching path prefix is chosen; hosts are compared without
//! port and case. A request without a route is refused as not run.

use crate::configuration::{Route, SiteConfiguration};
use std::collections::HashMap;
use std::sync::Arc;

/// The routes of one configuration, by host and prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Builds the table from the routes of `configuration`.
    pub fn new(configuration: &SiteConfiguration) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            let routes = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            routes.push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { hosts }
    }

    /// Returns the route of `host` with the longest prefix of `path`. A port after the host is
    /// ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes_of_host(host)
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the routes of `host`.
    pub fn routes_of_host(&self, host: &str) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.get(&host_name(host)).into_iter().flatten()
    }
}

/// Returns the host name without its port, in lower case.
fn host_name(host: &str) -> String {
    host.split(':').next().unwrap_or(host).to_ascii_lowercase()
}
