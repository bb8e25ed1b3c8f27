//! The router: membership, load and limits behind one type.

use crate::faults::Faults;
use crate::request::{
    Admitted, AttemptOutcome, Class, OverGuarantee, ProbeKind, ProbeTarget, Refusal, RefusalCode,
    RouteRequest, ServerView, Ticket,
};
use crate::settings::RouterSettings;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wingshore_types::configuration::{Admission, Configuration, ServiceKind};
use wingshore_types::platform::{CacheEvents, EngineState, LoadReport, MachineList, MachineState};
use wingshore_types::{Instant, ServerId, Verdict, WeightVersion, ZoneId};

/// What a refused caller is told to wait when nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// What is known of one server beyond the configuration.
#[derive(Clone, Debug, Default)]
struct Observed {
    version: Option<WeightVersion>,
    draining: bool,
    failed_probes: u32,
    in_flight: BTreeMap<Class, u32>,
    next_probe: Instant,
    last_cache_event: u64,
}

impl Observed {
    fn total(&self) -> u32 {
        self.in_flight.values().sum()
    }
}

/// Chooses servers; see the crate's page.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    faults: Faults,
    configuration: Configuration,
    leaving_machines: BTreeSet<ServerId>,
    machines_as_of: u64,
    observed: BTreeMap<ServerId, Observed>,
    tickets: BTreeMap<Ticket, (ServerId, Class)>,
    next_ticket: u64,
}

impl Router {
    /// A router for a node in `zone`; `seed` should differ between nodes.
    pub fn new(settings: RouterSettings, _zone: ZoneId, _seed: u64) -> Self {
        Self {
            settings,
            faults: Faults::default(),
            configuration: Configuration::default(),
            leaving_machines: BTreeSet::new(),
            machines_as_of: 0,
            observed: BTreeMap::new(),
            tickets: BTreeMap::new(),
            next_ticket: 0,
        }
    }

    /// Switches deliberate faults on; for tests of checkers only.
    pub fn with_faults(mut self, faults: Faults) -> Self {
        self.faults = faults;
        self
    }

    /// Takes a configuration; one of a lower revision than the last is ignored.
    pub fn on_configuration(&mut self, _now: Instant, configuration: &Configuration) {
        if configuration.revision < self.configuration.revision {
            return;
        }
        self.configuration = configuration.clone();
    }

    /// Takes the platform's machine list; an older one than the last is ignored.
    pub fn on_machine_list(&mut self, _now: Instant, list: &MachineList) {
        if list.as_of < self.machines_as_of {
            return;
        }
        self.machines_as_of = list.as_of;
        self.leaving_machines = list
            .machines
            .iter()
            .filter(|machine| machine.state == MachineState::Leaving)
            .map(|machine| machine.id.clone())
            .collect();
    }

    /// Takes an engine's own report of its state.
    pub fn on_engine_state(&mut self, _now: Instant, server: &ServerId, state: &EngineState) {
        let observed = self.observed.entry(server.clone()).or_default();
        observed.version = state.weight_version;
        observed.draining = state.draining;
        observed.failed_probes = 0;
    }

    /// Takes a load report.
    pub fn on_load(&mut self, _now: Instant, server: &ServerId, _report: &LoadReport) {
        self.observed
            .entry(server.clone())
            .or_default()
            .failed_probes = 0;
    }

    /// Takes cache events.
    pub fn on_cache_events(&mut self, _now: Instant, server: &ServerId, events: &CacheEvents) {
        let observed = self.observed.entry(server.clone()).or_default();
        if let Some(last) = events.events.last() {
            observed.last_cache_event = last.sequence;
        }
    }

    /// A probe was not answered, or not by what was asked for.
    pub fn on_probe_failed(&mut self, _now: Instant, server: &ServerId) {
        self.observed
            .entry(server.clone())
            .or_default()
            .failed_probes += 1;
    }

    /// Chooses a server and takes a slot, or refuses at once.
    ///
    /// # Errors
    /// A [`Refusal`]: nothing was sent, the verdict is `NotRun`.
    pub fn admit(&mut self, now: Instant, request: &RouteRequest) -> Result<Admitted, Refusal> {
        let Some(service) = self.configuration.services.get(&request.service) else {
            return Err(Refusal {
                code: RefusalCode::UnknownService,
                message: format!("service `{}` is not configured", request.service),
                retry_after: None,
            });
        };
        if now >= request.deadline {
            return Err(Refusal {
                code: RefusalCode::DeadlinePassed,
                message: "the deadline passed before a server was chosen".to_owned(),
                retry_after: None,
            });
        }
        let slots = service.slots_per_server;
        let chosen = self
            .configuration
            .servers_of(&request.service)
            .filter(|server| self.is_open(&server.id) && self.is_useful(&server.id, request))
            .map(|server| (self.total(&server.id), server))
            .filter(|(total, _)| *total < slots)
            .min_by_key(|(total, _)| *total);
        let Some((_, server)) = chosen else {
            return Err(Refusal {
                code: RefusalCode::NoCapacity,
                message: format!("no server of `{}` has a free slot", request.service),
                retry_after: Some(RETRY_AFTER),
            });
        };
        let (id, address) = (server.id.clone(), server.address);
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.tickets.insert(ticket, (id.clone(), request.class));
        let observed = self.observed.entry(id.clone()).or_default();
        *observed.in_flight.entry(request.class).or_default() += 1;
        Ok(Admitted {
            ticket,
            server: id,
            address,
        })
    }

