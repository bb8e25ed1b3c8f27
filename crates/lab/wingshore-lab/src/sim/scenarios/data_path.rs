//! Scenarios of the data path: trainers, rollouts, engines, live requests.

use super::Scenario;
use super::ledger_leader::ledger_leader_lost;
use crate::events::Event;
use crate::process::{Call, Message, ProcessFault, ProcessOutput};
use crate::sim::data_layout::{Place, address};
use crate::sim::data_site::DataSite;
use crate::sim::network::{CutKind, NetworkSettings};
use crate::sim::slot::{Trap, TrapAction};
use crate::stand_ins::engine::EngineFault;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::GroupId;

/// How often a scenario does what it does.
pub(super) const ROUNDS: usize = 4;
/// Longest time a node stands still: shorter than its callers wait, so that a cut answer can
/// be told from a late one.
const MAX_NODE_FREEZE_MS: u64 = 5_000;

/// The scenarios of this file.
pub fn scenarios() -> Vec<Scenario> {
    vec![
        Scenario::data("data-calm", calm),
        Scenario::data("trainer-killed", trainer_killed),
        Scenario::data("ledger-leader-lost", ledger_leader_lost),
        Scenario::data("late-finishes", late_finishes),
        Scenario::data("node-killed", node_killed),
        Scenario::data("node-frozen-before-send", node_frozen_before_send),
        Scenario::data("engine-crash", engine_crash),
        Scenario::data("swap-fails", swap_fails),
        Scenario::data("platform-killed", platform_killed),
        Scenario::data("live-trouble", live_trouble),
        Scenario::data("server-leaving", server_leaving),
        Scenario::data("planned-stops", planned_stops),
        Scenario::data("data-mixed", mixed),
    ]
}

fn calm(site: &mut DataSite) {
    site.world.pause(5_000, 8_000);
}

/// The trainer dies right after it has received a batch, trained it, published a version or sent
/// an acknowledgement; then it comes back.
fn trainer_killed(site: &mut DataSite) {
    let trainer = address(Place::Trainer, 0);
    for _ in 0..ROUNDS {
        let wanted: fn(&ProcessOutput) -> bool = match site.world.random().random_range(0..4) {
            0 => |output| {
                is_event(output, |event| {
                    matches!(event, Event::BatchDelivered { .. })
                })
            },
            1 => |output| is_event(output, |event| matches!(event, Event::Trained { .. })),
            2 => |output| is_call(output, |call| matches!(call, Call::Pull { .. })),
            _ => |output| is_call(output, |call| matches!(call, Call::Acknowledge { .. })),
        };
        let trap = Trap::new(wanted, 0, TrapAction::KillAfter);
        site.world.set_trap(trainer, trap);
        let limit = Duration::from_secs(10);
        site.world.run_until(limit, |world| !world.is_up(trainer));
        site.world.pause(0, 2_000);
        site.world.start(trainer);
        site.world.pause(500, 2_000);
    }
}

/// Nodes stand still or are cut off longer than sample leases last, scorers' answers are lost, and
/// what was late arrives after another node has done the work.
fn late_finishes(site: &mut DataSite) {
    for _ in 0..ROUNDS {
        let node = site.any(Place::Node);
        match site.world.random().random_range(0..3) {
            0 => freeze_node(site, node, 2_500),
            1 => cut_from_replicas(site, node, CutKind::Stalled),
            _ => cut_from_replicas(site, node, CutKind::Silent),
        }
        let count = site.world.random().random_range(0..8);
        let scorer = address(Place::Scorer, 0);
        site.world
            .inject(scorer, ProcessFault::LoseAnswers { count });
        slow_engine(site);
        site.world.pause(2_500, 6_000);
        site.heal();
        site.world.pause(500, 2_000);
    }
}

/// Nodes die at any time, also in the middle of a step.
fn node_killed(site: &mut DataSite) {
    for _ in 0..ROUNDS {
        let node = site.any(Place::Node);
        if site.world.random().random_bool(0.5) {
            let skip = site.world.random().random_range(0..200);
            let wanted = |output: &ProcessOutput| matches!(output, ProcessOutput::Send { .. });
            let trap = Trap::new(wanted, skip, any_death(site));
            site.world.set_trap(node, trap);
        } else {
            site.world.kill(node, true);
        }
        site.world.pause(300, 4_000);
        site.heal();
        site.world.pause(500, 2_000);
    }
}

