//! Hosts whose logs lie in real stores on disks that lose what is not synced.
//!
//! Deterministic: one message takes one quantum, and a write is done at the end of the step that
//! asked for it, after everything else that the step let out. That is the order in which a death
//! in a write does the most harm.

use super::member::config;
use super::numbers::{Numbers, NumbersLeader, Request};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use wingshore_group::{Faults, Host, HostInput, HostOutput, HostReply};
use wingshore_storage::GroupStore;
use wingshore_storage::memory::{self, MemoryFileSystem};
use wingshore_types::log::WriteBatch;
use wingshore_types::machine::RequestTag;
use wingshore_types::protocol::membership::{Member, MembershipReply, MembershipRequest};
use wingshore_types::{Instant, LogIndex, ReplicaId};

use super::cluster::{TestHost, TestReply};

const QUANTUM: Duration = Duration::from_millis(10);
const DIRECTORY: &str = "/data/group";
/// Small, so that segments are closed and removed.
const SEGMENT_BYTES: u64 = 400;
/// How long a machine is down after its process died.
const DOWN: Duration = Duration::from_millis(700);
/// Longest wait for anything, in simulated time.
const PATIENCE: Duration = Duration::from_secs(60);
/// Longest wait for one answer.
const ANSWER_WAIT: Duration = Duration::from_secs(3);

/// What writes were asked for; a script must cause all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteKind {
    Append,
    Compact,
    Install,
    Truncate,
}

/// A machine with its disk.
struct Machine {
    id: ReplicaId,
    bootstrap: bool,
    disk: MemoryFileSystem,
    running: Option<(TestHost, GroupStore)>,
    starts_at: Option<Instant>,
}

/// A site; `violation` is the first broken promise.
pub struct CrashSite {
    now: Instant,
    faults: Faults,
    seed: u64,
    machines: BTreeMap<ReplicaId, Machine>,
    isolated: Option<ReplicaId>,
    inputs: VecDeque<(ReplicaId, HostInput<NumbersLeader>)>,
    replies: BTreeMap<RequestTag, TestReply>,
    last_tag: u64,
    last_number: u64,
    /// What was applied anywhere, in order.
    history: Vec<u64>,
    /// Numbers whose addition was answered, with their places.
    acknowledged: Vec<(u64, usize)>,
    pub kinds: BTreeSet<WriteKind>,
    pub violation: Option<String>,
    pub crashes: u32,
    /// When a process dies, whoever else was cut off is reached again and the leader is cut off:
    /// what only those two have must not have been acknowledged.
    cuts_leader: bool,
}

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
    /// Machine whose process dies.
    pub victim: u64,
    /// The call of its disk in which it dies; `None` for a run without a death.
    pub crash_at: Option<u64>,
    /// Chooses what of the unsynced is lost.
    pub seed: u64,
    /// Whether the leader is cut off at the same moment.
    pub cuts_leader: bool,
    /// Deliberate faults.
    pub faults: Faults,
}

impl CrashSite {
    /// Three founding machines, each of which may be the victim.
    pub fn new(trouble: Trouble) -> Self {
        let mut site = Self {
            now: Instant::from_millis(1),
            faults: trouble.faults,
            seed: trouble.seed,
            machines: BTreeMap::new(),
            isolated: None,
            inputs: VecDeque::new(),
            replies: BTreeMap::new(),
            last_tag: 0,
            last_number: 0,
            history: Vec::new(),
            acknowledged: Vec::new(),
            kinds: BTreeSet::new(),
            violation: None,
            crashes: 0,
            cuts_leader: trouble.cuts_leader,
        };
        for id in 1..=3 {
            let crash_at = trouble.crash_at.filter(|_| id == trouble.victim);
            site.add_machine(id, true, crash_at);
        }
        site
    }

    /// A new machine, whose process may die at a call of its disk.
    pub fn add_machine(&mut self, id: u64, bootstrap: bool, crash_at: Option<u64>) {
        let disk = MemoryFileSystem::new();
        disk.set_faults(memory::Faults {
            crash_at,
            ..memory::Faults::default()
        });
        let machine = Machine {
            id: ReplicaId(id),
            bootstrap,
            disk,
            running: None,
            starts_at: Some(self.now),
        };
        self.machines.insert(ReplicaId(id), machine);
        self.start_due();
    }

    /// Calls that a machine's disk has had since its last start.
    pub fn calls(&self, id: u64) -> u64 {
        self.machines[&ReplicaId(id)].disk.calls()
    }

    /// Kills the process on a machine for good, and its disk with it.
    pub fn lose(&mut self, id: u64) {
        self.machines.remove(&ReplicaId(id));
    }

    /// Cuts one machine off; one that was is reached again.
    pub fn isolate(&mut self, id: u64) {
        self.isolated = Some(ReplicaId(id));
    }

