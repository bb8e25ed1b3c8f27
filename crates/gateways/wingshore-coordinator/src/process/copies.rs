//! Results of batch jobs read from this member's copy of the state, by gateways of the same zone.
//!
//! What is listed never changes or moves, so what this member has applied is right whoever leads.
//! Only that there is nothing more, or no such job, is the leader's to say: a gateway that gets
//! [`CallReply::Nothing`] asks there.

use super::Coordinator;
use super::copy_readers::CopyReader;
use std::time::Duration;
use wingshore_coordination::{CallReply, CoordinatorMessage, JobId, Reply};
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

/// Bytes of results in one answer at most, as in answers of the leader.
const PAGE_BYTES: usize = 900 * 1024;

impl Coordinator {
    /// A gateway reads the results of a job from a position on.
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
            until: if may_grow { now + wait } else { now },
        };
        if !self.answer_copy_reader(now, &reader) {
            self.copy_readers.push(reader);
        }
    }

    /// Answers the readers that a result has come for, or whose time is over.
    pub(super) fn answer_copy_readers(&mut self, now: Instant) {
        for reader in std::mem::take(&mut self.copy_readers) {
            if !self.answer_copy_reader(now, &reader) {
                self.copy_readers.push(reader);
            }
        }
    }

    /// Answers a reader; says whether it need not wait any more.
    fn answer_copy_reader(&mut self, now: Instant, reader: &CopyReader) -> bool {
        let job = self.host.state().find_job(&reader.job);
        let page = job.and_then(|(_, job)| job.non_empty_page(reader.from, PAGE_BYTES));
        let reply = match page {
            Some(page) => CallReply::Reply(Reply::Page(page)),
            None if now >= reader.until => CallReply::Nothing,
            None => return !self.reactor.is_open(reader.connection),
        };
        let id = reader.id;
        self.send_frame(reader.connection, &CoordinatorMessage::Reply { id, reply });
        true
    }
}
