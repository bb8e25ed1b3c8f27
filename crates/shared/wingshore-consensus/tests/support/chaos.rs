//! Random runs in which faults of every kind occur at any moment, determined by one seed.

use super::checker::Violation;
use super::cluster::{Cluster, Network};
use super::{member, small_limits};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use wingshore_consensus::Faults;
use wingshore_types::ReplicaId;

/// A node that is not a founding member and can be added.
const JOINER: u64 = 9;

/// Mix of faults in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// All kinds of faults.
    Mixed,
    /// Leaders that fail right after their election, power failures, very late messages, and one
    /// entry per message.
    Elections,
}

/// Parameters of a random run.
#[derive(Clone, Copy, Debug)]
pub struct Chaos {
    /// Mix of faults.
    pub profile: Profile,
    /// Number of founding members.
    pub voters: u64,
    /// Seed of the random generator.
    pub seed: u64,
    /// Injected faults.
    pub faults: Faults,
    /// Number of rounds of actions, 20 ms each.
    pub rounds: u32,
}

/// Result of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The first violation.
    pub violation: Option<Violation>,
    /// Whether all members of the healed group committed an entry at the end.
    pub recovered: bool,
    /// Number of committed entries.
    pub committed: usize,
    /// Number of reads answered under a lease.
    pub reads: u64,
    /// Number of elections won.
    pub elections: u64,
    /// Number of snapshot chunks sent.
    pub snapshot_chunks: u64,
}

struct Run {
    cluster: Cluster,
    chaos: Chaos,
    wiped_member: Option<u64>,
    elections_seen: u64,
    last_command: u64,
}

/// Executes a random run.
pub fn run(chaos: Chaos) -> Report {
    let mut limits = small_limits();
    if chaos.profile == Profile::Elections {
        limits.append_bytes = 1;
        limits.in_flight_messages = 1;
    }
    let mut cluster = Cluster::with(chaos.voters, chaos.seed, chaos.faults, limits);
    cluster.add_node(JOINER, false, chaos.voters);
    cluster.network = random_network(&mut cluster.random, chaos.profile);
    let mut run = Run {
        cluster,
        chaos,
        wiped_member: None,
        elections_seen: 0,
        last_command: 0,
    };
    for _ in 0..chaos.rounds {
        run.act();
        run.cluster.run(Duration::from_millis(20));
        if run.cluster.checker.violation.is_some() {
            break;
        }
    }
    let recovered = run.cluster.checker.violation.is_none() && run.recover();
    Report {
        violation: run.cluster.checker.violation.clone(),
        recovered,
        committed: run.cluster.checker.committed_entries(),
        reads: run.cluster.checker.reads,
        elections: run.cluster.checker.elections,
        snapshot_chunks: run.cluster.sent_snapshot_chunks,
    }
}

fn random_network(random: &mut ChaCha8Rng, profile: Profile) -> Network {
    let mixed = Network {
        loss: random.random_range(0.0..0.1),
        duplication: 0.05,
        min_delay: Duration::from_micros(200),
        max_delay: Duration::from_millis(random.random_range(2..60)),
        straggler_chance: 0.03,
        straggler_delay: Duration::from_millis(2500),
        sync: Duration::from_millis(random.random_range(1..80)),
    };
    match profile {
        Profile::Mixed => mixed,
        Profile::Elections => Network {
            straggler_chance: 0.2,
            straggler_delay: Duration::from_millis(1500),
            sync: Duration::from_millis(random.random_range(1..200)),
            ..mixed
        },
    }
}

impl Run {
    fn random_node(&mut self) -> u64 {
        let ids: Vec<u64> = self.cluster.nodes.keys().map(|id| id.0).collect();
        ids[self.cluster.random.random_range(0..ids.len())]
    }

    fn act(&mut self) {
        self.cluster.read_everywhere();
        self.propose_everywhere();
        let id = self.random_node();
        if self.chaos.profile == Profile::Elections {
            self.disturb_election();
        }
        match self.cluster.random.random_range(0..1000) {
            0..15 => self.cluster.crash_with_random_write(id),
            15..60 => self.restart_stopped(),
            60..75 => self.cut_random_links(),
            75..95 => self.cluster.cut_links.clear(),
            95..105 => self.freeze(id),
            105..115 => self.cluster.isolate(id),
            115..130 => self.transfer(id),
            130..170 => self.change_members(),
            170..260 => self.compact(id),
            260..264 => self.cut_leader_and_crash(),
            264..266 => self.wipe(),
            266..270 => self.cut_power(),
            300..330 => self.cluster.check_logs(),
            _ => {}
        }
    }

    /// Proposes a command on every member that believes it is the leader.
    fn propose_everywhere(&mut self) {
        let leaders: Vec<u64> = self
            .cluster
            .nodes
            .values()
            .filter(|node| node.is_running(self.cluster.now))
            .filter(|node| node.raft.as_ref().is_some_and(|raft| raft.is_leader()))
            .map(|node| node.id.0)
            .collect();
        let chance = match self.chaos.profile {
            Profile::Mixed => 0.3,
            Profile::Elections => 0.6,
        };
        for leader in leaders {
            if self.cluster.random.random_bool(chance) {
                self.last_command += 1;
                let last_command = self.last_command.to_le_bytes();
                // Rejected while leadership is being transferred.
                let _ = self.cluster.propose(leader, &last_command);
            }
        }
    }

