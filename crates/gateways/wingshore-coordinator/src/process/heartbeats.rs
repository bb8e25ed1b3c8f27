//! Heartbeats of servers that arrive at a coordinator other than the leader.

use super::Coordinator;
use crate::forwarded_heartbeats::{ForwardStep, LeaderRoute};
use crate::heartbeats::HeartbeatAction;
use crate::protocol::ControlAnswer;
use wingshore_coordination::{CoordinatorFrame, Heartbeat, HeartbeatAnswer, IncomingFrame, Reply};
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

impl Coordinator {
    /// Acknowledges a heartbeat that contains no change. Forwards any other to the leader, unless
    /// the same heartbeat was already forwarded and is not answered yet.
    pub(super) fn forward_heartbeat(
        &mut self,
        now: Instant,
        caller: ConnectionId,
        heartbeat: Heartbeat,
    ) {
        let Some(route) = self.leader_route() else {
            return self.answer_heartbeat(caller, &ControlAnswer::Unavailable);
        };
        if self.heartbeats.offer(now, &heartbeat) == HeartbeatAction::Acknowledge {
            return self.answer_heartbeat(caller, &ControlAnswer::Reply(Reply::Done));
        }
        match self.forwarded.offer(now, route, caller, &heartbeat) {
            ForwardStep::Wait { sequence } => {
                self.heartbeats
                    .record_unchanged(heartbeat.server.instance, sequence);
            }
            ForwardStep::Forward(id) => {
                let frame = CoordinatorFrame::Heartbeat { id, heartbeat };
                self.send_frame(route.link, &IncomingFrame::Coordinator(frame));
            }
        }
    }

    /// Handles the leader's answer to a forwarded heartbeat.
    pub(super) fn on_heartbeat_reply(&mut self, now: Instant, id: u64, answer: HeartbeatAnswer) {
        let Some(forwarded) = self.forwarded.answered(id) else {
            return;
        };
        let answer = match answer {
            HeartbeatAnswer::Durable => {
                if let Some(server) = forwarded.newest {
                    self.heartbeats.acknowledged(now, server);
                }
                ControlAnswer::Reply(Reply::Done)
            }
            HeartbeatAnswer::Refused(reason) => ControlAnswer::Reply(Reply::Refused(reason)),
            HeartbeatAnswer::Unknown => ControlAnswer::Unavailable,
        };
        self.answer_heartbeats(&forwarded.callers, &answer);
    }

    /// Answers forwarded heartbeats that the leader has not answered in time.
    pub(super) fn answer_late_heartbeats(&mut self, now: Instant) {
        let late = self.forwarded.take_timed_out(now);
        self.answer_heartbeats(&late, &ControlAnswer::Unavailable);
    }

    /// Answers heartbeats that were forwarded over a link that was closed.
    pub(super) fn answer_lost_heartbeats(&mut self, link: ConnectionId) {
        let lost = self.forwarded.link_ended(link);
        self.answer_heartbeats(&lost, &ControlAnswer::Unavailable);
    }

    /// Reports to the leader the servers whose unchanged heartbeats were acknowledged here.
    pub(super) fn report_unchanged_servers(&mut self, now: Instant) {
        let Some(LeaderRoute { link, .. }) = self.leader_route() else {
            return;
        };
        let heard = self.heartbeats.take_unchanged(now);
        if !heard.is_empty() {
            let frame = CoordinatorFrame::Heard(heard);
            self.send_frame(link, &IncomingFrame::Coordinator(frame));
        }
    }

    fn leader_route(&self) -> Option<LeaderRoute<ConnectionId>> {
        let leader = self.known_leader()?.leader;
        let link = self.route_to(leader)?;
        Some(LeaderRoute { leader, link })
    }

    fn answer_heartbeats(&mut self, callers: &[ConnectionId], answer: &ControlAnswer) {
        for caller in callers {
            self.answer_heartbeat(*caller, answer);
        }
    }

    fn answer_heartbeat(&mut self, caller: ConnectionId, answer: &ControlAnswer) {
        let answer = self.protocol.write(answer);
        self.answer(caller, &answer);
    }
}
