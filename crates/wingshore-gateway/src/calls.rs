//! Calls about batch jobs, passed on to the group's leader.

use crate::access::tenant_of;
use crate::coordinators::send;
use crate::process::Gateway;
use crate::protocol::{BatchAnswer, BatchCall, ReadPage};
use crate::timers::TimerKey;
use slog::{info, warn};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use wingshore_coordination::{CallReply, Caller, GatewayMessage, JobId, JobPage, Reply, Request};
use wingshore_net::ConnectionId;
use wingshore_net::http::WholeRequest;
use wingshore_types::Instant;

/// Time that the group has for a call, besides what the call may wait.
const CALL_LIMIT: Duration = Duration::from_millis(1300);
/// Time that the group has to accept a job.
const SUBMIT_LIMIT: Duration = Duration::from_millis(2500);
/// A call without an answer is sent again after this time: the leader may be cut off.
const RESEND_AFTER: Duration = Duration::from_millis(700);
/// When to come back after a call that had no effect.
const COME_BACK: Duration = Duration::from_millis(250);

/// Where a call was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Receiver {
    /// The group's leader.
    Leader(ConnectionId),
    /// A coordinator that answers from its copy of the state.
    Copy(ConnectionId),
}

impl Receiver {
    fn connection(self) -> ConnectionId {
        match self {
            Self::Leader(connection) | Self::Copy(connection) => connection,
        }
    }
}

/// One call that waits for the group.
struct Call {
    client: ConnectionId,
    request: Request,
    until: Instant,
    sent_to: Option<Receiver>,
    /// Whether it may take effect.
    may_take_effect: bool,
    /// Whether a copy of the state near by may answer it.
    may_read_copy: bool,
}

/// All calls that wait.
#[derive(Default)]
pub(crate) struct Calls {
    waiting: HashMap<u64, Call>,
    next: u64,
}

impl Gateway {
    /// Passes a call on.
    pub(crate) fn begin_batch_call(
        &mut self,
        now: Instant,
        client: ConnectionId,
        call: BatchCall,
        caller: Option<&Caller>,
    ) {
        let own = |job: JobId| job.of_tenant(tenant_of(caller));
        let (request, limit) = match call {
            BatchCall::Read { job, from, wait } => {
                let job = own(job);
                (Request::ReadJob { job, from, wait }, CALL_LIMIT + wait)
            }
            BatchCall::ReadItem { job, item } => {
                let job = own(job);
                (Request::ReadItem { job, item }, CALL_LIMIT)
            }
            BatchCall::End { job } => (Request::EndJob(own(job)), SUBMIT_LIMIT),
        };
        self.begin_call(now, client, request, limit);
    }

    /// Reads a batch job and passes it on.
    pub(crate) fn submit_job(
        &mut self,
        now: Instant,
        client: ConnectionId,
        request: &WholeRequest,
        caller: Option<&Caller>,
    ) {
        match self.site.protocol.read_submission(request) {
            Ok(mut submission) => {
                submission.id = submission.id.of_tenant(tenant_of(caller));
                let request = Request::SubmitJob(Arc::new(submission));
                self.begin_call(now, client, request, SUBMIT_LIMIT);
            }
            Err(reason) => {
                let answer = BatchAnswer::Refused(reason);
                self.log_refused(now, Some(&request.head), answer.name(), answer.reason());
                self.answer_batch(now, client, &answer);
            }
        }
    }

    fn begin_call(
        &mut self,
        now: Instant,
        client: ConnectionId,
        request: Request,
        limit: Duration,
    ) {
        let id = self.calls.next;
        self.calls.next += 1;
        let call = Call {
            client,
            request,
            until: now + limit,
            sent_to: None,
            may_take_effect: false,
            may_read_copy: true,
        };
        self.calls.waiting.insert(id, call);
        self.set_client_call(client, id);
        self.send_call(now, id);
    }

    /// Sends a call to where it can be answered.
    fn send_call(&mut self, now: Instant, id: u64) {
        if !self.send_to_copy(now, id) {
            self.send_to_leader(now, id);
        }
    }

    /// Reads results from a copy of the state near by, if there is one.
    fn send_to_copy(&mut self, now: Instant, id: u64) -> bool {
        let copy = self.site.coordinators.near_copy(now, &self.site.zone);
        let Some(call) = self.calls.waiting.get_mut(&id) else {
            return false;
        };
        let Request::ReadJob { job, from, wait } = &call.request else {
            return false;
        };
        let may_read_copy = call.may_read_copy && self.settings.policy.near_copies;
        let Some(copy) = copy.filter(|_| may_read_copy) else {
            return false;
        };
        let message = GatewayMessage::ReadCopy {
            id,
            job: job.clone(),
            from: *from,
            wait: *wait,
        };
        call.may_read_copy = false;
        call.sent_to = Some(Receiver::Copy(copy));
        let until = call.until;
        send(&mut self.runtime, copy, message);
        self.runtime.timers.arm(until, TimerKey::Call(id));
        true
    }

    /// Sends a call to the leader, if one is known.
    fn send_to_leader(&mut self, now: Instant, id: u64) {
        let leader = self.site.coordinators.leader();
        let Some(call) = self.calls.waiting.get_mut(&id) else {
            return;
        };
        call.sent_to = leader.map(Receiver::Leader);
        let mut look_at = call.until;
        if let Some(leader) = leader {
            call.may_take_effect = true;
            let request = call.request.clone();
            // A call that may wait is not late before that time.
            if !matches!(request, Request::ReadJob { .. }) {
                look_at = look_at.min(now + RESEND_AFTER);
            }
            let message = GatewayMessage::Call { id, request };
            send(&mut self.runtime, leader, message);
        }
        self.runtime.timers.arm(look_at, TimerKey::Call(id));
    }

