//! Hosts on a simulated network with simulated disks.

use super::disk::Disk;
use super::member::config;
use super::numbers::{Added, Count, Numbers, NumbersLeader, Request};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wingshore_group::{Host, HostConfig, HostInput, HostOutput, HostReply, Leadership};
use wingshore_types::log::WriteBatch;
use wingshore_types::machine::RequestTag;
use wingshore_types::protocol::membership::{MembershipReply, MembershipRequest};
use wingshore_types::{Instant, LogIndex, ReplicaId};

/// Simulated time between two checks for due ticks.
const QUANTUM: Duration = Duration::from_millis(5);

/// Bytes that an entry takes in addition to its data, on disk and in limits.
const ENTRY_HEADER_BYTES: usize = 16;

/// A host of the replicated list of numbers.
pub type TestHost = Host<NumbersLeader>;
/// A reply of a [`TestHost`].
pub type TestReply = HostReply<Count>;

/// One simulated replica with its disk and its recorded outputs.
pub struct Replica {
    pub config: HostConfig,
    pub host: Option<TestHost>,
    pub disk: Disk,
    /// The write in progress and its token.
    pub pending_write: Option<(u64, WriteBatch)>,
    /// Whether the process is suspended: its messages are delayed and its ticks are skipped.
    pub is_frozen: bool,
    pub effects: Vec<Added>,
    pub leadership: Vec<Leadership>,
    pub has_stopped: bool,
    pub failure: Option<String>,
    /// Number of records in each write.
    pub writes: Vec<usize>,
    /// Bytes of entries written.
    pub log_bytes: usize,
    /// Bytes of snapshots written.
    pub snapshot_bytes: usize,
    /// Index of the last entry of each snapshot written.
    pub snapshot_indexes: BTreeSet<LogIndex>,
    /// Number of crashes; writes of earlier incarnations do not complete.
    incarnation: u64,
}

impl Replica {
    fn record_write(&mut self, batch: &WriteBatch) {
        self.writes.push(batch.append.len());
        let entries = batch.append.iter();
        let entries = entries.map(|record| ENTRY_HEADER_BYTES + record.data.len());
        self.log_bytes += entries.sum::<usize>();
        if let Some(snapshot) = &batch.snapshot {
            self.snapshot_bytes += snapshot.data.length() as usize;
            self.snapshot_indexes.insert(snapshot.index);
        }
    }
}

/// A scheduled event of the simulation.
enum Event {
    Deliver {
        from: ReplicaId,
        to: ReplicaId,
        message: Vec<u8>,
    },
    Durable {
        replica: ReplicaId,
        incarnation: u64,
        token: u64,
    },
}

/// A simulated cluster.
pub struct Cluster {
    pub now: Instant,
    pub replicas: BTreeMap<ReplicaId, Replica>,
    /// Pairs of sender and receiver between which all messages are lost.
    pub cut_links: BTreeSet<(ReplicaId, ReplicaId)>,
    pub replies: BTreeMap<RequestTag, TestReply>,
    /// Probability that a message is lost.
    pub loss_probability: f64,
    /// Maximum delay of a message.
    pub max_delay: Duration,
    /// Maximum duration of a write.
    pub max_write_time: Duration,
    pub random: ChaCha8Rng,
    events: BTreeMap<(Instant, u64), Event>,
    event_count: u64,
    last_tag: u64,
}

impl Cluster {
    /// Creates a cluster of `voters` running founding replicas.
    pub fn new(voters: u64, seed: u64) -> Self {
        let mut cluster = Self {
            now: Instant::from_millis(1),
            replicas: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            replies: BTreeMap::new(),
            loss_probability: 0.0,
            max_delay: Duration::from_millis(2),
            max_write_time: Duration::from_millis(2),
            random: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            event_count: 0,
            last_tag: 0,
        };
        for id in 1..=voters {
            cluster.add(config(id, Some(voters)));
        }
        cluster
    }

    /// Creates a cluster of `voters` founding replicas and waits for a leader that accepts
    /// requests; returns the leader's id with it.
    pub fn with_leader(voters: u64) -> (Self, u64) {
        let mut cluster = Self::new(voters, 1);
        let leader = cluster.wait_for_leader();
        (cluster, leader)
    }

