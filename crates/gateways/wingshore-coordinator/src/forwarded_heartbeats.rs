//! Heartbeats of servers that were forwarded to the leader and are not answered. A decision without
//! I/O.
//!
//! Question: is a heartbeat forwarded now, when is the server told that nobody could acknowledge it,
//! and how long does the leader's answer count? Inputs: the heartbeat, the leader and the link to
//! it, the time, the leader's answers, links that end.
//!
//! Rule: a server is told so when the leader has not answered for [`FORWARD_TIMEOUT`]; the heartbeat
//! may count all the same. What was forwarded stays under way until the leader answers, or its link
//! ends. Meanwhile a heartbeat of the same server that says the same waits for the same answer;
//! after a part of the time in which servers expire ([`REPEAT_PART`]) it is forwarded again. One
//! that says something else is forwarded at once, and from then on only its answer tells what the
//! registry holds. A server that drains is forwarded each time until it is answered in time.
//!
//! Why: a late answer is as true as an early one. Where it was thrown away, each heartbeat was
//! forwarded whole for as long as the leader was slow, which made it slower. A drain binds once it
//! is acknowledged, and the leader answers an older heartbeat as done as soon as a newer one has
//! reached it by another way, before that one is durable.
//!
//! Missing input: a leader that never answers is sent what a server says once in that part; where
//! the server is silent too, what was forwarded is forgotten after the time in which it expires.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use wingshore_coordination::{Heartbeat, InstanceId, ServerRecord};
use wingshore_types::{Instant, ReplicaId};

/// A heartbeat that the leader has not acknowledged is answered as unavailable after this time: a
/// server gives a call up after a second.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(800);
/// The same is forwarded again after this part of the time in which a server expires: one that was
/// lost, with a link that has not ended yet, is repeated while there is time for another heartbeat.
const REPEAT_PART: u32 = 2;
/// Late heartbeats that are kept, at a few hundred bytes each: as many as there are servers on the
/// largest site that was sized. Beyond that the oldest go.
const MAX_LATE: usize = 20_000;

/// How the leader is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderRoute<K> {
    /// Who leads.
    pub leader: ReplicaId,
    /// The connection that leads there.
    pub link: K,
}

/// What is to be done with a heartbeat that the leader must acknowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardStep {
    /// It is to be forwarded under this number.
    Forward(u64),
    /// The same is under way: the server counts as heard of, with the sequence of what is under way;
    /// a higher one could reach the leader first, which would then take that one for outdated.
    Wait {
        /// Sequence of what is under way.
        sequence: u64,
    },
}

/// A heartbeat that the leader has answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnsweredHeartbeat<K> {
    /// Whoever waits for the answer.
    pub callers: Vec<K>,
    /// What the server said of itself, unless it has said something else since.
    pub newest: Option<ServerRecord>,
}

struct WaitingCaller<K> {
    caller: K,
    since: Instant,
}

struct ForwardedHeartbeat<K> {
    route: LeaderRoute<K>,
    server: ServerRecord,
    sequence: u64,
    /// When it was forwarded last.
    forwarded: Instant,
    callers: Vec<WaitingCaller<K>>,
}

/// Heartbeats that were forwarded and are not answered, by the number that the leader answers with.
///
/// Invariant: `newest` names only what is in `by_id`.
pub struct ForwardedHeartbeats<K> {
    server_expiry: Duration,
    by_id: BTreeMap<u64, ForwardedHeartbeat<K>>,
    /// Under which number each server said the newest.
    newest: HashMap<InstanceId, u64>,
    next_id: u64,
}

impl<K: Copy + PartialEq> ForwardedHeartbeats<K> {
    /// None yet; servers that are silent for `server_expiry` leave the registry.
    pub fn new(server_expiry: Duration) -> Self {
        Self {
            server_expiry,
            by_id: BTreeMap::new(),
            newest: HashMap::new(),
            next_id: 0,
        }
    }

    /// A heartbeat has arrived that the leader must acknowledge.
    pub fn offer(
        &mut self,
        now: Instant,
        route: LeaderRoute<K>,
        caller: K,
        heartbeat: &Heartbeat,
    ) -> ForwardStep {
        let waiting = WaitingCaller { caller, since: now };
        let repeat_after = self.server_expiry / REPEAT_PART;
        let Some((id, same)) = self.same_under_way(route.leader, &heartbeat.server) else {
            return ForwardStep::Forward(self.add(now, route, waiting, heartbeat));
        };
        same.callers.push(waiting);
        if now.since(same.forwarded) < repeat_after {
            let sequence = same.sequence;
            return ForwardStep::Wait { sequence };
        }
        same.route = route;
        same.forwarded = now;
        same.sequence = heartbeat.sequence.max(same.sequence);
        ForwardStep::Forward(id)
    }

