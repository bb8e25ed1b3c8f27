//! A simulated site: replicas with their disks, operators, followers of the configuration and
//! engines, around one [`World`], for scenarios of the control group.
//!
//! Owns the disks and what operators are to do; `site_layout` has its configuration.

use super::administrator::{self, Repairs};
use super::network::NetworkSettings;
use super::observer::{ObserverHandle, SimPromise};
use super::operator;
use super::replica::{self, ReplicaFaults, ReplicaSettings, founders};
use super::slot;
use super::task_list::TaskList;
use super::watcher;
use super::world::World;
use crate::stand_ins::engine::EngineSettings;
use crate::stand_ins::engine::length::LengthDistribution;
use crate::stand_ins::engine::process::EngineProcess;
use crate::stand_ins::weight_store::WeightStoreSettings;
use crate::stand_ins::weight_store::process::WeightStoreProcess;
use rand::RngExt;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use wingshore_storage::memory::{Faults as DiskFaults, MemoryFileSystem};
use wingshore_types::protocol::control::Intent;
use wingshore_types::{GroupId, PoolId, ReplicaId, WeightVersion};

/// Longest time until a healthy site has done what was asked of it.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);
/// Port of all processes.
const PORT: u16 = 1000;
/// The service of engines.
pub(super) const ENGINES: &str = "engines";
/// The pool of engines.
pub(super) const POOL: &str = "pool";

/// Kinds of machines, as a part of their addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Replica = 1,
    /// Followers of the configuration.
    Watcher = 2,
    /// Operators and the administrator.
    Operator = 3,
    /// Engines.
    Engine = 4,
    /// The weight store.
    Store = 5,
}

/// Where the machine `number` of a kind is.
pub fn address(kind: Kind, number: usize) -> SocketAddr {
    let number = u8::try_from(number).unwrap_or(u8::MAX);
    SocketAddr::from((Ipv4Addr::new(127, 0, kind as u8, number), PORT))
}

/// What a site consists of.
#[derive(Clone, Copy, Debug, Default)]
pub struct SiteSettings {
    /// Replicas: three or five.
    pub replicas: usize,
    /// Followers of the configuration.
    pub watchers: usize,
    /// Operators who change what is their own.
    pub operators: usize,
    /// Operators who race for the same server.
    pub racers: usize,
    /// Changes each of them makes.
    pub changes: u32,
    pub engines: usize,
}

/// A site in a world of its own.
pub struct Site {
    pub world: World,
    pub replicas: Vec<SocketAddr>,
    /// What the simulator sees.
    pub observer: ObserverHandle,
    /// What operators do, the founder's first.
    pub task_lists: Vec<TaskList>,
    /// What the administrator does.
    pub repairs: Repairs,
    settings: SiteSettings,
    disks: Vec<MemoryFileSystem>,
}

impl Site {
    /// A site whose processes have all been started.
    pub fn new(settings: SiteSettings, faults: ReplicaFaults, seed: u64, trace: bool) -> Self {
        let observer = ObserverHandle::default();
        let mut site = Self {
            world: World::new(seed, observer.clone(), trace),
            replicas: (0..settings.replicas)
                .map(|number| address(Kind::Replica, number))
                .collect(),
            observer,
            task_lists: Vec::new(),
            repairs: Repairs::default(),
            settings,
            disks: Vec::new(),
        };
        site.add_replicas(faults);
        site.add_engines();
        site.add_operators();
        site.add_watchers();
        site
    }

    /// What the site consists of.
    pub fn settings(&self) -> &SiteSettings {
        &self.settings
    }

    /// The leader of the control group, or any replica where none is known.
    pub fn leader(&self) -> SocketAddr {
        let leader = self.observer.leader(GroupId::Control);
        leader.unwrap_or(self.replicas[0])
    }

    /// A replica that does not lead the control group.
    pub fn follower(&mut self) -> SocketAddr {
        let leader = self.leader();
        let others: Vec<SocketAddr> = self
            .replicas
            .iter()
            .copied()
            .filter(|address| *address != leader)
            .collect();
        others[self.world.random().random_range(0..others.len())]
    }

    pub fn any_replica(&mut self) -> SocketAddr {
        let count = self.replicas.len();
        self.replicas[self.world.random().random_range(0..count)]
    }

    /// The process dies in the `call`th storage call from now.
    pub fn kill_at_storage_call(&self, address: SocketAddr, call: u64) {
        if let Some(disk) = self.disk(address) {
            disk.set_faults(DiskFaults {
                crash_at: Some(disk.calls() + call),
                ..DiskFaults::default()
            });
        }
    }

    /// Syncs fail from now on.
    pub fn fail_syncs(&self, address: SocketAddr) {
        if let Some(disk) = self.disk(address) {
            disk.set_faults(DiskFaults {
                fail_syncs_from: Some(disk.calls() + 1),
                ..DiskFaults::default()
            });
        }
    }

    /// The replica dies and its disk is lost; it comes back on an empty one. Gives its identity
    /// of before.
    pub fn lose_disk(&mut self, address: SocketAddr) -> Option<ReplicaId> {
        let old = self.observer.member_at(address);
        self.world.kill(address, true);
        self.world.record_action(&address.to_string(), "lose_disk");
        self.disk(address)?.lose_disk();
        old
    }

    /// Has the administrator put whoever starts at `address` in the place of `old`.
    pub fn repair(&self, address: SocketAddr, old: ReplicaId) {
        self.repairs.add(address, old, GroupId::all(0, 0));
    }

    /// Waits until `condition` holds on a site that has no reason not to get there.
    pub fn await_or_violate(&mut self, what: &str, condition: impl Fn(&World) -> bool) -> bool {
        self.world.await_or_violate(SETTLE_LIMIT, what, condition)
    }

