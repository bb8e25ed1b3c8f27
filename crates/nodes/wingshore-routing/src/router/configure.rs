//! Applies the configuration and the machine list, which determine the servers of each service.

use super::Router;
use crate::admission::SlotShares;
use crate::class::ByClass;
use crate::dedicated::{DedicatedEngines, shared_rank};
use crate::demand::Peak;
use crate::fleet::{ByZone, Server, ServerIndex, ServiceIndex, ServiceState};
use crate::load::Load;
use crate::load_estimator::LoadEstimator;
use crate::membership::Membership;
use crate::outlier::OutlierDetector;
use crate::retry::{BudgetLimits, RetryBudget};
use crate::subset::{SubsetSize, rank};
use wingshore_types::Instant;
use wingshore_types::configuration::{self, Configuration, ServiceKind};
use wingshore_types::platform::{MachineList, MachineState};

impl Router {
    /// Applies a configuration. A configuration with a lower revision than the last one is ignored.
    pub fn on_configuration(&mut self, now: Instant, configuration: &Configuration) {
        if configuration.revision < self.revision {
            return;
        }
        self.revision = configuration.revision;
        self.update_services(now, configuration);
        self.remove_absent_servers(configuration);
        for server in configuration.servers.values() {
            self.update_server(server);
        }
        self.rank_servers();
        self.assign_shared_positions(configuration);
        self.refresh_all(now);
    }

    /// Applies the platform's machine list. A list older than the last one is ignored.
    pub fn on_machine_list(&mut self, now: Instant, list: &MachineList) {
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
        for server in &mut self.fleet.servers {
            server.membership.leaving_by_list = self.leaving_machines.contains(&server.id);
        }
        self.refresh_all(now);
    }

    fn refresh_all(&mut self, now: Instant) {
        for service in 0..self.fleet.services.len() {
            self.refresh(now, service as ServiceIndex);
        }
    }

    fn update_services(&mut self, now: Instant, configuration: &Configuration) {
        for state in &mut self.fleet.services {
            state.is_configured = configuration.services.contains_key(&state.id);
        }
        for service in configuration.services.values() {
            self.update_service(now, service);
        }
    }

    fn update_service(&mut self, now: Instant, service: &configuration::Service) {
        let guaranteed = !self.faults.no_share_guarantee;
        let shares = SlotShares::new(service, self.settings.live_reserve, guaranteed);
        let is_engine_service = matches!(service.kind, ServiceKind::Engines { .. });
        let index = match self.fleet.service_index(&service.id) {
            Some(index) => index,
            None => self
                .fleet
                .add_service(self.new_service(now, service, shares)),
        };
        let state = self.fleet.service_mut(index);
        state.shares = shares;
        state.is_engine_service = is_engine_service;
    }

    fn new_service(
        &self,
        now: Instant,
        service: &configuration::Service,
        shares: SlotShares,
    ) -> ServiceState {
        let limits = BudgetLimits {
            share: self.settings.retry_share,
            per_second: self.settings.retry_least_per_second,
            burst: self.settings.retry_burst,
        };
        ServiceState {
            id: service.id.clone(),
            is_configured: true,
            is_engine_service: false,
            shares,
            ranked: ByZone::default(),
            members: ByZone::default(),
            open: ByZone::default(),
            dedicated: DedicatedEngines::default(),
            subset: SubsetSize::new(self.settings.subset_size),
            last_requested_at: now,
            grown_at: Instant::ZERO,
            exhausted_at: Instant::ZERO,
            in_flight: ByClass::default(),
            reclaim_requests: ByClass::default(),
            live_peak: Peak::default(),
            service_time: ByClass::default(),
            load_estimator: LoadEstimator::new(self.settings.probe_interval),
            budget: RetryBudget::new(limits),
            next_change: None,
            epoch: 0,
            cached_refusals: ByClass::default(),
        }
    }

