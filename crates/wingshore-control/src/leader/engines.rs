//! All engines: their reports, the orders to them, and which of them swap next.

use super::engine::Engine;
use super::orders::{FenceSource, SwapOrder};
use super::polling::PollSchedule;
use crate::effect::{ControlEffect, OrderAnswer};
use crate::settings::LeaderSettings;
use crate::state::ControlState;
use crate::swaps::{SwapCandidate, SwapLimits, SwapStart, swaps_to_begin};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wingshore_types::Instant;
use wingshore_types::configuration::{Admission, Configuration, Server, ServiceKind};
use wingshore_types::ids::{ServerId, ServiceId, WeightVersion};
use wingshore_types::platform::{EngineState, OrderFence};
use wingshore_types::protocol::control::EngineStatus;

/// A swap that has succeeded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FinishedSwap {
    /// Of an engine of this service.
    pub(crate) service: ServiceId,
    /// From order to report.
    pub(crate) took: Duration,
}

/// The engines of the configuration.
#[derive(Debug, Default)]
pub(crate) struct Engines {
    engines: BTreeMap<ServerId, Engine>,
    polls: PollSchedule,
    fences: FenceSource,
    /// Reports asked for earlier are of another leadership.
    began: Instant,
    /// Only a deliberate fault orders these again although they have the version.
    repeated: BTreeSet<ServerId>,
}

impl Engines {
    /// At the beginning of a leadership nothing is known of any engine.
    pub(crate) fn new(now: Instant, fences: FenceSource) -> Self {
        Self {
            fences,
            began: now,
            ..Self::default()
        }
    }