    /// Waits until the site is founded: the first configuration is committed.
    pub fn found(&mut self) {
        let founder = self.task_lists[0].clone();
        self.await_or_violate("the first configuration", |_| founder.is_done());
        for tasks in self.task_lists.iter().skip(1) {
            tasks.add_changes(self.settings.changes);
        }
    }

    /// Heals disks and links, lets all go on that stood still and starts what is down.
    pub fn heal(&mut self) {
        for disk in &self.disks {
            disk.set_faults(DiskFaults::default());
        }
        self.world.heal_all();
    }

    /// Heals everything and waits until all that was asked for is done and known everywhere.
    pub fn settle(&mut self) {
        self.world.set_network(NetworkSettings::default());
        self.heal();
        let repairs = self.repairs.clone();
        self.await_or_violate("the end of repairs", |_| repairs.are_done());
        let task_lists = self.task_lists.clone();
        let all_done = |_: &World| task_lists.iter().all(TaskList::is_done);
        if !self.await_or_violate("the end of all intents", all_done) {
            return;
        }
        let last = self.last_change();
        self.task_lists[0].add(Intent::Apply(vec![last]));
        let founder = self.task_lists[0].clone();
        self.await_or_violate("a last change", |_| founder.is_done());
        self.await_agreement();
    }

    /// All members and all followers have the newest configuration.
    fn await_agreement(&mut self) {
        let observer = self.observer.clone();
        let replicas = self.replicas.clone();
        let control = GroupId::Control;
        self.await_or_violate("the newest entry on every member", |_| {
            let newest = observer.newest(control);
            let mut members = replicas.iter();
            members.all(|address| observer.reached_by(control, *address) >= newest)
        });
        self.world.run_for(Duration::from_secs(3));
        let newest = self.observer.committed_revision();
        for name in self.observer.behind(newest) {
            let detail = format!("{name} does not follow revision {newest}");
            self.observer.violate(SimPromise::Liveness, detail);
        }
    }

    /// Judges the whole run.
    pub fn judge(&mut self) -> Vec<(String, String)> {
        self.observer.judge_configuration();
        let engines = EngineSettings::default();
        let lengths = LengthDistribution {
            median: engines.length_median,
            sigma: engines.length_sigma,
        };
        self.world.judge(lengths)
    }

    /// Publishes a version and states that the pool's engines move to a version.
    pub fn move_pool(&self, version: u64) {
        let pool = PoolId::new(POOL);
        let model = EngineSettings::default().model;
        let store = address(Kind::Store, 0);
        self.task_lists[0].publish(pool, WeightVersion(version), &model, store);
        self.task_lists[0].add(Intent::MovePool {
            pool: PoolId::new(POOL),
            version: WeightVersion(version),
        });
    }

    fn disk(&self, address: SocketAddr) -> Option<&MemoryFileSystem> {
        let number = self.replicas.iter().position(|known| *known == address)?;
        self.disks.get(number)
    }

    fn add_replicas(&mut self, faults: ReplicaFaults) {
        let random = self.world.random();
        let settings = ReplicaSettings {
            founding: founders(&self.replicas),
            groups: 0,
            limits: wingshore_group::Limits {
                snapshot_chunk_bytes: random.random_range(200..4096),
                retained_log_bytes: random.random_range(0..8192),
                ..wingshore_group::Limits::default()
            },
            snapshot_every_bytes: random.random_range(500..50_000),
            segment_bytes: random.random_range(1000..20_000),
            faults,
            observer: self.observer.clone(),
        };
        for (number, address) in self.replicas.clone().into_iter().enumerate() {
            let disk = MemoryFileSystem::new();
            self.disks.push(disk.clone());
            let name = format!("replica-{}", number + 1);
            let maker = replica::maker(settings.clone(), disk, number);
            self.world.add(&name, address, maker);
        }
    }

    fn add_operators(&mut self) {
        let founder = TaskList::new(0, false);
        founder.add(Intent::Apply(self.first_changes()));
        self.task_lists.push(founder);
        let own = (0..self.settings.operators).map(|_| TaskList::new(0, false));
        let racing = (0..self.settings.racers).map(|_| TaskList::new(0, true));
        self.task_lists.extend(own.chain(racing));
        for (number, tasks) in self.task_lists.clone().into_iter().enumerate() {
            let name = format!("operator-{number}");
            let (replicas, observer) = (self.replicas.clone(), self.observer.clone());
            let maker = operator::maker(number as u8, replicas, tasks, observer);
            self.world
                .add(&name, address(Kind::Operator, number), maker);
        }
        let (replicas, observer) = (self.replicas.clone(), self.observer.clone());
        let maker = administrator::maker(replicas, self.repairs.clone(), observer);
        let last = usize::from(u8::MAX);
        self.world
            .add("administrator", address(Kind::Operator, last), maker);
    }

    fn add_watchers(&mut self) {
        for number in 0..self.settings.watchers {
            let name = format!("watcher-{number}");
            let (replicas, observer) = (self.replicas.clone(), self.observer.clone());
            let maker = watcher::maker(&name, replicas, observer);
            self.world.add(&name, address(Kind::Watcher, number), maker);
        }
    }

    fn add_engines(&mut self) {
        if self.settings.engines == 0 {
            return;
        }
        let store = slot::maker(|boot| {
            WeightStoreProcess::new(boot.now, WeightStoreSettings::default(), boot.seed)
        });
        self.world.add("store", address(Kind::Store, 0), store);
        for number in 0..self.settings.engines {
            let maker = slot::maker(|boot| {
                EngineProcess::new(boot.now, EngineSettings::default(), boot.seed)
            });
            let name = format!("engine-{number}");
            self.world.add(&name, address(Kind::Engine, number), maker);
        }
    }
}
