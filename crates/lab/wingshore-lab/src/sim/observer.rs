//! What the simulator itself sees of the groups, and what must hold of it.
//!
//! Members report each command they apply. The observer knows the log that was committed first
//! and judges all other members by it; clients tell it what they were promised.

use crate::events::{Event, Record};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use wingshore_control::ControlState;
use wingshore_types::configuration::Configuration;
use wingshore_types::platform::OrderFence;
use wingshore_types::protocol::control::{Plan, PlanState, PlanStep};
use wingshore_types::{
    Epoch, GroupId, Instant, IntentId, LogIndex, PlanId, ReplicaId, Revision, ServerId,
    WeightVersion,
};

/// Promises that only the simulator can judge, since it sees inside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SimPromise {
    /// All members apply the same commands in the same order.
    LogsAgree,
    /// The same commands give the same state.
    StatesAgree,
    /// What a client was told is done stays done.
    AcknowledgedKept,
    /// A read tells all that was acknowledged before it was asked.
    ReadsFresh,
    /// An intent has one answer, however often it is sent.
    IntentsOnce,
    /// A plan changes the configuration only against the base it was made for.
    BaseKept,
    /// An engine takes no order of a leadership older than one it has obeyed.
    OrdersFenced,
    /// Steps of a plan are carried out once.
    StepsOnce,
    /// A revision that is said to be in force everywhere is so on each node that holds a lease.
    InForceTrue,
    /// Once all is healed, everything goes on.
    Liveness,
    /// No process ends by itself.
    NoCrash,
}

impl SimPromise {
    /// Its name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LogsAgree => "logs_agree",
            Self::StatesAgree => "states_agree",
            Self::AcknowledgedKept => "acknowledged_kept",
            Self::ReadsFresh => "reads_fresh",
            Self::IntentsOnce => "intents_once",
            Self::BaseKept => "base_kept",
            Self::OrdersFenced => "orders_fenced",
            Self::StepsOnce => "steps_once",
            Self::InForceTrue => "in_force_true",
            Self::Liveness => "liveness",
            Self::NoCrash => "no_crash",
        }
    }
}

/// One breach.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SimViolation {
    pub promise: SimPromise,
    /// When it was seen.
    pub at: Instant,
    /// What was seen.
    pub detail: String,
}

#[derive(Default)]
struct Observer {
    now: Instant,
    entries: BTreeMap<(GroupId, LogIndex), (u64, ReplicaId)>,
    states: BTreeMap<(GroupId, LogIndex), (u64, ReplicaId)>,
    newest: BTreeMap<GroupId, LogIndex>,
    configuration: Configuration,
    acknowledged: Revision,
    /// The last entry that each member's state holds.
    reached: BTreeMap<(GroupId, ReplicaId), LogIndex>,
    leaders: BTreeMap<GroupId, (Epoch, ReplicaId)>,
    /// The newest leadership of each member of the control group.
    epochs: BTreeMap<ReplicaId, Epoch>,
    /// The newest leadership that sent each order, whatever the order says of itself.
    orders: BTreeMap<(ServerId, OrderFence), Epoch>,
    /// The newest leadership whose order each engine took.
    obeyed: BTreeMap<String, Epoch>,
    /// The identity that each replica's folder gave it at its last start.
    members: BTreeMap<SocketAddr, ReplicaId>,
    in_force: Revision,
    /// What each follower last acted by.
    acting: BTreeMap<String, Revision>,
    /// Servers that a plan was to add, and whether its operator was told that it did.
    servers: BTreeMap<ServerId, bool>,
    /// Plans that changed the contested server, by the revision they were made for.
    contested: BTreeMap<Revision, PlanId>,
    /// Swaps that the control group has committed as done.
    swapped: BTreeSet<(ServerId, WeightVersion)>,
    intents: BTreeMap<IntentId, String>,
    records: Vec<Record>,
    violations: Vec<SimViolation>,
}

/// The observer, shared by all processes of one simulation.
#[derive(Clone, Default)]
pub struct ObserverHandle(Arc<Mutex<Observer>>);

impl ObserverHandle {
    fn lock(&self) -> MutexGuard<'_, Observer> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The simulation's time.
    pub fn set_now(&self, now: Instant) {
        self.lock().now = now;
    }

    /// A replica has started with this identity.
    pub fn member_started(&self, address: SocketAddr, id: ReplicaId) {
        self.lock().members.insert(address, id);
    }

    /// The identity of the replica at `address`.
    pub fn member_at(&self, address: SocketAddr) -> Option<ReplicaId> {
        self.lock().members.get(&address).copied()
    }

