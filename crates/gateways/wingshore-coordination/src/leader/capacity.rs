//! Ordering servers: commits how many of each pool are wanted, and orders them.
//!
//! A number is committed before it is ordered, so that a successor continues with it rather than with
//! one of its own. Which numbers are wanted is [`super::decisions::capacity_plan`]'s, when they are ordered
//! [`super::decisions::capacity_orders`]'s.

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

/// Time between two scans of what is wanted.
const SCAN_INTERVAL: Duration = Duration::from_millis(500);

impl CoordinationLeader {
    /// Decides how many servers are wanted, and orders what is due.
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
                self.want_servers(service, scaling, turn);
                self.order_servers(service, scaling, turn);
            }
        }
    }

    /// Commits the numbers that are wanted of a service's servers.
    fn want_servers(&mut self, service: &Service, scaling: &Scaling, turn: &mut Turn<'_>) {
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
            self.propose(command, FollowUp::CapacityWanted(pool), turn);
        }
    }

    /// What is asked of a service, and what it has.
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

    /// Items that a service runs, and its part of those that wait. A job's items are taken to go the way
    /// of its first one.
    fn open_items_of(&self, service: &ServiceName, state: &CoordinationState) -> usize {
        let engines = self.engines.iter();
        let engines = engines.filter(|(_, engine)| engine.record.service == *service);
        let running: usize = engines.map(|(_, engine)| engine.running).sum();
        let waiting = self.items.waiting_by_job().map(|(job, count)| {
            let route = self.route_of_job(job, state);
            let part = route.map_or(0.0, |route| route.part_of(service));
            (count as f64 * part).ceil() as usize
        });
        running + waiting.sum::<usize>()
    }

    /// Gives orders for which there is reason.
    fn order_servers(&mut self, service: &Service, scaling: &Scaling, turn: &mut Turn<'_>) {
        let holder = self.duty_holder();
        for (pool, count) in turn.state.capacity() {
            if pool.service != service.name {
                continue;
            }
            let present = present_in(pool, turn.state);
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

    /// A number is committed.
    pub(crate) fn capacity_wanted(&mut self, pool: &CapacityPool, turn: &mut Turn<'_>) {
        self.capacity.proposed.remove(pool);
        self.capacity.scanned_at = None;
        if let Some(order) = self.capacity.orders.get_mut(pool) {
            order.count_changed(turn.now);
        }
        self.drive_capacity(turn);
    }

    /// The provider has answered an order, or has not.
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

/// Servers of a pool that are registered and not leaving.
fn present_in(pool: &CapacityPool, state: &CoordinationState) -> u32 {
    let servers = state.servers().values();
    let present = servers.filter(|server| {
        server.service == pool.service
            && server.zone == pool.zone
            && server.reclaimable == pool.reclaimable
            && !server.draining
    });
    u32::try_from(present.count()).unwrap_or(u32::MAX)
}
