//! Heartbeats of servers at a coordinator that does not lead.

use super::Coordinator;
use crate::heartbeats::HeartbeatVerdict;
use crate::protocol::ControlAnswer;
use std::collections::HashMap;
use std::time::Duration;
use wingshore_coordination::{
    CoordinatorFrame, Heartbeat, HeartbeatAnswer, IncomingFrame, Reply, ServerRecord,
};
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

/// A heartbeat that the leader has not acknowledged is answered as unavailable after this time: a
/// server gives a call up after a second. Not measured.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(800);

/// A heartbeat that was forwarded to the leader.
pub(super) struct ForwardedHeartbeat {
    caller: ConnectionId,
    server: ServerRecord,
    since: Instant,
}

/// All of them that are not answered, by the number that the leader answers with.
#[derive(Default)]
pub(super) struct ForwardedHeartbeats {
    by_id: HashMap<u64, ForwardedHeartbeat>,
    next_id: u64,
}

impl ForwardedHeartbeats {
    fn add(&mut self, forwarded: ForwardedHeartbeat) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.by_id.insert(id, forwarded);
        id
    }

    /// Takes out those that have waited for too long.
    fn take_late(&mut self, now: Instant) -> Vec<ForwardedHeartbeat> {
        let is_late =
            |forwarded: &ForwardedHeartbeat| now.since(forwarded.since) >= FORWARD_TIMEOUT;
        let late = self.by_id.extract_if(|_, forwarded| is_late(forwarded));
        late.map(|(_, forwarded)| forwarded).collect()
    }
}

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
        let Some(forwarded) = self.forwarded.by_id.remove(&id) else {
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
