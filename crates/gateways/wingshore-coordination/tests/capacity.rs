//! Tests of server orders: how many servers are ordered, in which zones, and when an order is
//! repeated.

mod support;

use googletest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use support::{Group, configuration, engine, job};
use wingshore_coordination::{
    CapacityDemand, CapacityOrder, CapacityPolicy, CapacityPool, Effect, Event, InstanceId,
    LeaderSettings, Peak, ProviderAnswer, Request, Scaling, ServerRecord, ServiceName,
    wanted_capacity,
};
use wingshore_types::Instant;

fn scaling() -> Scaling {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25)];
    Scaling {
        min: 1,
        max: 30,
        boot: Duration::from_secs(4),
        reclaimable_price: Some(0.18),
        zone_prices: prices
            .into_iter()
            .map(|(zone, price)| (zone.to_owned(), price))
            .collect(),
    }
}

fn demand(open_items: usize, non_reclaimable: u32) -> CapacityDemand {
    let zones = ["a", "b", "c"].map(|zone| (zone.to_owned(), non_reclaimable));
    CapacityDemand {
        open_items,
        slots: 8,
        non_reclaimable: BTreeMap::from(zones),
    }
}

fn counts(demand: &CapacityDemand, scaling: &Scaling, policy: CapacityPolicy) -> Vec<u32> {
    let service = ServiceName::from("llm");
    let wanted = wanted_capacity(&service, scaling, demand, policy);
    assert!(wanted.keys().all(|pool| pool.reclaimable));
    wanted.into_values().collect()
}

#[gtest]
fn wanted_servers_follow_open_items_and_are_spread_over_zones() {
    let by_demand = CapacityPolicy::ByDemand;
    expect_that!(
        counts(&demand(300, 15), &scaling(), by_demand),
        eq(&vec![0, 0, 0])
    );
    expect_that!(
        counts(&demand(456, 15), &scaling(), by_demand),
        eq(&vec![4, 4, 4])
    );
    // At most four fifths of the non-reclaimable servers.
    expect_that!(
        counts(&demand(9000, 15), &scaling(), by_demand),
        eq(&vec![12, 12, 12])
    );
}

/// The maximum of a zone limits the sum of reclaimable and other servers.
#[gtest]
fn the_maximum_of_a_zone_limits_reclaimable_and_other_servers() {
    let mut crowded = demand(9000, 15);
    crowded.non_reclaimable.insert("b".to_owned(), 28);
    expect_that!(
        counts(&crowded, &scaling(), CapacityPolicy::Most),
        eq(&vec![15, 2, 15])
    );
    let wanted = counts(&crowded, &scaling(), CapacityPolicy::ByDemand);
    expect_that!(wanted[1], eq(2));
}

#[gtest]
fn no_servers_are_wanted_without_policy_registered_servers_or_reclaimable_price() {
    let fixed = counts(&demand(9000, 15), &scaling(), CapacityPolicy::Fixed);
    expect_that!(fixed, is_empty());
    let none_registered = CapacityDemand::default();
    expect_that!(
        counts(&none_registered, &scaling(), CapacityPolicy::Most),
        is_empty()
    );
    let mut of_one_kind = scaling();
    of_one_kind.reclaimable_price = None;
    expect_that!(
        counts(&demand(9000, 15), &of_one_kind, CapacityPolicy::Most),
        is_empty()
    );
}

/// Training steps come every 4 s. Fewer items are open between two steps, which is no reason to
/// release servers.
#[gtest]
fn a_peak_is_kept_between_two_training_steps() {
    const SPAN: Duration = Duration::from_secs(15);
    let at = |seconds: u64| Instant::ZERO + Duration::from_secs(seconds);
    let mut peak = Peak::default();
    expect_that!(peak.record(at(1), 600, SPAN), eq(600));
    for seconds in 2..30 {
        let open = if seconds % 4 == 0 { 500 } else { 20 };
        expect_that!(peak.record(at(seconds), open, SPAN), ge(500));
    }
    expect_that!(peak.record(at(47), 20, SPAN), le(500));
    expect_that!(peak.record(at(63), 20, SPAN), eq(20));
}

/// A group whose service may be scaled, with four non-reclaimable engines.
fn group() -> Group {
    let mut group = Group::with_settings(LeaderSettings {
        orders_servers: true,
        engines_check_fences: true,
        ..LeaderSettings::default()
    });
    let mut site = configuration(2);
    site.services[0].scaling = Some(scaling());
    group.ask(Request::PutConfiguration(Arc::new(site)));
    for number in 0..4 {
        group.heartbeat(engine(&format!("e{number}"), 1));
    }
    group.ask(Request::SubmitJob(job("j", 200)));
    group.wait(Duration::from_secs(1));
    group
}

