//! State shared by the threads of a node.
//!
//! Owns the router, the node's copy of the configuration and the attempt numbers. The configuration
//! watch keeps the copy up to date, and the prober updates the router.

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

/// State shared by all threads of a node.
pub struct NodeState {
    /// Settings of the node.
    pub settings: NodeSettings,
    /// Clock of the node.
    pub clock: Clock,
    /// Random identity of this start of the process.
    pub boot_id: u64,
    /// Client for calls to groups.
    pub groups: GroupClient,
    /// Client for requests to back ends.
    pub upstream: UpstreamClient,
    /// Metrics of the node.
    pub metrics: Metrics,
    /// Logger and log ring.
    pub diagnostics: Diagnostics,
    /// Signal of a planned stop.
    pub stop: StopSignal,
    /// Queue of fire-and-forget calls.
    pub background_calls: BackgroundCallQueue,
    router: Mutex<Router>,
    view: Mutex<ConfigurationView>,
    attempts: AtomicU64,
}

impl NodeState {
    /// Creates the state of a node that has not received a configuration yet.
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

    /// Locks the router.
    pub fn router(&self) -> MutexGuard<'_, Router> {
        lock(&self.router)
    }

    /// Locks the node's copy of the configuration.
    pub fn view(&self) -> MutexGuard<'_, ConfigurationView> {
        lock(&self.view)
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(self.view().configuration())
    }

    /// Returns an attempt number that is unique within this boot.
    pub fn next_attempt(&self) -> u64 {
        self.attempts.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a claimant that is unique among the requests of all nodes.
    pub fn next_claimant(&self) -> Claimant {
        Claimant {
            node: self.settings.node.clone(),
            boot_id: self.boot_id,
            attempt: self.next_attempt(),
        }
    }

    /// Returns a request ID for engines that is unique among the attempts of all nodes.
    pub fn next_engine_request_id(&self) -> String {
        format!(
            "{}-{:x}-{}",
            self.settings.node,
            self.boot_id,
            self.next_attempt()
        )
    }

    /// Checks whether new work may be admitted now.
    ///
    /// # Errors
    /// Returns the refusal to send to the caller.
    pub fn may_admit(&self) -> Result<(), EdgeError> {
        let now = self.clock.now();
        admission::may_admit(self.stop.is_stopping(), &self.view(), now)
    }

    /// Checks whether the node may act on its configuration at `now`.
    ///
    /// # Errors
    /// Returns the refusal to send to the caller.
    pub fn holds_configuration(&self, now: Instant) -> Result<(), EdgeError> {
        admission::may_act_on_configuration(&self.view(), now)
    }

    /// Enqueues a fire-and-forget call; logs and drops it when the queue is full.
    pub fn add_background_call(&self, call: BackgroundCall) {
        if let Err(call) = self.background_calls.add(call) {
            warn!(self.diagnostics.logger(), "background call dropped, the queue is full";
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

    /// Reports an invariant violation found by this process and dumps the log ring.
    pub fn report_invariant_violation(&self, what: &str) {
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
