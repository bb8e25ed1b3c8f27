//! Which calls of servers change the registry, and when does a server leave it?
//!
//! Inputs: heartbeats with their sequence, an incarnation's name and start, deregistrations (which do
//! not say which incarnation they mean), what the registry holds, and when this leader last heard of
//! each server.
//!
//! Rule: a heartbeat counts if it is the newest of its incarnation, and no later incarnation of the same
//! server is known. One that may be of before its server's end does not: the first one of an incarnation
//! that was superseded at its address, and any within [`LATE_CALLS`] of a deregistration of an
//! incarnation that was not known. A new incarnation ends those before it under its name and at its
//! address. A deregistration within [`LATE_CALLS`] of a restart is not acknowledged. A server that is
//! silent for `server_expiry`, a setting, leaves.
//!
//! Why: calls may arrive late, by seconds where links are cut. Two incarnations cannot listen at one
//! address: the one before would else be known by its silence only, and be sent what the new one refuses
//! until then.
//!
//! Old or missing inputs: a server that does not say when it started is one incarnation under its name.
//! A new leader counts silence from its own beginning.

use crate::ids::{InstanceId, ServerName};
use crate::registry::ServerRecord;
use crate::state::CoordinationState;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::Instant;

/// Calls of an incarnation that has ended may arrive this long after the next one of its name: heartbeats and
/// deregistrations are under way for seconds at the most where links are cut.
pub(crate) const LATE_CALLS: Duration = Duration::from_secs(5);

/// A server that is not registered and silent for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// An incarnation that was superseded at its address is registered again by its second heartbeat: the
/// first one may have been under way since before it ended, for seconds.
const HEARTBEATS_TO_RETURN: u32 = 2;

/// When each server was last heard of.
#[derive(Default)]
pub(crate) struct Heartbeats {
    last: BTreeMap<InstanceId, LastHeartbeat>,
    /// Incarnations whose address another one has registered since, and heartbeats of them since then.
    /// At most one for each server: one that is not heard of again is dropped when the next one at
    /// its address is superseded.
    superseded: BTreeMap<InstanceId, Superseded>,
    /// Servers that have started again lately: a deregistration may be one of the incarnation before.
    restarted: RecentNames,
    /// Unknown servers that have deregistered lately: a heartbeat may be one of before that.
    deregistered: RecentNames,
}

/// Servers whose late calls may still be under way.
#[derive(Default)]
struct RecentNames {
    until: BTreeMap<ServerName, Instant>,
}

impl RecentNames {
    fn note(&mut self, now: Instant, name: &ServerName) {
        self.until.retain(|_, until| now < *until);
        self.until.insert(name.clone(), now + LATE_CALLS);
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
struct LastHeartbeat {
    at: Instant,
    sequence: u64,
}

impl Heartbeats {
    /// A new leadership counts from its beginning.
    pub(crate) fn begin<'a>(&mut self, now: Instant, known: impl Iterator<Item = &'a InstanceId>) {
        let heard = LastHeartbeat {
            at: now,
            sequence: 0,
        };
        self.last = known.map(|instance| (instance.clone(), heard)).collect();
    }

    /// Notes a heartbeat; says whether it is newer than all before.
    pub(crate) fn note(&mut self, now: Instant, instance: InstanceId, sequence: u64) -> bool {
        let last = self.last.entry(instance).or_insert(LastHeartbeat {
            at: now,
            sequence: 0,
        });
        if sequence < last.sequence {
            return false;
        }
        *last = LastHeartbeat { at: now, sequence };
        true
    }

    /// An incarnation has registered at the address of these others.
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

    /// Whether a heartbeat may be one of before its server was superseded.
    fn may_precede_superseding(&mut self, instance: &InstanceId) -> bool {
        let Some(superseded) = self.superseded.get_mut(instance) else {
            return false;
        };
        superseded.heartbeats += 1;
        superseded.heartbeats < HEARTBEATS_TO_RETURN
    }

    /// Whether a later incarnation of the same server is registered, or was heard of and has expired since.
    fn knows_later_incarnation(&self, instance: &InstanceId, state: &CoordinationState) -> bool {
        let heard = self.last.range(instance..).map(|(known, _)| known);
        let mut heard = heard.take_while(|known| known.name() == instance.name());
        heard.any(|known| known > instance)
            || state
                .incarnations_of(instance.name())
                .any(|(known, _)| known > instance)
    }

    /// Whether a heartbeat that is the newest of its incarnation tells what that is now.
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

    /// Whether a heartbeat of an incarnation that the registry does not hold may be one of before its end.
    fn may_be_outdated(&mut self, now: Instant, instance: &InstanceId) -> bool {
        let after_deregistration =
            instance.start_time().is_some() && self.deregistered.has(now, instance.name());
        after_deregistration || self.may_precede_superseding(instance)
    }

    /// A server has started again under its name.
    pub(crate) fn note_restart(&mut self, now: Instant, name: &ServerName) {
        self.restarted.note(now, name);
    }

    /// A server has deregistered that the registry does not hold.
    pub(crate) fn note_deregistration(&mut self, now: Instant, name: &ServerName) {
        self.deregistered.note(now, name);
    }

    /// Whether a deregistration may be a late one of the incarnation before `newest`.
    pub(crate) fn is_ambiguous(&self, now: Instant, newest: &InstanceId) -> bool {
        newest.start_time().is_some() && self.restarted.has(now, newest.name())
    }

    /// Servers of the registry that are silent for longer than `expiry`. Their silence is counted anew,
    /// so that none is named again before what follows is applied.
    pub(crate) fn take_silent(
        &mut self,
        now: Instant,
        expiry: Duration,
        state: &CoordinationState,
    ) -> Vec<InstanceId> {
        self.forget(now - FORGET_AFTER, state);
        let limit = now - expiry;
        let servers = state.servers().keys();
        let silent = servers.filter(|instance| self.silent_since(instance, limit));
        let silent: Vec<InstanceId> = silent.cloned().collect();
        let heard = LastHeartbeat {
            at: now,
            sequence: 0,
        };
        let anew = silent.iter().map(|instance| (instance.clone(), heard));
        self.last.extend(anew);
        silent
    }

    /// Forgets servers that are not registered and were silent since before `limit`.
    fn forget(&mut self, limit: Instant, state: &CoordinationState) {
        self.last
            .retain(|known, last| last.at >= limit || state.servers().contains_key(known));
    }

    /// Whether the server has been silent since before `limit`.
    fn silent_since(&self, instance: &InstanceId, limit: Instant) -> bool {
        self.last.get(instance).is_none_or(|last| last.at < limit)
    }
}

/// Why an entry names no server to use: it is of a service that the configuration does not have, or
/// says what the incarnation that it names cannot have become. Such entries come from another writer, and
/// are to disturb nobody.
pub(crate) fn foreign(server: &ServerRecord, state: &CoordinationState) -> Option<String> {
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

/// What the registry should hold after `server` has reported itself.
pub(crate) fn merged(mut server: ServerRecord, state: &CoordinationState) -> ServerRecord {
    if let Some(held) = state.servers().get(&server.instance) {
        server.draining |= held.draining;
        for entry in &held.models {
            server.raise_version(&entry.model, entry.version);
        }
    }
    server
}