    /// Calls that were sent on a connection that is gone wait for another leader.
    pub(crate) fn calls_lost(&mut self, now: Instant, connection: ConnectionId) {
        let mut from_copy = Vec::new();
        for (id, call) in &mut self.calls.waiting {
            match call.sent_to {
                Some(Receiver::Copy(copy)) if copy == connection => from_copy.push(*id),
                Some(Receiver::Leader(leader)) if leader == connection => call.sent_to = None,
                _ => {}
            }
        }
        for id in from_copy {
            self.send_to_leader(now, id);
        }
    }

    /// There is a leader: sends what waits for one.
    pub(crate) fn resend_calls(&mut self, now: Instant) {
        let leader = self.site.coordinators.leader();
        let leader = leader.map(Receiver::Leader);
        let is_at_copy = |call: &Call| matches!(call.sent_to, Some(Receiver::Copy(_)));
        let unsent: Vec<u64> = self
            .calls
            .waiting
            .iter()
            .filter(|(_, call)| call.sent_to != leader && !is_at_copy(call))
            .map(|(id, _)| *id)
            .collect();
        for id in unsent {
            self.send_call(now, id);
        }
    }

    pub(crate) fn on_call_timer(&mut self, now: Instant, id: u64) {
        let Some(call) = self.calls.waiting.get(&id) else {
            return;
        };
        if now < call.until {
            if !matches!(call.request, Request::ReadJob { .. }) || call.sent_to.is_none() {
                self.send_call(now, id);
            } else {
                let until = call.until;
                self.runtime.timers.arm(until, TimerKey::Call(id));
            }
            return;
        }
        let Some(call) = self.calls.waiting.remove(&id) else {
            return;
        };
        let kind = call.request.kind();
        let is_read = matches!(
            call.request,
            Request::ReadJob { .. } | Request::ReadItem { .. }
        );
        let answer = if is_read || !call.may_take_effect {
            BatchAnswer::Unavailable(COME_BACK)
        } else {
            BatchAnswer::Uncertain
        };
        warn!(self.runtime.logger, "call given up"; "call" => kind, "subject" => call.request.subject(),
            "leader_known" => self.site.coordinators.leader().is_some(), "answer" => answer.name(),
            "epoch" => self.site.view.epoch().0);
        self.runtime.metrics.call_ended(kind, answer.name());
        self.answer_batch(now, call.client, &answer);
    }

    pub(crate) fn on_call_reply(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        id: u64,
        reply: CallReply,
    ) {
        let Some(call) = self.calls.waiting.get_mut(&id) else {
            return;
        };
        let reply = match reply {
            CallReply::Reply(reply) => reply,
            CallReply::Nothing if call.sent_to == Some(Receiver::Copy(connection)) => {
                return self.ask_leader_instead(now, id);
            }
            CallReply::NotLeader | CallReply::Unknown | CallReply::Nothing => {
                // The next welcome, or the timer, sends it again.
                if call.sent_to.map(Receiver::connection) == Some(connection) {
                    call.sent_to = None;
                }
                return;
            }
        };
        let Some(call) = self.calls.waiting.remove(&id) else {
            return;
        };
        let answer = match (&call.request, reply) {
            (Request::SubmitJob(_), Reply::Done) => BatchAnswer::Accepted,
            (Request::EndJob(_), Reply::Done) => BatchAnswer::Ended,
            (_, Reply::Page(page)) => self.read_page(&page),
            (_, Reply::Item(body)) => BatchAnswer::Item(body),
            (_, Reply::Refused(reason)) => BatchAnswer::Refused(reason),
            (_, Reply::ComeBack(after)) => BatchAnswer::Unavailable(after),
            (_, _) => BatchAnswer::Unknown,
        };
        let kind = call.request.kind();
        self.runtime.metrics.call_ended(kind, answer.name());
        if !matches!(call.request, Request::ReadJob { .. }) {
            info!(self.runtime.logger, "call answered"; "call" => kind,
                "subject" => call.request.subject(), "answer" => answer.name(),
                "epoch" => self.site.view.epoch().0);
        }
        self.answer_batch(now, call.client, &answer);
    }

    /// A copy of the state had nothing: the leader says whether there is anything, by the rest of
    /// the time that the answer may wait.
    fn ask_leader_instead(&mut self, now: Instant, id: u64) {
        if let Some(call) = self.calls.waiting.get_mut(&id)
            && let Request::ReadJob { wait, .. } = &mut call.request
        {
            let rest = call.until.since(now).saturating_sub(CALL_LIMIT);
            *wait = rest.min(*wait);
        }
        self.send_to_leader(now, id);
    }

    fn read_page(&self, page: &JobPage) -> BatchAnswer {
        match ReadPage::unpack(page) {
            Ok(page) => BatchAnswer::Page(page),
            Err(error) => {
                warn!(self.runtime.logger, "results not read"; "error" => %error);
                BatchAnswer::Unavailable(COME_BACK)
            }
        }
    }

    fn answer_batch(&mut self, now: Instant, client: ConnectionId, answer: &BatchAnswer) {
        let answer = self.site.protocol.write_batch(answer);
        self.answer_client(now, client, &answer);
    }

    /// The client of a call is gone.
    pub(crate) fn forget_call(&mut self, id: u64) {
        self.calls.waiting.remove(&id);
    }
}
