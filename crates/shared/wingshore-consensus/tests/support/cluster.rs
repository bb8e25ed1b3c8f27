//! A cluster on a simulated network with simulated disks, determined by one seed.

use super::checker::Checker;
use super::disk;
use super::node::Node;
use super::{founders, small_limits};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wingshore_consensus::{Body, Faults, Input, Limits, Message, Output, ProposeError, Raft};
use wingshore_types::{Instant, LogIndex, ReplicaId};

/// Time between two ticks of the simulation.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Extra delay of a chunk that is sent late.
const LATE_CHUNK_DELAY: Duration = Duration::from_micros(500);

/// A scheduled event.
enum Event {
    Deliver {
        from: ReplicaId,
        to: ReplicaId,
        message: Message,
    },
    Durable {
        node: ReplicaId,
        incarnation: u64,
        token: u64,
    },
}

/// Properties of the simulated network and disks.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is duplicated.
    pub duplication: f64,
    /// Minimum delay.
    pub min_delay: Duration,
    /// Maximum delay of normal messages.
    pub max_delay: Duration,
    /// Probability that a message takes up to `straggler_delay`.
    pub straggler_chance: f64,
    /// Maximum delay of stragglers.
    pub straggler_delay: Duration,
    /// Maximum duration of a sync.
    pub sync: Duration,
}

impl Default for Network {
    fn default() -> Self {
        Self {
            loss: 0.0,
            duplication: 0.0,
            min_delay: Duration::from_millis(1),
            max_delay: Duration::from_millis(3),
            straggler_chance: 0.0,
            straggler_delay: Duration::ZERO,
            sync: Duration::from_millis(2),
        }
    }
}

/// A simulated cluster.
pub struct Cluster {
    pub now: Instant,
    pub nodes: BTreeMap<ReplicaId, Node>,
    pub network: Network,
    /// One-way links that lose all messages.
    pub cut_links: BTreeSet<(ReplicaId, ReplicaId)>,
    /// Members whose syncs do not complete.
    pub stalled_disks: BTreeSet<ReplicaId>,
    pub checker: Checker,
    pub random: ChaCha8Rng,
    pub sent_snapshot_chunks: u64,
    /// Maximum number of snapshot chunks that a member sent in one step.
    pub max_chunks_per_step: u64,
    /// Number of entries in sent appends; an entry counts each time it is sent.
    pub sent_entries: u64,
    /// Numbers of snapshot chunks, counted from 1, that arrive after those sent next, as when the
    /// network path changes.
    pub delayed_chunks: BTreeSet<u64>,
    /// Numbers of snapshot chunks that are duplicated.
    pub duplicated_chunks: BTreeSet<u64>,
    /// Numbers of snapshot chunks that are lost.
    pub lost_chunks: BTreeSet<u64>,
    /// Extra one-way delay of messages to and from each member.
    pub extra_delays: BTreeMap<ReplicaId, Duration>,
    pub faults: Faults,
    pub limits: Limits,
    events: BTreeMap<(Instant, u64), Event>,
    event_count: u64,
    seed: u64,
}

impl Cluster {
    /// Returns a cluster of `voters` founding members, all running.
    pub fn new(voters: u64, seed: u64) -> Self {
        Self::with(voters, seed, Faults::default(), small_limits())
    }

    /// Returns a cluster of `voters` founding members with these faults and limits, all running.
    pub fn with(voters: u64, seed: u64, faults: Faults, limits: Limits) -> Self {
        let mut cluster = Self {
            now: Instant::from_millis(10),
            nodes: BTreeMap::new(),
            network: Network::default(),
            cut_links: BTreeSet::new(),
            stalled_disks: BTreeSet::new(),
            checker: Checker::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            sent_snapshot_chunks: 0,
            max_chunks_per_step: 0,
            sent_entries: 0,
            delayed_chunks: BTreeSet::new(),
            duplicated_chunks: BTreeSet::new(),
            lost_chunks: BTreeSet::new(),
            extra_delays: BTreeMap::new(),
            faults,
            limits,
            events: BTreeMap::new(),
            event_count: 0,
            seed,
        };
        for id in 1..=voters {
            cluster.add_node(id, true, voters);
        }
        cluster
    }

    /// Adds a node and starts it, as a founding member or with an empty disk.
    pub fn add_node(&mut self, id: u64, is_founder: bool, voters: u64) {
        let id = ReplicaId(id);
        let mut node = Node {
            id,
            raft: None,
            disk: super::disk::Disk::default(),
            pending_write: None,
            incarnation: 0,
            bootstrap: is_founder.then(|| founders(voters)),
            applied: super::checker::Applied::default(),
            drift_ppm: self.random.random_range(-19_000..=19_000),
            frozen_until: Instant::ZERO,
            proposed: Vec::new(),
            writes: 0,
            seed: self.seed,
            faults: self.faults,
            limits: self.limits,
            commands: Vec::new(),
            provided_state: None,
            election_events: Vec::new(),
        };
        node.start(self.now, &mut self.checker);
        self.nodes.insert(id, node);
    }

