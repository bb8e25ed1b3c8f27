//! Ordering servers: commits the wanted number of servers of each pool, and orders it.
//!
//! A number is committed before it is ordered, so that the next leader continues with it instead of
//! computing its own. [`super::decisions::capacity_plan`] computes the wanted numbers;
//! [`super::decisions::capacity_orders`] decides when to order them.

use super::decision_log::Decision;
use super::decisions::capacity_plan::{CapacityDemand, DEMAND_MEMORY, wanted};
use super::interface::Effect;
use super::machine::CoordinationLeader;
use super::proposals::FollowUp;
use super::turn::Turn;
use crate::configuration::Service;
use crate::ids::ServiceName;
use crate::provider::{CapacityOrder, ProviderAnswer};
use crate::scaling::{CapacityPool, Scaling};
use crate::state::{Command, CoordinationState};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use wingshore_types::Instant;

/// Time between two computations of the wanted numbers.
const SCAN_INTERVAL: Duration = Duration::from_millis(500);

impl CoordinationLeader {
    /// Computes the wanted numbers of servers, and sends the orders that are due.
    pub(crate) fn drive_capacity(&mut self, turn: &mut Turn<'_>) {
        let scanned_at = self.capacity.scanned_at;
        let is_due = scanned_at.is_none_or(|at| turn.now.since(at) >= SCAN_INTERVAL);
        let Some(configuration) = turn.state.configuration().filter(|_| is_due) else {
            return;
        };
        if !self.settings.orders_servers || !self.rollout.holds_orders() {
            return;
        }
        self.capacity.scanned_at = Some(turn.now);
        let configuration = Arc::clone(configuration);
        for service in &configuration.services {
            if let Some(scaling) = &service.scaling {
                self.propose_wanted_counts(service, scaling, turn);
                self.order_servers(service, scaling, turn);
            }
        }
    }

    /// Proposes the wanted numbers of a service's servers where they changed.
    fn propose_wanted_counts(&mut self, service: &Service, scaling: &Scaling, turn: &mut Turn<'_>) {
        let demand = self.demand_of(turn.now, service, turn.state);
        for (pool, count) in wanted(&service.name, scaling, &demand, self.settings.capacity) {
            let known = turn.state.capacity().get(&pool).copied();
            if known == Some(count) || self.capacity.proposed.contains(&pool) {
                continue;
            }
            let decision = Decision::CapacityWanted {
                pool: pool.clone(),
                count,
                before: known,
                open_items: demand.open_items,
            };
            turn.log(decision);
            self.capacity.proposed.insert(pool.clone());
            let command = Command::WantCapacity {
                pool: pool.clone(),
                count,
            };
            self.propose(command, FollowUp::CapacityCommitted(pool), turn);
        }
    }

    /// Returns the demand for a service and the servers that it already has.
    fn demand_of(
        &mut self,
        now: Instant,
        service: &Service,
        state: &CoordinationState,
    ) -> CapacityDemand {
        let open_now = self.open_items_of(&service.name, state);
        let peaks = &mut self.capacity.open_items;
        let peak = peaks.entry(service.name.clone()).or_default();
        let mut demand = CapacityDemand {
            open_items: peak.record(now, open_now, DEMAND_MEMORY),
            slots: service.engine.as_ref().map_or(1, |engine| engine.slots),
            non_reclaimable: BTreeMap::new(),
        };
        let servers = state.servers().values();
        for server in servers.filter(|server| server.service == service.name) {
            if !server.draining && !server.reclaimable {
                *demand
                    .non_reclaimable
                    .entry(server.zone.clone())
                    .or_default() += 1;
            }
        }
        demand
    }

    /// Returns the number of items that a service runs plus its share of the waiting ones. All
    /// items of a job are assumed to take the route of the first one.
    fn open_items_of(&self, service: &ServiceName, state: &CoordinationState) -> usize {
        let engines = self.engines.iter();
        let engines = engines.filter(|(_, engine)| engine.record.service == *service);
        let running: usize = engines.map(|(_, engine)| engine.running).sum();
        let waiting = self.items.waiting_by_job().map(|(job, count)| {
            let route = self.route_of_job(job, state);
            let share = route.map_or(0.0, |route| route.traffic_share(service));
            (count as f64 * share).ceil() as usize
        });
        running + waiting.sum::<usize>()
    }

    /// Sends the orders of a service that are due.
    fn order_servers(&mut self, service: &Service, scaling: &Scaling, turn: &mut Turn<'_>) {
        let holder = self.duty_holder();
        for (pool, count) in turn.state.capacity() {
            if pool.service != service.name {
                continue;
            }
            let present = count_present_servers(pool, turn.state);
            let order = self.capacity.orders.entry(pool.clone()).or_default();
            if !order.is_due(turn.now, *count, present, scaling.boot) {
                continue;
            }
            order.sent();
            let effect = Effect::OrderCapacity(CapacityOrder {
                pool: pool.clone(),
                count: *count,
                holder: holder.clone(),
            });
            turn.effect(effect);
        }
    }

    /// Continues after the wanted number of a pool was committed.
    pub(crate) fn on_capacity_committed(&mut self, pool: &CapacityPool, turn: &mut Turn<'_>) {
        self.capacity.proposed.remove(pool);
        self.capacity.scanned_at = None;
        if let Some(order) = self.capacity.orders.get_mut(pool) {
            order.count_changed(turn.now);
        }
        self.drive_capacity(turn);
    }

    /// Handles the provider's answer to an order, or the lack of one.
    pub(crate) fn on_capacity_answered(
        &mut self,
        now: Instant,
        pool: &CapacityPool,
        count: u32,
        answer: ProviderAnswer,
    ) {
        if let Some(order) = self.capacity.orders.get_mut(pool) {
            order.on_answer(now, count, pool.reclaimable, answer);
        }
    }
}

/// Returns the number of registered servers of a pool that are not draining.
fn count_present_servers(pool: &CapacityPool, state: &CoordinationState) -> u32 {
    let servers = state.servers().values();
    let present = servers.filter(|server| {
        server.service == pool.service
            && server.zone == pool.zone
            && server.reclaimable == pool.reclaimable
            && !server.draining
    });
    u32::try_from(present.count()).unwrap_or(u32::MAX)
}
