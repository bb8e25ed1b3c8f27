//! Decides which calls of servers change the registry, and when a server leaves it.
//!
//! Inputs: heartbeats with their sequence numbers, the name and start time of an incarnation,
//! deregistrations (which do not name an incarnation), the contents of the registry, and the time
//! of the last heartbeat of each server.
//!
//! Rule: a heartbeat counts if it is the newest one of its incarnation and no later incarnation of
//! the same server is known. A heartbeat that may have been sent before its server ended does not
//! count: the first one of an incarnation that was superseded at its address, any of one whose
//! address belongs to an incarnation that started later and still sends heartbeats, and any within
//! [`LATE_CALL_WINDOW`] of a deregistration of an unknown incarnation. A new incarnation ends the
//! earlier ones of its name and those at its address. A deregistration within [`LATE_CALL_WINDOW`]
//! of a restart is not acknowledged. A server without a heartbeat for `server_expiry`, a setting,
//! leaves the registry.
//!
//! Rationale: calls may arrive late, by seconds if links are cut. Two incarnations cannot listen at
//! one address. If a new incarnation did not end the earlier one, that would leave the registry
//! only after `server_expiry`, and until then be sent requests that the new one refuses.
//!
//! Stale or missing inputs: a server that does not report its start time has a single incarnation.
//! A new leader measures silence from the start of its leadership.

use crate::ids::{InstanceId, ServerName};
use crate::registry::ServerRecord;
use crate::state::CoordinationState;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::Instant;

/// Time for which calls of an ended incarnation may still arrive after the next one of its name has
/// started: heartbeats and deregistrations are in transit for seconds at the most if links are cut.
pub(crate) const LATE_CALL_WINDOW: Duration = Duration::from_secs(5);

/// Time without a heartbeat after which an unregistered server is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Time without a heartbeat after which an incarnation gives way to one that reports an earlier start
/// at its address. Clocks of machines may differ, so the earlier start alone is no proof.
const SUCCESSOR_SILENCE: Duration = Duration::from_secs(2);

/// Number of heartbeats after which an incarnation that was superseded at its address is registered
/// again: the first one may have been in transit for seconds, since before the incarnation ended.
const HEARTBEATS_TO_RETURN: u32 = 2;

/// Heartbeats, restarts and deregistrations that were received recently.
#[derive(Default)]
pub(crate) struct Heartbeats {
    last_heartbeats: BTreeMap<InstanceId, HeartbeatRecord>,
    /// Incarnations whose address was since registered by another one, and their heartbeats since
    /// then. At most one entry per server: an incarnation that sends no more heartbeats is removed
    /// when the next one at its address is superseded.
    superseded: BTreeMap<InstanceId, Superseded>,
    /// Servers that restarted recently: a deregistration may come from the previous incarnation.
    restarted: RecentNames,
    /// Unknown servers that deregistered recently: a heartbeat may have been sent before that.
    deregistered: RecentNames,
}

/// Servers whose late calls may still be in transit.
#[derive(Default)]
struct RecentNames {
    until: BTreeMap<ServerName, Instant>,
}

impl RecentNames {
    fn record(&mut self, now: Instant, name: &ServerName) {
        self.until.retain(|_, until| now < *until);
        self.until.insert(name.clone(), now + LATE_CALL_WINDOW);
    }

    fn has(&self, now: Instant, name: &ServerName) -> bool {
        self.until.get(name).is_some_and(|until| now < *until)
    }
}

struct Superseded {
    address: SocketAddr,
    heartbeats: u32,
}

#[derive(Clone, Copy)]
struct HeartbeatRecord {
    at: Instant,
    sequence: u64,
}