    /// Returns the state machine of a running member.
    pub fn raft(&self, id: u64) -> &Raft {
        self.nodes[&ReplicaId(id)].raft.as_ref().unwrap()
    }

    /// Returns a member.
    pub fn node(&mut self, id: u64) -> &mut Node {
        self.nodes.get_mut(&ReplicaId(id)).unwrap()
    }

    /// Returns whether `id` holds the lease now by its own clock.
    pub fn holds_lease(&self, id: u64) -> bool {
        let node = &self.nodes[&ReplicaId(id)];
        let local_time = node.local_time(self.now);
        node.raft
            .as_ref()
            .is_some_and(|raft| raft.holds_lease(local_time))
    }

    /// Crashes a member. The first `parts` parts of a pending write reach its disk.
    pub fn crash(&mut self, id: u64, parts: usize) {
        self.node(id).crash(parts);
    }

    /// Starts a stopped member.
    pub fn restart(&mut self, id: u64) {
        let now = self.now;
        let node = self.nodes.get_mut(&ReplicaId(id)).unwrap();
        node.start(now, &mut self.checker);
    }

    /// Crashes a member with a random part of its pending write on disk.
    pub fn crash_with_random_write(&mut self, id: u64) {
        let pending_write = self.node(id).pending_write.clone();
        let most = pending_write.map_or(0, |pending_write| disk::parts(&pending_write.batch));
        let parts = self.random.random_range(0..=most);
        self.crash(id, parts);
    }

    /// Cuts the links in both directions between `id` and all others.
    pub fn isolate(&mut self, id: u64) {
        let others: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        for other in others {
            self.cut_links.insert((ReplicaId(id), other));
            self.cut_links.insert((other, ReplicaId(id)));
        }
    }

    /// Returns the member with the highest term that believes it is the leader.
    pub fn leader(&self) -> Option<u64> {
        self.nodes
            .values()
            .filter_map(|node| node.raft.as_ref())
            .filter(|raft| raft.is_leader())
            .max_by_key(|raft| raft.term())
            .map(|raft| raft.id().0)
    }

    /// Returns the leader, if it has committed an entry of its term and holds the lease.
    pub fn ready_leader(&self) -> Option<u64> {
        self.leader()
            .filter(|leader| self.raft(*leader).has_applied_own_term() && self.holds_lease(*leader))
    }

    /// Proposes a command on `id`.
    pub fn propose(&mut self, id: u64, command: &[u8]) -> Result<LogIndex, ProposeError> {
        let node = self.nodes.get_mut(&ReplicaId(id)).unwrap();
        let Some(raft) = &mut node.raft else {
            return Err(ProposeError::NotLeader);
        };
        let (index, term) = raft.propose(command.to_vec())?;
        node.proposed.push((term, index));
        self.act(id, |_, _, _| {});
        Ok(index)
    }

    /// Runs `action` on a member's state machine, and executes its outputs.
    pub fn act(&mut self, id: u64, action: impl FnOnce(&mut Raft, Instant, &mut Vec<Output>)) {
        let now = self.now;
        let node = self.nodes.get_mut(&ReplicaId(id)).unwrap();
        let local_time = node.local_time(now);
        let mut out = Vec::new();
        if let Some(raft) = &mut node.raft {
            action(raft, local_time, &mut out);
        }
        let sends = node.finish(now, out, &mut self.checker);
        self.after_step(ReplicaId(id), sends);
    }

