//! What the threads of a node share.

use crate::background::{Errand, Errands};
use crate::metrics::Metrics;
use crate::upstream::UpstreamClient;
use slog::{error, warn};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use wingshore_client::GroupClient;
use wingshore_clock::Clock;
use wingshore_diagnostics::{Diagnostics, StopSignal};
use wingshore_request::{ConfigurationView, ExecutionLimits, Faults, NotAdmitted, WithoutLease};
use wingshore_routing::{Router, RouterSettings};
use wingshore_settings::NodeSettings;
use wingshore_types::Instant;
use wingshore_types::configuration::Configuration;
use wingshore_types::protocol::claims::Claimant;

use crate::http::EdgeError;

/// When to come back to a node that has no configuration or no lease.
const RETRY_WITHOUT_CONFIGURATION: Duration = Duration::from_millis(500);
/// When to come back to a node that stops: its successor needs a moment.
const RETRY_AFTER_STOP: Duration = Duration::from_secs(2);

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
    pub errands: Errands,
    /// Limits of each caller's request.
    pub limits: ExecutionLimits,
    /// Deliberate faults; off outside tests.
    pub faults: Faults,
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
        errands: Errands,
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
            upstream: UpstreamClient::new(),
            metrics: Metrics::new(),
            diagnostics,
            stop,
            errands,
            limits: ExecutionLimits::default(),
            faults: Faults::default(),
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
        if self.stop.is_stopping() {
            let refusal = EdgeError::not_run(503, "stopping", "this node is being stopped");
            return Err(refusal.retry_after(RETRY_AFTER_STOP));
        }
        self.holds_configuration(self.clock.now())
    }

    /// Whether the configuration may be acted on at `now`.
    ///
    /// # Errors
    /// The refusal for the caller.
    pub fn holds_configuration(&self, now: Instant) -> Result<(), EdgeError> {
        let refusal = match self.view().may_admit(now) {
            Ok(()) => return Ok(()),
            Err(NotAdmitted::NoConfiguration) => EdgeError::not_run(
                503,
                "no_configuration",
                "this node has not received the configuration yet",
            ),
            Err(NotAdmitted::LeaseExpired) => EdgeError::not_run(
                503,
                "no_lease",
                "this node has lost its configuration lease and refuses by its settings",
            ),
        };
        Err(refusal.retry_after(RETRY_WITHOUT_CONFIGURATION))
    }

    /// Leaves work to be done soon that nobody waits for.
    pub fn leave_errand(&self, errand: Errand) {
        if let Err(errand) = self.errands.leave(errand) {
            warn!(self.diagnostics.logger(), "errand dropped, too many are open";
                "errand" => format!("{errand:?}"));
        }
    }

    /// Tells an engine that nobody wants an attempt any more.
    pub fn cancel_at_engine(&self, address: SocketAddr, request_id: &str) {
        self.leave_errand(Errand::CancelAtEngine {
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

/// Locks; a thread that panicked with the lock held has left nothing half done that matters more
/// than going on.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
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
