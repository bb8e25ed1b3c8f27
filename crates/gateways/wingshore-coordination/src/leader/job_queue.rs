//! The jobs with waiting items, in the order in which their next items are placed.

use super::decision_log::Decision;
use super::decisions::fair_share::ShareOwner;
use super::decisions::feasibility::{WaitingItem, is_late};
use super::decisions::job_order::{LATE_TURN, Urgency, WaitingJob, due_in_ms, urgency};
use super::machine::CoordinationLeader;
use super::tables::item::{Attempt, Charge, Rank};
use super::turn::Turn;
use crate::configuration::Route;
use crate::ids::{JobId, ServiceName};
use crate::jobs::Job;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::time::Duration;
use wingshore_types::Instant;

/// A job with waiting items, and how far its items were considered.
pub(super) struct JobCursor {
    /// The job.
    pub(super) id: JobId,
    /// Who is charged for its items.
    pub(super) owner: ShareOwner,
    /// The next item to place.
    pub(super) next: Rank,
    /// Services whose engines accept no further items of the job.
    pub(super) full_services: BTreeSet<ServiceName>,
    job: WaitingJob,
    /// The service of its route.
    service: Option<ServiceName>,
}

/// The jobs with waiting items.
#[derive(Default)]
pub(super) struct JobQueue {
    cursors: Vec<Option<JobCursor>>,
    /// Positions of the cursors of jobs that can be whole in time, by urgency and order of
    /// acceptance.
    in_time: BinaryHeap<Reverse<(Urgency, usize)>>,
    /// Positions of the cursors of other jobs.
    late: BinaryHeap<Reverse<(Urgency, usize)>>,
}

impl JobQueue {
    fn push(&mut self, urgency: Urgency, position: usize) {
        let order = match urgency {
            Urgency::Late { .. } => &mut self.late,
            _ => &mut self.in_time,
        };
        order.push(Reverse((urgency, position)));
    }

    /// Takes the first entry of the jobs in time, or of the late ones if `is_late_turn`; of the
    /// other ones if there is none.
    fn pop(&mut self, is_late_turn: bool) -> Option<(Urgency, usize)> {
        let (first, second) = if is_late_turn {
            (&mut self.late, &mut self.in_time)
        } else {
            (&mut self.in_time, &mut self.late)
        };
        let Reverse(entry) = first.pop().or_else(|| second.pop())?;
        Some(entry)
    }
}

impl CoordinationLeader {
    /// Returns all jobs with waiting items.
    pub(super) fn job_queue(&mut self, turn: &mut Turn<'_>) -> JobQueue {
        let mut queue = JobQueue::default();
        for id in self.items.waiting_jobs() {
            if let Some(cursor) = self.job_cursor(id, turn) {
                let urgency = self.urgency(&cursor);
                let position = queue.cursors.len();
                queue.cursors.push(Some(cursor));
                queue.push(urgency, position);
            }
        }
        self.record_late(&queue, turn);
        queue
    }

    /// Takes the job whose next item is the most urgent one.
    pub(super) fn take_most_urgent(&self, queue: &mut JobQueue) -> Option<(usize, JobCursor)> {
        let is_late_turn = self.placed_since_late >= LATE_TURN;
        while let Some((known, position)) = queue.pop(is_late_turn) {
            let Some(cursor) = queue.cursors.get_mut(position).and_then(Option::take) else {
                continue;
            };
            let current = self.urgency(&cursor);
            // The start tag of a caller rises with each item that is placed for it.
            if current > known {
                queue.push(current, position);
                queue.cursors[position] = Some(cursor);
                continue;
            }
            return Some((position, cursor));
        }
        None
    }

    /// Puts a job back to continue behind the item that was considered, if it has more.
    pub(super) fn put_back(&self, queue: &mut JobQueue, position: usize, mut cursor: JobCursor) {
        let Some(next) = self.items.next_waiting(&cursor.id, Some(cursor.next)) else {
            return;
        };
        cursor.next = next;
        queue.push(self.urgency(&cursor), position);
        if let Some(place) = queue.cursors.get_mut(position) {
            *place = Some(cursor);
        }
    }

    /// Returns the urgency of a job's next item.
    pub(super) fn urgency(&self, cursor: &JobCursor) -> Urgency {
        if !self.settings.policy.due_times_first {
            let priority = cursor.job.priority;
            return Urgency::InOrder { priority };
        }
        let run_time = self.rest_of_run(&cursor.id, cursor.service.as_ref(), cursor.next);
        urgency(cursor.job, run_time, self.shares.start_tag(&cursor.owner))
    }

    fn job_cursor(&self, id: JobId, turn: &Turn<'_>) -> Option<JobCursor> {
        let job = turn.state.jobs().get(&id)?;
        let next = self.items.next_waiting(&id, None)?;
        let route = self.route_of_job(&id, turn.state);
        let service = route.and_then(|route| route.targets.first());
        let service = service.map(|target| target.service.clone());
        let accepted_at = self.job_clock.known_since(&id).unwrap_or(turn.now);
        let due = route.and_then(|route| route.due);
        let due_in_ms = due_in_ms(turn.now, accepted_at, due);
        let may_be_late = due.is_some() && self.settings.policy.due_times_first;
        Some(JobCursor {
            owner: ShareOwner::of(&id),
            next,
            full_services: BTreeSet::new(),
            job: WaitingJob {
                due_in_ms,
                is_late: may_be_late && self.is_late(&id, job, due_in_ms, service.as_ref()),
                priority: self.priority_of(&id, route.map(AsRef::as_ref)),
            },
            service,
            id,
        })
    }