    /// Passes one input to a member.
    pub fn feed(&mut self, id: ReplicaId, input: Input) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let sends = node.step(now, vec![input], &mut self.checker);
        self.after_step(id, sends);
    }

    fn after_step(&mut self, id: ReplicaId, sends: Vec<(ReplicaId, Message)>) {
        let sent_before = self.sent_snapshot_chunks;
        for (to, message) in sends {
            self.send(id, to, message);
        }
        let chunks = self.sent_snapshot_chunks - sent_before;
        self.max_chunks_per_step = self.max_chunks_per_step.max(chunks);
        self.schedule_write(id);
    }

    fn schedule_write(&mut self, id: ReplicaId) {
        let node = &self.nodes[&id];
        let Some(pending_write) = &node.pending_write else {
            return;
        };
        let event = Event::Durable {
            node: id,
            incarnation: node.incarnation,
            token: pending_write.token,
        };
        let sync = self.network.sync.as_nanos() as u64;
        let delay = Duration::from_nanos(self.random.random_range(0..=sync));
        self.schedule(delay, event);
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.event_count += 1;
        self.events
            .insert((self.now + delay, self.event_count), event);
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, message: Message) {
        match message.body {
            Body::SnapshotChunk(_) => self.sent_snapshot_chunks += 1,
            Body::Append(ref request) => self.sent_entries += request.entries.len() as u64,
            Body::VoteReply { granted: true } => self.checker.on_vote(message.term, from, to),
            Body::Vote(_) => self.checker.on_vote(message.term, from, from),
            _ => {}
        }
        let network = self.network;
        if self.cut_links.contains(&(from, to)) || self.random.random_bool(network.loss) {
            return;
        }
        let is_chunk = matches!(message.body, Body::SnapshotChunk(_));
        if is_chunk && self.lost_chunks.contains(&self.sent_snapshot_chunks) {
            return;
        }
        let far = [from, to].map(|id| self.extra_delays.get(&id).copied().unwrap_or_default());
        let far = far[0] + far[1];
        let is_duplicated = is_chunk && self.duplicated_chunks.contains(&self.sent_snapshot_chunks);
        let is_delayed = is_chunk && self.delayed_chunks.contains(&self.sent_snapshot_chunks);
        let is_copied = self.random.random_bool(network.duplication) || is_duplicated;
        for _ in 0..1 + u32::from(is_copied) {
            let delay = self.draw_delay()
                + if is_delayed {
                    LATE_CHUNK_DELAY
                } else {
                    Duration::ZERO
                }
                + far;
            let message = message.clone();
            self.schedule(delay, Event::Deliver { from, to, message });
        }
    }

    fn draw_delay(&mut self) -> Duration {
        let network = self.network;
        let most = if self.random.random_bool(network.straggler_chance) {
            network.straggler_delay
        } else {
            network.max_delay
        };
        let min_nanos = network.min_delay.as_nanos() as u64;
        Duration::from_nanos(self.random.random_range(min_nanos..=most.as_nanos() as u64))
    }

    /// Runs the simulation for `duration`.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end && self.checker.violation.is_none() {
            self.run_tick();
        }
    }

    /// Runs the simulation until `condition` is true, for at most `duration`. Returns whether it
    /// is.
    pub fn run_until(&mut self, duration: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + duration;
        while self.now < end && !condition(self) {
            self.run_tick();
        }
        condition(self)
    }

    fn run_tick(&mut self) {
        let until = self.now + TICK_INTERVAL;
        while let Some(((at, _), _)) = self.events.first_key_value() {
            if *at > until {
                break;
            }
            let Some(((at, _), event)) = self.events.pop_first() else {
                break;
            };
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = until;
        self.tick_all();
        self.check_leases();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, message } => self.deliver(from, to, message),
            Event::Durable {
                node,
                incarnation,
                token,
            } => {
                self.complete_write(node, incarnation, token);
            }
        }
    }

    fn deliver(&mut self, from: ReplicaId, to: ReplicaId, message: Message) {
        let frozen_until = self.nodes.get(&to).map(|node| node.frozen_until);
        if let Some(until) = frozen_until.filter(|until| *until > self.now) {
            // The message waits in the socket.
            let delay = until.since(self.now);
            return self.schedule(delay, Event::Deliver { from, to, message });
        }
        self.feed(to, Input::Message { from, message });
    }

    fn complete_write(&mut self, id: ReplicaId, incarnation: u64, token: u64) {
        if self.stalled_disks.contains(&id) {
            let event = Event::Durable {
                node: id,
                incarnation,
                token,
            };
            return self.schedule(TICK_INTERVAL, event);
        }
        let frozen_until = self.nodes[&id].frozen_until;
        if frozen_until > self.now {
            let event = Event::Durable {
                node: id,
                incarnation,
                token,
            };
            return self.schedule(frozen_until.since(self.now), event);
        }
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let is_current = node.incarnation == incarnation
            && node
                .pending_write
                .as_ref()
                .is_some_and(|pending_write| pending_write.token == token);
        if !is_current {
            return;
        }
        if let Some(pending_write) = node.pending_write.take() {
            node.disk.write(&pending_write.batch);
            self.feed(id, Input::Persisted { token });
        }
    }

    fn tick_all(&mut self) {
        let now = self.now;
        let due: Vec<ReplicaId> = self
            .nodes
            .values()
            .filter(|node| node.is_running(now))
            .filter(|node| {
                let local_time = node.local_time(now);
                node.raft
                    .as_ref()
                    .is_some_and(|raft| raft.next_deadline() <= local_time)
            })
            .map(|node| node.id)
            .collect();
        for id in due {
            self.feed(id, Input::Tick);
        }
    }

    fn check_leases(&mut self) {
        let holders: Vec<ReplicaId> = self
            .nodes
            .values()
            .filter(|node| self.holds_lease(node.id.0))
            .map(|node| node.id)
            .collect();
        self.checker.on_lease_holders(&holders);
    }

    /// Reads on every running member that believes it may answer.
    pub fn read_everywhere(&mut self) {
        for node in self.nodes.values().filter(|node| node.is_running(self.now)) {
            let local_time = node.local_time(self.now);
            let may_answer = node
                .raft
                .as_ref()
                .is_some_and(|raft| raft.holds_lease(local_time) && raft.has_applied_own_term());
            if may_answer {
                self.checker.on_read(node.applied.index);
            }
        }
    }

    /// Compares the logs of all pairs of running members.
    pub fn check_logs(&mut self) {
        let rafts: Vec<&Raft> = self
            .nodes
            .values()
            .filter_map(|node| node.raft.as_ref())
            .collect();
        for (position, left) in rafts.iter().enumerate() {
            for right in &rafts[position + 1..] {
                self.checker.on_logs(left, right);
            }
        }
    }
}
