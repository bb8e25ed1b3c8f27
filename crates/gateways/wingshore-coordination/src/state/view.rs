//! The gateways' view of the state: the complete view, and its changes after a log entry.
//!
//! Changes are kept up to a limit of [`super::view_history`]; a gateway that has missed more
//! receives the complete view.

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

/// The range of log entries for which changes of the view are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownChanges {
    /// All changes after this log index are known; `None` for a state that was just restored.
    pub complete_from: Option<LogIndex>,
    /// Index of the last entry that is known to have changed the view.
    pub newest: Option<LogIndex>,
}

impl CoordinationState {
    /// Returns the complete view.
    pub fn view(&self) -> SiteView {
        let servers = self.registry.servers.values();
        let suspects = self.evidence.suspects().filter(|known| is_in_view(known));
        SiteView {
            configuration: self.configuration.as_ref().map(without_document),
            servers: servers.map(ServerRecord::without_models).collect(),
            fingerprint_key: self.evidence.key(),
            suspects: suspects.cloned().collect(),
        }
    }

    /// Returns the range of entries for which changes of the view are known.
    pub fn known_view_changes(&self) -> KnownChanges {
        KnownChanges {
            complete_from: self.view_history.complete_from(),
            newest: self.view_history.newest(),
        }
    }

    /// Returns how many parts of the view have changed after `since`; `None` if that is not known.
    pub fn view_change_count(&self, since: LogIndex) -> Option<usize> {
        let from = self.view_history.complete_from()?;
        (since >= from).then(|| self.view_history.parts_since(since).count())
    }

    /// Returns the changes of the view after `since`, each part with its current value; `None` if
    /// they are no longer known.
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
                Some(ViewChange::Configuration(without_document(configuration)))
            }
            ViewPart::Server(instance) => Some(match self.registry.record_for_gateways(instance) {
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

    /// Applies `change` to the registry, and records a view change if the server's record in the
    /// gateways' view differs afterwards.
    pub(super) fn change_server(
        &mut self,
        index: LogIndex,
        instance: InstanceId,
        change: impl FnOnce(&mut ServerRegistry),
    ) {
        let before = self.registry.record_for_gateways(&instance);
        change(&mut self.registry);
        if before != self.registry.record_for_gateways(&instance) {
            self.view_history
                .record_change(index, ViewPart::Server(instance));
        }
    }

    /// Applies `change` to the evidence, and records a view change for each request that is or was
    /// part of the view.
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

/// Returns whether a suspect request is part of the gateways' view.
fn is_in_view(suspect: &Suspect) -> bool {
    suspect.ended.len() >= REPORTING_THRESHOLD
}

/// Returns the configuration without the operator's document, which only coordinators serve.
fn without_document(configuration: &Arc<SiteConfiguration>) -> Arc<SiteConfiguration> {
    Arc::new(SiteConfiguration {
        version: configuration.version,
        routes: configuration.routes.clone(),
        services: configuration.services.clone(),
        limits: configuration.limits,
        tenants: configuration.tenants.clone(),
        document: Vec::new(),
    })
}