    /// Adds a replica with an empty disk and starts it.
    pub fn add(&mut self, config: HostConfig) {
        let id = config.id;
        let replica = Replica {
            config,
            host: None,
            disk: Disk::default(),
            pending_write: None,
            is_frozen: false,
            effects: Vec::new(),
            leadership: Vec::new(),
            has_stopped: false,
            failure: None,
            writes: Vec::new(),
            log_bytes: 0,
            snapshot_bytes: 0,
            snapshot_indexes: BTreeSet::new(),
            incarnation: 0,
        };
        self.replicas.insert(id, replica);
        self.restart(id.0);
    }

    /// Returns a replica.
    pub fn replica(&mut self, id: u64) -> &mut Replica {
        self.replicas.get_mut(&ReplicaId(id)).unwrap()
    }

    /// Returns the host of a running replica.
    pub fn host(&self, id: u64) -> &TestHost {
        self.replicas[&ReplicaId(id)].host.as_ref().unwrap()
    }

    /// Returns the numbers applied by a running replica.
    pub fn numbers(&self, id: u64) -> &Numbers {
        self.host(id).state()
    }

    /// Crashes a replica; a write in progress is lost.
    pub fn crash(&mut self, id: u64) {
        let replica = self.replica(id);
        replica.host = None;
        replica.pending_write = None;
        replica.incarnation += 1;
    }

    /// Starts a replica from its disk.
    pub fn restart(&mut self, id: u64) {
        let now = self.now;
        let replica = self.replica(id);
        let recovered = replica.disk.contents.clone();
        replica.host = Some(Host::new(now, replica.config.clone(), recovered).unwrap());
    }

    /// Cuts all links between `id` and the other replicas in both directions.
    pub fn isolate(&mut self, id: u64) {
        let others: Vec<ReplicaId> = self.replicas.keys().copied().collect();
        for other in others {
            self.cut_links.insert((ReplicaId(id), other));
            self.cut_links.insert((other, ReplicaId(id)));
        }
    }

    /// Feeds inputs to a replica as one batch; ignored while the replica is down.
    pub fn feed(&mut self, id: u64, inputs: Vec<HostInput<NumbersLeader>>) {
        let now = self.now;
        let replica = self.replica(id);
        let Some(host) = &mut replica.host else {
            return;
        };
        let mut out = Vec::new();
        host.step_all(now, inputs, &mut out);
        for output in out {
            self.carry_out(ReplicaId(id), output);
        }
    }

    /// Sends a request to a replica; returns the tag under which `replies` records its answer.
    pub fn request(&mut self, id: u64, request: Request) -> RequestTag {
        let tag = self.new_tag();
        self.feed(id, vec![HostInput::Request { tag, request }]);
        tag
    }

    /// Sends a membership request to a replica; returns the tag of its answer.
    pub fn membership_request(&mut self, id: u64, request: MembershipRequest) -> RequestTag {
        let tag = self.new_tag();
        self.feed(id, vec![HostInput::Membership { tag, request }]);
        tag
    }

    /// Returns an unused tag.
    pub fn new_tag(&mut self) -> RequestTag {
        self.last_tag += 1;
        RequestTag(self.last_tag)
    }

    /// Runs until the request is answered, for at most ten seconds of simulated time; returns the
    /// answer.
    pub fn answer(&mut self, tag: RequestTag) -> Option<TestReply> {
        self.run_until(Duration::from_secs(10), |cluster| {
            cluster.replies.contains_key(&tag)
        });
        self.replies.get(&tag).cloned()
    }

    /// Sends a membership request and waits for its answer.
    pub fn membership_answer(
        &mut self,
        id: u64,
        request: MembershipRequest,
    ) -> Option<MembershipReply> {
        let tag = self.membership_request(id, request);
        match self.answer(tag) {
            Some(HostReply::Membership(reply)) => Some(reply),
            _ => None,
        }
    }

    /// Returns the replica that accepts requests now.
    pub fn leader(&self) -> Option<u64> {
        self.replicas
            .values()
            .filter_map(|replica| replica.host.as_ref().map(|host| (replica, host)))
            .find(|(_, host)| host.is_leader() && host.holds_lease(self.now))
            .map(|(replica, _)| replica.config.id.0)
    }

