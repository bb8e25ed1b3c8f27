//! Orders engines to swap, by the policy of [`crate::swaps`].

use super::engine::Engine;
use super::engines::Engines;
use super::orders::SwapOrder;
use super::polling::SwapPolling;
use super::store_fetches::StoreFetches;
use crate::settings::LeaderSettings;
use crate::state::ControlState;
use crate::swaps::{SwapCandidate, SwapLimits, SwapStart, swaps_to_begin};
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::Instant;
use wingshore_types::configuration::{Admission, Server};
use wingshore_types::ids::{ServerId, ServiceId, WeightVersion};

/// The version that a service's engines should serve, and the store that has it.
#[derive(Clone, Copy, Debug)]
struct WantedWeights {
    version: WeightVersion,
    store: SocketAddr,
}

/// Inputs of the scheduler.
#[derive(Clone, Copy)]
pub(crate) struct SchedulerView<'a> {
    /// Current time.
    pub(crate) now: Instant,
    /// Committed state.
    pub(crate) state: &'a ControlState,
    /// Times and limits.
    pub(crate) settings: &'a LeaderSettings,
}

impl SchedulerView<'_> {
    /// Returns when engines of a service that swap are polled.
    pub(super) fn swap_polling(&self, service: &ServiceId) -> SwapPolling {
        let usual = self.state.swap_time(service).map(Duration::from_millis);
        SwapPolling::new(usual, self.settings)
    }
}

impl Engines {
    /// Creates new orders to swap. Stores serve only a few fetches at once, so each service in
    /// which no engine has or fetches the wanted version gets one fetch from its store before any
    /// service gets more. Engines can then soon fetch from each other in all services.
    pub(super) fn begin_swaps(&mut self, view: SchedulerView<'_>) {
        let mut unsettled = Vec::new();
        for service in self.index.unsettled() {
            if let Some((version, store)) = view.state.wanted_weights(&service) {
                unsettled.push((service, WantedWeights { version, store }));
            }
        }
        let mut fetches = self.store_fetches(&unsettled);
        for (service, wanted) in &unsettled {
            if !self.has_source(service, *wanted) {
                self.begin_swaps_of(service, *wanted, 1, &mut fetches, view);
            }
        }
        for (service, wanted) in &unsettled {
            self.begin_swaps_of(service, *wanted, usize::MAX, &mut fetches, view);
        }
    }

    /// Starts swaps of a service, at most `from_store` of them from the store.
    fn begin_swaps_of(
        &mut self,
        service: &ServiceId,
        wanted: WantedWeights,
        from_store: usize,
        fetches: &mut StoreFetches,
        view: SchedulerView<'_>,
    ) {
        let candidates = self.candidates(service, wanted, view);
        let mut limits = limits(service, candidates.len(), view);
        let is_own = |candidate: &&SwapCandidate<'_>| candidate.fetching_from == Some(wanted.store);
        let own = candidates.iter().filter(is_own).count();
        let all = fetches.count(wanted.store);
        let free = limits.fetches_per_store.saturating_sub(all);
        limits.fetches_per_store = own + free.min(from_store);
        let mut starts = swaps_to_begin(&candidates, wanted.version, wanted.store, limits);
        starts.extend(self.repeated_swaps(service, wanted, view));
        for start in starts {
            if start.source == wanted.store {
                fetches.add(wanted.store);
            }
            self.order_swap(start, wanted.version, view);
        }
        let is_settled = self.swaps_to_repeat.is_empty() && self.is_settled(service, wanted, view);
        self.index.set_settled(service, is_settled);
    }

    /// Counts the fetches in progress from the stores of these services.
    fn store_fetches(&self, services: &[(ServiceId, WantedWeights)]) -> StoreFetches {
        let mut fetches = StoreFetches::default();
        for (service, wanted) in services {
            for engine in self.members(service) {
                if engine.fetching_from(wanted.store) == Some(wanted.store) {
                    fetches.add(wanted.store);
                }
            }
        }
        fetches
    }

    /// Returns whether an engine of the service has the wanted version or fetches it.
    fn has_source(&self, service: &ServiceId, wanted: WantedWeights) -> bool {
        self.members(service).any(|engine| {
            let fetches = engine.has_order() && engine.ordered_version() == Some(wanted.version);
            fetches || engine.version() == Some(wanted.version)
        })
    }

