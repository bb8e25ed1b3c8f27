//! Heartbeats of servers that were forwarded to the leader and are not answered yet. A decision
//! without I/O.
//!
//! Question: is a heartbeat forwarded now, when is its server answered that it could not be
//! acknowledged, and how long does the leader's answer count? Inputs: the heartbeat, the leader and
//! the link to it, the time, the leader's answers, links that end.
//!
//! Rule: a server is answered "unavailable" when the leader has not answered within
//! [`FORWARD_TIMEOUT`]; the heartbeat may still take effect. A forwarded heartbeat stays pending
//! until the leader answers or its link ends. Meanwhile a heartbeat of the same server with the
//! same record waits for the same answer; after a fraction of the server expiry
//! ([`REPEAT_DIVISOR`]) it is forwarded again. A heartbeat with another record is forwarded at
//! once, and from then on only its answer shows what the registry holds. The heartbeats of a
//! draining server are always forwarded, until one is answered in time.
//!
//! Why: a late answer is as true as an early one. When late answers were discarded, each heartbeat
//! was forwarded whole for as long as the leader was slow, which made it slower. A drain is binding
//! once it is acknowledged, and the leader answers an older heartbeat as done as soon as a newer
//! one has reached it by another route, before the newer one is durable.
//!
//! Missing input: a leader that never answers is sent the same record once per that fraction of the
//! server expiry. If the server is silent too, its pending heartbeat is forgotten after the server
//! expiry.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use wingshore_coordination::{Heartbeat, InstanceId, ServerRecord};
use wingshore_types::{Instant, ReplicaId};

/// Time after which a heartbeat that the leader has not acknowledged is answered as unavailable: a
/// server gives up a call after 1 s.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(800);
/// Divisor of the server expiry that gives the time after which the same record is forwarded again.
/// If a heartbeat was lost on a link that has not ended yet, there is still time for another one.
const REPEAT_DIVISOR: u32 = 2;
/// Largest number of pending heartbeats without a waiting caller, at a few hundred bytes each: the
/// number of servers on the largest site that was sized. Beyond it the oldest are forgotten.
const MAX_WITHOUT_CALLERS: usize = 20_000;

/// Route to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderRoute<K> {
    /// Identity of the leader.
    pub leader: ReplicaId,
    /// Connection to the leader.
    pub link: K,
}

/// Next step for a heartbeat that the leader must acknowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardStep {
    /// Forward the heartbeat under this number.
    Forward(u64),
    /// Wait for the answer to a pending heartbeat with the same record. The server is reported to
    /// the leader as alive with the sequence of the pending heartbeat: a higher one could reach the
    /// leader first, which would then take the pending heartbeat for outdated.
    Wait {
        /// Sequence of the pending heartbeat.
        sequence: u64,
    },
}

/// Heartbeat that the leader has answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnsweredHeartbeat<K> {
    /// Callers that wait for the answer.
    pub callers: Vec<K>,
    /// Record of the server, unless a later heartbeat of it is known.
    pub newest: Option<ServerRecord>,
}

struct WaitingCaller<K> {
    caller: K,
    arrived_at: Instant,
}

struct ForwardedHeartbeat<K> {
    route: LeaderRoute<K>,
    server: ServerRecord,
    sequence: u64,
    /// When it was last forwarded.
    forwarded_at: Instant,
    callers: Vec<WaitingCaller<K>>,
}

/// Forwarded heartbeats that are not answered yet, by the number to which the leader's answer
/// refers.
///
/// Invariant: `newest` refers only to entries of `by_id`.
pub struct ForwardedHeartbeats<K> {
    server_expiry: Duration,
    by_id: BTreeMap<u64, ForwardedHeartbeat<K>>,
    /// Number of the newest pending heartbeat of each server.
    newest: HashMap<InstanceId, u64>,
    next_id: u64,
}

impl<K: Copy + PartialEq> ForwardedHeartbeats<K> {
    /// Creates an empty table; servers that are silent for `server_expiry` leave the registry.
    pub fn new(server_expiry: Duration) -> Self {
        Self {
            server_expiry,
            by_id: BTreeMap::new(),
            newest: HashMap::new(),
            next_id: 0,
        }
    }

