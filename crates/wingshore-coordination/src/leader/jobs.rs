//! Submitting, reading and ending batch jobs.

use super::outcomes::release;
use super::scoring::release_scoring;
use super::{CoordinationLeader, Decision, Outputs, Waiter, log, reply};
use crate::ids::{ItemId, ItemKey, JobId};
use crate::jobs::JobSubmission;
use crate::messages::Reply;
use crate::state::{Command, CoordinationState};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use wingshore_types::Instant;
use wingshore_types::machine::RequestTag;

/// Most bytes of results in one answer. Not measured.
const MOST_PAGE_BYTES: usize = 900 * 1024;

/// Since when each job is known to this leader. A new leader counts from its beginning, so that
/// nothing is given up or forgotten too early.
#[derive(Default)]
pub(crate) struct JobClock {
    known_since: HashMap<JobId, Instant>,
}

impl JobClock {
    /// A new leadership.
    pub(crate) fn begin<'a>(&mut self, now: Instant, jobs: impl Iterator<Item = &'a JobId>) {
        self.known_since = jobs.map(|id| (id.clone(), now)).collect();
    }
}

/// Readers that wait for a result.
#[derive(Default)]
pub(crate) struct Readers {
    waiting: Vec<Reader>,
}

struct Reader {
    tag: RequestTag,
    job: JobId,
    from: u64,
    until: Instant,
}

impl CoordinationLeader {
    pub(crate) fn submit_job(
        &mut self,
        now: Instant,
        tag: RequestTag,
        submission: Arc<JobSubmission>,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        if state.find_job(&submission.id).is_some() {
            return reply(tag, Reply::Done, out);
        }
        if let Some(reason) = self.missing_scorer_route(&submission, state) {
            return reply(tag, Reply::Refused(reason), out);
        }
        if self.refuse_for_want_of_room(tag, &submission, state, out) {
            return;
        }
        let id = submission.id.clone();
        self.job_clock.known_since.entry(id.clone()).or_insert(now);
        self.propose(Command::AcceptJob(submission), Waiter::Job(id, tag), out);
    }

    /// Says which item names a scorer that no route leads to.
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