    fn restart_stopped(&mut self) {
        let stopped: Vec<u64> = self
            .cluster
            .nodes
            .values()
            .filter(|node| node.raft.is_none())
            .map(|node| node.id.0)
            .collect();
        for id in stopped {
            self.cluster.restart(id);
        }
    }

    fn cut_random_links(&mut self) {
        for _ in 0..self.cluster.random.random_range(1..6) {
            let from = ReplicaId(self.random_node());
            let to = ReplicaId(self.random_node());
            self.cluster.cut_links.insert((from, to));
        }
    }

    fn freeze(&mut self, id: u64) {
        let pause = Duration::from_millis(self.cluster.random.random_range(100..3000));
        let until = self.cluster.now + pause;
        self.cluster.node(id).frozen_until = until;
    }

    fn transfer(&mut self, target: u64) {
        if let Some(leader) = self.cluster.leader() {
            self.cluster.act(leader, |raft, now, _| {
                let _ = raft.transfer_leadership(now, ReplicaId(target));
            });
        }
    }

    fn change_members(&mut self) {
        let choice = self.cluster.random.random_range(0..4);
        let removed = self.random_node();
        let Some(leader) = self.cluster.leader() else {
            return;
        };
        self.cluster.act(leader, |raft, _, out| {
            let joiner = ReplicaId(JOINER);
            let _ = match choice {
                0 | 1 => raft.add_learner(member(JOINER), out),
                2 => raft.promote(joiner, out),
                _ if removed == JOINER => raft.remove(joiner, out),
                _ => return,
            };
        });
    }

    fn compact(&mut self, id: u64) {
        let state = self.cluster.node(id).applied.encode();
        self.cluster
            .act(id, |raft, _, _| raft.compact(state).unwrap());
    }

    /// Crashes all members at the same moment and restarts them.
    fn cut_power(&mut self) {
        let ids: Vec<u64> = self.cluster.nodes.keys().map(|id| id.0).collect();
        for id in ids {
            self.cluster.crash_with_random_write(id);
        }
        self.restart_stopped();
    }

    /// Injects a fault right after an election.
    fn disturb_election(&mut self) {
        let elections = self.cluster.checker.elections;
        if elections == self.elections_seen {
            return;
        }
        self.elections_seen = elections;
        match self.cluster.random.random_range(0..5) {
            0 => self.cut_power(),
            3 => self.crash_leader_soon(),
            1 => self.cut_leader_and_crash(),
            2 => self.cluster.cut_links.clear(),
            _ => {}
        }
    }

    /// Crashes the leader after it has sent some messages.
    fn crash_leader_soon(&mut self) {
        let delay = Duration::from_millis(self.cluster.random.random_range(5..300));
        self.cluster.run(delay);
        if let Some(leader) = self.cluster.leader() {
            self.cluster.crash_with_random_write(leader);
        }
    }

    /// Isolates the leader and restarts a random member meanwhile.
    fn cut_leader_and_crash(&mut self) {
        let Some(leader) = self.cluster.leader() else {
            return;
        };
        self.cluster.isolate(leader);
        let id = self.random_node();
        self.cluster.crash_with_random_write(id);
        self.restart_stopped();
    }

    /// Wipes the disk of a voter, which restarts under its old id; once per run.
    fn wipe(&mut self) {
        if self.wiped_member.is_some() {
            return;
        }
        let id = self.cluster.random.random_range(1..=self.chaos.voters);
        self.wiped_member = Some(id);
        self.cluster.crash(id, 0);
        let node = self.cluster.node(id);
        node.disk = super::disk::Disk::default();
        node.bootstrap = None;
        self.cluster.restart(id);
    }

    /// Heals all faults. Returns whether a command is then committed and applied by every member.
    fn recover(&mut self) -> bool {
        let cluster = &mut self.cluster;
        cluster.cut_links.clear();
        cluster.network = Network::default();
        let now = cluster.now;
        for node in cluster.nodes.values_mut() {
            node.frozen_until = now;
        }
        self.restart_stopped();
        let cluster = &mut self.cluster;
        cluster.run(Duration::from_secs(4));
        if !cluster.run_until(Duration::from_secs(20), |cluster| {
            cluster.ready_leader().is_some()
        }) {
            return false;
        }
        let Some(leader) = cluster.ready_leader() else {
            return false;
        };
        let Ok(index) = cluster.propose(leader, b"last") else {
            return false;
        };
        cluster.run_until(Duration::from_secs(20), |cluster| {
            let membership = cluster.raft(leader).membership();
            membership
                .voters
                .iter()
                .chain(&membership.learners)
                .all(|member| cluster.nodes[&member.id].applied.index >= index)
        })
    }
}