    /// An admitted attempt ended; its slot is free again.
    pub fn on_finished(&mut self, _now: Instant, ticket: Ticket, outcome: AttemptOutcome) {
        let Some((server, class)) = self.tickets.remove(&ticket) else {
            return;
        };
        let observed = self.observed.entry(server).or_default();
        if let Some(count) = observed.in_flight.get_mut(&class) {
            *count = count.saturating_sub(1);
        }
        if outcome == AttemptOutcome::Refused {
            observed.draining = true;
        }
    }

    /// Whether an attempt that ended with `verdict` may be repeated now; takes from the retry
    /// budget when it answers yes.
    pub fn may_retry(&mut self, now: Instant, request: &RouteRequest, verdict: Verdict) -> bool {
        if now >= request.deadline {
            return false;
        }
        match verdict {
            Verdict::NotRun => true,
            Verdict::MayHaveRun => !request.no_repeat || self.faults.retry_on_may_have_run,
            Verdict::Ran => false,
        }
    }

    /// The probes that are due; each is counted as asked.
    pub fn probe_targets(&mut self, now: Instant) -> Vec<ProbeTarget> {
        let mut targets = Vec::new();
        for server in self.configuration.servers.values() {
            let observed = self.observed.entry(server.id.clone()).or_default();
            if now < observed.next_probe {
                continue;
            }
            observed.next_probe = now + self.settings.probe_interval;
            let is_engine = self
                .configuration
                .services
                .get(&server.service)
                .is_some_and(|service| matches!(service.kind, ServiceKind::Engines { .. }));
            let mut kinds = vec![ProbeKind::Load];
            if is_engine {
                kinds.push(ProbeKind::EngineState);
                kinds.push(ProbeKind::CacheEvents {
                    after: observed.last_cache_event,
                });
            }
            targets.extend(kinds.into_iter().map(|kind| ProbeTarget {
                server: server.id.clone(),
                address: server.address,
                kind,
            }));
        }
        targets
    }

    /// Where `class` uses more slots than are guaranteed to it.
    pub fn over_guarantee(&self, _now: Instant, _class: Class) -> Vec<OverGuarantee> {
        Vec::new()
    }

    /// What is known of a server; `None` when the configuration does not have it.
    pub fn server_view(&self, _now: Instant, id: &ServerId) -> Option<ServerView> {
        self.configuration.servers.get(id)?;
        let observed = self.observed.get(id).cloned().unwrap_or_default();
        let count = |class| observed.in_flight.get(&class).copied().unwrap_or_default();
        Some(ServerView {
            open: self.is_open(id),
            leaving: self.is_leaving(id),
            healthy: observed.failed_probes < self.settings.unhealthy_after,
            ejected: false,
            version: observed.version,
            live: count(Class::Live),
            rollouts: count(Class::Rollout),
            foreign: 0,
        })
    }

    fn total(&self, id: &ServerId) -> u32 {
        self.observed.get(id).map_or(0, Observed::total)
    }

    fn is_open(&self, id: &ServerId) -> bool {
        let healthy = self
            .observed
            .get(id)
            .is_none_or(|observed| observed.failed_probes < self.settings.unhealthy_after);
        healthy && (self.faults.ignore_draining || !self.is_leaving(id))
    }

    fn is_leaving(&self, id: &ServerId) -> bool {
        let closed = self
            .configuration
            .servers
            .get(id)
            .is_none_or(|server| server.admission == Admission::Draining);
        let draining = self.observed.get(id).is_some_and(|server| server.draining);
        closed || draining || self.leaving_machines.contains(id)
    }

    fn is_useful(&self, id: &ServerId, request: &RouteRequest) -> bool {
        if request.excluded.contains(id) {
            return false;
        }
        if request.class == Class::Live || self.faults.ignore_unknown_version {
            return true;
        }
        let version = self.observed.get(id).and_then(|server| server.version);
        version.is_some_and(|version| request.oldest_useful.is_none_or(|least| version >= least))
    }
}