    /// Follows the configuration: engines come, go and move.
    pub(crate) fn sync(&mut self, now: Instant, configuration: &Configuration) {
        let gone: Vec<ServerId> = self
            .engines
            .iter()
            .filter(|(id, engine)| !is_same_engine(configuration, id, engine))
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            self.engines.remove(&id);
            self.polls.remove(&id);
        }
        for server in engine_servers(configuration) {
            if let Some(engine) = self.engines.get_mut(&server.id) {
                engine.set_service(&server.service);
                continue;
            }
            let engine = Engine::new(server.service.clone(), server.address);
            self.engines.insert(server.id.clone(), engine);
            self.polls.add(now, &server.id);
        }
    }

    /// One engine.
    pub(crate) fn get(&self, id: &ServerId) -> Option<&Engine> {
        self.engines.get(id)
    }

    /// Deliberate fault: orders this engine anew, whatever it reports.
    pub(crate) fn repeat(&mut self, id: &ServerId) {
        self.repeated.insert(id.clone());
    }

    /// Takes in the answer to an order.
    pub(crate) fn on_order_answer(
        &mut self,
        now: Instant,
        id: &ServerId,
        fence: OrderFence,
        answer: OrderAnswer,
    ) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.on_order_answer(now, fence, answer);
        }
    }

    /// Takes in an engine's report, or that there was none.
    pub(crate) fn on_state(
        &mut self,
        now: Instant,
        id: &ServerId,
        asked_at: Instant,
        state: Option<EngineState>,
        settings: &LeaderSettings,
    ) -> Option<FinishedSwap> {
        let engine = self.engines.get_mut(id)?;
        if asked_at < self.began {
            return None;
        }
        let took = match state {
            Some(state) => engine.on_report(now, asked_at, state, settings),
            None => {
                engine.on_silence(asked_at);
                None
            }
        };
        let is_busy = engine.is_swapping();
        self.polls.on_answer(id, asked_at, is_busy, settings);
        Some(FinishedSwap {
            service: engine.service().clone(),
            took: took?,
        })
    }

    /// Brings the next question to an engine forward, at most to the usual interval.
    pub(crate) fn hurry(&mut self, id: &ServerId, at: Instant) {
        self.polls.hurry(id, at);
    }

    /// Asks engines for their state, gives new orders and repeats unanswered ones.
    pub(crate) fn tick(
        &mut self,
        now: Instant,
        state: &ControlState,
        settings: &LeaderSettings,
        effects: &mut Vec<ControlEffect>,
    ) {
        for engine in self.engines.values_mut() {
            engine.on_time(now, settings);
        }
        self.begin_swaps(now, state, settings);
        self.send_orders(now, settings, effects);
        for id in self.polls.take_due(now, settings) {
            if let Some(engine) = self.engines.get(&id) {
                effects.push(ControlEffect::ReadState {
                    address: engine.address(),
                    server: id,
                });
            }
        }
    }

    fn send_orders(
        &mut self,
        now: Instant,
        settings: &LeaderSettings,
        effects: &mut Vec<ControlEffect>,
    ) {
        for (id, engine) in &mut self.engines {
            if let Some(order) = engine.send_due(now, settings) {
                effects.push(ControlEffect::SendOrder {
                    server: id.clone(),
                    address: engine.address(),
                    order,
                });
            }
        }
    }

    fn begin_swaps(&mut self, now: Instant, state: &ControlState, settings: &LeaderSettings) {
        let services: BTreeSet<&ServiceId> = state
            .configuration()
            .pools
            .values()
            .map(|pool| &pool.service)
            .collect();
        for service in services {
            let Some((wanted, store)) = state.wanted_weights(service) else {
                continue;
            };
            let candidates = self.candidates(now, service, wanted, store, state, settings);
            let live_share = state
                .configuration()
                .services
                .get(service)
                .map(|service| service.live_share)
                .unwrap_or_default();
            let limits = SwapLimits::new(settings, candidates.len(), live_share);
            let mut starts = swaps_to_begin(&candidates, wanted, store, limits);
            starts.extend(self.repeated_swaps(now, service, store));
            for start in starts {
                self.order_swap(now, start, wanted, settings);
            }
        }
    }

    /// Engines of a service that take work and answer. One that a stopped plan left behind counts
    /// as one that has nothing to do.
    fn candidates<'a>(
        &self,
        now: Instant,
        service: &ServiceId,
        wanted: WeightVersion,
        store: std::net::SocketAddr,
        state: &'a ControlState,
        settings: &LeaderSettings,
    ) -> Vec<SwapCandidate<'a>> {
        let servers = state.configuration().servers.values();
        servers
            .filter(|server| &server.service == service && server.admission == Admission::Open)
            .filter_map(|server| Some((server, self.engines.get(&server.id)?)))
            .filter(|(_, engine)| !engine.is_unreachable(now, settings.unreachable_after))
            .map(|(server, engine)| {
                let version = engine.version();
                let is_held = state.is_held(&server.id) && version.is_some();
                SwapCandidate {
                    server: &server.id,
                    address: server.address,
                    version,
                    fetching_from: engine.fetching_from(store),
                    ready: engine.is_ready(now) && version != Some(wanted) && !is_held,
                    failed_before: engine.failures() > 0,
                }
            })
            .collect()
    }

    fn repeated_swaps(
        &mut self,
        now: Instant,
        service: &ServiceId,
        store: std::net::SocketAddr,
    ) -> Vec<SwapStart> {
        let is_due = |id: &&ServerId| {
            self.engines
                .get(*id)
                .is_some_and(|engine| engine.service() == service && engine.is_ready(now))
        };
        let due: Vec<ServerId> = self.repeated.iter().filter(is_due).cloned().collect();
        for id in &due {
            self.repeated.remove(id);
        }
        due.into_iter()
            .map(|server| SwapStart {
                server,
                source: store,
            })
            .collect()
    }

    fn order_swap(
        &mut self,
        now: Instant,
        start: SwapStart,
        version: WeightVersion,
        settings: &LeaderSettings,
    ) {
        let Some(engine) = self.engines.get_mut(&start.server) else {
            return;
        };
        let boot_id = engine.boot_id().unwrap_or_default();
        let fence = self.fences.next();
        let order = SwapOrder::new(now, fence, version, start.source, boot_id);
        engine.give_order(now, order);
        self.polls
            .hurry(&start.server, now + settings.poll_interval);
    }

    /// All engines at a glance.
    pub(crate) fn status(&self) -> Vec<EngineStatus> {
        let status = |(id, engine): (&ServerId, &Engine)| EngineStatus {
            server: id.clone(),
            version: engine.version(),
            ordered: engine.ordered_version(),
            failures: engine.failures(),
        };
        self.engines.iter().map(status).collect()
    }
}

fn engine_servers(configuration: &Configuration) -> impl Iterator<Item = &Server> {
    configuration
        .servers
        .values()
        .filter(|server| is_engine_service(configuration, &server.service))
}

fn is_engine_service(configuration: &Configuration, id: &ServiceId) -> bool {
    configuration
        .services
        .get(id)
        .is_some_and(|service| matches!(service.kind, ServiceKind::Engines { .. }))
}

/// Whether a known engine is still in the configuration, at the same address.
fn is_same_engine(configuration: &Configuration, id: &ServerId, engine: &Engine) -> bool {
    configuration.servers.get(id).is_some_and(|server| {
        server.address == engine.address() && is_engine_service(configuration, &server.service)
    })
}