    /// Runs until a replica accepts requests; returns its id.
    pub fn wait_for_leader(&mut self) -> u64 {
        self.run_until(Duration::from_secs(20), |cluster| {
            cluster.leader().is_some()
        });
        self.leader().unwrap()
    }

    /// Adds numbers at a replica, one after another, and waits for the answer to each.
    pub fn add_numbers(&mut self, id: u64, numbers: impl IntoIterator<Item = u64>) {
        for number in numbers {
            let tag = self.request(id, Request::Add(number));
            let reply = self.answer(tag);
            assert!(matches!(reply, Some(HostReply::Reply(_))), "{reply:?}");
        }
    }

    /// Runs the simulation for `duration`.
    pub fn run(&mut self, duration: Duration) {
        self.run_until(duration, |_| false);
    }

    /// Runs until `condition` holds, for at most `duration`; returns whether it holds.
    pub fn run_until(&mut self, duration: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + duration;
        while self.now < end && !condition(self) {
            self.run_quantum();
        }
        condition(self)
    }

    fn run_quantum(&mut self) {
        let until = self.now + QUANTUM;
        while let Some(first) = self.events.first_entry() {
            let (at, _) = *first.key();
            if at > until {
                break;
            }
            let event = first.remove();
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = until;
        let due: Vec<u64> = self
            .replicas
            .values()
            .filter(|replica| !replica.is_frozen)
            .filter(|replica| {
                replica
                    .host
                    .as_ref()
                    .is_some_and(|host| host.next_tick() <= until)
            })
            .map(|replica| replica.config.id.0)
            .collect();
        for id in due {
            self.feed(id, vec![HostInput::Tick]);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, message } => {
                if self.replica(to.0).is_frozen {
                    let event = Event::Deliver { from, to, message };
                    return self.schedule(QUANTUM, event);
                }
                self.feed(to.0, vec![HostInput::Consensus { from, message }]);
            }
            Event::Durable {
                replica: id,
                incarnation,
                token,
            } => {
                let replica = self.replica(id.0);
                if replica.incarnation != incarnation {
                    return;
                }
                if let Some((_, batch)) = replica.pending_write.take() {
                    replica.disk.write(&batch);
                    self.feed(id.0, vec![HostInput::Persisted { token }]);
                }
            }
        }
    }

    fn carry_out(&mut self, id: ReplicaId, output: HostOutput<NumbersLeader>) {
        match output {
            HostOutput::Send { to, message } => self.send(id, to, message),
            HostOutput::Write { token, batch } => {
                let replica = self.replica(id.0);
                assert!(
                    replica.pending_write.is_none(),
                    "a write was requested while another was in progress"
                );
                replica.record_write(&batch);
                replica.pending_write = Some((token, batch));
                let incarnation = replica.incarnation;
                let event = Event::Durable {
                    replica: id,
                    incarnation,
                    token,
                };
                let delay = self.random_delay(self.max_write_time);
                self.schedule(delay, event);
            }
            HostOutput::Reply { tag, reply } => {
                let earlier = self.replies.insert(tag, reply);
                assert!(earlier.is_none(), "a request was answered twice");
            }
            HostOutput::Effect(effect) => self.replica(id.0).effects.push(effect),
            HostOutput::MembershipChanged(_) | HostOutput::Election(_) => {}
            HostOutput::Leadership(leadership) => self.replica(id.0).leadership.push(leadership),
            HostOutput::Stopped => self.replica(id.0).has_stopped = true,
            HostOutput::Failed(error) => self.replica(id.0).failure = Some(error.to_string()),
        }
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, message: Vec<u8>) {
        let is_lost = self.random.random_bool(self.loss_probability);
        if is_lost || self.cut_links.contains(&(from, to)) || !self.replicas.contains_key(&to) {
            return;
        }
        let delay = self.random_delay(self.max_delay);
        self.schedule(delay, Event::Deliver { from, to, message });
    }

    fn random_delay(&mut self, max: Duration) -> Duration {
        let max_nanos = u64::try_from(max.as_nanos()).unwrap();
        Duration::from_nanos(self.random.random_range(100_000..=max_nanos))
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.event_count += 1;
        let at = self.now + delay;
        self.events.insert((at, self.event_count), event);
    }
}
