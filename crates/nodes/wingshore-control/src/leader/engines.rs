//! All engines of the configuration: their reports and the orders to them.

use super::engine::Engine;
use super::orders::FenceSource;
use super::polling::PollSchedule;
use super::service_index::ServiceIndex;
use super::swap_scheduler::SchedulerView;
use crate::effect::{ControlEffect, OrderAnswer};
use crate::settings::LeaderSettings;
use crate::state::{ControlState, is_engine_service};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wingshore_types::Instant;
use wingshore_types::configuration::{Configuration, Server};
use wingshore_types::ids::{ServerId, ServiceId};
use wingshore_types::platform::{EngineState, OrderFence};
use wingshore_types::protocol::control::EngineStatus;

/// A swap that has succeeded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FinishedSwap {
    /// Service that the engine belongs to.
    pub(crate) service: ServiceId,
    /// Time from the order to the report that shows the new version.
    pub(crate) duration: Duration,
}

/// The engines of the configuration.
#[derive(Debug, Default)]
pub(crate) struct Engines {
    pub(super) engines: BTreeMap<ServerId, Engine>,
    pub(super) index: ServiceIndex,
    pub(super) polls: PollSchedule,
    pub(super) fences: FenceSource,
    /// Engines with an order that has no result yet.
    pub(super) ordered: BTreeSet<ServerId>,
    /// Start of the leadership; reports polled earlier belong to another leadership.
    leadership_began: Instant,
    /// Engines to order again although they have the version; set only by fault injection.
    pub(super) swaps_to_repeat: BTreeSet<ServerId>,
}

impl Engines {
    /// Creates the table at the beginning of a leadership, when there are no reports yet.
    pub(crate) fn new(now: Instant, fences: FenceSource) -> Self {
        Self {
            fences,
            leadership_began: now,
            ..Self::default()
        }
    }

    /// Adds, removes and moves engines so that the table matches the configuration.
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
        let engines = self.engines.iter();
        self.index = ServiceIndex::new(engines.map(|(id, engine)| (id, engine.service())));
    }

    /// Returns an engine of the configuration.
    pub(crate) fn get(&self, id: &ServerId) -> Option<&Engine> {
        self.engines.get(id)
    }

    /// Injected fault: orders this engine to swap again, whatever it reports.
    pub(crate) fn repeat_swap(&mut self, id: &ServerId) {
        self.swaps_to_repeat.insert(id.clone());
    }

    /// Handles the answer to an order.
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

    /// Handles the answer to a poll; `None` means that the poll failed. Returns the swap that the
    /// report shows to have succeeded.
    pub(crate) fn on_state(
        &mut self,
        id: &ServerId,
        polled_at: Instant,
        report: Option<EngineState>,
        view: SchedulerView<'_>,
    ) -> Option<FinishedSwap> {
        let engine = self.engines.get_mut(id)?;
        if polled_at < self.leadership_began {
            return None;
        }
        let version = engine.version();
        let duration = match report {
            Some(report) => engine.on_report(view.now, polled_at, report, view.settings),
            None => {
                engine.on_poll_failure(polled_at);
                None
            }
        };
        let is_busy = engine.is_swapping();
        if is_busy || engine.version() != version {
            self.index.set_settled(engine.service(), false);
        }
        let polling = is_busy.then(|| view.swap_polling(engine.service()));
        self.polls.on_answer(id, polled_at, polling, view.settings);
        Some(FinishedSwap {
            service: engine.service().clone(),
            duration: duration?,
        })
    }

    /// Makes the next poll of an engine due at `at`, if it is due later.
    pub(crate) fn poll_by(&mut self, id: &ServerId, at: Instant) {
        self.polls.poll_by(id, at);
    }

    /// Polls engines for their state, sends new orders and resends unanswered ones.
    pub(crate) fn tick(
        &mut self,
        now: Instant,
        state: &ControlState,
        settings: &LeaderSettings,
        effects: &mut Vec<ControlEffect>,
    ) {
        let view = SchedulerView {
            now,
            state,
            settings,
        };
        self.end_overdue_orders(now, settings);
        self.begin_swaps(view);
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

    fn end_overdue_orders(&mut self, now: Instant, settings: &LeaderSettings) {
        let engines = &mut self.engines;
        self.ordered.retain(|id| {
            engines.get_mut(id).is_some_and(|engine| {
                engine.check_timeout(now, settings);
                engine.has_order()
            })
        });
    }

    fn send_orders(
        &mut self,
        now: Instant,
        settings: &LeaderSettings,
        effects: &mut Vec<ControlEffect>,
    ) {
        for id in &self.ordered {
            let Some(engine) = self.engines.get_mut(id) else {
                continue;
            };
            if let Some(order) = engine.send_due(now, settings) {
                effects.push(ControlEffect::SendOrder {
                    server: id.clone(),
                    address: engine.address(),
                    order,
                });
            }
        }
    }

    /// Returns the status of all engines.
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

/// Returns whether a known engine is still in the configuration at the same address.
fn is_same_engine(configuration: &Configuration, id: &ServerId, engine: &Engine) -> bool {
    configuration.servers.get(id).is_some_and(|server| {
        server.address == engine.address() && is_engine_service(configuration, &server.service)
    })
}
