//! Submits, reads and ends batch jobs.

use super::decision_log::Decision;
use super::decisions::expiry::{is_job_forgotten, is_past_queue_time};
use super::decisions::return_times::Room;
use super::machine::CoordinationLeader;
use super::proposals::FollowUp;
use super::tables::jobs::Reader;
use super::turn::Turn;
use crate::ids::{AssignmentId, GatewayId, ItemId, ItemKey, JobId};
use crate::jobs::{Job, JobSubmission, NoBody};
use crate::messages::Reply;
use crate::state::{Command, CoordinationState};
use std::sync::Arc;
use std::time::Duration;
use wingshore_types::machine::RequestTag;
use wingshore_types::{Epoch, Instant};

/// Maximum size of the results in one reply, in bytes.
const MAX_PAGE_BYTES: usize = 900 * 1024;

impl CoordinationLeader {
    pub(crate) fn submit_job(
        &mut self,
        tag: RequestTag,
        submission: Arc<JobSubmission>,
        turn: &mut Turn<'_>,
    ) {
        if turn.state.find_job(&submission.id).is_some() {
            return turn.reply(tag, Reply::Done);
        }
        if let Some(repeated) = submission.repeated_item() {
            return turn.reply(tag, Reply::Refused(repeated.to_string()));
        }
        if let Some(reason) = self.missing_scorer_route(&submission, turn.state) {
            return turn.reply(tag, Reply::Refused(reason));
        }
        if self.refuse_if_memory_is_full(tag, &submission, turn) {
            return;
        }
        let id = submission.id.clone();
        self.job_clock.record(turn.now, &id);
        self.propose(
            Command::AcceptJob(submission),
            FollowUp::JobAccepted(id, tag),
            turn,
        );
    }

    /// Refuses a job that does not fit into the memory for open jobs; returns whether it did.
    fn refuse_if_memory_is_full(
        &mut self,
        tag: RequestTag,
        submission: &JobSubmission,
        turn: &mut Turn<'_>,
    ) -> bool {
        let open_jobs = turn.state.jobs().values().filter_map(Job::open_contents);
        let room = Room {
            open_bytes: open_jobs.map(JobSubmission::bytes).sum(),
            max_bytes: self.settings.max_open_job_bytes,
        };
        let (job, bytes) = (&submission.id, submission.bytes());
        let priority = self.priority_of_submission(submission);
        if self.returns.may_enter(turn.now, job, priority, bytes, room) {
            return false;
        }
        let retry_after = self.returns.shed(turn.now, job, priority, bytes, room);
        turn.log(Decision::JobRefused {
            job: job.clone(),
            bytes,
            open_bytes: room.open_bytes,
            most_bytes: room.max_bytes,
            retry_after,
        });
        turn.reply(tag, Reply::ComeBack(retry_after));
        true
    }

    fn priority_of_submission(&self, submission: &JobSubmission) -> u8 {
        let path = submission.items.first().map(|item| item.path.as_str());
        let route = path.and_then(|path| self.routes.find(&submission.host, path));
        let of_route = route.map_or(u8::MAX, |route| route.priority);
        self.ranks.priority_for(submission.id.tenant(), of_route)
    }

    /// Returns why a job is refused if one of its items names a scorer that no route leads to.
    fn missing_scorer_route(
        &self,
        submission: &JobSubmission,
        state: &CoordinationState,
    ) -> Option<String> {
        state.configuration()?;
        submission.items.iter().find_map(|item| {
            let scorer = item.scorer.as_ref()?;
            if self.routes.find(&scorer.host, &scorer.path).is_some() {
                return None;
            }
            Some(format!(
                "item `{}`: its scorer is at `{}{}`; allowed is a host and path that a route leads",
                item.id, scorer.host, scorer.path
            ))
        })
    }

    pub(crate) fn on_job_accepted(&mut self, job: JobId, tag: RequestTag, turn: &mut Turn<'_>) {
        turn.reply(tag, Reply::Done);
        // A submission that was sent twice may be applied a second time after the end was proposed.
        if self.job_clock.ended_at(&job).is_some() {
            return;
        }
        self.items.add_job(&job, turn.state);
        let known = turn.state.jobs().get(&job);
        if let Some(submission) = known.and_then(Job::open_contents) {
            let model = submission.model.clone();
            let named = model
                .as_ref()
                .and_then(|model| turn.state.named_versions().get(model));
            let decision = Decision::JobAccepted {
                job,
                items: submission.items.len(),
                step: submission.step,
                min_version: submission.min_version,
                named_version: named.copied().unwrap_or(1),
                model,
            };
            turn.log(decision);
        }
        self.place_items(turn);
    }

    pub(crate) fn read_job(
        &mut self,
        tag: RequestTag,
        job: JobId,
        from: u64,
        wait: Duration,
        turn: &mut Turn<'_>,
    ) {
        let Some((job, known)) = turn.state.find_job(&job) else {
            return turn.reply(tag, Reply::Unknown);
        };
        let has_some = (known.results.len() as u64) > from;
        if has_some || wait.is_zero() || known.ended {
            let page = known.page(from, MAX_PAGE_BYTES);
            return turn.reply(tag, Reply::Page(page));
        }
        self.readers.add(Reader {
            tag,
            job: job.clone(),
            from,
            until: turn.now + wait,
        });
    }

    /// Logs the most recently listed result of a job.
    pub(crate) fn log_last_result(&self, id: &JobId, turn: &mut Turn<'_>) {
        let Some(job) = turn.state.jobs().get(id) else {
            return;
        };
        let Some(result) = job.results.last() else {
            return;
        };
        let since = self.job_clock.known_since(id).unwrap_or(turn.now);
        let decision = Decision::ItemListed {
            job: id.clone(),
            item: result.id.clone(),
            position: job.results.len() as u64 - 1,
            versions: result.versions.clone(),
            age: turn.now.since(since),
        };
        turn.log(decision);
    }

