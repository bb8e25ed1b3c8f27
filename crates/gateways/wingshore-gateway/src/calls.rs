//! Calls about batch jobs that wait for the coordination group's answer.
//!
//! Owns the calls; relies on the links to the coordinators. [`call_policy`] decides where a call is
//! sent, and when it is sent again.

use crate::call_policy::{self, RETRY_AFTER, call_time_limit};
use crate::coordinators::send;
use crate::ids::CallId;
use crate::protocol::{BatchAnswer, BatchCall, ReadPage};
use crate::runtime::Runtime;
use crate::site::Site;
use crate::timers::TimerKey;
use slog::{Logger, info, warn};
use std::collections::HashMap;
use wingshore_coordination::{
    CallReply, GatewayMessage, JobId, JobPage, Reply, Request, TenantName,
};
use wingshore_net::ConnectionId;
use wingshore_net::account::Charge;
use wingshore_types::Instant;

/// The coordinator that a call was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Destination {
    /// The group's leader.
    Leader(ConnectionId),
    /// A coordinator that answers from its copy of the state.
    Copy(ConnectionId),
}

impl Destination {
    fn connection(self) -> ConnectionId {
        match self {
            Self::Leader(connection) | Self::Copy(connection) => connection,
        }
    }
}

/// One call that waits for the group's answer.
struct Call {
    client: ConnectionId,
    request: Request,
    /// What the request has in the account of callers' memory.
    _charge: Charge,
    deadline: Instant,
    sent_to: Option<Destination>,
    /// Whether the call was sent to a leader, so that it may take effect.
    may_take_effect: bool,
    /// Whether a copy of the state in the gateway's zone may still answer the call.
    may_read_copy: bool,
}

/// The answer to a finished call.
pub(crate) struct CallEnd {
    /// The connection of the client that waits for the answer.
    pub(crate) client: ConnectionId,
    pub(crate) answer: BatchAnswer,
}

/// All calls that wait for the group's answer.
pub(crate) struct Calls {
    waiting: HashMap<CallId, Call>,
    next_id: u64,
    /// Whether results are read from copies of the state.
    reads_copies: bool,
    /// Deadline for answers to all calls, once a planned stop has begun.
    stop_at: Option<Instant>,
}

impl Calls {
    /// Starts without calls; `reads_copies` if results are read from copies of the state.
    pub(crate) fn new(reads_copies: bool) -> Self {
        Self {
            waiting: HashMap::new(),
            next_id: 0,
            reads_copies,
            stop_at: None,
        }
    }

    /// Sends a call to the group; its charge in the account of callers' memory ends with it.
    ///
    /// # Errors
    /// Returns the answer to the client if a planned stop leaves too little time for the call.
    pub(crate) fn begin(
        &mut self,
        runtime: &mut Runtime,
        site: &Site,
        client: ConnectionId,
        (request, charge): (Request, Charge),
    ) -> Result<CallId, BatchAnswer> {
        let now = runtime.now;
        let stop_leaves = self.stop_at.map(|stop_at| stop_at.since(now));
        let Some(time_limit) = call_time_limit(&request, stop_leaves) else {
            let answer = BatchAnswer::Unavailable(RETRY_AFTER);
            log_failed_call(runtime, site, &request, &answer);
            return Err(answer);
        };
        let id = CallId(self.next_id);
        self.next_id += 1;
        let call = Call {
            client,
            deadline: now + time_limit,
            request,
            _charge: charge,
            sent_to: None,
            may_take_effect: false,
            may_read_copy: self.reads_copies,
        };
        self.waiting.insert(id, call);
        self.send_call(runtime, site, id);
        Ok(id)
    }

    /// Shortens the deadlines of all calls, also of later ones, to `stop_at` for a planned stop.
    pub(crate) fn stop_by(&mut self, runtime: &mut Runtime, stop_at: Instant) {
        self.stop_at = Some(stop_at);
        for (id, call) in &mut self.waiting {
            if call.deadline > stop_at {
                call.deadline = stop_at;
                runtime.timers.arm(stop_at, TimerKey::Call(*id));
            }
        }
    }

    /// Sends a call to a copy of the state or to the leader.
    fn send_call(&mut self, runtime: &mut Runtime, site: &Site, id: CallId) {
        if !self.send_to_copy(runtime, site, id) {
            self.send_to_leader(runtime, site, id);
        }
    }

