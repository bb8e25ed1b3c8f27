//! The gateways' view of the state: the whole, and its changes after an entry of the log.
//!
//! Changes are known back to a bound of [`super::view_history`]; a gateway that has missed more is sent
//! the whole view.

use super::evidence::{REPORTING_THRESHOLD, RequestEvidence};
use super::servers::ServerRegistry;
use super::site::CoordinationState;
use super::view_history::ViewPart;
use crate::configuration::SiteConfiguration;
use crate::evidence::Suspect;
use crate::fingerprint::RequestFingerprint;
use crate::ids::InstanceId;
use crate::registry::ServerRecord;
use crate::view::{SiteView, ViewChange};
use std::sync::Arc;
use wingshore_types::LogIndex;

/// How far the changes of a state's view are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownChanges {
    /// Changes after this entry are known; `None` for a state that was just restored.
    pub complete_from: Option<LogIndex>,
    /// The last entry that is known to have changed anything.
    pub newest: Option<LogIndex>,
}

impl CoordinationState {
    /// The whole view.
    pub fn view(&self) -> SiteView {
        let servers = self.registry.servers.values();
        let suspects = self.evidence.suspects().filter(|known| is_in_view(known));
        SiteView {
            configuration: self.configuration.as_ref().map(for_gateways),
            servers: servers.map(ServerRecord::without_models).collect(),
            fingerprint_key: self.evidence.key(),
            suspects: suspects.cloned().collect(),
        }
    }

    /// How far the changes of the view are known.
    pub fn known_view_changes(&self) -> KnownChanges {
        KnownChanges {
            complete_from: self.view_history.complete_from(),
            newest: self.view_history.newest(),
        }
    }

    /// How many parts of the view have changed after `since`; `None` where that is not known.
    pub fn view_change_count(&self, since: LogIndex) -> Option<usize> {
        let from = self.view_history.complete_from()?;
        (since >= from).then(|| self.view_history.parts_since(since).count())
    }

    /// What has changed in the view after `since`, each part as it is now; `None` where that is
    /// not known any more.
    pub fn view_changes(&self, since: LogIndex) -> Option<Vec<ViewChange>> {
        let from = self.view_history.complete_from()?;
        if since < from {
            return None;
        }
        let parts = self.view_history.parts_since(since);
        Some(parts.filter_map(|part| self.view_change(part)).collect())
    }

    fn view_change(&self, part: &ViewPart) -> Option<ViewChange> {
        match part {
            ViewPart::Configuration => {
                let configuration = self.configuration.as_ref()?;
                Some(ViewChange::Configuration(for_gateways(configuration)))
            }
            ViewPart::Server(instance) => Some(match self.registry.seen_by_gateways(instance) {
                Some(server) => ViewChange::Server(server),
                None => ViewChange::Gone(instance.clone()),
            }),
            ViewPart::FingerprintKey => self.evidence.key().map(ViewChange::FingerprintKey),
            ViewPart::Suspect(request) => {
                let suspect = self.evidence.suspect(*request);
                Some(match suspect.filter(|known| is_in_view(known)) {
                    Some(suspect) => ViewChange::Suspect(suspect.clone()),
                    None => ViewChange::Cleared(*request),
                })
            }
        }
    }

    /// Applies `change` to the registry, and notes whether gateways see a server differently after it.
    pub(super) fn change_server(
        &mut self,
        index: LogIndex,
        instance: InstanceId,
        change: impl FnOnce(&mut ServerRegistry),
    ) {
        let before = self.registry.seen_by_gateways(&instance);
        change(&mut self.registry);
        if before != self.registry.seen_by_gateways(&instance) {
            self.view_history
                .record_change(index, ViewPart::Server(instance));
        }
    }

    /// Applies `change` to what is known of requests, and notes those that are or were part of the
    /// view.
    pub(super) fn change_evidence(
        &mut self,
        index: LogIndex,
        requests: Vec<RequestFingerprint>,
        change: impl FnOnce(&mut RequestEvidence),
    ) {
        let is_visible = |evidence: &RequestEvidence, request: &RequestFingerprint| {
            evidence.suspect(*request).is_some_and(is_in_view)
        };
        let before = requests
            .iter()
            .map(|request| is_visible(&self.evidence, request));
        let before: Vec<bool> = before.collect();
        change(&mut self.evidence);
        for (request, was_visible) in requests.into_iter().zip(before) {
            if was_visible || is_visible(&self.evidence, &request) {
                self.view_history
                    .record_change(index, ViewPart::Suspect(request));
            }
        }
    }
}

/// Whether it is part of the view.
fn is_in_view(suspect: &Suspect) -> bool {
    suspect.ended.len() >= REPORTING_THRESHOLD
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