    /// Continues after a result was committed: its gateway may drop it, and waiting readers are
    /// answered.
    pub(super) fn on_result_listed(
        &mut self,
        job: &JobId,
        finished: Option<(GatewayId, AssignmentId)>,
        turn: &mut Turn<'_>,
    ) {
        if let Some((gateway, assignment)) = finished {
            self.log_last_result(job, turn);
            turn.release_attempt(gateway, assignment);
        }
        self.answer_readers_of(job, turn);
    }

    /// Answers the readers that wait for results of a job.
    pub(crate) fn answer_readers_of(&mut self, job: &JobId, turn: &mut Turn<'_>) {
        let readers = self.readers.take_job(job);
        answer_readers(readers, turn);
    }

    /// Answers the readers whose wait time has elapsed.
    pub(crate) fn answer_expired_readers(&mut self, turn: &mut Turn<'_>) {
        let readers = self.readers.take_due(turn.now);
        answer_readers(readers, turn);
    }

    pub(crate) fn end_job(&mut self, tag: RequestTag, id: &JobId, turn: &mut Turn<'_>) {
        let Some((id, job)) = turn.state.find_job(id) else {
            return turn.reply(tag, Reply::Unknown);
        };
        self.job_clock.end(turn.now, id);
        let ended = self.items.remove_job(id, turn.state);
        self.late_jobs.remove(id);
        self.forecasts.remove(id);
        if let Some(contents) = job.open_contents() {
            self.returns.freed(turn.now, contents.bytes());
            let decision = Decision::JobEnded {
                job: id.clone(),
                items: contents.items.len(),
                listed: job.results.len(),
                running: ended.len(),
            };
            turn.log(decision);
        }
        for (assignment, running) in ended {
            self.count_attempt_end(turn.now, &running);
            turn.release_attempt(running.gateway, assignment);
        }
        self.shares.forget_job(id);
        for (gateway, scoring) in self.scorings.remove_job(id) {
            turn.release_scoring(gateway, scoring);
        }
        if job.ended {
            return turn.reply(tag, Reply::Done);
        }
        let command = Command::EndJob(id.clone());
        self.propose(command, FollowUp::Request(tag), turn);
    }

    /// Abandons items that have been queued for longer than their route allows, or whose route no
    /// longer exists.
    pub(crate) fn abandon_overdue_items(&mut self, turn: &mut Turn<'_>) {
        if turn.state.configuration().is_none() {
            return;
        }
        let unscored = self.scorings.items().cloned();
        let overdue: Vec<ItemKey> = self
            .items
            .waiting()
            .chain(unscored)
            .filter(|item| self.is_past_queue_time(turn.now, item, turn.state))
            .collect();
        for item in overdue {
            self.abandon(
                &item,
                "its queue time is over or its route no longer exists",
                turn,
            );
        }
    }

    fn is_past_queue_time(&self, now: Instant, item: &ItemKey, state: &CoordinationState) -> bool {
        let job = state.jobs().get(&item.job);
        let Some(submission) = job.and_then(Job::open_contents) else {
            return false;
        };
        let Some(contents) = submission.items.get(item.index as usize) else {
            return false;
        };
        let route = self.routes.find(&submission.host, &contents.path);
        let known_since = self.job_clock.known_since(&item.job);
        is_past_queue_time(now, known_since, route.map(Arc::as_ref))
    }

    /// Proposes to remove jobs whose retention time is over.
    pub(crate) fn forget_jobs(&mut self, turn: &mut Turn<'_>) {
        let (now, retention) = (turn.now, self.settings.job_retention);
        let is_forgotten = |id: &JobId| {
            let known_since = self.job_clock.known_since(id);
            let ended_at = self.job_clock.ended_at(id);
            is_job_forgotten(now, known_since, ended_at, retention)
        };
        let ended = turn.state.jobs().iter().filter(|(_, job)| job.ended);
        let old = ended.map(|(id, _)| id).filter(|id| is_forgotten(id));
        let old: Vec<JobId> = old.cloned().collect();
        for id in old {
            // Restarts the clock, so that the job is not proposed again before the command is
            // applied.
            self.job_clock.restart(turn.now, &id);
            let follow_up = FollowUp::JobForgotten(id.clone());
            self.propose(Command::ForgetJob(id), follow_up, turn);
        }
    }
}

/// Answers readers with the results listed so far.
fn answer_readers(readers: Vec<Reader>, turn: &mut Turn<'_>) {
    for reader in readers {
        let job = turn.state.jobs().get(&reader.job);
        let answer = job.map_or(Reply::Unknown, |job| {
            Reply::Page(job.page(reader.from, MAX_PAGE_BYTES))
        });
        turn.reply(reader.tag, answer);
    }
}

/// Answers with the body of an item that has no listed result yet and whose job is open.
pub(super) fn read_item(
    epoch: Epoch,
    tag: RequestTag,
    (job, item): (JobId, ItemId),
    turn: &mut Turn<'_>,
) {
    let known = turn.state.find_job(&job);
    let body = known.map_or(Err(NoBody::UnknownJob), |(_, job)| job.item_body(&item));
    let answer = body.map_or(Reply::Unknown, |body| Reply::Item(body.to_vec()));
    let body_bytes = body.map(<[u8]>::len);
    turn.log(Decision::ItemBodyRead {
        job,
        item,
        epoch,
        body_bytes,
    });
    turn.reply(tag, answer);
}