fn take_orders(group: &mut Group) -> Vec<CapacityOrder> {
    let effects = std::mem::take(&mut group.effects).into_iter();
    effects
        .filter_map(|effect| match effect {
            Effect::OrderCapacity(order) => Some(order),
            _ => None,
        })
        .collect()
}

fn answer(group: &mut Group, order: &CapacityOrder, answer: ProviderAnswer) {
    group.event(Event::CapacityAnswered {
        pool: order.pool.clone(),
        count: order.count,
        answer,
    });
}

/// The record of a server that was ordered for a pool and has started.
fn ordered_server(pool: &CapacityPool, number: u32) -> ServerRecord {
    let name = format!("spot-{}-{number}", pool.zone);
    ServerRecord {
        instance: InstanceId::from(name.as_str()),
        zone: pool.zone.clone(),
        reclaimable: true,
        ..engine(&name, 1)
    }
}

#[gtest]
fn an_order_is_repeated_only_after_servers_are_lost() {
    let mut group = group();
    let orders = take_orders(&mut group);
    expect_that!(orders, len(eq(3)));
    for order in &orders {
        expect_that!(order.count, eq(1));
        expect_that!(
            group.state.capacity().get(&order.pool),
            some(eq(&order.count))
        );
        answer(&mut group, order, ProviderAnswer::Done);
        let server = ordered_server(&order.pool, 0);
        group.heartbeat(server);
    }
    for _ in 0..5 {
        group.wait(Duration::from_secs(2));
        for number in 0..4 {
            group.heartbeat(engine(&format!("e{number}"), 1));
        }
        for order in &orders {
            group.heartbeat(ordered_server(&order.pool, 0));
        }
    }
    expect_that!(take_orders(&mut group), is_empty());
    // One server is lost, so the same number is ordered again.
    group.ask(Request::Deregister(
        ordered_server(&orders[0].pool, 0).instance.name().clone(),
    ));
    group.wait(Duration::from_secs(1));
    let again = take_orders(&mut group);
    expect_that!(again, elements_are![eq(&orders[0])]);
}

#[gtest]
fn a_failed_order_is_repeated_with_exponential_backoff() {
    let mut group = group();
    let mut given = 0;
    for _ in 0..40 {
        for order in take_orders(&mut group) {
            given += 1;
            // The provider has no servers available.
            answer(&mut group, &order, ProviderAnswer::Conflict);
        }
        group.wait(Duration::from_millis(250));
    }
    // Three pools over 10 s: at once, then after 0.5, 1, 2, 2 ... seconds.
    expect_that!(given, all![ge(12), le(24)]);
}

/// A new leader continues with the committed number, under its own fencing token.
#[gtest]
fn a_new_leader_orders_the_committed_numbers() {
    let mut group = group();
    let first = take_orders(&mut group);
    group.change_leader("coordinator-b");
    group.wait(Duration::from_secs(4));
    let second = take_orders(&mut group);
    expect_that!(second, not(is_empty()));
    for order in &second {
        let known = first.iter().find(|known| known.pool == order.pool);
        expect_that!(known.map(|known| known.count), some(eq(order.count)));
        expect_that!(order.holder.node.as_str(), eq("coordinator-b"));
    }
}

/// Guards against ordering servers for a service that runs no items. This happened when the number
/// of open items of the whole site was taken as the demand of each service, so that each job caused
/// orders for all of them.
#[gtest]
fn servers_are_ordered_for_the_service_that_runs_the_items_only() {
    let mut group = Group::with_settings(LeaderSettings {
        orders_servers: true,
        engines_check_fences: true,
        ..LeaderSettings::default()
    });
    let other = ServiceName::from("other");
    let mut site = configuration(2);
    site.services[0].scaling = Some(scaling());
    let mut idle = site.services[0].clone();
    idle.name = other.clone();
    site.services.push(idle);
    group.ask(Request::PutConfiguration(Arc::new(site)));
    for number in 0..4 {
        group.heartbeat(engine(&format!("e{number}"), 1));
        group.heartbeat(ServerRecord {
            service: other.clone(),
            ..engine(&format!("o{number}"), 1)
        });
    }
    group.ask(Request::SubmitJob(job("j", 200)));
    group.wait(Duration::from_secs(1));
    let orders = take_orders(&mut group);
    let ordered = |service: &ServiceName| -> u32 {
        let orders = orders.iter();
        let orders = orders.filter(|order| order.pool.service == *service);
        orders.map(|order| order.count).sum()
    };
    expect_that!(ordered(&ServiceName::from("llm")), eq(3));
    expect_that!(ordered(&other), eq(0));
}
