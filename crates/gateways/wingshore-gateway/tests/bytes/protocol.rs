//! The protocol of the callers and servers in the tests.

use std::time::Duration;
use wingshore_coordination::{ApiKey, ItemId, JobId, JobSubmission};
use wingshore_gateway::{
    BatchAnswer, BatchCall, DirectoryAnswer, HeaderNames, IngressProtocol, OwnAnswer,
};
use wingshore_net::http::{Headers, HttpAnswer, RequestHead, WholeRequest};

/// Header names of a platform that no real one has.
pub(crate) const NAMES: HeaderNames = HeaderNames {
    request_id: "Id",
    authorization: "Authorization",
    tenant: "Tenant",
    deadline: "Deadline",
    expected_instance: "Expected-Instance",
    expected_version: "Expected-Version",
    not_run: "Not-Run",
    signature: "Signature",
    load: "Load",
    last_event: "Last-Event",
    priority: "Priority",
    version: "Version",
};

pub(crate) struct StubProtocol;

impl IngressProtocol for StubProtocol {
    fn header_names(&self) -> &HeaderNames {
        &NAMES
    }

    fn read_key(&self, headers: &Headers) -> Option<ApiKey> {
        headers.text("Authorization").map(ApiKey::from)
    }

    fn read_batch_call(&self, head: &RequestHead) -> Option<BatchCall> {
        let (kind, job) = head.path().strip_prefix("/jobs/")?.split_once('/')?;
        let job = JobId::from(job);
        match kind {
            "read" => Some(BatchCall::Read {
                job,
                from: 3,
                wait: Duration::from_millis(40),
            }),
            "long-read" => Some(BatchCall::Read {
                job,
                from: 3,
                wait: Duration::from_secs(10),
            }),
            "item" => Some(BatchCall::ReadItem {
                job,
                item: ItemId::from("item"),
            }),
            "end" => Some(BatchCall::End { job }),
            _ => None,
        }
    }

    fn read_submission(&self, request: WholeRequest) -> Result<JobSubmission, String> {
        Err(format!("{} bytes", request.body.len()))
    }

    fn write_batch(&self, answer: &BatchAnswer) -> HttpAnswer {
        let body = match answer {
            BatchAnswer::Page(page) => format!("page {} {}", page.total, page.from),
            BatchAnswer::Item(body) => format!("item {body:?}"),
            BatchAnswer::Unavailable(after) => format!("unavailable {}", after.as_millis()),
            BatchAnswer::Refused(reason) => format!("refused {reason}"),
            _ => answer.name().to_owned(),
        };
        HttpAnswer::plain(200, body)
    }

    fn write_own(&self, answer: &OwnAnswer) -> HttpAnswer {
        let body = match answer {
            OwnAnswer::NotRun(after) | OwnAnswer::Rejected(after) => {
                format!("{} {}", answer.name(), after.as_millis())
            }
            _ => answer.name().to_owned(),
        };
        HttpAnswer::plain(503, body)
    }

    fn read_directory_question(&self, head: &RequestHead) -> Option<String> {
        head.query("zone").map(str::to_owned)
    }

    fn write_directory(&self, answer: &DirectoryAnswer) -> HttpAnswer {
        HttpAnswer::plain(200, answer.name())
    }

    fn write_ready(&self, head: &RequestHead, ready: bool) -> HttpAnswer {
        HttpAnswer::plain(200, format!("{} {ready}", head.path()))
    }
}
