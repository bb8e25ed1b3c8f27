//! Wiring of clients' requests: what each one is for, and how its answer goes out.

use super::Gateway;
use crate::access::tenant_of;
use crate::calls::{CallEnd, request_of};
use crate::ids::CallId;
use crate::protocol::{BatchAnswer, BatchCall};
use std::sync::Arc;
use wingshore_coordination::{CallReply, Caller, Request};
use wingshore_net::ConnectionId;
use wingshore_net::http::WholeRequest;
use wingshore_types::Instant;

impl Gateway {
    /// Passes a call about a batch job on.
    pub(crate) fn begin_batch_call(
        &mut self,
        now: Instant,
        client: ConnectionId,
        call: BatchCall,
        caller: Option<&Caller>,
    ) {
        self.begin_call(now, client, request_of(call, tenant_of(caller)));
    }

    /// Reads a batch job and passes it on.
    pub(crate) fn submit_job(
        &mut self,
        now: Instant,
        client: ConnectionId,
        request: &WholeRequest,
        caller: Option<&Caller>,
    ) {
        match self.environment.site.protocol.read_submission(request) {
            Ok(mut submission) => {
                submission.id = submission.id.of_tenant(tenant_of(caller));
                let request = Request::SubmitJob(Arc::new(submission));
                self.begin_call(now, client, request);
            }
            Err(reason) => {
                let answer = BatchAnswer::Refused(reason);
                self.log_refused(now, Some(&request.head), answer.name(), answer.reason());
                self.answer_batch(now, client, &answer);
            }
        }
    }

    fn begin_call(&mut self, now: Instant, client: ConnectionId, request: Request) {
        let calls = &mut self.calls;
        let id = calls.begin(
            now,
            &mut self.environment.runtime,
            &self.environment.site,
            client,
            request,
        );
        self.set_client_call(client, id);
    }

    /// A call may be late, or its time over.
    pub(super) fn on_call_timer(&mut self, now: Instant, id: CallId) {
        let calls = &mut self.calls;
        let end = calls.on_timer(
            now,
            &mut self.environment.runtime,
            &self.environment.site,
            id,
        );
        self.end_call(now, end);
    }

    /// A coordinator has answered a call.
    pub(super) fn on_call_reply(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        id: CallId,
        reply: CallReply,
    ) {
        let calls = &mut self.calls;
        let (runtime, site) = (&mut self.environment.runtime, &self.environment.site);
        let end = calls.on_reply(now, runtime, site, connection, (id, reply));
        self.end_call(now, end);
    }

    fn end_call(&mut self, now: Instant, end: Option<CallEnd>) {
        if let Some(CallEnd { client, answer }) = end {
            self.answer_batch(now, client, &answer);
        }
    }

    fn answer_batch(&mut self, now: Instant, client: ConnectionId, answer: &BatchAnswer) {
        let answer = self.environment.site.protocol.write_batch(answer);
        self.answer_client(now, client, &answer);
    }
}
