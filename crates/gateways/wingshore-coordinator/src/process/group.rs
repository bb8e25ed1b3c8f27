//! The group's host: requests to it, its outputs, and the delivery of its replies.

use super::pending::PendingCall;
use super::{Coordinator, ReplyTarget};
use crate::decision_log;
use crate::error::{CoordinatorError, GroupSnafu};
use slog::info;
use snafu::ResultExt;
use std::time::Duration;
use wingshore_coordination::{
    CallReply, CoordinationLeader, CoordinatorFrame, CoordinatorMessage, Decision, Effect, Event,
    HeartbeatAnswer, IncomingFrame, Reply, Request,
};
use wingshore_group::{HostInput, HostOutput, HostReply, Leadership};
use wingshore_types::Instant;
use wingshore_types::machine::RequestTag;
use wingshore_types::protocol::membership::MembershipReply;

impl Coordinator {
    /// Submits a request to the group; its reply goes to `reply_target`.
    pub(super) fn submit(&mut self, request: Request, reply_target: ReplyTarget) {
        let subject = request.is_answer_logged().then(|| request.subject());
        let tag = self.register_call(reply_target, request.kind(), subject);
        self.inputs.push(HostInput::Request { tag, request });
    }

    /// Registers a call and the target of its reply; returns the call's tag.
    pub(super) fn register_call(
        &mut self,
        reply_target: ReplyTarget,
        kind: &'static str,
        subject: Option<String>,
    ) -> RequestTag {
        self.pending.add(PendingCall {
            reply_target,
            kind,
            subject,
            started_at: self.clock.now(),
        })
    }

    /// Steps the group once with all collected inputs, and carries out its outputs.
    pub(super) fn step_host(
        &mut self,
        now: Instant,
        outputs: &mut Vec<HostOutput<CoordinationLeader>>,
    ) -> Result<(), CoordinatorError> {
        let inputs = std::mem::take(&mut self.inputs);
        if inputs.is_empty() {
            return Ok(());
        }
        self.host.step_all(now, inputs, outputs);
        for output in outputs.drain(..) {
            self.handle_output(now, output)?;
        }
        Ok(())
    }

    fn handle_output(
        &mut self,
        now: Instant,
        output: HostOutput<CoordinationLeader>,
    ) -> Result<(), CoordinatorError> {
        match output {
            HostOutput::Send { to, message } => self.send_consensus(to, message),
            HostOutput::Write { token, batch } => self.writer.write(token, batch),
            HostOutput::Reply { tag, reply } => self.on_reply(tag, reply),
            HostOutput::Effect(effect) => self.on_effect(now, effect),
            HostOutput::MembershipChanged(membership) => {
                info!(self.logger, "members"; "membership" => ?membership);
                self.dial_members(now);
            }
            HostOutput::Election(event) => {
                info!(self.logger, "election"; "node" => &self.settings.node, "event" => ?event);
            }
            HostOutput::Leadership(leadership) => self.on_leadership(now, leadership),
            HostOutput::Stopped => self.stop.is_done = true,
            HostOutput::Failed(source) => return Err(source).context(GroupSnafu),
        }
        Ok(())
    }

    /// Handles a change of leadership. A new leader gets the lost coordinators and connected
    /// gateways that this process knows.
    fn on_leadership(&mut self, now: Instant, leadership: Leadership) {
        self.members.is_change_pending = false;
        match leadership {
            Leadership::Leading { epoch } => {
                info!(self.logger, "leading"; "node" => &self.settings.node, "epoch" => epoch.0);
                self.metrics.leadership_began();
                self.members.planner.leadership_began(now);
                let lost = self.peers.lost_within(now, self.settings.order_handover());
                let event = Event::CoordinatorsLost(lost);
                self.inputs.push(HostInput::Event(event));
                let gateways = self.directory.iter();
                let known = gateways.map(|gateway| gateway.hello.clone());
                let events = known.map(|hello| HostInput::Event(Event::GatewayConnected(hello)));
                self.inputs.extend(events);
            }
            Leadership::Following { leader } => {
                info!(self.logger, "following"; "node" => &self.settings.node,
                    "leader" => leader.map(|leader| leader.0));
            }
        }
        // Gateways follow the view only at a coordinator whose copy has a known leader.
        self.send_alive();
    }

