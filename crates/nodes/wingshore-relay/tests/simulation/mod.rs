//! A leader, relays and nodes on a simulated network, to check configuration leases.
//!
//! The leader is a model written for this test; the relays and the nodes' views are the real code.

mod events;
pub mod leader;

use events::{Answer, Event, Node, Relay, Watcher, new_node, new_relay};
use leader::{Leader, LeaderAnswer};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wingshore_relay::{RelayInput, RelayOutput, WatchTag};
use wingshore_types::protocol::control::{NodeAcknowledgement, WatchRequest};
use wingshore_types::{Instant, NodeId, Revision};

/// Duration of a lease, for nodes and leader alike, without any margin.
pub const LEASE: Duration = Duration::from_secs(5);

const NODE_WAIT_MS: u64 = 1000;
const NODE_TIMEOUT: Duration = Duration::from_millis(2500);
const UPSTREAM_TIMEOUT: Duration = Duration::from_secs(2);
const NODE_RETRY_DELAY: Duration = Duration::from_millis(100);
const RELAY_TICK: Duration = Duration::from_millis(20);

/// A deliberate fault, to verify that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Relays grant the full lease, regardless of its age.
    LeaseNotShortened,
    /// Relays grant a lease even if the acknowledgement was not sent upstream.
    LeaseWithoutForwarding,
    /// Nodes count the lease from the arrival of the answer, not from sending the watch.
    LeaseCountedFromArrival,
}

/// The destination of a relay's watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Parent {
    Leader,
    Relay(usize),
}

/// The simulated site and its scheduled events.
pub struct Simulation {
    now: Instant,
    generator: ChaCha8Rng,
    events: BTreeMap<(Instant, u64), Event>,
    next_number: u64,
    leader: Leader,
    relays: Vec<Relay>,
    nodes: Vec<Node>,
    fault: Fault,
    is_network_lossy: bool,
    /// Descriptions of violated guarantees.
    pub violations: BTreeSet<String>,
}

impl Simulation {
    pub fn new(seed: u64, parents: &[Parent], nodes: usize, fault: Fault) -> Self {
        let mut simulation = Self {
            now: Instant::ZERO,
            generator: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            next_number: 1,
            leader: Leader::new(LEASE),
            relays: parents
                .iter()
                .map(|parent| new_relay(Instant::ZERO, *parent))
                .collect(),
            nodes: Vec::new(),
            fault,
            is_network_lossy: true,
            violations: BTreeSet::new(),
        };
        for node in 0..nodes {
            let relay = simulation.generator.random_range(0..parents.len());
            let boot_id = simulation.number();
            simulation.nodes.push(new_node(boot_id, relay));
            simulation.after(Duration::ZERO, Event::NodeSends(node));
        }
        for relay in 0..parents.len() {
            simulation.after(Duration::ZERO, Event::RelayTick(relay));
        }
        simulation.after(Duration::ZERO, Event::LeaderTick);
        simulation
    }