    pub(crate) fn job_accepted(
        &mut self,
        now: Instant,
        job: JobId,
        tag: RequestTag,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        reply(tag, Reply::Done, out);
        self.items.add_job(&job, state);
        if let Some(known) = state.jobs().get(&job) {
            let submission = &known.submission;
            let model = submission.model.clone();
            let named = model
                .as_ref()
                .and_then(|model| state.named_versions().get(model));
            let decision = Decision::JobAccepted {
                job,
                items: submission.items.len(),
                step: submission.step,
                min_version: submission.min_version,
                named_version: named.copied().unwrap_or(1),
                model,
            };
            log(decision, out);
        }
        self.place_items(now, state, out);
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one request")]
    pub(crate) fn read_job(
        &mut self,
        now: Instant,
        tag: RequestTag,
        job: JobId,
        from: u64,
        wait: Duration,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let Some((job, known)) = state.find_job(&job) else {
            return reply(tag, Reply::Unknown, out);
        };
        let has_some = (known.results.len() as u64) > from;
        if has_some || wait.is_zero() || known.ended {
            let page = known.page(from, MOST_PAGE_BYTES);
            return reply(tag, Reply::Page(page), out);
        }
        self.readers.waiting.push(Reader {
            tag,
            job: job.clone(),
            from,
            until: now + wait,
        });
    }

    /// Logs a result that was just listed, which is the last one of its job.
    pub(crate) fn log_listed(
        &self,
        now: Instant,
        id: &JobId,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let Some(job) = state.jobs().get(id) else {
            return;
        };
        let Some(result) = job.results.last() else {
            return;
        };
        let since = self.job_clock.known_since.get(id).copied().unwrap_or(now);
        let decision = Decision::ItemListed {
            job: id.clone(),
            item: result.id.clone(),
            position: job.results.len() as u64 - 1,
            versions: result.versions.clone(),
            age: now.since(since),
        };
        log(decision, out);
    }

    /// Results of a job were listed: readers that wait for them are answered.
    pub(crate) fn results_listed(
        &mut self,
        job: &JobId,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        self.answer_readers(state, out, |reader| reader.job == *job);
    }

    /// Readers whose time is over are answered.
    pub(crate) fn answer_waiting_readers(
        &mut self,
        now: Instant,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        self.answer_readers(state, out, |reader| now >= reader.until);
    }

    fn answer_readers(
        &mut self,
        state: &CoordinationState,
        out: &mut Outputs,
        is_due: impl Fn(&Reader) -> bool,
    ) {
        let due = self.readers.waiting.extract_if(.., |reader| is_due(reader));
        for reader in due {
            let answer = state.jobs().get(&reader.job).map_or(Reply::Unknown, |job| {
                Reply::Page(job.page(reader.from, MOST_PAGE_BYTES))
            });
            reply(reader.tag, answer, out);
        }
    }

    pub(crate) fn end_job(
        &mut self,
        tag: RequestTag,
        id: &JobId,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let Some((id, job)) = state.find_job(id) else {
            return reply(tag, Reply::Unknown, out);
        };
        let ended = self.items.remove_job(id, state);
        if !job.ended {
            let decision = Decision::JobEnded {
                job: id.clone(),
                items: job.submission.items.len(),
                listed: job.results.len(),
                running: ended.len(),
            };
            log(decision, out);
        }
        for (assignment, running) in ended {
            self.note_end(&running);
            release(running.gateway, assignment, out);
        }
        for (gateway, scoring) in self.scorings.remove_job(id) {
            release_scoring(gateway, scoring, out);
        }
        if job.ended {
            return reply(tag, Reply::Done, out);
        }
        let command = Command::EndJob(id.clone());
        self.propose(command, Waiter::Request(tag), out);
    }

    /// Gives up items that have been queued for longer than their route allows, or whose route is
    /// gone.
    pub(crate) fn give_up_items(
        &mut self,
        now: Instant,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        if state.configuration().is_none() {
            return;
        }
        let unscored = self.scorings.items().cloned();
        let given_up: Vec<ItemKey> = self
            .items
            .waiting()
            .chain(unscored)
            .filter(|item| self.is_given_up(now, item, state))
            .collect();
        for item in given_up {
            self.abandon(
                &item,
                "its time in the queue is over or its route is gone",
                out,
            );
        }
    }

    fn is_given_up(&self, now: Instant, item: &ItemKey, state: &CoordinationState) -> bool {
        let Some(job) = state.jobs().get(&item.job) else {
            return false;
        };
        let Some(contents) = job.submission.items.get(item.index as usize) else {
            return false;
        };
        let Some(route) = self.routes.find(&job.submission.host, &contents.path) else {
            return true;
        };
        let since = self.job_clock.known_since.get(&item.job);
        match (since, route.max_queue) {
            (Some(since), Some(most)) => now.since(*since) > most,
            _ => false,
        }
    }

    /// Forgets jobs that ended long ago.
    pub(crate) fn forget_jobs(
        &mut self,
        now: Instant,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let retention = self.settings.job_retention;
        let old: Vec<JobId> = state
            .jobs()
            .iter()
            .filter(|(_, job)| job.ended)
            .filter(|(id, _)| {
                let since = self.job_clock.known_since.get(*id);
                since.is_some_and(|since| now.since(*since) > retention)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in old {
            // Counted anew, so that the proposal is not made again before it is applied.
            self.job_clock.known_since.insert(id.clone(), now);
            self.propose(Command::ForgetJob(id), Waiter::Nobody, out);
        }
    }
}

/// Answers with the body of an item that is not listed.
pub(super) fn read_item(
    tag: RequestTag,
    job: &JobId,
    item: &ItemId,
    state: &CoordinationState,
    out: &mut Outputs,
) {
    let known = state.find_job(job);
    let item = known.and_then(|(_, job)| {
        let (index, item) = job.find_item(item)?;
        (!job.is_listed(index)).then_some(item)
    });
    let answer = item.map_or(Reply::Unknown, |item| Reply::Item(item.body.clone()));
    reply(tag, answer, out);
}
