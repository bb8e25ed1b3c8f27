//! What the threads of a node share.
//!
//! Owns the router, the node's copy of the configuration and the numbers of attempts. Relies on the
//! watch to keep the copy up to date and on the prober to keep the router informed.

use crate::admission;
use crate::background_calls::{BackgroundCall, BackgroundCallQueue};
use crate::http::EdgeError;
use crate::lock::lock;
use crate::metrics::Metrics;
use crate::upstream::UpstreamClient;
use slog::{error, warn};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use wingshore_client::GroupClient;
use wingshore_clock::Clock;
use wingshore_diagnostics::{Diagnostics, StopSignal};
use wingshore_request::{ConfigurationView, WithoutLease};
use wingshore_routing::{Router, RouterSettings};
use wingshore_settings::NodeSettings;
use wingshore_types::Instant;
use wingshore_types::configuration::Configuration;
use wingshore_types::protocol::claims::Claimant;

/// Shared by all threads of a node.
pub struct NodeState {
    /// Its settings.
    pub settings: NodeSettings,
    /// Its clock.
    pub clock: Clock,
    /// Drawn at this start of the process.
    pub boot_id: u64,
    /// Calls to groups.
    pub groups: GroupClient,
    /// Requests to back ends.
    pub upstream: UpstreamClient,
    /// Counters.
    pub metrics: Metrics,
    /// Log ring.
    pub diagnostics: Diagnostics,
    /// Planned stop.
    pub stop: StopSignal,
    /// Work that nobody waits for.
    pub background_calls: BackgroundCallQueue,
    router: Mutex<Router>,
    view: Mutex<ConfigurationView>,
    attempts: AtomicU64,
}

impl NodeState {
    /// The state of a node that has heard nothing yet.
    pub fn new(
        settings: NodeSettings,
        diagnostics: Diagnostics,
        stop: StopSignal,
        boot_id: u64,
    ) -> Self {
        let groups = GroupClient::new(&settings.site, settings.replicas.clone(), boot_id);
        let router_settings = router_settings(&settings);
        let router = Router::new(router_settings, settings.zone.clone(), boot_id);
        let without_lease = match settings.without_lease {
            wingshore_settings::WithoutLease::Refuse => WithoutLease::Refuse,
            wingshore_settings::WithoutLease::Serve => WithoutLease::Serve,
        };
        Self {
            settings,
            clock: Clock::start(),
            boot_id,
            groups,
            upstream: UpstreamClient::default(),
            metrics: Metrics::default(),
            diagnostics,
            stop,
            background_calls: BackgroundCallQueue::default(),
            router: Mutex::new(router),
            view: Mutex::new(ConfigurationView::new(without_lease)),
            attempts: AtomicU64::new(0),
        }
    }

    /// The router, locked.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        lock(&self.router)
    }

    /// The copy of the configuration, locked.
    pub fn view(&self) -> MutexGuard<'_, ConfigurationView> {
        lock(&self.view)
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(self.view().configuration())
    }

    /// A number that no other attempt of this boot has.
    pub fn next_attempt(&self) -> u64 {
        self.attempts.fetch_add(1, Ordering::Relaxed)
    }

    /// A claimant that no other request of any node has.
    pub fn next_claimant(&self) -> Claimant {
        Claimant {
            node: self.settings.node.clone(),
            boot_id: self.boot_id,
            attempt: self.next_attempt(),
        }
    }

    /// A request identity for engines that no other attempt of any node has.
    pub fn next_engine_request_id(&self) -> String {
        format!(
            "{}-{:x}-{}",
            self.settings.node,
            self.boot_id,
            self.next_attempt()
        )
    }

    /// Whether new work may be taken now.
    ///
    /// # Errors
    /// The refusal for the caller.
    pub fn may_admit(&self) -> Result<(), EdgeError> {
        let now = self.clock.now();
        admission::may_admit(self.stop.is_stopping(), &self.view(), now)
    }

    /// Whether the configuration may be acted on at `now`.
    ///
    /// # Errors
    /// The refusal for the caller.
    pub fn holds_configuration(&self, now: Instant) -> Result<(), EdgeError> {
        admission::may_act_on_configuration(&self.view(), now)
    }

    /// Adds a call that nobody waits for; drops it, with a log line, when too many wait.
    pub fn add_background_call(&self, call: BackgroundCall) {
        if let Err(call) = self.background_calls.add(call) {
            warn!(self.diagnostics.logger(), "background call dropped, too many wait";
                "errand" => format!("{call:?}"));
        }
    }

    /// Cancels an attempt at its engine, in the background.
    pub fn cancel_at_engine(&self, address: SocketAddr, request_id: &str) {
        self.add_background_call(BackgroundCall::CancelAtEngine {
            address,
            request_id: request_id.to_owned(),
        });
    }

    /// Reports a promise that this process found broken, and writes the log ring out.
    pub fn on_broken_promise(&self, what: &str) {
        self.metrics.broken_promises.inc();
        error!(self.diagnostics.logger(), "broken promise"; "what" => what.to_owned());
        if let Err(failed) = self.diagnostics.dump(what) {
            error!(self.diagnostics.logger(), "cannot dump the log ring";
                "error" => failed.to_string());
        }
    }
}

fn router_settings(settings: &NodeSettings) -> RouterSettings {
    RouterSettings {
        choices: settings.routing.choices as u32,
        probe_interval: settings.routing.probe_interval,
        probes_per_second: settings.routing.probes_per_second,
        subset_size: settings.routing.subset as u32,
        retry_share: settings.routing.retry_budget,
        most_ejected: settings.routing.max_ejected,
        ..RouterSettings::default()
    }
}
