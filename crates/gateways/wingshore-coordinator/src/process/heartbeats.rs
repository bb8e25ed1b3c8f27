//! Heartbeats of servers at a coordinator that does not lead.

use super::Coordinator;
use crate::forwarded_heartbeats::ForwardedHeartbeat;
use crate::heartbeats::HeartbeatVerdict;
use crate::protocol::ControlAnswer;
use wingshore_coordination::{CoordinatorFrame, Heartbeat, HeartbeatAnswer, IncomingFrame, Reply};
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

impl Coordinator {
    /// Acknowledges a heartbeat that says nothing new; forwards any other one to the leader.
    pub(super) fn forward_heartbeat(
        &mut self,
        now: Instant,
        caller: ConnectionId,
        heartbeat: Heartbeat,
    ) {
        let leader = self.known_leader();
        let Some(link) = leader.and_then(|known| self.route_to(known.leader)) else {
            return self.answer_heartbeat(caller, &ControlAnswer::Unavailable);
        };
        if self.heartbeats.offer(now, &heartbeat) == HeartbeatVerdict::Known {
            return self.answer_heartbeat(caller, &ControlAnswer::Reply(Reply::Done));
        }
        let id = self.forwarded.add(ForwardedHeartbeat {
            caller,
            server: heartbeat.server.clone(),
            since: now,
        });
        let frame = CoordinatorFrame::Heartbeat { id, heartbeat };
        self.send_frame(link, &IncomingFrame::Coordinator(frame));
    }

    /// The leader has answered a heartbeat that was forwarded.
    pub(super) fn on_heartbeat_reply(&mut self, now: Instant, id: u64, answer: HeartbeatAnswer) {
        let Some(forwarded) = self.forwarded.take(id) else {
            return;
        };
        let answer = match answer {
            HeartbeatAnswer::Durable => {
                self.heartbeats.acknowledged(now, forwarded.server);
                ControlAnswer::Reply(Reply::Done)
            }
            HeartbeatAnswer::Refused(reason) => ControlAnswer::Reply(Reply::Refused(reason)),
            HeartbeatAnswer::Unknown => ControlAnswer::Unavailable,
        };
        self.answer_heartbeat(forwarded.caller, &answer);
    }

    /// Answers heartbeats that the leader has not acknowledged in time.
    pub(super) fn answer_late_heartbeats(&mut self, now: Instant) {
        for forwarded in self.forwarded.take_late(now) {
            self.answer_heartbeat(forwarded.caller, &ControlAnswer::Unavailable);
        }
    }

    /// Reports to the leader which servers were heard of here.
    pub(super) fn report_heard(&mut self, now: Instant) {
        let leader = self.known_leader();
        let Some(link) = leader.and_then(|known| self.route_to(known.leader)) else {
            return;
        };
        let heard = self.heartbeats.take_heard(now);
        if !heard.is_empty() {
            let frame = CoordinatorFrame::Heard(heard);
            self.send_frame(link, &IncomingFrame::Coordinator(frame));
        }
    }

    fn answer_heartbeat(&mut self, caller: ConnectionId, answer: &ControlAnswer) {
        let answer = self.protocol.write(answer);
        self.answer(caller, &answer);
    }
}
