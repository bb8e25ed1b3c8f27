//! Hosts with real log stores on simulated disks that lose unsynced writes in a crash.
//!
//! Runs are deterministic: each message takes one quantum, and a write is executed at the end of
//! the step that requested it, after all other outputs of that step. In this order a crash during a
//! write does the most damage.

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
/// Small, so that runs close and remove segments.
const SEGMENT_BYTES: u64 = 400;
/// Time from the crash of a process to its restart.
const DOWNTIME: Duration = Duration::from_millis(700);
/// Limit of each wait for an outcome, in simulated time.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Limit of the wait for one answer, in simulated time.
const MAX_ANSWER_WAIT: Duration = Duration::from_secs(3);

/// Kind of a write to the log store; a script must cause all kinds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WriteKind {
    Append,
    Compact,
    Install,
    Truncate,
}

/// A machine and its disk.
struct Machine {
    id: ReplicaId,
    bootstrap: bool,
    disk: MemoryFileSystem,
    running: Option<(TestHost, GroupStore)>,
    starts_at: Option<Instant>,
}

/// A simulated group of machines that can crash.
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
    /// The longest sequence of numbers applied by any replica.
    history: Vec<u64>,
    /// Numbers whose addition was acknowledged, with their positions in `history`, counted from 1.
    acknowledged: Vec<(u64, usize)>,
    pub write_kinds: BTreeSet<WriteKind>,
    /// The first violated invariant.
    pub violation: Option<String>,
    pub crashes: u32,
    /// Whether a crash ends the current isolation and isolates the leader instead: an entry that
    /// only the crashed machine and the leader hold must not have been acknowledged.
    isolates_leader: bool,
}

/// Faults injected into a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultPlan {
    /// Id of the machine whose process crashes.
    pub victim: u64,
    /// Number of the disk call in which it crashes; `None` for a run without a crash.
    pub crash_at: Option<u64>,
    /// Seed that chooses which unsynced writes are lost.
    pub seed: u64,
    /// Whether the leader is isolated at the same time.
    pub isolates_leader: bool,
    /// Faults injected into the consensus protocol.
    pub faults: Faults,
}

impl CrashSite {
    /// Creates a site of three founding machines, each of which may be the victim.
    pub fn new(plan: FaultPlan) -> Self {
        let mut site = Self {
            now: Instant::from_millis(1),
            faults: plan.faults,
            seed: plan.seed,
            machines: BTreeMap::new(),
            isolated: None,
            inputs: VecDeque::new(),
            replies: BTreeMap::new(),
            last_tag: 0,
            last_number: 0,
            history: Vec::new(),
            acknowledged: Vec::new(),
            write_kinds: BTreeSet::new(),
            violation: None,
            crashes: 0,
            isolates_leader: plan.isolates_leader,
        };
        for id in 1..=3 {
            let crash_at = plan.crash_at.filter(|_| id == plan.victim);
            site.add_machine(id, true, crash_at);
        }
        site
    }

    /// Adds and starts a new machine; its process crashes at disk call `crash_at` if that is set.
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

    /// Returns the number of calls to a machine's disk since its last start.
    pub fn disk_calls(&self, id: u64) -> u64 {
        self.machines[&ReplicaId(id)].disk.calls()
    }

    /// Removes a machine and its disk permanently.
    pub fn destroy_machine(&mut self, id: u64) {
        self.machines.remove(&ReplicaId(id));
    }

    /// Isolates one machine; ends the isolation of any other.
    pub fn isolate(&mut self, id: u64) {
        self.isolated = Some(ReplicaId(id));
    }

    pub fn heal(&mut self) {
        self.isolated = None;
    }

    /// Returns the reachable replica that accepts requests now.
    pub fn leader(&self) -> Option<u64> {
        self.machines
            .values()
            .filter(|machine| self.isolated != Some(machine.id))
            .filter_map(|machine| Some((machine.id, &machine.running.as_ref()?.0)))
            .find(|(_, host)| host.is_leader() && host.holds_lease(self.now))
            .map(|(id, _)| id.0)
    }

    pub fn wait_for_leader(&mut self) -> u64 {
        self.run_until(MAX_WAIT, |site| site.leader().is_some());
        self.leader().unwrap_or_else(|| {
            self.record_violation("no leader was elected");
            1
        })
    }