    /// A leadership has begun.
    pub fn leads(&self, group: GroupId, member: ReplicaId, epoch: Epoch) {
        let mut observer = self.lock();
        if group == GroupId::Control {
            observer.epochs.insert(member, epoch);
        }
        let newest = observer.leaders.entry(group).or_insert((epoch, member));
        if epoch >= newest.0 {
            *newest = (epoch, member);
        }
    }

    /// Where the newest leader of a group is.
    pub fn leader(&self, group: GroupId) -> Option<SocketAddr> {
        let observer = self.lock();
        let (_, leader) = observer.leaders.get(&group)?;
        let found = observer.members.iter().find(|(_, id)| *id == leader);
        found.map(|(address, _)| *address)
    }

    /// How many leaderships of a group have begun at the least.
    pub fn epoch(&self, group: GroupId) -> Epoch {
        let observer = self.lock();
        observer
            .leaders
            .get(&group)
            .map_or(Epoch(0), |(epoch, _)| *epoch)
    }

    /// A member's state holds all up to an entry.
    pub fn reached(&self, group: GroupId, member: ReplicaId, index: LogIndex) {
        self.lock().reached.insert((group, member), index);
    }

    /// A member has applied a command.
    pub fn applied(&self, group: GroupId, member: ReplicaId, index: LogIndex, hash: u64) {
        let mut observer = self.lock();
        let newest = observer.newest.entry(group).or_default();
        *newest = (*newest).max(index);
        let known = observer.entries.entry((group, index));
        let (first, by) = *known.or_insert((hash, member));
        if first != hash {
            let detail =
                format!("{group} {index}: members {by} and {member} applied other commands");
            observer.violate(SimPromise::LogsAgree, detail);
        }
    }

    /// A member has this state after the command at `index`.
    pub fn state(&self, group: GroupId, member: ReplicaId, index: LogIndex, hash: u64) {
        let mut observer = self.lock();
        let (first, by) = *observer
            .states
            .entry((group, index))
            .or_insert((hash, member));
        if first != hash {
            let detail = format!("{group} {index}: members {by} and {member} hold other states");
            observer.violate(SimPromise::StatesAgree, detail);
        }
    }

    /// The control group's state on some member.
    pub fn control(&self, state: &ControlState) {
        let mut observer = self.lock();
        for plan in state.running_plans() {
            observer.note_swaps(plan);
        }
        let configuration = state.configuration();
        if configuration.revision > observer.configuration.revision {
            observer.configuration = configuration.clone();
            let record = Record {
                at_us: observer.now.0 / 1000,
                source: "control".to_owned(),
                event: Event::RevisionCommitted {
                    revision: configuration.revision.0,
                },
            };
            observer.records.push(record);
        }
    }

    /// An order to take a version has left for an engine.
    pub fn load_ordered(&self, server: &ServerId, version: WeightVersion) {
        let mut observer = self.lock();
        let moves_on = |other: &(ServerId, WeightVersion)| other.0 == *server && other.1 != version;
        observer.swapped.retain(|other| !moves_on(other));
        if observer.swapped.contains(&(server.clone(), version)) {
            let detail = format!("{server} is ordered to take {version} after that step was done");
            observer.violate(SimPromise::StepsOnce, detail);
        }
    }

    pub fn order_sent(&self, server: &ServerId, fence: OrderFence, member: ReplicaId) {
        let mut observer = self.lock();
        let epoch = observer.epochs.get(&member).copied().unwrap_or_default();
        let sent = observer.orders.entry((server.clone(), fence)).or_default();
        *sent = (*sent).max(epoch);
    }

    /// An engine has taken an order for the first time.
    pub fn order_taken(&self, server: &str, fence: OrderFence) {
        let mut observer = self.lock();
        let sent = observer.orders.get(&(ServerId::new(server), fence));
        let Some(epoch) = sent.copied() else {
            return;
        };
        let newest = observer.obeyed.entry(server.to_owned()).or_default();
        let before = *newest;
        *newest = before.max(epoch);
        if epoch < before {
            let detail = format!("{server} took {fence:?} of leadership {epoch} after {before}");
            observer.violate(SimPromise::OrdersFenced, detail);
        }
    }

    /// A process has started: an engine that did has lost its version and its fence.
    pub fn process_started(&self, name: &str) {
        let mut observer = self.lock();
        observer.obeyed.remove(name);
        observer
            .swapped
            .retain(|(server, _)| server.as_str() != name);
    }

