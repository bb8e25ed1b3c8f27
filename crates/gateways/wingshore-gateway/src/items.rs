//! Attempts at items of batch jobs on engines, as the leader assigns them.
//!
//! Owns the attempts and their texts; relies on the connections to engines and on the link to the
//! leader. The end of an attempt is kept until a leader has made it durable and releases it.

use crate::answers::AnswerFacts;
use crate::coordinators::send;
use crate::crash_reports;
use crate::encode::encode_item;
use crate::environment::Environment;
use crate::event_stream::EventReader;
use crate::fingerprints;
use crate::item_attempt::ItemAttempt;
use crate::item_policy::{CONNECT_TIMEOUT, ItemAnswer, STALL_TIMEOUT, classify_item_answer};
use crate::protocol::HeaderNames;
use crate::timers::TimerKey;
use crate::upstream::{ConnectionEnd, LostSend, Task, Upstream};
use slog::info;
use std::collections::BTreeMap;
use wingshore_coordination::{
    AssignmentId, BreakCause, ItemAssignment, ItemOutcome, ItemProgress, LoggedPrefix,
    NotRunReason, RequestFingerprint, RunningItem, ScoringAssignment,
};
use wingshore_net::ConnectionId;
use wingshore_net::http::AnswerHead;
use wingshore_types::Instant;

/// All attempts of this gateway.
#[derive(Default)]
pub(crate) struct Items {
    attempts: BTreeMap<AssignmentId, ItemAttempt>,
}