    /// Sends a read of results to a copy of the state in the gateway's zone; returns false if there
    /// is none or the call cannot be answered by one.
    fn send_to_copy(&mut self, runtime: &mut Runtime, site: &Site, id: CallId) -> bool {
        let now = runtime.now;
        let Some(call) = self.waiting.get_mut(&id).filter(|call| call.may_read_copy) else {
            return false;
        };
        let Request::ReadJob { job, from, wait } = &call.request else {
            return false;
        };
        let Some(copy) = site.coordinators.near_copy(now, &site.zone) else {
            return false;
        };
        let message = GatewayMessage::ReadCopy {
            id: id.0,
            job: job.clone(),
            from: *from,
            wait: *wait,
        };
        call.may_read_copy = false;
        call.sent_to = Some(Destination::Copy(copy));
        send(runtime, copy, message);
        runtime.timers.arm(call.deadline, TimerKey::Call(id));
        true
    }

    /// Sends a call to the leader, if one is known.
    fn send_to_leader(&mut self, runtime: &mut Runtime, site: &Site, id: CallId) {
        let leader = site.coordinators.leader();
        let Some(call) = self.waiting.get_mut(&id) else {
            return;
        };
        call.sent_to = leader.map(Destination::Leader);
        if let Some(leader) = leader {
            call.may_take_effect = true;
            let request = call.request.clone();
            let message = GatewayMessage::Call { id: id.0, request };
            send(runtime, leader, message);
        }
        runtime.timers.arm(call.deadline, TimerKey::Call(id));
    }

    /// Handles the loss of a connection: calls sent to its leader wait for the next leader, and
    /// reads sent to its copy go to the leader at once.
    pub(crate) fn link_lost(
        &mut self,
        runtime: &mut Runtime,
        site: &Site,
        connection: ConnectionId,
    ) {
        let mut from_copy = Vec::new();
        for (id, call) in &mut self.waiting {
            match call.sent_to {
                Some(Destination::Copy(copy)) if copy == connection => from_copy.push(*id),
                Some(Destination::Leader(leader)) if leader == connection => call.sent_to = None,
                _ => {}
            }
        }
        for id in from_copy {
            self.send_to_leader(runtime, site, id);
        }
    }

    /// Sends the calls that wait for a leader, once one has announced itself.
    pub(crate) fn resend(&mut self, runtime: &mut Runtime, site: &Site) {
        let leader = site.coordinators.leader().map(Destination::Leader);
        let is_at_copy = |call: &Call| matches!(call.sent_to, Some(Destination::Copy(_)));
        let waiting = self.waiting.iter();
        let unsent: Vec<CallId> = waiting
            .filter(|(_, call)| call.sent_to != leader && !is_at_copy(call))
            .map(|(id, _)| *id)
            .collect();
        for id in unsent {
            self.send_call(runtime, site, id);
        }
    }

    /// Answers a call that has timed out, or sends one again that its leader returned unanswered.
    pub(crate) fn on_timer(
        &mut self,
        runtime: &mut Runtime,
        site: &Site,
        id: CallId,
    ) -> Option<CallEnd> {
        let now = runtime.now;
        let call = self.waiting.get(&id)?;
        if now < call.deadline {
            if call.sent_to.is_none() {
                self.send_call(runtime, site, id);
            }
            return None;
        }
        let call = self.waiting.remove(&id)?;
        let answer = call_policy::timeout_answer(&call.request, call.may_take_effect);
        log_failed_call(runtime, site, &call.request, &answer);
        Some(CallEnd {
            client: call.client,
            answer,
        })
    }

    /// Handles a coordinator's reply to a call.
    pub(crate) fn on_reply(
        &mut self,
        runtime: &mut Runtime,
        site: &Site,
        connection: ConnectionId,
        (id, reply): (CallId, CallReply),
    ) -> Option<CallEnd> {
        let call = self.waiting.get_mut(&id)?;
        let reply = match reply {
            CallReply::Reply(reply) => reply,
            CallReply::Nothing if call.sent_to == Some(Destination::Copy(connection)) => {
                self.retry_at_leader(runtime, site, id);
                return None;
            }
            CallReply::NotLeader | CallReply::Unknown | CallReply::Nothing => {
                // Sent again when a leader announces itself, or by the timer.
                if call.sent_to.map(Destination::connection) == Some(connection) {
                    call.sent_to = None;
                    let resend_at = call_policy::resend_at(runtime.now, call.deadline);
                    runtime.timers.arm(resend_at, TimerKey::Call(id));
                }
                return None;
            }
        };
        let call = self.waiting.remove(&id)?;
        let answer = batch_answer(&runtime.logger, &call.request, reply);
        let kind = call.request.kind();
        runtime.metrics.call_ended(kind, answer.name());
        log_answered_call(runtime, site, &call.request, &answer);
        Some(CallEnd {
            client: call.client,
            answer,
        })
    }

