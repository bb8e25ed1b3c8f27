//! The registry's leader side: heartbeats, drains, departures, expiry.

use super::decision_log::Decision;
use super::interface::Effect;
use super::machine::CoordinationLeader;
use super::proposals::FollowUp;
use super::turn::Turn;
use crate::ids::{InstanceId, ServerName};
use crate::messages::Reply;
use crate::registry::{HeardServer, Heartbeat, ServerRecord};
use crate::state::{Command, CoordinationState};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::machine::RequestTag;
use wingshore_types::{Instant, ReplicaId};

/// Calls of a run that has ended may arrive this long after the next one of its name: heartbeats and
/// deregistrations are under way for seconds at the most where links are cut.
const LATE_CALLS: Duration = Duration::from_secs(5);

/// A server that is not registered and silent for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// A run of a server that was superseded at its address comes back with its second heartbeat: the
/// first one may have been under way since before it ended, for seconds.
const HEARTBEATS_TO_COME_BACK: u32 = 2;

/// When each server was last heard of.
#[derive(Default)]
pub(crate) struct Heartbeats {
    last: BTreeMap<InstanceId, LastHeartbeat>,
    /// Runs whose address another run has registered since, and heartbeats of them since then. At
    /// most one for each server: a run that is not heard of again is dropped when the next one at
    /// its address is superseded.
    superseded: BTreeMap<InstanceId, Superseded>,
    /// Servers that have started again lately: a deregistration may be one of the run before.
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
    fn note(&mut self, now: Instant, instance: InstanceId, sequence: u64) -> bool {
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

    /// A run has registered at the address of these others.
    fn supersede(&mut self, address: SocketAddr, others: &[InstanceId]) {
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
    fn may_be_outdated(&mut self, instance: &InstanceId) -> bool {
        let Some(superseded) = self.superseded.get_mut(instance) else {
            return false;
        };
        superseded.heartbeats += 1;
        superseded.heartbeats < HEARTBEATS_TO_COME_BACK
    }

    /// Whether a later run of the same server is registered, or was heard of and has expired since.
    fn knows_later_run(&self, instance: &InstanceId, state: &CoordinationState) -> bool {
        let heard = self.last.range(instance..).map(|(run, _)| run);
        let mut heard = heard.take_while(|run| run.name() == instance.name());
        heard.any(|run| run > instance)
            || state
                .runs_of(instance.name())
                .any(|(run, _)| run > instance)
    }

    /// Forgets servers that are not registered and were silent since before `limit`.
    fn forget(&mut self, limit: Instant, state: &CoordinationState) {
        self.last
            .retain(|run, last| last.at >= limit || state.servers().contains_key(run));
    }

    /// Whether the server has been silent since before `limit`.
    fn silent_since(&self, instance: &InstanceId, limit: Instant) -> bool {
        self.last.get(instance).is_none_or(|last| last.at < limit)
    }
}

impl CoordinationLeader {
    pub(crate) fn on_heartbeat(
        &mut self,
        tag: RequestTag,
        heartbeat: Heartbeat,
        turn: &mut Turn<'_>,
    ) {
        if let Some(reason) = foreign(&heartbeat.server, turn.state) {
            return turn.reply(tag, Reply::Refused(reason));
        }
        let instance = heartbeat.server.instance.clone();
        let is_newest = self
            .heartbeats
            .note(turn.now, instance.clone(), heartbeat.sequence);
        let is_known = turn.state.servers().contains_key(&instance);
        if is_newest {
            self.engines.heard(&instance);
        }
        if turn.state.has_departed(&instance)
            || !is_newest
            || self.heartbeats.knows_later_run(&instance, turn.state)
            || (!is_known && self.may_be_outdated(turn.now, &instance))
        {
            return turn.reply(tag, Reply::Done);
        }
        let wanted = merged(heartbeat.server, turn.state);
        if turn.state.servers().get(&instance) == Some(&wanted) {
            return turn.reply(tag, Reply::Done);
        }
        if !is_known {
            self.supersede_others(&wanted, turn);
            self.end_earlier_runs(&instance, turn);
        }
        let command = Command::Register(wanted);
        self.propose(command, FollowUp::Server(instance, Some(tag)), turn);
    }

    /// Two runs cannot listen at one address: where a new one registers, the one before has ended,
    /// and is given nothing from now on. It would be known by its silence only after
    /// [`LeaderSettings::server_expiry`](super::LeaderSettings::server_expiry), and be sent what
    /// the new one refuses until then.
    fn supersede_others(&mut self, server: &ServerRecord, turn: &mut Turn<'_>) {
        let others = turn.state.servers().values();
        let name = server.instance.name();
        let others = others.filter(|other| other.address == server.address);
        let others = others.filter(|other| other.instance.name() != name);
        let others: Vec<InstanceId> = others.map(|other| other.instance.clone()).collect();
        self.heartbeats.supersede(server.address, &others);
        for instance in others {
            let command = Command::Expire(instance.clone());
            self.propose(command, FollowUp::Server(instance, None), turn);
        }
    }

    /// Whether a heartbeat of a run that the registry does not hold may be one of before its end.
    fn may_be_outdated(&mut self, now: Instant, instance: &InstanceId) -> bool {
        let after_deregistration =
            instance.born().is_some() && self.heartbeats.deregistered.has(now, instance.name());
        after_deregistration || self.heartbeats.may_be_outdated(instance)
    }

    /// A server has started again under its name: the runs before have ended for good.
    fn end_earlier_runs(&mut self, instance: &InstanceId, turn: &mut Turn<'_>) {
        let runs = turn.state.runs_of(instance.name());
        let earlier: Vec<InstanceId> = runs
            .map(|(run, _)| run)
            .filter(|run| *run < instance)
            .cloned()
            .collect();
        if earlier.is_empty() {
            return;
        }
        self.heartbeats.restarted.note(turn.now, instance.name());
        for run in earlier {
            self.propose(
                Command::Depart(run.clone()),
                FollowUp::Server(run, None),
                turn,
            );
        }
    }

    /// Another coordinator answered heartbeats that say what the registry holds.
    pub(crate) fn on_servers_heard(
        &mut self,
        from: ReplicaId,
        servers: Vec<HeardServer>,
        turn: &mut Turn<'_>,
    ) {
        let mut unknown = Vec::new();
        for HeardServer { instance, sequence } in servers {
            if turn.state.servers().contains_key(&instance) {
                self.engines.heard(&instance);
                self.heartbeats.note(turn.now, instance, sequence);
            } else if !turn.state.has_departed(&instance) {
                unknown.push(instance);
            }
        }
        if !unknown.is_empty() {
            let effect = Effect::UnknownServers {
                to: from,
                instances: unknown,
            };
            turn.effect(effect);
        }
    }

    /// A server deregisters. It does not say which of its runs ends: where a new one has just
    /// registered, the call may be a late one of the run before, and is not acknowledged. A server
    /// that means it calls again.
    pub(crate) fn on_deregister(&mut self, tag: RequestTag, name: ServerName, turn: &mut Turn<'_>) {
        let newest = turn.state.runs_of(&name).last().map(|(run, _)| run.clone());
        let Some(newest) = newest else {
            return self.deregister_unknown(tag, name, turn);
        };
        if newest.born().is_some() && self.heartbeats.restarted.has(turn.now, &name) {
            return turn.reply(tag, Reply::ComeBack(LATE_CALLS));
        }
        let command = Command::Depart(newest.clone());
        self.propose(command, FollowUp::Server(newest, Some(tag)), turn);
    }

    /// A server deregisters that the registry does not hold: its heartbeats may still be under way.
    fn deregister_unknown(&mut self, tag: RequestTag, name: ServerName, turn: &mut Turn<'_>) {
        self.heartbeats.deregistered.note(turn.now, &name);
        let instance = InstanceId::new(name, None);
        if turn.state.has_departed(&instance) {
            return turn.reply(tag, Reply::Done);
        }
        let command = Command::Depart(instance.clone());
        self.propose(command, FollowUp::Server(instance, Some(tag)), turn);
    }

    /// What the registry holds of a server has changed.
    pub(crate) fn server_changed(
        &mut self,
        instance: InstanceId,
        tag: Option<RequestTag>,
        turn: &mut Turn<'_>,
    ) {
        let change = match turn.state.servers().get(&instance) {
            Some(server) if server.draining => "draining",
            Some(_) => "registered",
            None => "gone",
        };
        let decision = Decision::ServerChanged {
            instance: instance.clone(),
            change,
        };
        turn.log(decision);
        if let Some(tag) = tag {
            turn.reply(tag, Reply::Done);
        }
        self.engines.server_changed(&instance, turn.state);
        self.place_items(turn);
    }

    pub(crate) fn expire_servers(&mut self, turn: &mut Turn<'_>) {
        self.heartbeats.forget(turn.now - FORGET_AFTER, turn.state);
        let limit = turn.now - self.settings.server_expiry;
        let silent: Vec<InstanceId> = turn
            .state
            .servers()
            .keys()
            .filter(|instance| self.heartbeats.silent_since(instance, limit))
            .cloned()
            .collect();
        for instance in silent {
            // Counted anew, so that the proposal is not made again before it is applied.
            self.heartbeats.last.insert(
                instance.clone(),
                LastHeartbeat {
                    at: turn.now,
                    sequence: 0,
                },
            );
            let command = Command::Expire(instance.clone());
            self.propose(command, FollowUp::Server(instance, None), turn);
        }
    }
}

/// Why an entry names no server to use: it is of a service that the configuration does not have, or
/// says what the run that it names cannot have become. Such entries come from another writer, and
/// are to disturb nobody.
fn foreign(server: &ServerRecord, state: &CoordinationState) -> Option<String> {
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

/// What the registry should hold after `server` has told its state.
fn merged(mut server: ServerRecord, state: &CoordinationState) -> ServerRecord {
    if let Some(held) = state.servers().get(&server.instance) {
        server.draining |= held.draining;
        for entry in &held.models {
            server.raise_version(&entry.model, entry.version);
        }
    }
    server
}
