//! A simulated site with its whole data path: replicas of all groups, nodes, engines, live servers,
//! a trainer with its scorer and weight store, live callers and the machine list.
//!
//! Owns the replicas' disks and the trainer's notes, which outlive their processes. Relies on
//! `data_layout` for what it consists of and on [`crate::stand_ins`] for the platform's side.

use super::data_layout::{self, DataSettings, Place, address};
use super::network::NetworkSettings;
use super::node::{NodeFaults, SimNode};
use super::observer::ObserverHandle;
use super::operator;
use super::replica::{self, ReplicaFaults};
use super::slot::{self, Maker};
use super::task_list::TaskList;
use super::world::World;
use crate::events::Event;
use crate::process::ProcessFault;
use crate::stand_ins::engine::process::EngineProcess;
use crate::stand_ins::live_caller::process::LiveCallerProcess;
use crate::stand_ins::live_server::process::LiveServerProcess;
use crate::stand_ins::machine_list::process::MachineListProcess;
use crate::stand_ins::scorer::ScorerSettings;
use crate::stand_ins::scorer::process::ScorerProcess;
use crate::stand_ins::trainer::process::{TrainerDisk, TrainerProcess};
use crate::stand_ins::weight_store::WeightStoreSettings;
use crate::stand_ins::weight_store::process::WeightStoreProcess;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_storage::memory::{Faults as DiskFaults, MemoryFileSystem};
use wingshore_types::platform::MachineState;
use wingshore_types::protocol::control::Intent;
use wingshore_types::{GroupId, ServerId};

/// Longest time until a healthy site has done what was asked of it.
const SETTLE_LIMIT: Duration = Duration::from_secs(120);

/// Deliberate faults of all processes; all off outside tests.
#[derive(Clone, Copy, Debug, Default)]
pub struct SimFaults {
    /// Of replicas.
    pub replica: ReplicaFaults,
    /// Of nodes.
    pub node: NodeFaults,
}

impl From<ReplicaFaults> for SimFaults {
    fn from(replica: ReplicaFaults) -> Self {
        Self {
            replica,
            ..Self::default()
        }
    }
}

impl From<NodeFaults> for SimFaults {
    fn from(node: NodeFaults) -> Self {
        Self {
            node,
            ..Self::default()
        }
    }
}

/// A site in a world of its own.
pub struct DataSite {
    /// The world.
    pub world: World,
    /// What the simulator sees.
    pub observer: ObserverHandle,
    settings: DataSettings,
    founder: TaskList,
    disks: Vec<MemoryFileSystem>,
    trainer: TrainerDisk,
}

impl DataSite {
    /// A site whose processes have all been started.
    pub fn new(faults: SimFaults, seed: u64, trace: bool) -> Self {
        let observer = ObserverHandle::default();
        let mut world = World::new(seed, observer.clone(), trace);
        let mut site = Self {
            settings: DataSettings::draw(world.random()),
            world,
            observer,
            founder: TaskList::new(0, false),
            disks: Vec::new(),
            trainer: TrainerDisk::default(),
        };
        site.add_replicas(faults.replica);
        site.add_platform();
        site.add_founder();
        site.add_nodes(faults.node);
        site
    }

    /// Waits until the configuration stands and begins the trainer's and the callers' work.
    pub fn found(&mut self) {
        let founder = self.founder.clone();
        self.await_or_violate("the first configuration", |_| founder.is_done());
        self.add_callers();
    }

    /// Any machine of a kind.
    pub fn any(&mut self, place: Place) -> SocketAddr {
        address(place, self.world.random().random_range(0..place.count()))
    }

    /// The leader of a group, or any replica where none is known.
    pub fn leader(&self, group: GroupId) -> SocketAddr {
        let leader = self.observer.leader(group);
        leader.unwrap_or(address(Place::Replica, 0))
    }

    /// A machine leaves, or stays after all: the list learns of it, and a live server says so
    /// itself.
    pub fn set_leaving(&mut self, place: Place, number: usize, leaving: bool) {
        let state = match leaving {
            true => MachineState::Leaving,
            false => MachineState::Live,
        };
        let server = ServerId::new(&place.name(number));
        let list = address(Place::MachineList, 0);
        self.world
            .inject(list, ProcessFault::Machine { server, state });
        if place == Place::LiveServer {
            let fault = ProcessFault::Leaving(leaving);
            self.world.inject(address(place, number), fault);
        }
    }

    /// Waits until `condition` holds on a site that has no reason not to get there.
    pub fn await_or_violate(&mut self, what: &str, condition: impl Fn(&World) -> bool) -> bool {
        self.world.await_or_violate(SETTLE_LIMIT, what, condition)
    }