    pub fn heal(&mut self) {
        self.isolated = None;
    }

    /// The replica that takes requests now.
    pub fn leader(&self) -> Option<u64> {
        self.machines
            .values()
            .filter(|machine| self.isolated != Some(machine.id))
            .filter_map(|machine| Some((machine.id, &machine.running.as_ref()?.0)))
            .find(|(_, host)| host.is_leader() && host.holds_lease(self.now))
            .map(|(id, _)| id.0)
    }

    pub fn await_leader(&mut self) -> u64 {
        self.run_until(PATIENCE, |site| site.leader().is_some());
        self.leader().unwrap_or_else(|| {
            self.violate("no leader");
            1
        })
    }

    /// Adds that many numbers, each until its addition is answered.
    pub fn add(&mut self, count: usize) {
        let goal = self.acknowledged.len() + count;
        let end = self.now + PATIENCE;
        while self.acknowledged.len() < goal && self.violation.is_none() {
            if self.now > end {
                return self.violate("additions are not answered");
            }
            let leader = self.await_leader();
            let number = self.new_number();
            let tag = self.request(leader, Request::Add(number));
            if let Some(HostReply::Reply(count)) = self.answer(tag) {
                self.acknowledged.push((number, count.0));
            }
        }
    }

    /// Leaves requests at a replica without waiting for answers.
    pub fn add_unanswered(&mut self, id: u64, count: usize) {
        for _ in 0..count {
            let number = self.new_number();
            self.request(id, Request::Add(number));
            self.run(QUANTUM);
        }
    }

    /// Has a membership change done, whoever leads.
    pub fn change(&mut self, request: &MembershipRequest) {
        let end = self.now + PATIENCE;
        while self.violation.is_none() {
            if self.now > end {
                return self.violate(&format!("not done: {request:?}"));
            }
            let leader = self.await_leader();
            self.last_tag += 1;
            let tag = RequestTag(self.last_tag);
            let request = request.clone();
            self.feed(ReplicaId(leader), HostInput::Membership { tag, request });
            let done = HostReply::Membership(MembershipReply::Done);
            if self.answer(tag) == Some(done) {
                return;
            }
            self.run(QUANTUM);
        }
    }

    /// Heals all and waits until every member has applied the same, the acknowledged included.
    pub fn settle(&mut self) {
        self.heal();
        let settled = self.run_until(PATIENCE, |site| {
            let Some(leader) = site.leader() else {
                return false;
            };
            let Some((host, _)) = &site.machines[&ReplicaId(leader)].running else {
                return false;
            };
            let numbers = host.state();
            let members = host.membership().voters.iter().map(|member| member.id);
            numbers.applied.len() == site.history.len()
                && members
                    .map(|id| site.numbers(id))
                    .all(|other| other == Some(numbers))
        });
        if !settled {
            self.violate("members do not come to the same state");
        }
        for (number, place) in &self.acknowledged {
            if self.history.get(place - 1) != Some(number) {
                let lost = format!("{number} was acknowledged at {place} and is not there");
                return self.violate(&lost);
            }
        }
        let distinct: BTreeSet<&u64> = self.history.iter().collect();
        if distinct.len() != self.history.len() {
            self.violate("a number was added twice");
        }
    }

    pub fn run(&mut self, duration: Duration) {
        self.run_until(duration, |_| false);
    }

    fn numbers(&self, id: ReplicaId) -> Option<&Numbers> {
        let (host, _) = self.machines.get(&id)?.running.as_ref()?;
        Some(host.state())
    }

    fn new_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn request(&mut self, id: u64, request: Request) -> RequestTag {
        self.last_tag += 1;
        let tag = RequestTag(self.last_tag);
        self.feed(ReplicaId(id), HostInput::Request { tag, request });
        tag
    }

    fn answer(&mut self, tag: RequestTag) -> Option<TestReply> {
        self.run_until(ANSWER_WAIT, |site| site.replies.contains_key(&tag));
        self.replies.get(&tag).cloned()
    }

    fn run_until(&mut self, duration: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + duration;
        while self.now < end && self.violation.is_none() && !condition(self) {
            self.run_quantum();
        }
        condition(self)
    }

    fn run_quantum(&mut self) {
        self.now = self.now + QUANTUM;
        self.start_due();
        for (to, input) in std::mem::take(&mut self.inputs) {
            self.feed(to, input);
        }
        let now = self.now;
        let due = |machine: &&Machine| {
            let running = machine.running.as_ref();
            running.is_some_and(|(host, _)| host.next_tick() <= now)
        };
        let due: Vec<ReplicaId> = self.machines.values().filter(due).map(|m| m.id).collect();
        for id in due {
            self.feed(id, HostInput::Tick);
        }
        self.check_histories();
    }

