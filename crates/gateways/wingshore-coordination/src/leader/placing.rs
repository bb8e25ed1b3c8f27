//! Placement of waiting items: selects items that may run now, and assigns each to an engine and a
//! gateway.

use super::decision_log::Decision;
use super::decisions::continuation::{starting_text, usable_text};
use super::decisions::gateway_choice::{gateway_for_item, is_any_free};
use super::decisions::placement::{ItemNeeds, choose_engine};
use super::job_queue::JobCursor;
use super::machine::CoordinationLeader;
use super::tables::engine::Engine;
use super::tables::item::Attempt;
use super::turn::Turn;
use crate::configuration::Route;
use crate::ids::{AssignmentId, GatewayId, InstanceId, ItemKey, JobId, ModelName, ServiceName};
use crate::jobs::{Job, JobItem, JobSubmission};
use crate::messages::{CoordinatorMessage, ItemAssignment};
use crate::state::CoordinationState;
use crate::text::{DurablePrefix, ItemText};
use std::sync::Arc;
use wingshore_types::Instant;

/// Converts an engine's pace, which is in milliseconds per event, to microseconds.
const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

/// An item that can be placed, with everything that determines where.
struct Candidate<'a> {
    key: ItemKey,
    job: &'a Job,
    submission: &'a JobSubmission,
    item: &'a JobItem,
    route: Arc<Route>,
    service: ServiceName,
    /// The text of earlier attempts, as far as the next attempt may continue it.
    partial_text: ItemText,
    is_long: bool,
    /// Its expected length as a fraction of the longest one of its job.
    relative_length: f64,
    /// The engine from which the item was moved away recently.
    avoid: Option<InstanceId>,
    /// Whether a gateway has refused it because servers had crashed under it.
    is_refused_as_crashed: bool,
}

/// Why an item was not placed.
enum NotPlaced {
    /// The item cannot be placed now; other items of its job may be.
    NotNow,
    /// No engine of its service accepts items of its job.
    NoEngine {
        /// The service whose engines were considered.
        service: ServiceName,
    },
}

impl Candidate<'_> {
    fn model(&self) -> Option<&ModelName> {
        self.submission.model.as_ref()
    }

    /// Returns the last model version that generated the partial text.
    fn partial_version(&self) -> Option<u64> {
        self.partial_text.versions.last().copied()
    }

    /// Returns how much of the text is stored in the replicated state.
    fn durable(&self) -> DurablePrefix {
        let durable = self.job.partial_text(self.key.index);
        durable.map(ItemText::extent).unwrap_or_default()
    }
}

impl CoordinationLeader {
    /// Places as many waiting items as engines and gateways accept.
    pub(crate) fn place_items(&mut self, turn: &mut Turn<'_>) {
        if self.items.none_waits() || self.gateways.is_empty() || turn.now < self.placing_starts_at
        {
            return;
        }
        let mut queue = self.job_queue(turn);
        while self.engines.has_free_slots() && is_any_free(&self.gateways) {
            let Some((position, mut cursor)) = self.take_most_urgent(&mut queue) else {
                return;
            };
            if self.place_next(&mut cursor, turn) {
                self.put_back(&mut queue, position, cursor);
            }
        }
    }

    /// Returns the route of a job's first item.
    pub(super) fn route_of_job(
        &self,
        id: &JobId,
        state: &CoordinationState,
    ) -> Option<&Arc<Route>> {
        let job = state.jobs().get(id)?.open_contents()?;
        self.routes.find(&job.host, &job.items.first()?.path)
    }

    /// Places the next waiting item of a job; returns whether engines may accept further ones.
    fn place_next(&mut self, cursor: &mut JobCursor, turn: &mut Turn<'_>) -> bool {
        let key = ItemKey {
            job: cursor.id.clone(),
            index: cursor.next.index,
        };
        if let Err(NotPlaced::NoEngine { service }) = self.place(key, cursor, turn) {
            cursor.full_services.insert(service);
        }
        self.engines.has_free_slots_outside(&cursor.full_services)
    }

    /// Places an item, unless the engines of its service accept none of its job.
    fn place(
        &mut self,
        key: ItemKey,
        cursor: &JobCursor,
        turn: &mut Turn<'_>,
    ) -> Result<(), NotPlaced> {
        let candidate = self
            .candidate(turn.now, key, turn.state)
            .ok_or(NotPlaced::NotNow)?;
        if cursor.full_services.contains(&candidate.service) {
            return Err(NotPlaced::NotNow);
        }
        let Some(instance) = self.choose_engine(turn.now, &candidate, turn.state) else {
            // An engine that this item avoids can still accept other items.
            if candidate.avoid.is_some() {
                return Err(NotPlaced::NotNow);
            }
            let service = candidate.service;
            return Err(NotPlaced::NoEngine { service });
        };
        let engine = self.engines.get(&instance);
        let gateway = gateway_for_item(&self.gateways, engine, candidate.is_refused_as_crashed);
        let gateway = gateway.ok_or(NotPlaced::NotNow)?;
        self.items.dequeue(&candidate.key);
        self.assign(gateway, &instance, &candidate, cursor, turn);
        Ok(())
    }