impl Heartbeats {
    /// Measures silence from the start of a new leadership.
    pub(crate) fn begin<'a>(&mut self, now: Instant, known: impl Iterator<Item = &'a InstanceId>) {
        let recorded = HeartbeatRecord {
            at: now,
            sequence: 0,
        };
        self.last_heartbeats = known.map(|instance| (instance.clone(), recorded)).collect();
    }

    /// Records a heartbeat unless it is older than the last one of its incarnation; returns whether
    /// it was recorded.
    pub(crate) fn record(&mut self, now: Instant, instance: InstanceId, sequence: u64) -> bool {
        let last = self
            .last_heartbeats
            .entry(instance)
            .or_insert(HeartbeatRecord {
                at: now,
                sequence: 0,
            });
        if sequence < last.sequence {
            return false;
        }
        *last = HeartbeatRecord { at: now, sequence };
        true
    }

    /// Returns when the last heartbeat of an incarnation arrived.
    pub(crate) fn last_heard_at(&self, instance: &InstanceId) -> Option<Instant> {
        let last = self.last_heartbeats.get(instance)?;
        (last.sequence > 0).then_some(last.at)
    }

    /// Records that an incarnation has registered at the address of `others`.
    pub(crate) fn supersede(&mut self, address: SocketAddr, others: &[InstanceId]) {
        self.superseded.retain(|_, known| known.address != address);
        for instance in others {
            let superseded = Superseded {
                address,
                heartbeats: 0,
            };
            self.superseded.insert(instance.clone(), superseded);
        }
    }

    /// Counts a heartbeat of a superseded incarnation; returns whether it may have been sent before
    /// the incarnation was superseded.
    fn may_precede_superseding(&mut self, instance: &InstanceId) -> bool {
        let Some(superseded) = self.superseded.get_mut(instance) else {
            return false;
        };
        superseded.heartbeats += 1;
        superseded.heartbeats < HEARTBEATS_TO_RETURN
    }

    /// Returns whether another incarnation that started later is registered at the address of an
    /// unregistered one, and has been heard of recently: then the heartbeat is a late one.
    pub(crate) fn has_successor(
        &self,
        now: Instant,
        server: &ServerRecord,
        state: &CoordinationState,
    ) -> bool {
        let Some(start_time) = server.instance.start_time() else {
            return false;
        };
        let mut others = state.servers().values();
        others.any(|other| {
            let is_younger = other.instance.start_time() > Some(start_time);
            let is_there = other.address == server.address;
            is_there
                && is_younger
                && !self.is_silent_since(&other.instance, now - SUCCESSOR_SILENCE)
        })
    }

    /// Returns whether a later incarnation of the same server is registered, or was known and has
    /// expired since.
    fn knows_later_incarnation(&self, instance: &InstanceId, state: &CoordinationState) -> bool {
        let recorded = self
            .last_heartbeats
            .range(instance..)
            .map(|(known, _)| known);
        let mut recorded = recorded.take_while(|known| known.name() == instance.name());
        recorded.any(|known| known > instance)
            || state
                .incarnations_of(instance.name())
                .any(|(known, _)| known > instance)
    }

    /// Returns whether a heartbeat, the newest of its incarnation, describes the server's present
    /// state.
    pub(crate) fn is_current(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        state: &CoordinationState,
    ) -> bool {
        !state.has_departed(instance)
            && !self.knows_later_incarnation(instance, state)
            && (state.servers().contains_key(instance) || !self.may_be_outdated(now, instance))
    }

    /// Returns whether a heartbeat of an unregistered incarnation may have been sent before the
    /// incarnation ended.
    fn may_be_outdated(&mut self, now: Instant, instance: &InstanceId) -> bool {
        let after_deregistration =
            instance.start_time().is_some() && self.deregistered.has(now, instance.name());
        after_deregistration || self.may_precede_superseding(instance)
    }

    /// Records that a server has restarted under its name.
    pub(crate) fn note_restart(&mut self, now: Instant, name: &ServerName) {
        self.restarted.record(now, name);
    }

    /// Records the deregistration of a server that is not registered.
    pub(crate) fn note_deregistration(&mut self, now: Instant, name: &ServerName) {
        self.deregistered.record(now, name);
    }

    /// Returns whether a deregistration may be a late one of the incarnation before `newest`.
    pub(crate) fn is_ambiguous(&self, now: Instant, newest: &InstanceId) -> bool {
        newest.start_time().is_some() && self.restarted.has(now, newest.name())
    }

    /// Returns the registered servers without a heartbeat for longer than `expiry`, and restarts
    /// their time, so that none is returned again before its removal is applied.
    pub(crate) fn take_silent(
        &mut self,
        now: Instant,
        expiry: Duration,
        state: &CoordinationState,
    ) -> Vec<InstanceId> {
        self.forget(now - FORGET_AFTER, state);
        let limit = now - expiry;
        let servers = state.servers().keys();
        let silent = servers.filter(|instance| self.is_silent_since(instance, limit));
        let silent: Vec<InstanceId> = silent.cloned().collect();
        let recorded = HeartbeatRecord {
            at: now,
            sequence: 0,
        };
        let anew = silent.iter().map(|instance| (instance.clone(), recorded));
        self.last_heartbeats.extend(anew);
        silent
    }

    /// Removes unregistered servers that have sent no heartbeat since `limit`.
    fn forget(&mut self, limit: Instant, state: &CoordinationState) {
        self.last_heartbeats
            .retain(|known, last| last.at >= limit || state.servers().contains_key(known));
    }

    /// Returns whether the server has sent no heartbeat since `limit`.
    fn is_silent_since(&self, instance: &InstanceId, limit: Instant) -> bool {
        self.last_heartbeats
            .get(instance)
            .is_none_or(|last| last.at < limit)
    }
}

/// Returns the reason why a reported server is invalid: its service is not in the configuration, or
/// it contradicts the registered data of the same incarnation, which cannot change. Such reports
/// come from a foreign process and must not affect others.
pub(crate) fn registration_error(
    server: &ServerRecord,
    state: &CoordinationState,
) -> Option<String> {
    let service = &server.service;
    if let Some(held) = state.servers().get(&server.instance) {
        let is_same = held.service == *service && held.address == server.address;
        return (!is_same).then(|| {
            format!(
                "server `{}`: service `{service}` at {}; allowed is what this run registered: `{}` at {}",
                server.instance, server.address, held.service, held.address
            )
        });
    }
    let configuration = state.configuration()?;
    configuration.service(service).is_none().then(|| {
        format!("service `{service}` is unknown; allowed are the services of the configuration")
    })
}

/// Returns the record that the registry should hold after `server` has reported itself.
pub(crate) fn merged_record(mut server: ServerRecord, state: &CoordinationState) -> ServerRecord {
    if let Some(held) = state.servers().get(&server.instance) {
        server.draining |= held.draining;
        for entry in &held.models {
            server.raise_version(&entry.model, entry.version);
        }
    }
    server
}