    /// Heals disks and links, lets all go on that stood still and starts what is down.
    pub fn heal(&mut self) {
        for disk in &self.disks {
            disk.set_faults(DiskFaults::default());
        }
        self.world.set_network(NetworkSettings::default());
        self.world.heal_all();
    }

    /// Heals everything, has the callers finish, and the trainer pull all that it has submitted.
    ///
    /// A trainer that died while it submitted submits the same again first: a stop before that
    /// would leave samples that are submitted and not noted.
    pub fn settle(&mut self) {
        self.heal();
        let (before, trainer) = (self.steps(), self.trainer.clone());
        self.await_or_violate("the trainer's next step", |_| {
            trainer.progress().next_step.0 > before
        });
        let mut finishing = Place::Caller.addresses();
        finishing.push(address(Place::Trainer, 0));
        for address in finishing.clone() {
            self.world.stop(address);
        }
        self.await_or_violate("the end of all callers and of the trainer", |world| {
            finishing.iter().all(|address| !world.is_up(*address))
        });
    }

    /// Judges the whole run.
    pub fn judge(&self) -> Vec<(String, String)> {
        self.world.judge(data_layout::lengths())
    }

    /// How far the trainer has come: steps acknowledged.
    pub fn steps(&self) -> u64 {
        self.trainer.progress().next_step.0
    }

    fn add(&mut self, place: Place, number: usize, maker: Maker) {
        let name = place.name(number);
        self.world.add(&name, address(place, number), maker);
    }

    fn add_replicas(&mut self, faults: ReplicaFaults) {
        let observer = self.observer.clone();
        let settings = self
            .settings
            .replicas(self.world.random(), faults, observer);
        for number in 0..Place::Replica.count() {
            let disk = MemoryFileSystem::new();
            self.disks.push(disk.clone());
            self.add(
                Place::Replica,
                number,
                replica::maker(settings.clone(), disk, number),
            );
        }
    }

    fn add_platform(&mut self) {
        let list = self.settings.machine_list();
        let maker =
            slot::maker(move |boot| MachineListProcess::new(boot.now, list.clone(), boot.seed));
        self.add(Place::MachineList, 0, maker);
        let maker = slot::maker(|boot| {
            WeightStoreProcess::new(boot.now, WeightStoreSettings::default(), boot.seed)
        });
        self.add(Place::Store, 0, maker);
        let maker =
            slot::maker(|boot| ScorerProcess::new(boot.now, ScorerSettings::default(), boot.seed));
        self.add(Place::Scorer, 0, maker);
        for number in 0..Place::Engine.count() {
            let engine = data_layout::engine();
            let maker =
                slot::maker(move |boot| EngineProcess::new(boot.now, engine.clone(), boot.seed));
            self.add(Place::Engine, number, maker);
        }
        for number in 0..Place::LiveServer.count() {
            let name = Place::LiveServer.name(number);
            let server = data_layout::live_server(number);
            let maker = slot::maker(move |boot| {
                LiveServerProcess::new(boot.now, &name, server.clone(), boot.seed)
            });
            self.add(Place::LiveServer, number, maker);
        }
    }

    fn add_founder(&mut self) {
        let changes = self.settings.first_changes();
        self.founder.add(Intent::Apply(changes));
        let (replicas, observer) = (Place::Replica.addresses(), self.observer.clone());
        let maker = operator::maker(0, replicas, self.founder.clone(), observer);
        self.add(Place::Operator, 0, maker);
    }

    fn add_nodes(&mut self, faults: NodeFaults) {
        for number in 0..Place::Node.count() {
            let mut node = self.settings.node(number);
            node.faults = faults;
            let maker = slot::maker(move |boot| SimNode::new(boot.now, node.clone(), boot.seed));
            self.add(Place::Node, number, maker);
        }
    }

    fn add_callers(&mut self) {
        for number in 0..Place::Caller.count() {
            let seed = self.world.random().random();
            let caller = data_layout::caller(number, seed);
            let beside = Event::CallerNode {
                caller: caller.name.clone(),
                node: Place::Node.name(number),
            };
            self.world.record("site", beside);
            let maker = slot::maker(move |boot| {
                LiveCallerProcess::new(boot.now, caller.clone(), boot.seed)
            });
            self.add(Place::Caller, number, maker);
        }
        let (trainer, disk) = (self.settings.trainer(), self.trainer.clone());
        let maker = slot::maker(move |boot| {
            TrainerProcess::new(boot.now, trainer.clone(), disk.clone(), boot.seed)
        });
        self.add(Place::Trainer, 0, maker);
    }
}