impl Items {
    /// What runs, and what has ended without a leader having made that durable.
    pub(crate) fn running(&self) -> impl Iterator<Item = RunningItem> + '_ {
        self.attempts.values().map(ItemAttempt::as_running)
    }

    /// How far those are that run.
    pub(crate) fn progress(&self) -> Vec<ItemProgress> {
        let attempts = self.attempts.values();
        let running = attempts.filter(|attempt| attempt.is_running());
        running.map(ItemAttempt::progress).collect()
    }

    /// How many there are.
    pub(crate) fn count(&self) -> usize {
        self.attempts.len()
    }

    /// Begins an attempt; it ends at once if this gateway takes none.
    pub(crate) fn begin(
        &mut self,
        environment: &mut Environment,
        assignment: ItemAssignment,
        takes_items: bool,
    ) {
        let now = environment.runtime.now;
        let id = assignment.assignment;
        let names = environment.site.protocol.header_names();
        let bytes = encode_item(names, &assignment);
        let (instance, address) = (assignment.instance.clone(), assignment.address);
        let is_rejected = environment.is_rejected(|site| fingerprints::of_item(site, &assignment));
        self.attempts.insert(id, ItemAttempt::new(now, assignment));
        if is_rejected {
            return self.end_not_run(environment, id, NotRunReason::Rejected);
        }
        if !takes_items {
            return self.end_not_run(environment, id, NotRunReason::Stopping);
        }
        let sent = environment.servers.upstreams.send(
            &mut environment.runtime,
            &instance,
            address,
            Task::Item(id),
            &bytes,
        );
        let Some(upstream) = sent else {
            return self.end_not_run(environment, id, NotRunReason::Unreachable);
        };
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.upstream = Some(upstream);
        }
        let timers = &mut environment.runtime.timers;
        timers.arm(now + CONNECT_TIMEOUT, TimerKey::Item(id));
    }

    /// Bytes of an engine's answer have arrived and are in its reader.
    pub(crate) fn on_input(
        &mut self,
        environment: &mut Environment,
        id: AssignmentId,
        connection: ConnectionId,
    ) {
        let now = environment.runtime.now;
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.heard = now;
        let names = environment.site.protocol.header_names();
        let Some(upstream) = environment.servers.upstreams.get_mut(connection) else {
            return;
        };
        match read_events(now, names, attempt, upstream) {
            Ok(true) => self.clear_if_long(environment, id),
            Ok(false) => {}
            Err(NotItsStream) => self.break_off(environment, id),
        }
    }

    /// An engine's answer is whole; `ends_whole` if no part of an event is left over. Gives the scoring
    /// that is to follow.
    #[must_use]
    pub(crate) fn on_answer(
        &mut self,
        environment: &mut Environment,
        id: AssignmentId,
        head: &AnswerHead,
        ends_whole: bool,
    ) -> Option<ScoringAssignment> {
        let names = environment.site.protocol.header_names();
        let says_not_run = head.headers.get(names.not_run).is_some();
        let attempt = self.attempts.get_mut(&id)?;
        let mut scoring = None;
        let outcome = match classify_item_answer(head.status, says_not_run, ends_whole) {
            ItemAnswer::Finished => {
                scoring = attempt.scoring();
                let outcome = attempt.finish();
                let item = &attempt.assignment;
                crash_reports::ran_well(environment, |site| fingerprints::of_item(site, item));
                outcome
            }
            ItemAnswer::CutShort => attempt.interrupt(BreakCause::Gateway),
            ItemAnswer::Mismatch => ItemOutcome::NotRun(NotRunReason::Mismatch),
            ItemAnswer::NotRun => ItemOutcome::NotRun(NotRunReason::Full),
            ItemAnswer::Impossible => ItemOutcome::Impossible,
            ItemAnswer::Failed => ItemOutcome::Failed,
        };
        self.end(environment, id, outcome);
        scoring
    }

    /// The connection of an attempt ended without a whole answer.
    pub(crate) fn on_connection_ended(
        &mut self,
        environment: &mut Environment,
        id: AssignmentId,
        lost: &LostSend,
    ) {
        let request = self.possible_cause(environment, id);
        if lost.end == ConnectionEnd::BrokeOff {
            crash_reports::connection_lost(environment, lost, request);
        }
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let outcome = match lost.end {
            ConnectionEnd::BrokeOff | ConnectionEnd::Silent => {
                attempt.interrupt(BreakCause::Engine(request))
            }
            ConnectionEnd::NeverUp => ItemOutcome::NotRun(NotRunReason::Unreachable),
            ConnectionEnd::Refused => ItemOutcome::NotRun(NotRunReason::Ended),
        };
        self.end(environment, id, outcome);
    }

    /// An engine may have been silent for too long.
    pub(crate) fn on_timer(&mut self, environment: &mut Environment, id: AssignmentId) {
        let now = environment.runtime.now;
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let Some(connection) = attempt.upstream else {
            return;
        };
        let upstreams = &mut environment.servers.upstreams;
        let is_up = upstreams
            .get(connection)
            .is_some_and(|upstream| upstream.up);
        let (limit, end) = if is_up {
            (STALL_TIMEOUT, ConnectionEnd::Silent)
        } else {
            (CONNECT_TIMEOUT, ConnectionEnd::NeverUp)
        };
        let deadline = attempt.heard + limit;
        if now < deadline {
            let timers = &mut environment.runtime.timers;
            return timers.arm(deadline, TimerKey::Item(id));
        }
        let lost = LostSend {
            instance: attempt.assignment.instance.clone(),
            sent_at: attempt.begun,
            end,
        };
        upstreams.close(&mut environment.runtime, connection);
        self.on_connection_ended(environment, id, &lost);
    }

    /// The log holds this much of an item's text.
    pub(crate) fn upload_from(&mut self, id: AssignmentId, held: LoggedPrefix) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.upload_from(held);
        }
    }

    /// Uploads the events of growing texts that are to survive this process.
    pub(crate) fn upload_texts(&mut self, environment: &mut Environment) {
        let Some(leader) = environment.site.coordinators.leader() else {
            return;
        };
        for (id, attempt) in &mut self.attempts {
            if let Some(message) = attempt.take_upload(*id) {
                send(&mut environment.runtime, leader, message);
            }
        }
    }

    /// Reports to the leader the ends that it was not sent.
    pub(crate) fn report_ended(&mut self, environment: &mut Environment, leader: ConnectionId) {
        for (id, attempt) in &mut self.attempts {
            if let Some(message) = attempt.take_report(*id, leader) {
                send(&mut environment.runtime, leader, message);
            }
        }
    }

    /// A leader has no more use for an attempt.
    pub(crate) fn release(&mut self, environment: &mut Environment, id: AssignmentId) {
        let attempt = self.attempts.remove(&id);
        if let Some(connection) = attempt.and_then(|attempt| attempt.upstream) {
            let runtime = &mut environment.runtime;
            environment.servers.upstreams.close(runtime, connection);
        }
    }

    /// Breaks all attempts off: another gateway goes on with their items.
    pub(crate) fn return_all(&mut self, environment: &mut Environment) {
        let running: Vec<AssignmentId> = self.attempts.keys().copied().collect();
        for id in running {
            self.interrupt(environment, id);
        }
    }

    /// Breaks an attempt off, if it is under way: its item goes on elsewhere.
    pub(crate) fn interrupt(&mut self, environment: &mut Environment, id: AssignmentId) {
        let attempt = self.attempts.get(&id);
        if attempt.is_some_and(ItemAttempt::is_running) {
            self.break_off(environment, id);
        }
    }

    /// Closes the connection of an attempt, which ends with the text so far.
    fn break_off(&mut self, environment: &mut Environment, id: AssignmentId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let outcome = attempt.interrupt(BreakCause::Gateway);
        if let Some(connection) = attempt.upstream.take() {
            let runtime = &mut environment.runtime;
            environment.servers.upstreams.close(runtime, connection);
        }
        self.end(environment, id, outcome);
    }

    fn end_not_run(
        &mut self,
        environment: &mut Environment,
        id: AssignmentId,
        reason: NotRunReason,
    ) {
        self.end(environment, id, ItemOutcome::NotRun(reason));
    }

    fn end(&mut self, environment: &mut Environment, id: AssignmentId, outcome: ItemOutcome) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        log_ended(environment, attempt, &outcome);
        attempt.end(outcome);
        if let Some(leader) = environment.site.coordinators.leader() {
            self.report_ended(environment, leader);
        }
    }

    /// What an item asks whose connection was lost; `None` if it ran for so long that it is not what
    /// ends engines.
    fn possible_cause(
        &self,
        environment: &Environment,
        id: AssignmentId,
    ) -> Option<RequestFingerprint> {
        let now = environment.runtime.now;
        let attempt = self.attempts.get(&id)?;
        if attempt.is_long_running(now) {
            return None;
        }
        fingerprints::of_item(&environment.site, &attempt.assignment)
    }

    /// An item that has brought events for long enough is not what ends servers.
    fn clear_if_long(&mut self, environment: &mut Environment, id: AssignmentId) {
        let now = environment.runtime.now;
        if environment.suspicions().is_none() {
            return;
        }
        let attempt = self.attempts.get_mut(&id);
        let Some(attempt) = attempt.filter(|attempt| attempt.is_long_running(now)) else {
            return;
        };
        if attempt.clear() {
            let item = &attempt.assignment;
            crash_reports::ran_well(environment, |site| fingerprints::of_item(site, item));
        }
    }
}