    /// Takes a heartbeat that the leader must acknowledge, and returns what to do with it.
    pub fn offer(
        &mut self,
        now: Instant,
        route: LeaderRoute<K>,
        caller: K,
        heartbeat: &Heartbeat,
    ) -> ForwardStep {
        let waiting = WaitingCaller {
            caller,
            arrived_at: now,
        };
        let repeat_after = self.server_expiry / REPEAT_DIVISOR;
        let Some((id, same)) = self.pending_with_same_record(route.leader, &heartbeat.server)
        else {
            return ForwardStep::Forward(self.add(now, route, waiting, heartbeat));
        };
        same.callers.push(waiting);
        if now.since(same.forwarded_at) < repeat_after {
            let sequence = same.sequence;
            return ForwardStep::Wait { sequence };
        }
        same.route = route;
        same.forwarded_at = now;
        same.sequence = heartbeat.sequence.max(same.sequence);
        ForwardStep::Forward(id)
    }

    /// Takes the leader's answer to a heartbeat; returns `None` if that is no longer pending.
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

    /// Removes the heartbeats that were forwarded over a connection that has ended, since their
    /// answers can no longer arrive. Returns the callers that wait for them.
    pub fn link_ended(&mut self, link: K) -> Vec<K> {
        let mut callers = Vec::new();
        self.by_id.retain(|_, forwarded| {
            let is_lost = forwarded.route.link == link;
            if is_lost {
                callers.extend(callers_of(forwarded.callers.drain(..)));
            }
            !is_lost
        });
        self.forget_dangling_newest();
        callers
    }

    /// Removes the callers that have waited for too long, and the heartbeats that are no longer
    /// needed. Returns these callers.
    pub fn take_timed_out(&mut self, now: Instant) -> Vec<K> {
        let is_late =
            |waiting: &mut WaitingCaller<K>| now.since(waiting.arrived_at) >= FORWARD_TIMEOUT;
        let mut late = Vec::new();
        for forwarded in self.by_id.values_mut() {
            late.extend(callers_of(forwarded.callers.extract_if(.., is_late)));
        }
        self.forget_unneeded(now);
        late
    }

    /// Returns the newest pending heartbeat of this server if it went to this leader with the same
    /// record.
    fn pending_with_same_record(
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
            forwarded_at: now,
            callers: vec![waiting],
        };
        self.by_id.insert(id, forwarded);
        id
    }

    /// Returns whether no later heartbeat of the same server is pending.
    fn is_newest(&self, heartbeat: &Heartbeat) -> bool {
        let newest = self.newest.get(&heartbeat.server.instance);
        let newest = newest.and_then(|id| self.by_id.get(id));
        newest.is_none_or(|newest| newest.sequence <= heartbeat.sequence)
    }

    /// Forgets heartbeats without callers whose answer would be of no use or is no longer expected.
    fn forget_unneeded(&mut self, now: Instant) {
        let newest = &self.newest;
        let is_useful = |id: &u64, forwarded: &ForwardedHeartbeat<K>| {
            newest.get(&forwarded.server.instance) == Some(id)
                && !forwarded.server.draining
                && now.since(forwarded.forwarded_at) < self.server_expiry
        };
        self.by_id
            .retain(|id, forwarded| !forwarded.callers.is_empty() || is_useful(id, forwarded));
        self.forget_oldest();
        self.forget_dangling_newest();
    }

    /// Forgets the oldest heartbeats without callers where there are more than
    /// [`MAX_WITHOUT_CALLERS`].
    fn forget_oldest(&mut self) {
        let is_late = |forwarded: &ForwardedHeartbeat<K>| forwarded.callers.is_empty();
        let late = self.by_id.values().filter(|known| is_late(known)).count();
        let mut excess = late.saturating_sub(MAX_WITHOUT_CALLERS);
        self.by_id.retain(|_, known| {
            let is_removed = excess > 0 && is_late(known);
            excess -= usize::from(is_removed);
            !is_removed
        });
    }

    /// Removes the entries of `newest` whose heartbeat is no longer pending.
    fn forget_dangling_newest(&mut self) {
        let by_id = &self.by_id;
        self.newest.retain(|_, id| by_id.contains_key(id));
    }
}

fn callers_of<K>(waiting: impl IntoIterator<Item = WaitingCaller<K>>) -> impl Iterator<Item = K> {
    waiting.into_iter().map(|waiting| waiting.caller)
}
