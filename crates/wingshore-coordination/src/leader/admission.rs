//! Which batch jobs are taken: as many as memory has room for.
//!
//! The contents of a job stand in the state of each member until its caller ends it. Without a
//! bound, callers that submit faster than engines work would drive all members over their memory
//! at once, and with them what was accepted before.

use super::decision_log::Decision;
use super::machine::CoordinationLeader;
use super::turn::Turn;
use crate::jobs::JobSubmission;
use crate::messages::Reply;
use std::time::Duration;
use wingshore_types::machine::RequestTag;

/// When a caller may come back with a job for which there was no room: jobs end after seconds.
const COME_BACK: Duration = Duration::from_secs(1);

impl CoordinationLeader {
    /// Refuses a job for which there is no room; says whether it did. A job that is alone is taken
    /// however large it is: its callers' bodies are bounded.
    pub(crate) fn refuse_for_want_of_room(
        &self,
        tag: RequestTag,
        submission: &JobSubmission,
        turn: &mut Turn<'_>,
    ) -> bool {
        let open_jobs = turn.state.jobs().values().filter(|job| !job.ended);
        let open_bytes: usize = open_jobs.map(|job| job.submission.bytes()).sum();
        let most_bytes = self.settings.most_open_job_bytes;
        if open_bytes == 0 || open_bytes.saturating_add(submission.bytes()) <= most_bytes {
            return false;
        }
        let decision = Decision::JobRefused {
            job: submission.id.clone(),
            bytes: submission.bytes(),
            open_bytes,
            most_bytes,
        };
        turn.log(decision);
        let come_back = Reply::ComeBack(COME_BACK);
        turn.reply(tag, come_back);
        true
    }
}
