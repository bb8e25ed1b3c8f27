//! Ordering servers: how many of each service are to be had where.
//!
//! A number is committed before it is ordered, so that a successor goes on with it rather than with
//! one of its own. An order is given again until the provider acknowledges it, and later while the
//! registry shows another number: an older order may have been carried out late, or servers may be
//! lost. Which numbers are wanted is [`super::decisions::capacity_plan`]'s.

use super::decision_log::Decision;
use super::decisions::capacity_plan::{CapacityDemand, DEMAND_MEMORY, Peak, wanted};
use super::interface::Effect;
use super::machine::CoordinationLeader;
use super::proposals::FollowUp;
use super::turn::Turn;
use crate::configuration::Service;
use crate::ids::ServiceName;
use crate::provider::{CapacityOrder, ProviderAnswer};
use crate::scaling::{CapacityPool, Scaling};
use crate::state::{Command, CoordinationState};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use wingshore_types::{Instant, doubled_pause};

/// Between two looks at what is wanted.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a first order without success; twice as long after each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// The longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Servers that were ordered are missed this long after they should serve.
const BOOT_MARGIN: Duration = Duration::from_secs(4);

/// How an order stands.
#[derive(Clone, Copy, Debug, Default)]
struct OrderState {
    is_under_way: bool,
    failures: u32,
    not_before: Instant,
    /// The number that the provider has acknowledged, and when.
    acknowledged: Option<(u32, Instant)>,
    /// Whether another holder has acted on it: this one does not any more.
    is_fenced: bool,
}

/// What the leader knows of servers ordered besides what is durable.
#[derive(Default)]
pub(crate) struct Capacity {
    orders: BTreeMap<CapacityPool, OrderState>,
    looked_at: Option<Instant>,
    /// Pools whose number is being committed.
    proposed: BTreeSet<CapacityPool>,
    /// Items that were open at once lately, by the service that runs them.
    open_items: BTreeMap<ServiceName, Peak>,
}

impl CoordinationLeader {
    /// Decides how many servers are wanted, and orders what is due.
    pub(crate) fn drive_capacity(&mut self, turn: &mut Turn<'_>) {
        let looked_at = self.capacity.looked_at;
        let is_due = looked_at.is_none_or(|at| turn.now.since(at) >= LOOK_INTERVAL);
        let Some(configuration) = turn.state.configuration().filter(|_| is_due) else {
            return;
        };
        if !self.settings.orders_servers || !self.rollout.holds_orders() {
            return;
        }
        self.capacity.looked_at = Some(turn.now);
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
            open_items: peak.note(now, open_now, DEMAND_MEMORY),
            slots: service.engine.as_ref().map_or(1, |engine| engine.slots),
            staying: BTreeMap::new(),
        };
        let servers = state.servers().values();
        for server in servers.filter(|server| server.service == service.name) {
            if !server.draining && !server.reclaimable {
                *demand.staying.entry(server.zone.clone()).or_default() += 1;
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
            if order.is_under_way || order.is_fenced || turn.now < order.not_before {
                continue;
            }
            let is_had = order.acknowledged.is_some_and(|(acknowledged, at)| {
                let is_booting = turn.now < at + scaling.boot + BOOT_MARGIN;
                acknowledged == *count && (is_booting || present == *count)
            });
            if is_had {
                continue;
            }
            order.is_under_way = true;
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
        self.capacity.looked_at = None;
        if let Some(order) = self.capacity.orders.get_mut(pool) {
            order.not_before = turn.now;
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
        let Some(order) = self.capacity.orders.get_mut(pool) else {
            return;
        };
        order.is_under_way = false;
        match answer {
            ProviderAnswer::Done => {
                order.acknowledged = Some((count, now));
                order.failures = 0;
            }
            // Of servers that may be taken away it says that there are none to be had.
            ProviderAnswer::Conflict if !pool.reclaimable => order.is_fenced = true,
            ProviderAnswer::Conflict
            | ProviderAnswer::Busy
            | ProviderAnswer::Refused
            | ProviderAnswer::Unknown => {
                order.not_before = now + doubled_pause(FIRST_PAUSE, order.failures, LONGEST_PAUSE);
                order.failures += 1;
            }
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