    /// Sends a read to the leader after a copy of the state had no result. The leader may hold the
    /// read for the rest of its wait.
    fn retry_at_leader(&mut self, runtime: &mut Runtime, site: &Site, id: CallId) {
        let now = runtime.now;
        if let Some(call) = self.waiting.get_mut(&id)
            && let Request::ReadJob { wait, .. } = &mut call.request
        {
            *wait = call_policy::remaining_wait(now, call.deadline, *wait);
        }
        self.send_to_leader(runtime, site, id);
    }

    /// Drops a call whose client has disconnected.
    pub(crate) fn forget(&mut self, id: CallId) {
        self.waiting.remove(&id);
    }
}

/// Logs the answer to a call, except to a read of results: clients read each job twice a second.
fn log_answered_call(runtime: &Runtime, site: &Site, request: &Request, answer: &BatchAnswer) {
    let (kind, subject, epoch) = (request.kind(), request.subject(), site.view.epoch().0);
    match request {
        Request::ReadJob { .. } => {}
        Request::ReadItem { item, .. } => {
            info!(runtime.logger, "call answered"; "call" => kind, "subject" => subject,
                "item" => %item, "answer" => answer.name(), "bytes" => answer.item_bytes(),
                "epoch" => epoch);
        }
        _ => {
            info!(runtime.logger, "call answered"; "call" => kind, "subject" => subject,
                "answer" => answer.name(), "epoch" => epoch);
        }
    }
}

/// Logs and counts a call that the group does not answer in time.
fn log_failed_call(runtime: &Runtime, site: &Site, request: &Request, answer: &BatchAnswer) {
    let (kind, subject, epoch) = (request.kind(), request.subject(), site.view.epoch().0);
    let leader_known = site.coordinators.leader().is_some();
    if let Request::ReadItem { item, .. } = request {
        warn!(runtime.logger, "call failed"; "call" => kind, "subject" => subject,
            "item" => %item, "leader_known" => leader_known, "answer" => answer.name(),
            "epoch" => epoch);
    } else {
        warn!(runtime.logger, "call failed"; "call" => kind, "subject" => subject,
            "leader_known" => leader_known, "answer" => answer.name(), "epoch" => epoch);
    }
    runtime.metrics.call_ended(kind, answer.name());
}

/// Converts a call of `tenant` into a request to the group.
pub(crate) fn group_request(call: BatchCall, tenant: Option<TenantName>) -> Request {
    let scoped = |job: JobId| job.of_tenant(tenant);
    match call {
        BatchCall::Read { job, from, wait } => Request::ReadJob {
            job: scoped(job),
            from,
            wait,
        },
        BatchCall::ReadItem { job, item } => Request::ReadItem {
            job: scoped(job),
            item,
        },
        BatchCall::End { job } => Request::EndJob(scoped(job)),
    }
}

fn batch_answer(logger: &Logger, request: &Request, reply: Reply) -> BatchAnswer {
    match (request, reply) {
        (Request::SubmitJob(_), Reply::Done) => BatchAnswer::Accepted,
        (Request::EndJob(_), Reply::Done) => BatchAnswer::Ended,
        (Request::ReadJob { .. }, Reply::Page(page)) => read_page(logger, &page),
        (Request::ReadItem { .. }, Reply::Item(body)) => BatchAnswer::Item(body),
        (_, Reply::Unknown) => BatchAnswer::Unknown,
        (_, Reply::Refused(reason)) => BatchAnswer::Refused(reason),
        (_, Reply::ComeBack(after)) => BatchAnswer::Unavailable(after),
        (request, Reply::Done | Reply::Configuration(_) | Reply::Page(_) | Reply::Item(_)) => {
            warn!(logger, "reply of another kind of call"; "call" => request.kind(),
                "subject" => request.subject());
            call_policy::timeout_answer(request, true)
        }
    }
}

fn read_page(logger: &Logger, page: &JobPage) -> BatchAnswer {
    match ReadPage::unpack(page) {
        Ok(page) => BatchAnswer::Page(page),
        Err(error) => {
            warn!(logger, "cannot decode results page"; "error" => %error);
            BatchAnswer::Unavailable(call_policy::RETRY_AFTER)
        }
    }
}
