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
/// server gives a call up after a second.
const PASS_ON_LIMIT: Duration = Duration::from_millis(800);

/// A heartbeat that was passed on to the leader.
pub(super) struct PassedOn {
    caller: ConnectionId,
    server: ServerRecord,
    since: Instant,
}

/// All of them that are not answered, by the number that the leader answers with.
#[derive(Default)]
pub(super) struct PassedOnHeartbeats {
    by_id: HashMap<u64, PassedOn>,
    next_id: u64,
}

impl PassedOnHeartbeats {
    fn add(&mut self, passed_on: PassedOn) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.by_id.insert(id, passed_on);
        id
    }

    /// Takes out those that have waited for too long.
    fn take_late(&mut self, now: Instant) -> Vec<PassedOn> {
        let is_late = |passed_on: &PassedOn| now.since(passed_on.since) >= PASS_ON_LIMIT;
        let late = self.by_id.extract_if(|_, passed_on| is_late(passed_on));
        late.map(|(_, passed_on)| passed_on).collect()
    }
}

impl Coordinator {
    /// Answers a heartbeat that says nothing new; any other one goes to the leader.
    pub(super) fn pass_on_heartbeat(
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
        let id = self.passed_on.add(PassedOn {
            caller,
            server: heartbeat.server.clone(),
            since: now,
        });
        let frame = CoordinatorFrame::Heartbeat { id, heartbeat };
        self.send_frame(link, &IncomingFrame::Coordinator(frame));
    }

    /// The leader has answered a heartbeat that was passed on.
    pub(super) fn on_heartbeat_reply(&mut self, now: Instant, id: u64, answer: HeartbeatAnswer) {
        let Some(passed_on) = self.passed_on.by_id.remove(&id) else {
            return;
        };
        let answer = match answer {
            HeartbeatAnswer::Durable => {
                self.heartbeats.acknowledged(now, passed_on.server);
                ControlAnswer::Reply(Reply::Done)
            }
            HeartbeatAnswer::Refused(reason) => ControlAnswer::Reply(Reply::Refused(reason)),
            HeartbeatAnswer::Unknown => ControlAnswer::Unavailable,
        };
        self.answer_heartbeat(passed_on.caller, &answer);
    }

    /// Answers heartbeats that the leader has not acknowledged in time.
    pub(super) fn give_up_passed_on(&mut self, now: Instant) {
        for passed_on in self.passed_on.take_late(now) {
            self.answer_heartbeat(passed_on.caller, &ControlAnswer::Unavailable);
        }
    }

    /// Tells the leader which servers were heard of here.
    pub(super) fn tell_heard(&mut self, now: Instant) {
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