    fn start_due(&mut self) {
        let now = self.now;
        let due = |machine: &&Machine| machine.starts_at.is_some_and(|at| at <= now);
        let due: Vec<ReplicaId> = self.machines.values().filter(due).map(|m| m.id).collect();
        for id in due {
            self.start(id);
        }
    }

    fn start(&mut self, id: ReplicaId) {
        let machine = &self.machines[&id];
        let config = wingshore_group::HostConfig {
            faults: self.faults,
            snapshot_every_bytes: 150,
            ..config(id.0, machine.bootstrap.then_some(3))
        };
        let fs = Arc::new(machine.disk.clone());
        let opened = GroupStore::open_with(fs, Path::new(DIRECTORY), SEGMENT_BYTES);
        let (store, recovered) = match opened {
            Ok(opened) => opened,
            Err(_) if machine.disk.is_crashed() => return self.crash(id),
            Err(error) => return self.violate(&format!("{id} does not start: {error}")),
        };
        match Host::new(self.now, config, recovered) {
            Ok(host) => {
                if let Some(machine) = self.machines.get_mut(&id) {
                    machine.running = Some((host, store));
                    machine.starts_at = None;
                }
            }
            Err(error) => self.violate(&format!("{id} does not start: {error}")),
        }
    }

    /// The process died in a call of its disk; its machine starts again after a while.
    fn crash(&mut self, id: ReplicaId) {
        self.crashes += 1;
        let back_at = self.now + DOWN;
        let seed = self.seed;
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.running = None;
            machine.disk.restart(seed);
            machine.starts_at = Some(back_at);
        }
        self.inputs.retain(|(to, _)| *to != id);
        if self.cuts_leader {
            let leader = self.leader();
            self.heal();
            if let Some(leader) = leader {
                self.isolate(leader);
            }
        }
    }

    fn feed(&mut self, id: ReplicaId, input: HostInput<NumbersLeader>) {
        let now = self.now;
        let machine = self.machines.get_mut(&id);
        let Some((host, _)) = machine.and_then(|machine| machine.running.as_mut()) else {
            return;
        };
        let mut out = Vec::new();
        host.step(now, input, &mut out);
        let mut writes = Vec::new();
        for output in out {
            match output {
                HostOutput::Write { token, batch } => writes.push((token, batch)),
                HostOutput::Send { to, message } => self.send(id, to, message),
                HostOutput::Reply { tag, reply } => {
                    self.replies.insert(tag, reply);
                }
                HostOutput::Failed(error) => self.violate(&format!("{id} failed: {error}")),
                _ => {}
            }
        }
        for (token, batch) in writes {
            self.write(id, token, &batch);
        }
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, message: Vec<u8>) {
        if self.isolated.is_some_and(|cut| cut == from || cut == to) {
            return;
        }
        let input = HostInput::Consensus { from, message };
        self.inputs.push_back((to, input));
    }

    fn write(&mut self, id: ReplicaId, token: u64, batch: &WriteBatch) {
        self.kinds.insert(kind_of(batch));
        let machine = self.machines.get_mut(&id);
        let Some((_, store)) = machine.and_then(|machine| machine.running.as_mut()) else {
            return;
        };
        match store.write(batch) {
            Ok(()) => self.inputs.push_back((id, HostInput::Persisted { token })),
            Err(_) if self.machines[&id].disk.is_crashed() => self.crash(id),
            Err(error) => self.violate(&format!("{id} cannot write: {error}")),
        }
    }

    /// What replicas applied must be the beginnings of one history.
    fn check_histories(&mut self) {
        let mut longest = std::mem::take(&mut self.history);
        let mut diverging = None;
        for machine in self.machines.values() {
            let Some((host, _)) = &machine.running else {
                continue;
            };
            let applied = &host.state().applied;
            let common = applied.len().min(longest.len());
            if applied[..common] != longest[..common] {
                diverging = Some(machine.id);
            } else if applied.len() > longest.len() {
                longest.clone_from(applied);
            }
        }
        self.history = longest;
        if let Some(id) = diverging {
            self.violate(&format!("{id} applied something else than others"));
        }
    }

    fn violate(&mut self, what: &str) {
        self.violation.get_or_insert_with(|| what.to_owned());
    }
}

fn kind_of(batch: &WriteBatch) -> WriteKind {
    match (&batch.snapshot, batch.truncate_from) {
        (Some(_), Some(_)) => WriteKind::Install,
        (Some(_), None) => WriteKind::Compact,
        (None, Some(from)) if from > LogIndex(0) => WriteKind::Truncate,
        _ => WriteKind::Append,
    }
}

/// A member to be taken in.
pub fn joiner(id: u64) -> Member {
    super::member::member(id)
}