    /// Runs for `duration` with message loss, restarts, relay switches, freezes and commits.
    pub fn run_with_faults(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            let event = self.random_fault_or_commit();
            self.after(Duration::ZERO, event);
            let pause = Duration::from_millis(self.generator.random_range(50..1500));
            self.run_until((self.now + pause).min(end));
        }
    }

    /// Runs for `duration` on a network that loses no messages.
    pub fn run_healed(&mut self, duration: Duration) {
        self.is_network_lossy = false;
        self.run_until(self.now + duration);
    }

    pub fn commit(&mut self) {
        self.on_event(Event::Commit);
    }

    pub fn committed(&self) -> Revision {
        self.leader.committed()
    }

    pub fn in_force_everywhere(&self) -> Revision {
        self.leader.in_force_everywhere()
    }

    /// Nodes that hold a lease and the newest revision.
    pub fn up_to_date_nodes(&self) -> usize {
        let newest = self.leader.committed();
        let is_up_to_date =
            |node: &&Node| node.view.holds_lease(self.now) && node.view.revision() == newest;
        self.nodes.iter().filter(is_up_to_date).count()
    }

    pub fn freeze_for(&mut self, node: usize, duration: Duration) {
        self.nodes[node].frozen_until = self.now + duration;
    }

    pub fn holds_lease(&self, node: usize) -> bool {
        self.nodes[node].view.holds_lease(self.now)
    }

    pub fn run_until(&mut self, end: Instant) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.on_event(event);
            self.check();
        }
        self.now = end;
    }

    pub fn now(&self) -> Instant {
        self.now
    }

    fn random_fault_or_commit(&mut self) -> Event {
        let node = self.generator.random_range(0..self.nodes.len());
        let relay = self.generator.random_range(0..self.relays.len());
        match self.generator.random_range(0..10) {
            0..=4 => Event::Commit,
            5 => Event::NodeRestarts(node),
            6 | 7 => Event::NodeSwitchesRelay(node),
            8 => Event::NodeFreezes(node),
            _ => Event::RelayRestarts(relay),
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::NodeSends(node) => self.node_sends(node),
            Event::NodeTimesOut { node, number } => self.on_node_timeout(node, number),
            Event::AtRelay {
                relay,
                from,
                request,
            } => {
                let tag = WatchTag(self.number());
                self.relays[relay].watchers.insert(tag, from);
                self.step_relay(relay, RelayInput::Watch { tag, request });
            }
            Event::Answered {
                to: Watcher::Node { node, number },
                answer,
            } => {
                self.node_answered(node, number, answer);
            }
            Event::Answered {
                to: Watcher::Relay { relay, number },
                answer,
            } => {
                self.upstream_answered(relay, number, answer);
            }
            Event::AtLeader {
                relay,
                number,
                request,
            } => {
                self.leader.on_watch(self.now, relay, number, request);
                self.send_leader_answers();
            }
            Event::UpstreamTimesOut { relay, number } => {
                if self.relays[relay].outstanding == Some(number) {
                    self.relays[relay].outstanding = None;
                    self.step_relay(relay, RelayInput::UpstreamFailed);
                }
            }
            Event::LeaderTick => {
                self.send_leader_answers();
                self.after(RELAY_TICK, Event::LeaderTick);
            }
            Event::RelayTick(relay) => {
                self.step_relay(relay, RelayInput::Tick);
                self.after(RELAY_TICK, Event::RelayTick(relay));
            }
            Event::Commit => {
                self.leader.commit();
                self.send_leader_answers();
            }
            Event::NodeRestarts(node) => self.restart_node(node),
            Event::NodeSwitchesRelay(node) => self.switch_relay(node),
            Event::NodeFreezes(node) => {
                let time = Duration::from_millis(self.generator.random_range(100..12_000));
                self.freeze_for(node, time);
            }
            Event::RelayRestarts(relay) => {
                let parent = self.relays[relay].parent;
                self.relays[relay] = new_relay(self.now, parent);
            }
        }
    }

    fn node_sends(&mut self, node: usize) {
        if self.nodes[node].frozen_until > self.now {
            self.at(self.nodes[node].frozen_until, Event::NodeSends(node));
            return;
        }
        if self.nodes[node].outstanding.is_some() {
            return;
        }
        let number = self.number();
        let now = self.now;
        let state = &mut self.nodes[node];
        state.outstanding = Some((number, now));
        let position = state.view.watch_position();
        let request = WatchRequest {
            have: position.have,
            acknowledgements: vec![NodeAcknowledgement {
                node: NodeId::new(&format!("node-{node}")),
                boot_id: state.boot_id,
                in_force: position.in_force,
            }],
            wait_ms: NODE_WAIT_MS,
        };
        let relay = state.relay;
        let from = Watcher::Node { node, number };
        self.send_over_network(Event::AtRelay {
            relay,
            from,
            request,
        });
        self.after(NODE_TIMEOUT, Event::NodeTimesOut { node, number });
    }

    fn on_node_timeout(&mut self, node: usize, number: u64) {
        let is_current = self.nodes[node]
            .outstanding
            .is_some_and(|(sent, _)| sent == number);
        if is_current {
            self.switch_relay(node);
        }
    }

    fn node_answered(&mut self, node: usize, number: u64, answer: Answer) {
        let frozen_until = self.nodes[node].frozen_until;
        if frozen_until > self.now {
            let to = Watcher::Node { node, number };
            self.at(frozen_until, Event::Answered { to, answer });
            return;
        }
        let Some((current, sent_at)) = self.nodes[node].outstanding else {
            return;
        };
        if current != number {
            return;
        }
        match answer {
            Answer::Update(update, lease) => {
                let counted_from = match self.fault {
                    Fault::LeaseCountedFromArrival => self.now,
                    _ => sent_at,
                };
                let state = &mut self.nodes[node];
                state.outstanding = None;
                state.view.apply(counted_from, update, lease);
                self.after(Duration::ZERO, Event::NodeSends(node));
            }
            Answer::Unavailable => self.switch_relay(node),
        }
    }

    fn upstream_answered(&mut self, relay: usize, number: u64, answer: Answer) {
        if self.relays[relay].outstanding != Some(number) {
            return;
        }
        self.relays[relay].outstanding = None;
        let input = match answer {
            Answer::Update(update, lease) => RelayInput::UpstreamAnswered { update, lease },
            Answer::Unavailable => RelayInput::UpstreamFailed,
        };
        self.step_relay(relay, input);
    }

    fn step_relay(&mut self, relay: usize, input: RelayInput) {
        let mut out = Vec::new();
        self.relays[relay].state.step(self.now, input, &mut out);
        for output in out {
            match output {
                RelayOutput::Answer { tag, update, lease } => {
                    let lease = self.inject_lease_fault(lease);
                    self.answer(relay, tag, Answer::Update(update, lease));
                }
                RelayOutput::Unavailable(tag) => self.answer(relay, tag, Answer::Unavailable),
                RelayOutput::SendUpstream(request) => self.send_upstream(relay, request),
            }
        }
    }

    fn inject_lease_fault(&self, lease: Duration) -> Duration {
        match self.fault {
            Fault::LeaseNotShortened if !lease.is_zero() => LEASE,
            Fault::LeaseWithoutForwarding if lease.is_zero() => LEASE,
            _ => lease,
        }
    }

    fn answer(&mut self, relay: usize, tag: WatchTag, answer: Answer) {
        if let Some(to) = self.relays[relay].watchers.remove(&tag) {
            self.send_over_network(Event::Answered { to, answer });
        }
    }

    fn send_upstream(&mut self, relay: usize, request: WatchRequest) {
        let number = self.number();
        let parent = self.relays[relay].parent;
        assert!(
            self.relays[relay].outstanding.is_none(),
            "two watches at once"
        );
        self.relays[relay].outstanding = Some(number);
        // Clients retransmit, so a watch may arrive twice.
        let copies = if self.is_network_lossy && self.generator.random_bool(0.1) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let request = request.clone();
            self.send_over_network(match parent {
                Parent::Leader => Event::AtLeader {
                    relay,
                    number,
                    request,
                },
                Parent::Relay(parent) => Event::AtRelay {
                    relay: parent,
                    from: Watcher::Relay { relay, number },
                    request,
                },
            });
        }
        self.after(UPSTREAM_TIMEOUT, Event::UpstreamTimesOut { relay, number });
    }

    fn send_leader_answers(&mut self) {
        for LeaderAnswer {
            relay,
            number,
            update,
            lease,
        } in self.leader.due(self.now)
        {
            let to = Watcher::Relay { relay, number };
            let answer = Answer::Update(update, lease);
            self.send_over_network(Event::Answered { to, answer });
        }
    }

    fn restart_node(&mut self, node: usize) {
        let relay = self.nodes[node].relay;
        let boot_id = self.number();
        self.nodes[node] = new_node(boot_id, relay);
        self.after(NODE_RETRY_DELAY, Event::NodeSends(node));
    }

    fn switch_relay(&mut self, node: usize) {
        let count = self.relays.len();
        let state = &mut self.nodes[node];
        state.relay = (state.relay + 1) % count;
        state.outstanding = None;
        self.after(NODE_RETRY_DELAY, Event::NodeSends(node));
    }

    /// Delivers a message after a random delay, or loses it.
    fn send_over_network(&mut self, event: Event) {
        let milliseconds = match self.generator.random_range(0..100) {
            0..3 if self.is_network_lossy => return,
            3..8 if self.is_network_lossy => self.generator.random_range(100..3000),
            _ => self.generator.random_range(0..10),
        };
        self.after(Duration::from_millis(milliseconds), event);
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    fn at(&mut self, at: Instant, event: Event) {
        let number = self.number();
        self.events.insert((at, number), event);
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Checks each node that holds a lease: the leader's record of the lease must not expire
    /// earlier, and the node must have in force at least the revision that the leader reports as in force
    /// everywhere.
    fn check(&mut self) {
        let in_force_everywhere = self.leader.update_in_force_everywhere(self.now);
        for (number, node) in self.nodes.iter().enumerate() {
            if !node.view.holds_lease(self.now) {
                continue;
            }
            let expires_at = self.now + node.view.lease_left(self.now);
            let name = NodeId::new(&format!("node-{number}"));
            if self.leader.lease_expiry(&name, node.boot_id) < Some(expires_at) {
                self.violations
                    .insert("a lease outlives the leader's record of it".to_owned());
            }
            if node.view.revision() < in_force_everywhere {
                self.violations
                    .insert("an older revision is in force under a lease".to_owned());
            }
        }
    }
}
