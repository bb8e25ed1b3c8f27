//! Heartbeats of servers that reach a coordinator other than the leader. A decision without I/O.
//!
//! Question: may this coordinator acknowledge a heartbeat itself? Inputs: the heartbeat, and the
//! record of its server that the leader last acknowledged through this coordinator. Rule: a
//! heartbeat whose record the leader has acknowledged, in time or late, is acknowledged here, and
//! the leader is sent one message per interval that lists these servers. Any other heartbeat is
//! forwarded whole, or waits for the answer to one with the same record
//! ([`ForwardedHeartbeats`](crate::ForwardedHeartbeats)). Why: the leader's work grows with the
//! number of changes, not with the number of servers.
//!
//! Missing input: the next heartbeat is forwarded where the server is not known here, or where the
//! leader reports that the registry does not hold it. While no leader is connected nothing is
//! acknowledged here.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use wingshore_coordination::{Heartbeat, InstanceId, ServerRecord, UnchangedServer};
use wingshore_types::Instant;

/// Time without heartbeats after which the record of a server is forgotten here. It is longer than
/// servers stay registered, so that it only bounds memory.
const RECORD_EXPIRY: Duration = Duration::from_secs(30);

/// What to do with a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatAction {
    /// Acknowledge it here: the registry holds the same record.
    Acknowledge,
    /// Forward it: the leader must acknowledge it.
    Forward,
}

/// Record of a server that the leader has acknowledged.
struct KnownServer {
    record: ServerRecord,
    last_heartbeat_at: Instant,
}

/// Servers whose heartbeats reach this coordinator, with the records that the leader has
/// acknowledged.
#[derive(Default)]
pub struct HeartbeatRelay {
    known: HashMap<InstanceId, KnownServer>,
    /// Highest sequence of each server that was active since the last report to the leader.
    unreported: BTreeMap<InstanceId, u64>,
}

impl HeartbeatRelay {
    /// Takes a heartbeat while the leader is connected, and returns what to do with it.
    pub fn offer(&mut self, now: Instant, heartbeat: &Heartbeat) -> HeartbeatAction {
        let instance = &heartbeat.server.instance;
        let Some(known) = self.known.get_mut(instance) else {
            return HeartbeatAction::Forward;
        };
        if known.record != heartbeat.server {
            return HeartbeatAction::Forward;
        }
        known.last_heartbeat_at = now;
        self.record_unchanged(instance.clone(), heartbeat.sequence);
        HeartbeatAction::Acknowledge
    }

    /// Records a heartbeat that tells the leader nothing besides that the server is alive.
    pub fn record_unchanged(&mut self, instance: InstanceId, sequence: u64) {
        let highest = self.unreported.entry(instance).or_default();
        *highest = sequence.max(*highest);
    }

    /// Records that the leader has acknowledged a forwarded heartbeat with this record.
    pub fn acknowledged(&mut self, now: Instant, server: ServerRecord) {
        let known = KnownServer {
            record: server.clone(),
            last_heartbeat_at: now,
        };
        self.known.insert(server.instance, known);
    }

    /// Forgets servers that the registry does not hold: their next heartbeats are forwarded.
    pub fn forget(&mut self, instances: &[InstanceId]) {
        for instance in instances {
            self.known.remove(instance);
        }
    }

    /// Returns the servers that were recorded since the last call, for the report to the leader.
    pub fn take_unchanged(&mut self, now: Instant) -> Vec<UnchangedServer> {
        self.known
            .retain(|_, known| now.since(known.last_heartbeat_at) < RECORD_EXPIRY);
        let unreported = std::mem::take(&mut self.unreported).into_iter();
        unreported
            .map(|(instance, sequence)| UnchangedServer { instance, sequence })
            .collect()
    }
}
