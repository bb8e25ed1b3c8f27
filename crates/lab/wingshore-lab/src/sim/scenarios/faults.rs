//! Faults that scenarios draw from.

use crate::process::{Message, ProcessOutput};
use crate::sim::network::{CutKind, NetworkSettings};
use crate::sim::site::Site;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::protocol::control::{ControlReply, PlanState};
use wingshore_types::protocol::wire::GroupReply;

/// One kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A replica is cut off.
    CutOff,
    CutOffLeader,
    /// One direction of one link is cut.
    OneWay,
    /// A replica's process dies and starts again.
    Kill,
    /// The leader's machine dies, without a word, and starts again.
    LoseLeader,
    /// A replica stands still.
    Freeze,
    /// The leader stands still.
    FreezeLeader,
    /// A replica dies in a storage call.
    StorageKill,
    /// A replica's disk fails to sync.
    SyncFailure,
    /// The network is slow and loses much.
    BadNetwork,
    /// A replica is stopped as planned and started again.
    PlannedStop,
}

impl Fault {
    const ALL: [Self; 11] = [
        Self::CutOff,
        Self::CutOffLeader,
        Self::OneWay,
        Self::Kill,
        Self::LoseLeader,
        Self::Freeze,
        Self::FreezeLeader,
        Self::StorageKill,
        Self::SyncFailure,
        Self::BadNetwork,
        Self::PlannedStop,
    ];

    /// Any fault.
    pub fn draw(site: &mut Site) -> Self {
        Self::ALL[site.world.random().random_range(0..Self::ALL.len())]
    }

    /// Does it.
    pub fn strike(self, site: &mut Site) {
        let leader = site.leader();
        let any = site.any_replica();
        let kind = site.world.any_cut();
        match self {
            Self::CutOff => site.world.isolate(any, kind),
            Self::CutOffLeader => site.world.isolate(leader, kind),
            Self::OneWay => cut_one_way(site, any, kind),
            Self::Kill => site.world.kill(any, true),
            Self::LoseLeader => site.world.kill(leader, false),
            Self::Freeze => freeze(site, any),
            Self::FreezeLeader => freeze(site, leader),
            Self::StorageKill => {
                let call = site.world.random().random_range(1..30);
                site.kill_at_storage_call(any, call);
            }
            Self::SyncFailure => site.fail_syncs(any),
            Self::BadNetwork => site.world.set_network(NetworkSettings {
                mean_extra_delay: Duration::from_millis(20),
                loss: 0.2,
                duplication: 0.1,
                ..NetworkSettings::default()
            }),
            Self::PlannedStop => site.world.stop(any),
        }
    }
}

fn freeze(site: &mut Site, address: SocketAddr) {
    let time = site.world.random().random_range(100..8_000);
    site.world.freeze(address, Duration::from_millis(time));
}

fn cut_one_way(site: &mut Site, address: SocketAddr, kind: CutKind) {
    let is_outgoing = site.world.random().random_bool(0.5);
    for other in site.replicas.clone() {
        let (from, to) = match is_outgoing {
            true => (address, other),
            false => (other, address),
        };
        if site.world.random().random_bool(0.7) {
            site.world.cut(from, to, kind);
        }
    }
}

/// Whether an output answers an operator with a plan.
pub fn is_plan_answer(output: &ProcessOutput) -> bool {
    matches!(
        output,
        ProcessOutput::Send {
            message: Message::GroupReply {
                body: GroupReply::Control(ControlReply::Plan(_)),
                ..
            },
            ..
        }
    )
}

/// Whether an output tells an operator that a plan is done.
pub fn is_done_answer(output: &ProcessOutput) -> bool {
    let ProcessOutput::Send {
        message: Message::GroupReply { body, .. },
        ..
    } = output
    else {
        return false;
    };
    match body {
        GroupReply::Control(ControlReply::Plan(plan)) => plan.state == PlanState::Done,
        _ => false,
    }
}
