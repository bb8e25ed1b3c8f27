//! What gateways are told of the site: the configuration and the servers, without the parts that
//! only the leader and operators use.

use super::evidence::TOLD_FROM;
use crate::configuration::SiteConfiguration;
use crate::fingerprint::{FingerprintKey, RequestFingerprint};
use crate::ids::InstanceId;
use crate::messages::{SiteView, ViewChange};
use crate::registry::ServerRecord;
use crate::state::{CoordinationState, Suspect};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The view as the leader last told it to all gateways.
///
/// Invariant: a gateway that got [`GatewayView::whole`] and each change since holds exactly this.
#[derive(Default)]
pub(crate) struct GatewayView {
    configuration: Option<Arc<SiteConfiguration>>,
    servers: BTreeMap<InstanceId, ServerRecord>,
    fingerprint_key: Option<FingerprintKey>,
    suspects: BTreeMap<RequestFingerprint, Suspect>,
    /// The whole view, shared by all gateways that connect before the next change: a site's
    /// gateways come back together, and a copy for each would be held at once.
    whole: Option<SiteView>,
}

impl GatewayView {
    /// Takes over what the state holds.
    pub(crate) fn begin(&mut self, state: &CoordinationState) {
        self.whole = None;
        self.configuration = state.configuration().map(for_gateways);
        let servers = state.servers().iter();
        self.servers = servers
            .map(|(instance, server)| (instance.clone(), server.without_models()))
            .collect();
        self.fingerprint_key = state.evidence().key();
        let suspects = state.evidence().suspects();
        self.suspects = suspects
            .filter(|suspect| suspect.ended.len() >= TOLD_FROM)
            .map(|suspect| (suspect.fingerprint, suspect.clone()))
            .collect();
    }

    /// The registry may hold something else of a server; the change, if gateways need it.
    pub(crate) fn server_changed(
        &mut self,
        instance: &InstanceId,
        state: &CoordinationState,
    ) -> Option<ViewChange> {
        let change = match state.servers().get(instance) {
            Some(server) => {
                let server = server.without_models();
                if self.servers.get(instance) == Some(&server) {
                    return None;
                }
                self.servers.insert(instance.clone(), server.clone());
                ViewChange::Server(server)
            }
            None => {
                self.servers.remove(instance)?;
                ViewChange::Gone(instance.clone())
            }
        };
        self.whole = None;
        Some(change)
    }

    /// Another configuration may be in force; the change, if it is.
    pub(crate) fn configured(&mut self, state: &CoordinationState) -> Option<ViewChange> {
        let held = state.configuration()?;
        let known = self.configuration.as_ref();
        if known.is_some_and(|known| known.version == held.version) {
            return None;
        }
        let configuration = for_gateways(held);
        self.configuration = Some(Arc::clone(&configuration));
        self.whole = None;
        Some(ViewChange::Configuration(configuration))
    }

    /// The key of fingerprints may have been drawn; the change, if it was.
    pub(crate) fn key_drawn(&mut self, state: &CoordinationState) -> Option<ViewChange> {
        let key = state.evidence().key()?;
        if self.fingerprint_key.replace(key) == Some(key) {
            return None;
        }
        self.whole = None;
        Some(ViewChange::FingerprintKey(key))
    }

    /// Evidence against a request may have changed; the change, if gateways need it.
    pub(crate) fn evidence_changed(
        &mut self,
        request: RequestFingerprint,
        state: &CoordinationState,
    ) -> Option<ViewChange> {
        let suspect = state.evidence().suspect(request);
        let suspect = suspect.filter(|suspect| suspect.ended.len() >= TOLD_FROM);
        let change = match suspect {
            None => {
                self.suspects.remove(&request)?;
                ViewChange::Cleared(request)
            }
            Some(suspect) => {
                let known = self.suspects.insert(request, suspect.clone());
                if known.as_ref() == Some(suspect) {
                    return None;
                }
                ViewChange::Suspect(suspect.clone())
            }
        };
        self.whole = None;
        Some(change)
    }

    /// All of it.
    pub(crate) fn whole(&mut self) -> SiteView {
        let (configuration, servers) = (&self.configuration, &self.servers);
        let (fingerprint_key, suspects) = (self.fingerprint_key, &self.suspects);
        let whole = self.whole.get_or_insert_with(|| SiteView {
            configuration: configuration.clone(),
            servers: Arc::new(servers.values().cloned().collect()),
            fingerprint_key,
            suspects: Arc::new(suspects.values().cloned().collect()),
        });
        whole.clone()
    }
}

/// The configuration without the operator's document, which only coordinators read back.
fn for_gateways(configuration: &Arc<SiteConfiguration>) -> Arc<SiteConfiguration> {
    Arc::new(SiteConfiguration {
        version: configuration.version,
        routes: configuration.routes.clone(),
        services: configuration.services.clone(),
        limits: configuration.limits,
        tenants: configuration.tenants.clone(),
        document: Vec::new(),
    })
}
