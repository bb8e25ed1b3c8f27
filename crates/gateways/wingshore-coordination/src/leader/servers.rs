//! The leader's side of the server registry: heartbeats, drains, deregistrations, expiry.

use super::decision_log::Decision;
use super::decisions::registration::{LATE_CALL_WINDOW, merged_record, registration_error};
use super::interface::Effect;
use super::machine::CoordinationLeader;
use super::proposals::FollowUp;
use super::turn::Turn;
use crate::ids::{InstanceId, ServerName};
use crate::messages::Reply;
use crate::registry::{Heartbeat, ServerRecord, UnchangedServer};
use crate::state::Command;
use wingshore_types::ReplicaId;
use wingshore_types::machine::RequestTag;

impl CoordinationLeader {
    pub(crate) fn on_heartbeat(
        &mut self,
        tag: RequestTag,
        heartbeat: Heartbeat,
        turn: &mut Turn<'_>,
    ) {
        if let Some(reason) = registration_error(&heartbeat.server, turn.state) {
            return turn.reply(tag, Reply::Refused(reason));
        }
        let instance = heartbeat.server.instance.clone();
        let is_newest = self
            .heartbeats
            .record(turn.now, instance.clone(), heartbeat.sequence);
        let is_known = turn.state.servers().contains_key(&instance);
        if is_newest {
            self.engines.heartbeat_received(&instance);
        }
        let heartbeats = &mut self.heartbeats;
        let has_successor =
            !is_known && heartbeats.has_successor(turn.now, &heartbeat.server, turn.state);
        let is_late = !is_newest || has_successor;
        if is_late || !heartbeats.is_current(turn.now, &instance, turn.state) {
            return self.acknowledge_stale_heartbeat(tag, &instance, turn);
        }
        let wanted = merged_record(heartbeat.server, turn.state);
        if turn.state.servers().get(&instance) == Some(&wanted) {
            return turn.reply(tag, Reply::Done);
        }
        if !is_known {
            self.remove_servers_at_address_of(&wanted, turn);
            self.remove_earlier_incarnations(&instance, turn);
        }
        let command = Command::Register(wanted);
        self.propose_server(command, instance, Some(tag), turn);
    }

    /// Acknowledges a heartbeat that is not the newest of its server, once the changes by the newer
    /// ones are durable: the same state may have been reported through two coordinators.
    fn acknowledge_stale_heartbeat(
        &mut self,
        tag: RequestTag,
        instance: &InstanceId,
        turn: &mut Turn<'_>,
    ) {
        if !self.registrations.wait(instance, tag) {
            turn.reply(tag, Reply::Done);
        }
    }

    /// Proposes a change of a server's registry record.
    fn propose_server(
        &mut self,
        command: Command,
        instance: InstanceId,
        tag: Option<RequestTag>,
        turn: &mut Turn<'_>,
    ) {
        self.registrations.proposed(instance.clone());
        self.propose(command, FollowUp::ServerChanged(instance, tag), turn);
    }

    /// Removes other servers that are registered at the address of a new one. Two servers cannot
    /// listen on one address, so the earlier one has ended. Otherwise it would be detected as
    /// silent only after [`LeaderSettings::server_expiry`](super::LeaderSettings::server_expiry),
    /// and until then would be sent items that the new server refuses.
    fn remove_servers_at_address_of(&mut self, server: &ServerRecord, turn: &mut Turn<'_>) {
        let others = turn.state.servers().values();
        let name = server.instance.name();
        let others = others.filter(|other| other.address == server.address);
        let others = others.filter(|other| other.instance.name() != name);
        let others: Vec<InstanceId> = others.map(|other| other.instance.clone()).collect();
        self.heartbeats.supersede(server.address, &others);
        for instance in others {
            let command = Command::Expire(instance.clone());
            self.propose_server(command, instance, None, turn);
        }
    }

    /// Removes the earlier incarnations of a server that restarted under its name; they have ended.
    fn remove_earlier_incarnations(&mut self, instance: &InstanceId, turn: &mut Turn<'_>) {
        let incarnations = turn.state.incarnations_of(instance.name());
        let earlier = incarnations.map(|(incarnation, _)| incarnation);
        let earlier = earlier.filter(|incarnation| *incarnation < instance);
        let earlier: Vec<InstanceId> = earlier.cloned().collect();
        if earlier.is_empty() {
            return;
        }
        self.heartbeats.note_restart(turn.now, instance.name());
        for instance in earlier {
            let command = Command::Depart(instance.clone());
            self.propose_server(command, instance, None, turn);
        }
    }

    /// Handles heartbeats that another coordinator answered because they changed nothing in the
    /// registry.
    pub(crate) fn on_servers_reported(
        &mut self,
        from: ReplicaId,
        servers: Vec<UnchangedServer>,
        turn: &mut Turn<'_>,
    ) {
        let mut unknown = Vec::new();
        for UnchangedServer { instance, sequence } in servers {
            if turn.state.servers().contains_key(&instance) {
                self.engines.heartbeat_received(&instance);
                self.heartbeats.record(turn.now, instance, sequence);
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

    /// Handles a deregistration. It does not identify the incarnation: if a new one has just
    /// registered, the call may be a delayed one of the previous incarnation and is not
    /// acknowledged. A server that really ends will call again.
    pub(crate) fn on_deregister(&mut self, tag: RequestTag, name: ServerName, turn: &mut Turn<'_>) {
        let newest = turn.state.incarnations_of(&name).last();
        let newest = newest.map(|(incarnation, _)| incarnation.clone());
        let Some(newest) = newest else {
            return self.deregister_unknown(tag, name, turn);
        };
        if self.heartbeats.is_ambiguous(turn.now, &newest) {
            return turn.reply(tag, Reply::ComeBack(LATE_CALL_WINDOW));
        }
        let command = Command::Depart(newest.clone());
        self.propose_server(command, newest, Some(tag), turn);
    }

    /// Handles the deregistration of a server that is not in the registry: delayed heartbeats of it
    /// may still arrive.
    fn deregister_unknown(&mut self, tag: RequestTag, name: ServerName, turn: &mut Turn<'_>) {
        self.heartbeats.note_deregistration(turn.now, &name);
        let instance = InstanceId::new(name, None);
        if turn.state.has_departed(&instance) {
            return turn.reply(tag, Reply::Done);
        }
        let command = Command::Depart(instance.clone());
        self.propose_server(command, instance, Some(tag), turn);
    }

    /// Continues after a change of a server's registry record was committed.
    pub(crate) fn on_server_changed(
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
        let waiting = self.registrations.applied(&instance);
        for tag in tag.into_iter().chain(waiting) {
            turn.reply(tag, Reply::Done);
        }
        self.engines.server_changed(&instance, turn.state);
        self.place_items(turn);
    }

    /// Removes servers without recent heartbeats from the registry.
    pub(crate) fn expire_servers(&mut self, turn: &mut Turn<'_>) {
        let expiry = self.settings.server_expiry;
        for instance in self.heartbeats.take_silent(turn.now, expiry, turn.state) {
            let command = Command::Expire(instance.clone());
            self.propose_server(command, instance, None, turn);
        }
    }
}