    /// The last entry that a member's state holds, applied one by one or sent as a snapshot.
    pub fn reached_by(&self, group: GroupId, address: SocketAddr) -> LogIndex {
        let observer = self.lock();
        let member = observer.members.get(&address);
        let reached = member.and_then(|member| observer.reached.get(&(group, *member)));
        reached.copied().unwrap_or_default()
    }

    /// The newest entry that any member has applied.
    pub fn newest(&self, group: GroupId) -> LogIndex {
        self.lock().newest.get(&group).copied().unwrap_or_default()
    }

    /// The newest revision that was committed.
    pub fn committed_revision(&self) -> Revision {
        self.lock().configuration.revision
    }

    /// The newest revision that a client was told of.
    pub fn acknowledged_revision(&self) -> Revision {
        self.lock().acknowledged
    }

    /// A client was told of `revision`; `floor` is what was acknowledged when it asked.
    pub fn revision_told(&self, revision: Revision, floor: Revision) {
        let mut observer = self.lock();
        observer.acknowledged = observer.acknowledged.max(revision);
        if revision < floor {
            let detail = format!("a read tells revision {revision}, {floor} was told before it");
            observer.violate(SimPromise::ReadsFresh, detail);
        }
    }

    /// A client was told that `revision` is in force everywhere.
    pub fn in_force_told(&self, revision: Revision) {
        let mut observer = self.lock();
        observer.in_force = observer.in_force.max(revision);
    }

    /// A node acts by `revision` under a lease.
    pub fn node_acts(&self, node: &str, revision: Revision) {
        let mut observer = self.lock();
        observer.acting.insert(node.to_owned(), revision);
        let told = observer.in_force;
        if revision < told {
            let detail = format!("{node} acts by {revision}, {told} was said to be in force");
            observer.violate(SimPromise::InForceTrue, detail);
        }
    }

    /// Followers that last acted by less than `newest`.
    pub fn behind(&self, newest: Revision) -> Vec<String> {
        let observer = self.lock();
        let acting = observer.acting.iter();
        acting
            .filter(|(_, revision)| **revision < newest)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// An operator was told whether their plan adds `server`.
    pub fn server_answered(&self, server: ServerId, is_added: bool) {
        self.lock().servers.insert(server, is_added);
    }

    /// An operator was told that their plan changed the contested server.
    pub fn contested_changed(&self, plan: &Plan) {
        let mut observer = self.lock();
        let first = *observer
            .contested
            .entry(plan.base_revision)
            .or_insert(plan.id);
        if first != plan.id {
            let detail = format!(
                "plans {first} and {} both changed what they found at {}",
                plan.id, plan.base_revision
            );
            observer.violate(SimPromise::BaseKept, detail);
        }
    }

    /// Judges the newest configuration by what operators were told.
    pub fn judge_configuration(&self) {
        let mut observer = self.lock();
        let answers = observer.servers.clone();
        for (server, told) in answers {
            let is_there = observer.configuration.servers.contains_key(&server);
            if is_there != told {
                let detail = format!("{server}: its operator was told {told}, found {is_there}");
                observer.violate(SimPromise::AcknowledgedKept, detail);
            }
        }
    }

    /// An intent was answered.
    pub fn intent_answered(&self, intent: IntentId, answer: &str) {
        let mut observer = self.lock();
        let first = observer.intents.entry(intent).or_insert(answer.to_owned());
        if first != answer {
            let detail = format!("intent {intent:?} was answered {first}, then {answer}");
            observer.violate(SimPromise::IntentsOnce, detail);
        }
    }

    /// Records a breach.
    pub fn violate(&self, promise: SimPromise, detail: String) {
        self.lock().violate(promise, detail);
    }

    /// All breaches so far.
    pub fn violations(&self) -> Vec<SimViolation> {
        self.lock().violations.clone()
    }

    /// What the observer recorded for the checkers.
    pub fn records(&self) -> Vec<Record> {
        self.lock().records.clone()
    }
}

impl Observer {
    fn note_swaps(&mut self, plan: &Plan) {
        let PlanState::Running { next_step } = plan.state else {
            return;
        };
        for step in plan.steps.iter().take(next_step as usize) {
            if let PlanStep::Swap { server, version } = step {
                self.swapped.insert((server.clone(), *version));
            }
        }
    }

    fn violate(&mut self, promise: SimPromise, detail: String) {
        let at = self.now;
        self.violations.push(SimViolation {
            promise,
            at,
            detail,
        });
    }
}