/// Nodes stand still right before they send a request to a server, an attempt to an engine or word
/// to a group, and send it when they wake.
fn node_frozen_before_send(site: &mut DataSite) {
    for _ in 0..ROUNDS * 2 {
        let node = site.any(Place::Node);
        let wanted: fn(&ProcessOutput) -> bool = match site.world.random().random_range(0..4) {
            0 => |output| is_call(output, |call| matches!(call, Call::Live(_))),
            1 => |output| is_call(output, |call| matches!(call, Call::Generate(_))),
            2 => |output| is_call(output, |call| matches!(call, Call::Score(_))),
            _ => |output| is_group_request(output),
        };
        let time = site.world.random().random_range(200..MAX_NODE_FREEZE_MS);
        let trap = Trap::new(
            wanted,
            site.world.random().random_range(0..3),
            TrapAction::FreezeBefore(Duration::from_millis(time)),
        );
        site.world.set_trap(node, trap);
        site.world.pause(500, 6_000);
    }
}

/// Engines die, stand still and come back with their first weights.
fn engine_crash(site: &mut DataSite) {
    for _ in 0..ROUNDS {
        let engine = site.any(Place::Engine);
        match site.world.random().random_range(0..4) {
            0 => site.world.kill(engine, true),
            1 => site.world.kill(engine, false),
            2 => {
                let time = site.world.random().random_range(200..8_000);
                let freeze = EngineFault::Freeze(Duration::from_millis(time));
                site.world.inject(engine, ProcessFault::Engine(freeze));
            }
            _ => site.world.isolate(engine, CutKind::Stalled),
        }
        site.world.pause(500, 4_000);
        site.heal();
        site.world.pause(500, 2_000);
    }
}

/// Swaps fail partway, engines tell old versions late, and the weight store is away.
fn swap_fails(site: &mut DataSite) {
    for _ in 0..ROUNDS {
        let engine = site.any(Place::Engine);
        match site.world.random().random_range(0..4) {
            0 | 1 => {
                let fault = ProcessFault::Engine(EngineFault::FailNextSwap);
                site.world.inject(engine, fault);
            }
            2 => {
                let by = Duration::from_millis(site.world.random().random_range(100..3_000));
                let count = site.world.random().random_range(1..12);
                let fault = ProcessFault::LateStates { count, by };
                site.world.inject(engine, fault);
            }
            _ => site
                .world
                .isolate(address(Place::Store, 0), CutKind::Silent),
        }
        site.world.pause(1_000, 5_000);
        site.heal();
    }
}

/// The scorer and the machine list die, at any time or right before or after a message leaves; the
/// weight store is away.
fn platform_killed(site: &mut DataSite) {
    for _ in 0..ROUNDS {
        let process = match site.world.random().random_range(0..3) {
            0 | 1 => address(Place::Scorer, 0),
            _ => address(Place::MachineList, 0),
        };
        let wanted = |output: &ProcessOutput| matches!(output, ProcessOutput::Send { .. });
        let trap = Trap::new(
            wanted,
            site.world.random().random_range(0..20),
            any_death(site),
        );
        site.world.set_trap(process, trap);
        if site.world.random().random_bool(0.3) {
            let store = address(Place::Store, 0);
            site.world.isolate(store, CutKind::Silent);
        }
        site.world.pause(500, 4_000);
        site.heal();
        site.world.pause(200, 2_000);
    }
}

/// Live servers die, cut and lose answers; nodes are cut off from servers and replicas, killed and
/// frozen.
fn live_trouble(site: &mut DataSite) {
    for _ in 0..ROUNDS * 2 {
        let server = site.any(Place::LiveServer);
        let node = site.any(Place::Node);
        let count = site.world.random().random_range(1..6);
        match site.world.random().random_range(0..7) {
            0 => site.world.kill(server, true),
            1 => site.world.kill(server, false),
            2 => site
                .world
                .inject(server, ProcessFault::LoseAnswers { count }),
            3 => site
                .world
                .inject(server, ProcessFault::CutAnswers { count }),
            4 => cut_from_replicas(site, node, CutKind::Silent),
            5 => {
                let kind = site.world.any_cut();
                site.world.cut(server, node, kind);
            }
            _ => freeze_node(site, node, 200),
        }
        site.world.pause(300, 2_500);
        if site.world.random().random_bool(0.6) {
            site.heal();
        }
    }
}

