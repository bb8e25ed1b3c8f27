//! A gateway's view of its site: the configuration and the servers, as recorded in the group's log.

use std::collections::BTreeMap;
use std::sync::Arc;
use wingshore_coordination::{
    ApiKey, Caller, FingerprintKey, IngressLimits, InstanceId, KeyTable, RequestFingerprint, Route,
    RouteKind, RouteTable, ServerRecord, ServiceName, SiteConfiguration, SiteView, Suspect,
    ViewChange, ViewContent, ViewUpdate,
};
use wingshore_types::{Epoch, LogIndex};

/// Result of an update of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The update was applied.
    Applied,
    /// The view already includes later log entries.
    Stale,
    /// The update continues from a log entry that the view does not include yet.
    Gap,
}

/// The view of one gateway.
///
/// Invariants: the configuration's version never decreases; an update is not applied if it includes
/// less of the log than the view does, or if it leaves a gap after the view's revision; a leader is
/// not accepted if its epoch is older than the newest known one.
#[derive(Default)]
pub struct View {
    epoch: Epoch,
    /// The last log entry that the view includes.
    revision: Option<LogIndex>,
    configuration: Option<Arc<SiteConfiguration>>,
    routes: RouteTable,
    keys: KeyTable,
    servers: BTreeMap<InstanceId, ServerRecord>,
    fingerprint_key: Option<FingerprintKey>,
    /// Requests that were running when servers crashed.
    suspects: BTreeMap<RequestFingerprint, Suspect>,
}

impl View {
    /// Handles a coordinator's announcement that it leads; returns false if its epoch is stale.
    pub fn accept_leader(&mut self, epoch: Epoch) -> bool {
        if epoch < self.epoch {
            return false;
        }
        self.epoch = epoch;
        true
    }

    /// Applies a whole view or changes of it that a coordinator sent.
    pub fn update(&mut self, update: ViewUpdate) -> UpdateOutcome {
        let ViewUpdate { revision, content } = update;
        if self.revision.is_some_and(|known| revision < known) {
            return UpdateOutcome::Stale;
        }
        match content {
            ViewContent::Whole(view) => self.replace(view),
            ViewContent::Changes { since, changes } => {
                if self.revision.is_none_or(|known| known < since) {
                    return UpdateOutcome::Gap;
                }
                changes
                    .into_iter()
                    .for_each(|change| self.apply_change(change));
            }
        }
        self.revision = Some(revision);
        UpdateOutcome::Applied
    }

    fn replace(&mut self, view: SiteView) {
        if let Some(configuration) = view.configuration {
            self.apply_configuration(configuration);
        }
        let servers = view.servers.into_iter();
        self.servers = servers
            .map(|server| (server.instance.clone(), server))
            .collect();
        self.fingerprint_key = view.fingerprint_key.or(self.fingerprint_key);
        let suspects = view.suspects.into_iter();
        self.suspects = suspects
            .map(|suspect| (suspect.fingerprint, suspect))
            .collect();
    }

    fn apply_change(&mut self, change: ViewChange) {
        match change {
            ViewChange::Configuration(configuration) => self.apply_configuration(configuration),
            ViewChange::Server(server) => {
                self.servers.insert(server.instance.clone(), server);
            }
            ViewChange::Gone(instance) => {
                self.servers.remove(&instance);
            }
            ViewChange::FingerprintKey(key) => self.fingerprint_key = Some(key),
            ViewChange::Suspect(suspect) => {
                self.suspects.insert(suspect.fingerprint, suspect);
            }
            ViewChange::Cleared(request) => {
                self.suspects.remove(&request);
            }
        }
    }

    fn apply_configuration(&mut self, configuration: Arc<SiteConfiguration>) {
        if configuration.version <= self.version() {
            return;
        }
        self.routes = RouteTable::new(&configuration);
        self.keys = KeyTable::new(&configuration.tenants);
        self.configuration = Some(configuration);
    }

    /// Returns the last log entry that the view includes.
    pub fn revision(&self) -> Option<LogIndex> {
        self.revision
    }

    /// Returns the version of the configuration; 0 without one.
    pub fn version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |held| held.version)
    }

    /// Returns whether there is a configuration.
    pub fn is_configured(&self) -> bool {
        self.configuration.is_some()
    }

    /// Returns the epoch of the newest known leader.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the key of the site's request fingerprints; `None` before it was received.
    pub fn fingerprint_key(&self) -> Option<FingerprintKey> {
        self.fingerprint_key
    }

    /// Returns whether any request is known to have been running when servers crashed.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Returns the number of suspect requests.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns what the leader has announced about a suspect request.
    pub fn suspect(&self, request: RequestFingerprint) -> Option<&Suspect> {
        self.suspects.get(&request)
    }

    /// Returns all servers.
    pub fn servers(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values()
    }

    /// Returns a server.
    pub fn server(&self, instance: &InstanceId) -> Option<&ServerRecord> {
        self.servers.get(instance)
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Returns whether any route leads to a service.
    pub fn has_route_to(&self, service: &ServiceName) -> bool {
        let configuration = self.configuration.iter();
        let targets = configuration
            .flat_map(|held| &held.routes)
            .flat_map(|route| &route.targets);
        targets.into_iter().any(|target| target.service == *service)
    }

    /// Returns whether callers are distinguished by their keys.
    pub fn has_tenants(&self) -> bool {
        let configuration = self.configuration.as_ref();
        configuration.is_some_and(|held| !held.tenants.is_empty())
    }

    /// Returns whether this route requires a key.
    pub fn requires_key(&self, route: &Route) -> bool {
        let configuration = self.configuration.as_ref();
        configuration.is_some_and(|held| held.requires_key(route))
    }

    /// Returns whether calls about batch jobs require a key at this host: such calls do not name
    /// the route by which the job was submitted.
    pub fn requires_key_for_jobs(&self, host: &str) -> bool {
        let is_public = |route: &Arc<Route>| route.kind == RouteKind::Batch && route.public;
        self.has_tenants() && !self.routes.routes_of_host(host).any(is_public)
    }

    /// Returns the caller that a key belongs to.
    pub fn caller(&self, key: &ApiKey) -> Option<&Caller> {
        self.keys.find(key)
    }

    /// Returns the limits on requests of callers.
    pub fn limits(&self) -> IngressLimits {
        self.configuration
            .as_ref()
            .map_or_else(IngressLimits::default, |held| held.limits)
    }

    /// Returns the servers of a service that accept new requests.
    pub fn servers_of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a ServerRecord> + 'a {
        self.servers
            .values()
            .filter(move |server| server.service == *service && !server.draining)
    }

    /// Returns whether a server is in the view.
    pub fn knows(&self, instance: &InstanceId) -> bool {
        self.servers.contains_key(instance)
    }
}
