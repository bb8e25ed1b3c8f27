//! Heartbeats of servers that reach a coordinator which does not lead. A decision without I/O.
//!
//! Question: may this coordinator acknowledge a heartbeat itself? Inputs: the heartbeat, and the
//! record of that server that the leader acknowledged through here. Rule: a heartbeat that says
//! what the leader acknowledged, in time or late, is acknowledged here, and the leader is sent in one
//! message an interval which servers were heard of; all else is forwarded whole, or waits for the
//! answer to the same ([`ForwardedHeartbeats`](crate::ForwardedHeartbeats)). Why: the leader's work grows
//! with what changes, not with the number of servers.
//!
//! Missing input: a server that is not known here, or that the leader says the registry does not
//! hold, has its next heartbeat forwarded. While no leader is connected nothing is acknowledged
//! here.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use wingshore_coordination::{HeardServer, Heartbeat, InstanceId, ServerRecord};
use wingshore_types::Instant;

/// A server that is silent for this long is forgotten here; longer than servers stay registered, so
/// that it bounds memory only.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// What is to be done with a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatAction {
    /// The registry holds what it says: it can be acknowledged here.
    Acknowledge,
    /// The leader must acknowledge it.
    Forward,
}

/// A server as the leader acknowledged it.
struct KnownServer {
    record: ServerRecord,
    heard: Instant,
}

/// What this coordinator knows of servers whose heartbeats reach it.
#[derive(Default)]
pub struct HeartbeatRelay {
    known: HashMap<InstanceId, KnownServer>,
    /// Heard of since the last report to the leader, with the highest sequence.
    heard: BTreeMap<InstanceId, u64>,
}

impl HeartbeatRelay {
    /// A heartbeat has arrived, and the leader is connected.
    pub fn offer(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatAction {
        let instance = &heartbeat.server.instance;
        let Some(known) = self.known.get_mut(instance) else {
            return HeartbeatAction::Forward;
        };
        if known.record != heartbeat.server {
            return HeartbeatAction::Forward;
        }
        known.heard = now;
        self.record_unchanged(instance.clone(), heartbeat.sequence);
        HeartbeatAction::Acknowledge
    }

    /// A server was heard of whose heartbeat brings the leader nothing that is not on its way to it.
    pub fn record_unchanged(&mut self, instance: InstanceId, sequence: u64) {
        let highest = self.heard.entry(instance).or_default();
        *highest = sequence.max(*highest);
    }

    /// The leader has acknowledged a heartbeat that was passed on to it.
    pub fn acknowledged(&mut self, now: Instant, server: ServerRecord) {
        let known = KnownServer {
            record: server.clone(),
            heard: now,
        };
        self.known.insert(server.instance, known);
    }

    /// The registry does not hold these servers (any more): their next heartbeats go to the leader.
    pub fn forget(&mut self, instances: &[InstanceId]) {
        for instance in instances {
            self.known.remove(instance);
        }
    }

    /// Servers that were heard of since the last call, to be reported to the leader.
    pub fn take_unchanged(&mut self, now: Instant) -> Vec<HeardServer> {
        self.known
            .retain(|_, known| now.since(known.heard) < FORGET_AFTER);
        let heard = std::mem::take(&mut self.heard).into_iter();
        heard
            .map(|(instance, sequence)| HeardServer { instance, sequence })
            .collect()
    }
}