/// Servers and engines leave, by their own word or by the list, and come back.
fn server_leaving(site: &mut DataSite) {
    for _ in 0..2 {
        let place = match site.world.random().random_bool(0.5) {
            true => Place::LiveServer,
            false => Place::Engine,
        };
        let number = site.world.random().random_range(0..place.count());
        site.set_leaving(place, number, true);
        site.world.pause(4_000, 10_000);
        site.set_leaving(place, number, false);
        site.world.pause(1_000, 4_000);
    }
}

/// Nodes and replicas are stopped as planned, one after another, and started again.
fn planned_stops(site: &mut DataSite) {
    for _ in 0..ROUNDS {
        let place = match site.world.random().random_bool(0.6) {
            true => Place::Node,
            false => Place::Replica,
        };
        let machine = site.any(place);
        site.world.stop(machine);
        site.await_or_violate("the end of a planned stop", |world| !world.is_up(machine));
        site.world.pause(0, 1_000);
        site.world.start(machine);
        site.world.pause(500, 3_000);
    }
}

/// All of it, with replicas in trouble too.
fn mixed(site: &mut DataSite) {
    for _ in 0..ROUNDS * 2 {
        match site.world.random().random_range(0..8) {
            0 => site.world.kill(address(Place::Trainer, 0), true),
            1 => {
                let node = site.any(Place::Node);
                site.world.kill(node, true);
            }
            2 => {
                let engine = site.any(Place::Engine);
                site.world.kill(engine, true);
            }
            3 => {
                let engine = site.any(Place::Engine);
                let fault = ProcessFault::Engine(EngineFault::FailNextSwap);
                site.world.inject(engine, fault);
            }
            4 => {
                let replica = site.any(Place::Replica);
                site.world.kill(replica, true);
            }
            5 => {
                let leader = site.leader(GroupId::Ledger(1));
                let kind = site.world.any_cut();
                site.world.isolate(leader, kind);
            }
            6 => {
                let leader = site.leader(GroupId::Claims(1));
                let time = site.world.random().random_range(200..6_000);
                site.world.freeze(leader, Duration::from_millis(time));
            }
            _ => site.world.set_network(NetworkSettings {
                mean_extra_delay: Duration::from_millis(10),
                loss: 0.1,
                duplication: 0.1,
                ..NetworkSettings::default()
            }),
        }
        site.world.pause(300, 3_000);
        if site.world.random().random_bool(0.6) {
            site.heal();
        }
    }
}

fn freeze_node(site: &mut DataSite, node: SocketAddr, shortest_ms: u64) {
    let times = shortest_ms..MAX_NODE_FREEZE_MS;
    let time = site.world.random().random_range(times);
    site.world.freeze(node, Duration::from_millis(time));
}

fn cut_from_replicas(site: &mut DataSite, node: SocketAddr, kind: CutKind) {
    for replica in Place::Replica.addresses() {
        site.world.cut(node, replica, kind);
        site.world.cut(replica, node, kind);
    }
}

fn slow_engine(site: &mut DataSite) {
    let engine = site.any(Place::Engine);
    let permille = site.world.random().random_range(1000..8000);
    let fault = ProcessFault::Engine(EngineFault::StepTime(permille));
    site.world.inject(engine, fault);
}

fn any_death(site: &mut DataSite) -> TrapAction {
    match site.world.random().random_bool(0.5) {
        true => TrapAction::KillBefore,
        false => TrapAction::KillAfter,
    }
}

fn is_event(output: &ProcessOutput, wanted: impl Fn(&Event) -> bool) -> bool {
    matches!(output, ProcessOutput::Record(event) if wanted(event))
}

fn is_group_request(output: &ProcessOutput) -> bool {
    let ProcessOutput::Send { message, .. } = output else {
        return false;
    };
    matches!(message, Message::GroupRequest { group, .. } if *group != GroupId::Control)
}

fn is_call(output: &ProcessOutput, wanted: impl Fn(&Call) -> bool) -> bool {
    matches!(
        output,
        ProcessOutput::Send { message: Message::Call { call, .. }, .. } if wanted(call)
    )
}
