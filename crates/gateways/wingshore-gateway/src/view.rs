//! What a gateway knows of its site: the configuration and the servers, as the group's log has them.

use std::collections::BTreeMap;
use std::sync::Arc;
use wingshore_coordination::{
    ApiKey, Caller, FingerprintKey, IngressLimits, InstanceId, KeyTable, RequestFingerprint, Route,
    RouteKind, RouteTable, ServerRecord, ServiceName, SiteConfiguration, SiteView, Suspect,
    ViewChange, ViewContent, ViewUpdate,
};
use wingshore_types::{Epoch, LogIndex};

/// What became of an update of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateVerdict {
    /// It was taken.
    Taken,
    /// The view accounts for more already.
    Old,
    /// It goes on from an entry that the view does not account for.
    Gap,
}

/// The view of one gateway.
///
/// Invariants: the configuration's version never falls; nothing is taken that accounts for less of
/// the log than the view does, nor changes that leave a gap behind what it accounts for; no leader
/// is believed that is older than the newest one known.
#[derive(Default)]
pub struct View {
    epoch: Epoch,
    /// The last entry of the log that it accounts for.
    revision: Option<LogIndex>,
    configuration: Option<Arc<SiteConfiguration>>,
    routes: RouteTable,
    keys: KeyTable,
    servers: BTreeMap<InstanceId, ServerRecord>,
    fingerprint_key: Option<FingerprintKey>,
    /// Requests under which servers have ended.
    suspects: BTreeMap<RequestFingerprint, Suspect>,
}

impl View {
    /// A coordinator says that it leads; says whether it is believed.
    pub fn led(&mut self, epoch: Epoch) -> bool {
        if epoch < self.epoch {
            return false;
        }
        self.epoch = epoch;
        true
    }

    /// A coordinator has sent the view, or changes of it; says what became of that.
    pub fn update(&mut self, update: ViewUpdate) -> UpdateVerdict {
        let ViewUpdate { revision, content } = update;
        if self.revision.is_some_and(|known| revision < known) {
            return UpdateVerdict::Old;
        }
        match content {
            ViewContent::Whole(view) => self.replace(view),
            ViewContent::Changes { since, changes } => {
                if self.revision.is_none_or(|known| known < since) {
                    return UpdateVerdict::Gap;
                }
                changes.into_iter().for_each(|change| self.change(change));
            }
        }
        self.revision = Some(revision);
        UpdateVerdict::Taken
    }

    fn replace(&mut self, view: SiteView) {
        if let Some(configuration) = view.configuration {
            self.configure(configuration);
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

    fn change(&mut self, change: ViewChange) {
        match change {
            ViewChange::Configuration(configuration) => self.configure(configuration),
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

    fn configure(&mut self, configuration: Arc<SiteConfiguration>) {
        if configuration.version <= self.version() {
            return;
        }
        self.routes = RouteTable::new(&configuration);
        self.keys = KeyTable::new(&configuration.tenants);
        self.configuration = Some(configuration);
    }

    /// The last entry of the log that the view accounts for.
    pub fn revision(&self) -> Option<LogIndex> {
        self.revision
    }

    /// Version of the configuration; 0 without one.
    pub fn version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |held| held.version)
    }

    /// Whether there is a configuration.
    pub fn is_configured(&self) -> bool {
        self.configuration.is_some()
    }

    /// The newest leadership known.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Key of the site's fingerprints of requests; `None` before it was received.
    pub fn fingerprint_key(&self) -> Option<FingerprintKey> {
        self.fingerprint_key
    }

    /// Whether any request is known under which servers have ended.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// How many there are.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// What the leader has announced of a request under which servers have ended.
    pub fn suspect(&self, request: RequestFingerprint) -> Option<&Suspect> {
        self.suspects.get(&request)
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values()
    }

    /// A server.
    pub fn server(&self, instance: &InstanceId) -> Option<&ServerRecord> {
        self.servers.get(instance)
    }

    /// The routes in force.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Whether callers are told apart by their keys.
    pub fn has_tenants(&self) -> bool {
        let configuration = self.configuration.as_ref();
        configuration.is_some_and(|held| !held.tenants.is_empty())
    }

    /// Whether callers have to show a key on this route.
    pub fn requires_key(&self, route: &Route) -> bool {
        let configuration = self.configuration.as_ref();
        configuration.is_some_and(|held| held.requires_key(route))
    }

    /// Whether callers have to show a key to ask for batch jobs at this host: calls about a job do
    /// not say by which route it was submitted.
    pub fn asks_for_key_of_jobs(&self, host: &str) -> bool {
        let is_public = |route: &Arc<Route>| route.kind == RouteKind::Batch && route.public;
        self.has_tenants() && !self.routes.routes_of_host(host).any(is_public)
    }

    /// The caller that a key opens for.
    pub fn caller(&self, key: &ApiKey) -> Option<&Caller> {
        self.keys.find(key)
    }

    /// What callers may send.
    pub fn limits(&self) -> IngressLimits {
        self.configuration
            .as_ref()
            .map_or_else(IngressLimits::default, |held| held.limits)
    }

    /// The servers of a service that take new requests.
    pub fn servers_of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a ServerRecord> + 'a {
        self.servers
            .values()
            .filter(move |server| server.service == *service && !server.draining)
    }

    /// Whether a server is known.
    pub fn knows(&self, instance: &InstanceId) -> bool {
        self.servers.contains_key(instance)
    }
}