    /// Adds `count` numbers, retrying with a new number until that many additions are acknowledged.
    pub fn add(&mut self, count: usize) {
        let goal = self.acknowledged.len() + count;
        let end = self.now + MAX_WAIT;
        while self.acknowledged.len() < goal && self.violation.is_none() {
            if self.now > end {
                return self.record_violation("additions were not acknowledged in time");
            }
            let leader = self.wait_for_leader();
            let number = self.new_number();
            let tag = self.request(leader, Request::Add(number));
            if let Some(HostReply::Reply(count)) = self.answer(tag) {
                self.acknowledged.push((number, count.0));
            }
        }
    }

    /// Sends `count` additions to a replica without waiting for answers.
    pub fn add_unanswered(&mut self, id: u64, count: usize) {
        for _ in 0..count {
            let number = self.new_number();
            self.request(id, Request::Add(number));
            self.run(QUANTUM);
        }
    }

    /// Sends a membership change to the current leader until one confirms it.
    pub fn change(&mut self, request: &MembershipRequest) {
        let end = self.now + MAX_WAIT;
        while self.violation.is_none() {
            if self.now > end {
                return self
                    .record_violation(&format!("change not confirmed in time: {request:?}"));
            }
            let leader = self.wait_for_leader();
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

    /// Ends all isolation, waits until all members have applied the same sequence, and checks that
    /// it contains every acknowledged number and no number twice.
    pub fn settle(&mut self) {
        self.heal();
        let settled = self.run_until(MAX_WAIT, |site| {
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
            self.record_violation("the members do not converge to the same state");
        }
        for (number, position) in &self.acknowledged {
            if self.history.get(position - 1) != Some(number) {
                let lost =
                    format!("{number} was acknowledged at position {position} but is missing");
                return self.record_violation(&lost);
            }
        }
        let distinct: BTreeSet<&u64> = self.history.iter().collect();
        if distinct.len() != self.history.len() {
            self.record_violation("a number was added twice");
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
        self.run_until(MAX_ANSWER_WAIT, |site| site.replies.contains_key(&tag));
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
            Err(error) => return self.record_violation(&format!("{id} does not start: {error}")),
        };
        match Host::new(self.now, config, recovered) {
            Ok(host) => {
                if let Some(machine) = self.machines.get_mut(&id) {
                    machine.running = Some((host, store));
                    machine.starts_at = None;
                }
            }
            Err(error) => self.record_violation(&format!("{id} does not start: {error}")),
        }
    }

    /// Handles the crash of a process in a disk call: loses unsynced writes and schedules the
    /// restart.
    fn crash(&mut self, id: ReplicaId) {
        self.crashes += 1;
        let restart_at = self.now + DOWNTIME;
        let seed = self.seed;
        if let Some(machine) = self.machines.get_mut(&id) {
            machine.running = None;
            machine.disk.restart(seed);
            machine.starts_at = Some(restart_at);
        }
        self.inputs.retain(|(to, _)| *to != id);
        if self.isolates_leader {
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
                HostOutput::Failed(error) => {
                    self.record_violation(&format!("{id} failed: {error}"))
                }
                _ => {}
            }
        }
        for (token, batch) in writes {
            self.write(id, token, &batch);
        }
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, message: Vec<u8>) {
        if self
            .isolated
            .is_some_and(|isolated| isolated == from || isolated == to)
        {
            return;
        }
        let input = HostInput::Consensus { from, message };
        self.inputs.push_back((to, input));
    }

    fn write(&mut self, id: ReplicaId, token: u64, batch: &WriteBatch) {
        self.write_kinds.insert(write_kind(batch));
        let machine = self.machines.get_mut(&id);
        let Some((_, store)) = machine.and_then(|machine| machine.running.as_mut()) else {
            return;
        };
        match store.write(batch) {
            Ok(()) => self.inputs.push_back((id, HostInput::Persisted { token })),
            Err(_) if self.machines[&id].disk.is_crashed() => self.crash(id),
            Err(error) => self.record_violation(&format!("{id} cannot write: {error}")),
        }
    }

    /// Checks that the applied numbers of every replica are a prefix of one history.
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
            self.record_violation(&format!(
                "{id} applied a different sequence than other members"
            ));
        }
    }

    fn record_violation(&mut self, description: &str) {
        self.violation.get_or_insert_with(|| description.to_owned());
    }
}

fn write_kind(batch: &WriteBatch) -> WriteKind {
    match (&batch.snapshot, batch.truncate_from) {
        (Some(_), Some(_)) => WriteKind::Install,
        (Some(_), None) => WriteKind::Compact,
        (None, Some(from)) if from > LogIndex(0) => WriteKind::Truncate,
        _ => WriteKind::Append,
    }
}

/// Returns the member entry of a machine that joins.
pub fn joiner(id: u64) -> Member {
    super::member::member(id)
}