    fn remove_absent_servers(&mut self, configuration: &Configuration) {
        let absent: Vec<ServerIndex> = self
            .fleet
            .servers_by_name()
            .filter(|(id, _)| !configuration.servers.contains_key(*id))
            .map(|(_, index)| index)
            .collect();
        for index in absent {
            self.fleet.server_mut(index).membership.admission = None;
            self.release_if_removed(index);
        }
    }

    /// Releases the position of a server that is absent from the configuration and has no requests
    /// in flight.
    pub(super) fn release_if_removed(&mut self, index: ServerIndex) {
        if self.fleet.release_if_removed(index) {
            self.affinity.reset(index);
        }
    }

    fn update_server(&mut self, configured: &configuration::Server) {
        let Some(service) = self.fleet.service_index(&configured.service) else {
            return;
        };
        let index = match self.fleet.server_index(&configured.id) {
            Some(index) => index,
            None => {
                let server = self.new_server(configured, service);
                self.fleet.add_server(server)
            }
        };
        if self.fleet.server(index).address != configured.address {
            self.reset_observations(index);
        }
        let in_own_zone = configured.zone == self.zone;
        let server = self.fleet.server_mut(index);
        server.address = configured.address;
        server.service = service;
        server.in_own_zone = in_own_zone;
        server.membership.admission = Some(configured.admission);
    }

    fn new_server(&self, configured: &configuration::Server, service: ServiceIndex) -> Server {
        let mut membership = Membership::new();
        membership.leaving_by_list = self.leaving_machines.contains(&configured.id);
        Server {
            id: configured.id.clone(),
            address: configured.address,
            service,
            in_own_zone: false,
            is_member: false,
            rank: rank(self.seed, &configured.id),
            shared_position: usize::MAX,
            is_loading: false,
            membership,
            outlier: OutlierDetector::default(),
            load: Load::default(),
            version: None,
            version_expires_at: Instant::ZERO,
            slow_start_until: Instant::ZERO,
            next_probe: None,
        }
    }

    /// Discards all observations of a process that has been replaced by another one.
    pub(super) fn reset_observations(&mut self, index: ServerIndex) {
        self.affinity.forget(index);
        let server = self.fleet.server_mut(index);
        server.membership.forget_observations();
        server.load.forget_reports();
        server.outlier = OutlierDetector::default();
        server.version = None;
        server.is_loading = false;
    }

    /// Assigns the servers of every service their positions in the order that all nodes share.
    fn assign_shared_positions(&mut self, configuration: &Configuration) {
        for service in configuration.services.values() {
            let Some(index) = self.fleet.service_index(&service.id) else {
                continue;
            };
            let ranked = &self.fleet.service(index).ranked;
            let mut order: Vec<(u64, ServerIndex)> = ranked
                .iter()
                .map(|server| (shared_rank(&self.fleet.server(server).id), server))
                .collect();
            order.sort_unstable();
            let is_engine_service = matches!(service.kind, ServiceKind::Engines { .. });
            let dedicated = &mut self.fleet.service_mut(index).dedicated;
            dedicated.resize(order.len(), service.live_share, is_engine_service);
            for (position, (_, server)) in order.into_iter().enumerate() {
                self.fleet.server_mut(server).shared_position = position;
            }
        }
    }

    /// Sorts the servers of every service by rank and clears the subsets, which the caller then
    /// selects again.
    fn rank_servers(&mut self) {
        for server in &mut self.fleet.servers {
            server.is_member = false;
        }
        for state in &mut self.fleet.services {
            state.ranked.clear();
            state.members.clear();
            state.open.clear();
        }
        let mut order: Vec<(u64, ServerIndex)> = self
            .fleet
            .servers_by_name()
            .map(|(_, index)| (self.fleet.server(index).rank, index))
            .collect();
        order.sort_unstable();
        for (_, index) in order {
            let server = self.fleet.server(index);
            if server.membership.admission.is_none() {
                continue;
            }
            let (service, in_own_zone) = (server.service, server.in_own_zone);
            let ranked = &mut self.fleet.service_mut(service).ranked;
            ranked.push(index, in_own_zone);
        }
    }
}