/// What an engine sends is not the stream of the item.
struct NotItsStream;

/// Reads what has arrived of an engine's answer; says whether events could be read from it.
fn read_events(
    now: Instant,
    names: &HeaderNames,
    attempt: &mut ItemAttempt,
    upstream: &mut Upstream,
) -> Result<bool, NotItsStream> {
    let Some(head) = upstream.reader.head().filter(|head| head.is_success()) else {
        return Ok(false);
    };
    if upstream.events.is_none() {
        let request = attempt.assignment.request.as_str().as_bytes();
        if !AnswerFacts::read(names, request, head).is_genuine() {
            return Err(NotItsStream);
        }
        attempt.version = head.headers.number(names.version);
        upstream.events = Some(EventReader::new(names.version));
    }
    let body = upstream.reader.take_body();
    let events = upstream
        .events
        .as_mut()
        .and_then(|events| events.read(&body));
    attempt.take(now, events.ok_or(NotItsStream)?);
    Ok(true)
}

fn log_ended(environment: &mut Environment, attempt: &ItemAttempt, outcome: &ItemOutcome) {
    let now = environment.runtime.now;
    let assignment = &attempt.assignment;
    let id = assignment.assignment;
    let time = now.since(attempt.begun);
    let runtime = &mut environment.runtime;
    runtime.metrics.item_ended(outcome.name(), time);
    let failed = !matches!(outcome, ItemOutcome::Finished(_));
    if failed || runtime.samples(assignment.request.as_str()) {
        info!(runtime.logger, "item ended"; "item" => %assignment.request,
            "job" => %assignment.item.job, "engine" => %assignment.instance,
            "outcome" => outcome.name(), "epoch" => id.epoch.0, "try" => id.number,
            "after_ms" => time.as_millis() as u64, "events" => attempt.events());
    }
}