    /// The leader has answered.
    pub fn answered(&mut self, id: u64) -> Option<AnsweredHeartbeat<K>> {
        let forwarded = self.by_id.remove(&id)?;
        let is_newest = self.newest.get(&forwarded.server.instance) == Some(&id);
        if is_newest {
            self.newest.remove(&forwarded.server.instance);
        }
        Some(AnsweredHeartbeat {
            callers: callers_of(forwarded.callers).collect(),
            newest: is_newest.then_some(forwarded.server),
        })
    }

    /// A connection has ended: the leader's answers to what was forwarded there cannot come any more.
    /// Gives whoever waits for them.
    pub fn link_ended(&mut self, link: K) -> Vec<K> {
        let mut callers = Vec::new();
        self.by_id.retain(|_, forwarded| {
            let is_lost = forwarded.route.link == link;
            if is_lost {
                callers.extend(callers_of(forwarded.callers.drain(..)));
            }
            !is_lost
        });
        self.forget_newest();
        callers
    }

    /// Takes out the callers that have waited for too long, and what is of no more use.
    pub fn take_timed_out(&mut self, now: Instant) -> Vec<K> {
        let is_late = |waiting: &mut WaitingCaller<K>| now.since(waiting.since) >= FORWARD_TIMEOUT;
        let mut late = Vec::new();
        for forwarded in self.by_id.values_mut() {
            late.extend(callers_of(forwarded.callers.extract_if(.., is_late)));
        }
        self.forget(now);
        late
    }

    /// What is under way to this leader and says the same as the newest of this server.
    fn same_under_way(
        &mut self,
        leader: ReplicaId,
        server: &ServerRecord,
    ) -> Option<(u64, &mut ForwardedHeartbeat<K>)> {
        let id = *self.newest.get(&server.instance)?;
        let forwarded = self.by_id.get_mut(&id)?;
        let is_same = forwarded.route.leader == leader && forwarded.server == *server;
        (is_same && !server.draining).then_some((id, forwarded))
    }

    fn add(
        &mut self,
        now: Instant,
        route: LeaderRoute<K>,
        waiting: WaitingCaller<K>,
        heartbeat: &Heartbeat,
    ) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        if self.is_newest(heartbeat) {
            self.newest.insert(heartbeat.server.instance.clone(), id);
        }
        let forwarded = ForwardedHeartbeat {
            route,
            server: heartbeat.server.clone(),
            sequence: heartbeat.sequence,
            forwarded: now,
            callers: vec![waiting],
        };
        self.by_id.insert(id, forwarded);
        id
    }

    /// Whether no later heartbeat of the same server is under way.
    fn is_newest(&self, heartbeat: &Heartbeat) -> bool {
        let newest = self.newest.get(&heartbeat.server.instance);
        let newest = newest.and_then(|id| self.by_id.get(id));
        newest.is_none_or(|newest| newest.sequence <= heartbeat.sequence)
    }

    /// Forgets what nobody waits for and whose answer would be of no use, or is not to be expected.
    fn forget(&mut self, now: Instant) {
        let newest = &self.newest;
        let is_of_use = |id: &u64, forwarded: &ForwardedHeartbeat<K>| {
            newest.get(&forwarded.server.instance) == Some(id)
                && !forwarded.server.draining
                && now.since(forwarded.forwarded) < self.server_expiry
        };
        self.by_id
            .retain(|id, forwarded| !forwarded.callers.is_empty() || is_of_use(id, forwarded));
        self.forget_oldest();
        self.forget_newest();
    }

    /// Forgets the oldest that nobody waits for where there are too many of them.
    fn forget_oldest(&mut self) {
        let is_late = |forwarded: &ForwardedHeartbeat<K>| forwarded.callers.is_empty();
        let late = self.by_id.values().filter(|known| is_late(known)).count();
        let mut excess = late.saturating_sub(MAX_LATE);
        self.by_id.retain(|_, known| {
            let goes = excess > 0 && is_late(known);
            excess -= usize::from(goes);
            !goes
        });
    }

    fn forget_newest(&mut self) {
        let by_id = &self.by_id;
        self.newest.retain(|_, id| by_id.contains_key(id));
    }
}

fn callers_of<K>(waiting: impl IntoIterator<Item = WaitingCaller<K>>) -> impl Iterator<Item = K> {
    waiting.into_iter().map(|waiting| waiting.caller)
}
