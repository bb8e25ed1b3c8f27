//! Reads of batch job results by gateways of the same zone, served from this member's copy of the
//! state.
//!
//! A listed result never changes its content or position, so any applied state returns correct
//! results, whichever member is the leader. A lagging copy cannot tell whether a job has no further
//! results or does not exist: a gateway that gets [`CallReply::Nothing`] asks the leader.

use super::Coordinator;
use super::copy_readers::CopyReader;
use std::time::Duration;
use wingshore_coordination::{CallReply, CoordinatorMessage, JobId, Reply};
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

/// Maximum bytes of results in one answer, as in answers of the leader.
const PAGE_BYTES: usize = 900 * 1024;

impl Coordinator {
    /// Handles a gateway's read of a job's results from a position on. Waits up to `wait` for a
    /// result when the job may still get one.
    pub(super) fn read_copy(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        (id, job, from, wait): (u64, JobId, u64, Duration),
    ) {
        let known = self.host.state().find_job(&job);
        let may_grow = known.is_some_and(|(_, job)| !job.ended);
        let reader = CopyReader {
            connection,
            id,
            job,
            from,
            deadline: if may_grow { now + wait } else { now },
        };
        if !self.answer_copy_reader(now, &reader) {
            self.copy_readers.push(reader);
        }
    }

    /// Answers the readers that have results to read or whose deadline has passed.
    pub(super) fn answer_copy_readers(&mut self, now: Instant) {
        for reader in std::mem::take(&mut self.copy_readers) {
            if !self.answer_copy_reader(now, &reader) {
                self.copy_readers.push(reader);
            }
        }
    }

    /// Answers a reader if possible. Returns whether it is done: it was answered or has
    /// disconnected.
    fn answer_copy_reader(&mut self, now: Instant, reader: &CopyReader) -> bool {
        let job = self.host.state().find_job(&reader.job);
        let page = job.and_then(|(_, job)| job.non_empty_page(reader.from, PAGE_BYTES));
        let reply = match page {
            Some(page) => CallReply::Reply(Reply::Page(page)),
            None if now >= reader.deadline => CallReply::Nothing,
            None => return !self.reactor.is_open(reader.connection),
        };
        let id = reader.id;
        self.send_frame(reader.connection, &CoordinatorMessage::Reply { id, reply });
        true
    }
}