    /// Returns the priority of a job. Without priorities of tenants, jobs in order of acceptance
    /// have the same one.
    fn priority_of(&self, id: &JobId, route: Option<&Route>) -> u8 {
        if self.ranks.is_empty() && !self.settings.policy.due_times_first {
            return 0;
        }
        let of_route = route.map_or(u8::MAX, |route| route.priority);
        self.ranks.priority_for(id.tenant(), of_route)
    }

    fn is_late(
        &self,
        id: &JobId,
        job: &Job,
        due_in_ms: i64,
        service: Option<&ServiceName>,
    ) -> bool {
        let Some(submission) = job.open_contents() else {
            return false;
        };
        let items = &submission.items;
        let groups = self.items.group_count(id);
        let spare = groups.saturating_sub(submission.desired as usize);
        let waiting = self.items.waiting_ranks(id).filter_map(|rank| {
            let item = items.get(rank.index as usize)?;
            Some(WaitingItem {
                whole: self.run_time_of(service, rank)?,
                rest: self.rest_of_run(id, service, rank)?,
                group: item.group.as_str(),
            })
        });
        is_late(due_in_ms, spare, waiting)
    }

    /// Returns the expected run time of an item; `None` if it was still running when an earlier job
    /// ended, so that its length is not known.
    fn run_time_of(&self, service: Option<&ServiceName>, rank: Rank) -> Option<Duration> {
        let Reverse(tokens) = rank.length;
        (tokens != u64::MAX).then(|| self.run_times.expected(service, tokens))
    }

    /// Returns the expected run time of an item from the end of its partial text; `None` if its
    /// length is not known, or its text is longer than expected already.
    fn rest_of_run(
        &self,
        job: &JobId,
        service: Option<&ServiceName>,
        rank: Rank,
    ) -> Option<Duration> {
        let whole = self.run_time_of(service, rank)?;
        let generated = self.items.generated_events(job, rank.index);
        let Reverse(tokens) = rank.length;
        if generated == 0 || tokens == 0 {
            return Some(whole);
        }
        let left = tokens.checked_sub(generated).filter(|left| *left > 0)?;
        Some(self.run_times.expected(service, left))
    }

    /// Records which jobs cannot be whole in time, and logs those that are new among them.
    fn record_late(&mut self, queue: &JobQueue, turn: &mut Turn<'_>) {
        let cursors = queue.cursors.iter().flatten();
        let late = cursors.filter(|cursor| cursor.job.is_late);
        let late_ids: BTreeSet<&JobId> = late.clone().map(|cursor| &cursor.id).collect();
        self.late_jobs.retain(|id| late_ids.contains(id));
        for cursor in late {
            if self.late_jobs.insert(cursor.id.clone()) {
                turn.log(Decision::JobLate {
                    job: cursor.id.clone(),
                    waiting: self.items.waiting_ranks(&cursor.id).count(),
                    due_in_ms: cursor.job.due_in_ms,
                });
            }
        }
    }

    /// Returns the time since a job was accepted, as far as this leader knows.
    pub(super) fn job_age(&self, id: &JobId, now: Instant) -> Duration {
        now.since(self.job_clock.known_since(id).unwrap_or(now))
    }

    /// Charges the caller of a job for its next item; `is_whole` if the item starts from its first
    /// event.
    pub(super) fn charge(&mut self, cursor: &JobCursor, is_whole: bool) -> Charge {
        let Reverse(tokens) = cursor.next.length;
        let run_time = self.rest_of_run(&cursor.id, cursor.service.as_ref(), cursor.next);
        let charge = Charge {
            run_time: run_time
                .filter(|run_time| !run_time.is_zero())
                .unwrap_or_else(|| self.run_times.mean(cursor.service.as_ref())),
            priority: cursor.job.priority,
            tokens: if is_whole && run_time.is_some() {
                tokens
            } else {
                0
            },
        };
        let urgency = self.urgency(cursor);
        self.placed_since_late = match urgency {
            Urgency::Late { .. } => 0,
            _ => self.placed_since_late.saturating_add(1),
        };
        let competes = matches!(urgency, Urgency::Pressing { .. });
        let owner = cursor.owner.clone();
        self.shares
            .charge(owner, charge.run_time, charge.priority, competes);
        charge
    }

    /// Corrects the charge for an attempt that has ended.
    pub(super) fn correct_share(&mut self, now: Instant, attempt: &Attempt) {
        if let Some(charge) = attempt.charged {
            let owner = ShareOwner::of(&attempt.item.job);
            let actual = now.since(attempt.started_at);
            let priority = charge.priority;
            self.shares
                .correct(&owner, charge.run_time, actual, priority);
        }
    }

    /// Learns the run time per token from an attempt whose text is complete.
    pub(super) fn record_run_time(&mut self, now: Instant, attempt: &Attempt) {
        let service = self.engines.get(&attempt.instance);
        let service = service.map(|engine| &engine.record.service);
        if let Some((service, charge)) = service.zip(attempt.charged) {
            let time = now.since(attempt.started_at);
            self.run_times.record(service, charge.tokens, time);
        }
    }
}