    fn on_effect(&mut self, now: Instant, effect: Effect) {
        let event = match effect {
            Effect::ToGateway(gateway, message) => {
                if let Some(connection) = self.directory.connection(gateway) {
                    self.send_frame(connection, &message);
                }
                None
            }
            Effect::UnknownServers { to, instances } => {
                if let Some(connection) = self.route_to(to) {
                    let frame = CoordinatorFrame::UnknownServers(instances);
                    self.send_frame(connection, &IncomingFrame::Coordinator(frame));
                }
                None
            }
            Effect::Log(decision) => {
                self.log_decision(now, &decision);
                None
            }
            Effect::OrderCapacity(order) => self.order_capacity(now, &order),
            Effect::ReportUsage(report) => self.report_usage(now, &report),
            Effect::Order(order) => self.order_load(now, &order),
            Effect::PollEngine { instance, address } => {
                self.calls
                    .poll_engine(now, &mut self.reactor, &instance, address)
            }
        };
        self.take_call_events(event);
    }

    /// Counts the voters that this coordinator has a connection to, and itself if it is a voter.
    fn reachable_voters(&self) -> usize {
        let voters = self.host.membership().voters.iter();
        let own = self.folder.identity().replica;
        voters
            .filter(|voter| voter.id == own || self.route_to(voter.id).is_some())
            .count()
    }

    fn log_decision(&mut self, now: Instant, decision: &Decision) {
        if let Decision::ItemBodyRead { body_bytes, .. } = decision {
            let outcome = decision_log::body_read_outcome(*body_bytes);
            self.metrics.item_body_read(outcome);
        }
        if let Some(item) = decision.sampling_id() {
            let time = Duration::from_millis(now.as_millis());
            if !self.sampler.should_log(time, item.as_str()) {
                return;
            }
        }
        decision_log::log(&self.logger, decision);
    }

    fn on_reply(&mut self, tag: RequestTag, reply: HostReply<Reply>) {
        let Some(pending) = self.pending.take(tag) else {
            return;
        };
        let time = self.clock.now().since(pending.started_at);
        let outcome = outcome_name(&reply);
        self.metrics.call_ended(pending.kind, outcome, time);
        if let Some(subject) = pending.subject {
            let leader = self.host.leader().map(|leader| leader.0);
            info!(self.logger, "call answered"; "call" => pending.kind, "subject" => subject,
                "outcome" => outcome, "after_ms" => time.as_millis() as u64,
                "term" => self.host.term(), "leader" => leader,
                "members_in_touch" => self.reachable_voters(),
                "voters" => self.host.membership().voters.len());
        }
        match pending.reply_target {
            ReplyTarget::Caller(connection) => self.answer_caller(connection, reply),
            ReplyTarget::Gateway(connection, id) => {
                let reply = match reply {
                    HostReply::Reply(reply) => CallReply::Reply(reply),
                    HostReply::NotLeader { .. } => CallReply::NotLeader,
                    HostReply::Membership(_) | HostReply::Unknown => CallReply::Unknown,
                };
                self.send_frame(connection, &CoordinatorMessage::Reply { id, reply });
            }
            ReplyTarget::Coordinator(connection, id) => {
                let answer = match reply {
                    HostReply::Reply(Reply::Done) => HeartbeatAnswer::Durable,
                    HostReply::Reply(Reply::Refused(reason)) => HeartbeatAnswer::Refused(reason),
                    _ => HeartbeatAnswer::Unknown,
                };
                let reply = CoordinatorFrame::HeartbeatReply { id, answer };
                self.send_frame(connection, &IncomingFrame::Coordinator(reply));
            }
            ReplyTarget::Planner => {
                self.members.is_change_pending = false;
                if let HostReply::Membership(MembershipReply::Refused { message }) = reply {
                    info!(self.logger, "member change refused"; "reason" => message);
                }
            }
            ReplyTarget::Nobody => {}
        }
    }
}

/// Name of a reply's outcome in logs and metrics.
fn outcome_name(reply: &HostReply<Reply>) -> &'static str {
    match reply {
        HostReply::Reply(Reply::Unknown) => "nothing_there",
        HostReply::Reply(Reply::Refused(_)) => "refused",
        HostReply::Reply(Reply::ComeBack(_)) => "no_room",
        HostReply::Reply(_) | HostReply::Membership(_) => "answered",
        HostReply::NotLeader { .. } => "not_leader",
        HostReply::Unknown => "uncertain",
    }
}