    /// Returns an item with its placement data, if it may run now.
    fn candidate<'a>(
        &self,
        now: Instant,
        key: ItemKey,
        state: &'a CoordinationState,
    ) -> Option<Candidate<'a>> {
        let job = state.jobs().get(&key.job)?;
        let submission = job.open_contents()?;
        let item = submission.items.get(key.index as usize)?;
        let known = self.items.open_item(&key)?;
        if known.not_before.is_some_and(|earliest| now < earliest) {
            return None;
        }
        let route = self.routes.find(&submission.host, &item.path)?;
        let service = route
            .target_for(u64::from(crc32fast::hash(item.group.as_bytes())))?
            .clone();
        let min_version = submission.min_version;
        Some(Candidate {
            job,
            submission,
            item,
            route: Arc::clone(route),
            service,
            partial_text: usable_text(
                &known.partial_text,
                job.partial_text(key.index),
                min_version,
            ),
            is_long: known.is_long,
            relative_length: known.relative_length(),
            avoid: known.avoided(now).cloned(),
            is_refused_as_crashed: known.is_refused_as_crashed,
            key,
        })
    }

    fn choose_engine(
        &self,
        now: Instant,
        candidate: &Candidate<'_>,
        state: &CoordinationState,
    ) -> Option<InstanceId> {
        let submission = candidate.submission;
        let policy = self.settings.policy;
        let model = candidate.model();
        let newest = model.and_then(|model| state.named_versions().get(model).copied());
        let affinity = self
            .items
            .affinity(&submission.id, &candidate.item.group)
            .filter(|_| policy.prompt_homes);
        let needs = ItemNeeds {
            service: &candidate.service,
            model,
            min_version: submission.min_version,
            newest_version: newest.unwrap_or(0),
            partial_version: candidate.partial_version(),
            avoid: candidate.avoid.as_ref(),
            affinity,
            relative_length: if policy.long_items_first {
                candidate.relative_length
            } else {
                0.0
            },
        };
        choose_engine(now, &needs, &self.engines)
    }

    fn assign(
        &mut self,
        gateway: GatewayId,
        instance: &InstanceId,
        candidate: &Candidate<'_>,
        cursor: &JobCursor,
        turn: &mut Turn<'_>,
    ) {
        let Some(engine) = self.engines.get(instance) else {
            return;
        };
        let version = engine.version_of_any(candidate.model());
        let single_version = candidate.route.single_version;
        let kept = starting_text(&candidate.partial_text, single_version, version);
        let open_item = self.items.open_item(&candidate.key);
        let extends_held = open_item.is_none_or(|open_item| open_item.held.is_prefix_of(&kept));
        let assignment = self.items.next_assignment();
        let after_event = kept.last_event;
        let decision = Decision::ItemAssigned {
            assignment,
            job: candidate.submission.id.clone(),
            item: candidate.item.id.clone(),
            instance: instance.clone(),
            engine_running: engine.running + 1,
            engine_version: version,
            engine_pace_us: engine
                .pace
                .known()
                .map(|pace| (pace * MICROSECONDS_PER_MILLISECOND) as u64),
            is_long: candidate.is_long,
            urgency: self.urgency(cursor).name(),
            age: self.job_age(&cursor.id, turn.now),
            gateway,
            after_event,
        };
        let message = self.assignment(assignment, engine, candidate, kept);
        turn.send(gateway, CoordinatorMessage::Assign(Box::new(message)));
        turn.log(decision);
        let (key, model) = (candidate.key.clone(), candidate.model().cloned());
        let attempt = Attempt {
            extends_held,
            charged: Some(self.charge(cursor, after_event.is_none())),
            ..Attempt::new(turn.now, key, gateway, instance.clone(), model)
        };
        self.start(assignment, attempt);
        if !extends_held {
            self.send_logged_prefix(assignment, turn);
        }
        let job = &candidate.submission.id;
        self.items
            .set_affinity(job, &candidate.item.group, instance);
    }

    /// Builds the assignment message, with everything that the gateway needs for the attempt.
    fn assignment(
        &self,
        assignment: AssignmentId,
        engine: &Engine,
        candidate: &Candidate<'_>,
        kept: ItemText,
    ) -> ItemAssignment {
        let (job, item) = (candidate.submission, candidate.item);
        let route = &candidate.route;
        let expected_version = kept.versions.last().copied();
        ItemAssignment {
            assignment,
            item: candidate.key.clone(),
            request: item.id.clone(),
            instance: engine.instance().clone(),
            address: engine.record.address,
            host: job.host.clone(),
            path: item.path.clone(),
            headers: item.headers.clone(),
            body: item.body.clone(),
            kept,
            durable: candidate.durable(),
            expected_version: expected_version.filter(|_| route.single_version),
            priority: self.ranks.priority_for(job.id.tenant(), route.priority),
            scorer: item.scorer.as_deref().cloned(),
            is_long: candidate.is_long,
        }
    }

    /// Records an attempt that starts, or that a gateway reports as running.
    pub(crate) fn start(&mut self, assignment: AssignmentId, attempt: Attempt) {
        self.engines
            .item_started(&attempt.instance, attempt.gateway);
        self.gateways.item_started(attempt.gateway);
        self.items.start(assignment, attempt);
    }
}