    fn members(&self, service: &ServiceId) -> impl Iterator<Item = &Engine> {
        let members = self.index.members(service).iter();
        members.filter_map(|id| self.engines.get(id))
    }

    /// Returns the engines of a service that accept work and are reachable.
    fn candidates<'a>(
        &self,
        service: &ServiceId,
        wanted: WantedWeights,
        view: SchedulerView<'a>,
    ) -> Vec<SwapCandidate<'a>> {
        let servers = &view.state.configuration().servers;
        let members = self.index.members(service).iter();
        members
            .filter_map(|id| Some((servers.get(id)?, self.engines.get(id)?)))
            .filter(|(server, _)| server.admission == Admission::Open)
            .filter(|(_, engine)| !engine.is_draining())
            .filter(|(_, engine)| !engine.is_unreachable(view.now, view.settings.unreachable_after))
            .map(|(server, engine)| candidate(server, engine, wanted, view))
            .collect()
    }

    /// Returns whether all engines in use serve the wanted version or are held at their version.
    fn is_settled(
        &self,
        service: &ServiceId,
        wanted: WantedWeights,
        view: SchedulerView<'_>,
    ) -> bool {
        let servers = &view.state.configuration().servers;
        let mut members = self.index.members(service).iter();
        members.all(|id| {
            let is_open = servers
                .get(id)
                .is_some_and(|server| server.admission == Admission::Open);
            let is_done = self.engines.get(id).is_none_or(|engine| {
                !engine.is_swapping()
                    && (engine.version() == Some(wanted.version) || is_held(id, engine, view))
            });
            !is_open || is_done
        })
    }

    fn repeated_swaps(
        &mut self,
        service: &ServiceId,
        wanted: WantedWeights,
        view: SchedulerView<'_>,
    ) -> Vec<SwapStart> {
        let is_due = |id: &&ServerId| {
            self.engines.get(*id).is_some_and(|engine| {
                engine.service() == service && engine.is_ready(view.now, wanted.version)
            })
        };
        let due: Vec<ServerId> = self
            .swaps_to_repeat
            .iter()
            .filter(is_due)
            .cloned()
            .collect();
        for id in &due {
            self.swaps_to_repeat.remove(id);
        }
        let start = |server| SwapStart {
            server,
            source: wanted.store,
        };
        due.into_iter().map(start).collect()
    }

    fn order_swap(&mut self, start: SwapStart, version: WeightVersion, view: SchedulerView<'_>) {
        let Some(engine) = self.engines.get_mut(&start.server) else {
            return;
        };
        let boot_id = engine.boot_id().unwrap_or_default();
        let fence = self.fences.next();
        let order = SwapOrder::new(view.now, fence, version, start.source, boot_id);
        engine.set_order(view.now, order);
        let polling = view.swap_polling(engine.service());
        let first = view.now + polling.first;
        self.polls.reschedule(&start.server, first);
        self.ordered.insert(start.server);
    }
}

/// Returns whether a stopped plan left the engine at its known version; it then needs no swap.
fn is_held(id: &ServerId, engine: &Engine, view: SchedulerView<'_>) -> bool {
    engine.version().is_some() && view.state.is_held(id)
}

fn candidate<'a>(
    server: &'a Server,
    engine: &Engine,
    wanted: WantedWeights,
    view: SchedulerView<'a>,
) -> SwapCandidate<'a> {
    let version = engine.version();
    let is_superseded = engine.may_supersede_order(wanted.version);
    let is_ready = engine.is_ready(view.now, wanted.version) || is_superseded;
    let is_idle = version == Some(wanted.version) || is_held(&server.id, engine, view);
    SwapCandidate {
        server: &server.id,
        address: server.address,
        version,
        fetching_from: engine
            .fetching_from(wanted.store)
            .filter(|_| !is_superseded),
        ready: is_ready && !is_idle,
        failed_before: engine.failures() > 0,
    }
}

fn limits(service: &ServiceId, engines: usize, view: SchedulerView<'_>) -> SwapLimits {
    let service = view.state.configuration().services.get(service);
    let live_share = service
        .map(|service| service.live_share)
        .unwrap_or_default();
    SwapLimits::new(view.settings, engines, live_share)
}
