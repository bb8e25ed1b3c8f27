//! Attempts at items of batch jobs on engines, as assigned by the leader.
//!
//! Owns the attempts and their texts; relies on the connections to engines and on the link to the
//! leader. The outcome of an attempt is kept until a leader has made it durable and releases the
//! attempt.

use crate::answer_matching::{ExpectedAnswer, MatchedAnswer, MatchingReader};
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
use crate::unmatched;
use crate::upstream::{ConnectionEnd, LostRequest, ServerRequest, Task, Upstream};
use slog::{KV, Serializer, info};
use std::collections::BTreeMap;
use wingshore_coordination::{
    AssignmentId, BreakCause, ItemAssignment, ItemOutcome, ItemProgress, LoggedPrefix,
    NotRunReason, RequestFingerprint, RunningItem, ScoringAssignment,
};
use wingshore_net::ConnectionId;
use wingshore_net::http::HttpError;
use wingshore_types::Instant;

/// All attempts of this gateway.
#[derive(Default)]
pub(crate) struct Items {
    attempts: BTreeMap<AssignmentId, ItemAttempt>,
}

impl Items {
    /// Returns the running attempts, and those whose outcome no leader has made durable.
    pub(crate) fn running(&self) -> impl Iterator<Item = RunningItem> + '_ {
        self.attempts.values().map(ItemAttempt::as_running)
    }

    /// Returns the progress of the running attempts.
    pub(crate) fn progress(&self) -> Vec<ItemProgress> {
        let attempts = self.attempts.values();
        let running = attempts.filter(|attempt| attempt.is_running());
        running.map(ItemAttempt::progress).collect()
    }

    /// Returns the scorings of the finished texts that no leader has made durable.
    pub(crate) fn finished_scorings(&self) -> Vec<ScoringAssignment> {
        let attempts = self.attempts.values();
        attempts.filter_map(ItemAttempt::finished_scoring).collect()
    }

    /// Returns the scorings of the finished texts that no leader was told of, for which `is_due`
    /// holds at the time of their last event.
    pub(crate) fn unreported_scorings(
        &self,
        is_due: impl Fn(Instant) -> bool,
    ) -> Vec<ScoringAssignment> {
        let attempts = self.attempts.values();
        attempts
            .filter(|attempt| !attempt.is_reported() && is_due(attempt.last_input_at))
            .filter_map(ItemAttempt::finished_scoring)
            .collect()
    }

    /// Returns the number of attempts.
    pub(crate) fn count(&self) -> usize {
        self.attempts.len()
    }

    /// Begins an attempt; it ends at once if this gateway accepts no items.
    pub(crate) fn begin(
        &mut self,
        environment: &mut Environment,
        assignment: ItemAssignment,
        takes_items: bool,
    ) {
        let now = environment.runtime.now;
        let id = assignment.assignment;
        let names = environment.site.protocol.header_names();
        let encoded = encode_item(names, &assignment);
        let request = assignment.request.as_str().as_bytes();
        let expected = ExpectedAnswer::to_request(names, request);
        let (instance, address) = (assignment.instance.clone(), assignment.address);
        self.attempts.insert(id, ItemAttempt::new(now, assignment));
        if !takes_items {
            return self.end_not_run(environment, id, NotRunReason::Stopping);
        }
        let request = ServerRequest {
            instance: &instance,
            address,
            task: Task::Item(id),
            expected,
            encoded,
        };
        let upstreams = &mut environment.servers.upstreams;
        let sent = upstreams.send(&mut environment.runtime, request);
        let Some(upstream) = sent else {
            return self.end_not_run(environment, id, NotRunReason::Unreachable);
        };
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.upstream = Some(upstream);
        }
        let timers = &mut environment.runtime.timers;
        timers.arm(now + CONNECT_TIMEOUT, TimerKey::Item(id));
    }

    /// Handles bytes of an engine's answer that are in the connection's reader.
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
        attempt.last_input_at = now;
        let names = environment.site.protocol.header_names();
        let Some(upstream) = environment.servers.upstreams.get_mut(connection) else {
            return;
        };
        match read_events(now, names, attempt, upstream) {
            Ok(true) => self.clear_if_long_running(environment, id),
            Ok(false) => {}
            Err(UnreadableEvents) => {
                let error = HttpError::Malformed {
                    reason: "no stream of events".to_owned(),
                };
                unmatched::log_malformed(environment, connection, &error);
                // The engine gets a pause, but is not known to have crashed.
                self.close_and_interrupt(environment, id, BreakCause::Engine(None));
            }
        }
    }

    /// Handles an engine's complete answer; `ends_at_event_boundary` states that the answer has no
    /// incomplete event at its end. Returns the scoring that follows.
    #[must_use]
    pub(crate) fn on_answer(
        &mut self,
        environment: &mut Environment,
        id: AssignmentId,
        answer: &MatchedAnswer,
        ends_at_event_boundary: bool,
    ) -> Option<ScoringAssignment> {
        let names = environment.site.protocol.header_names();
        let head = answer.head();
        let says_not_run = head.headers.get(names.not_run).is_some();
        let attempt = self.attempts.get_mut(&id)?;
        let mut scoring = None;
        let outcome =
            match classify_item_answer(head.status.code(), says_not_run, ends_at_event_boundary) {
                ItemAnswer::Finished => {
                    scoring = attempt.scoring();
                    let outcome = attempt.finish();
                    let item = &attempt.assignment;
                    crash_reports::request_succeeded(environment, |site| {
                        fingerprints::of_item(site, item)
                    });
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

    /// Handles the end of an attempt's connection before a complete answer.
    pub(crate) fn on_connection_ended(
        &mut self,
        environment: &mut Environment,
        id: AssignmentId,
        lost: &LostRequest,
    ) {
        let request = self.possible_cause(environment, id);
        match lost.end {
            ConnectionEnd::Lost => crash_reports::connection_lost(environment, lost, request),
            ConnectionEnd::Unidentified | ConnectionEnd::Dropped => {
                crash_reports::attempt_closed(environment, &lost.instance, request, None);
            }
            ConnectionEnd::TimedOut | ConnectionEnd::ConnectFailed | ConnectionEnd::Refused => {}
        }
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let outcome = match lost.end {
            ConnectionEnd::Lost | ConnectionEnd::TimedOut => {
                attempt.interrupt(BreakCause::Engine(request))
            }
            // The engine gets a pause, but is not known to have crashed.
            ConnectionEnd::Unidentified | ConnectionEnd::Dropped => {
                attempt.interrupt(BreakCause::Engine(None))
            }
            ConnectionEnd::ConnectFailed => ItemOutcome::NotRun(NotRunReason::Unreachable),
            ConnectionEnd::Refused => ItemOutcome::NotRun(NotRunReason::Ended),
        };
        self.end(environment, id, outcome);
    }

    /// Ends an attempt whose engine has been silent for too long.
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
            .is_some_and(|upstream| upstream.is_connected);
        let (limit, end) = if is_up {
            (STALL_TIMEOUT, ConnectionEnd::TimedOut)
        } else {
            (CONNECT_TIMEOUT, ConnectionEnd::ConnectFailed)
        };
        let deadline = attempt.last_input_at + limit;
        if now < deadline {
            let timers = &mut environment.runtime.timers;
            return timers.arm(deadline, TimerKey::Item(id));
        }
        let lost = LostRequest {
            connection,
            instance: attempt.assignment.instance.clone(),
            sent_at: attempt.begun,
            end,
        };
        self.close_connection(environment, id);
        self.on_connection_ended(environment, id, &lost);
    }

    /// Continues uploads of an item's text after the prefix that the log holds.
    pub(crate) fn upload_after(&mut self, id: AssignmentId, held: LoggedPrefix) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.upload_after(held);
        }
    }

    /// Uploads the events that are due, so that they survive the loss of this process.
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

    /// Reports the outcomes that were not sent to this leader yet.
    pub(crate) fn report_ended(&mut self, environment: &mut Environment, leader: ConnectionId) {
        for (id, attempt) in &mut self.attempts {
            if let Some(message) = attempt.take_report(*id, leader) {
                send(&mut environment.runtime, leader, message);
            }
        }
    }

    /// Drops an attempt that the leader no longer needs.
    pub(crate) fn release(&mut self, environment: &mut Environment, id: AssignmentId) {
        self.close_connection(environment, id);
        self.attempts.remove(&id);
    }

    /// Closes the connection of an attempt before its answer, if it has one. Every attempt that the
    /// gateway itself ends, ends here: the engine may go on with the item, and crash.
    fn close_connection(&mut self, environment: &mut Environment, id: AssignmentId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let Some(connection) = attempt.upstream.take() else {
            return;
        };
        let instance = attempt.assignment.instance.clone();
        let request = self.possible_cause(environment, id);
        let runtime = &mut environment.runtime;
        let closed = environment.servers.upstreams.close(runtime, connection);
        if closed.is_some_and(|closed| closed.is_connected) {
            crash_reports::attempt_closed(environment, &instance, request, None);
        }
    }

    /// Interrupts all attempts: other gateways resume their items.
    pub(crate) fn interrupt_all(&mut self, environment: &mut Environment) {
        let running: Vec<AssignmentId> = self.attempts.keys().copied().collect();
        for id in running {
            self.interrupt(environment, id);
        }
    }

    /// Interrupts an attempt if it is running: its item resumes elsewhere.
    pub(crate) fn interrupt(&mut self, environment: &mut Environment, id: AssignmentId) {
        let attempt = self.attempts.get(&id);
        if attempt.is_some_and(ItemAttempt::is_running) {
            self.close_and_interrupt(environment, id, BreakCause::Gateway);
        }
    }

    /// Closes the connection of an attempt and ends the attempt with the text so far.
    fn close_and_interrupt(
        &mut self,
        environment: &mut Environment,
        id: AssignmentId,
        cause: BreakCause,
    ) {
        self.close_connection(environment, id);
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let outcome = attempt.interrupt(cause);
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

    /// Returns the fingerprint of an item whose connection was lost; `None` if the item ran for so
    /// long that it is not the cause of a crash.
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

    /// Clears an item that has delivered events for long enough of the suspicion of crashing
    /// servers.
    fn clear_if_long_running(&mut self, environment: &mut Environment, id: AssignmentId) {
        let now = environment.runtime.now;
        if environment.suspicions().is_none() {
            return;
        }
        let attempt = self.attempts.get_mut(&id);
        let Some(attempt) = attempt.filter(|attempt| attempt.is_long_running(now)) else {
            return;
        };
        if attempt.mark_cleared() {
            let item = &attempt.assignment;
            crash_reports::request_succeeded(environment, |site| fingerprints::of_item(site, item));
        }
    }
}

/// The body of an engine's answer is not an event stream.
struct UnreadableEvents;

/// Reads the received part of an engine's answer; returns whether it is an event stream that could
/// be read.
fn read_events(
    now: Instant,
    names: &HeaderNames,
    attempt: &mut ItemAttempt,
    upstream: &mut Upstream,
) -> Result<bool, UnreadableEvents> {
    let Upstream { reader, events, .. } = upstream;
    let part = reader.as_mut().and_then(MatchingReader::matched_part);
    let Some(mut part) = part.filter(|part| part.head().is_success()) else {
        return Ok(false);
    };
    let events = events.get_or_insert_with(|| {
        attempt.version = part.head().headers.number(names.version);
        EventReader::new(names.version)
    });
    let events = events.read(&part.take_body());
    attempt.record_events(now, events.ok_or(UnreadableEvents)?);
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
            "after_ms" => time.as_millis() as u64, "events" => attempt.events(),
            PossibleCause(outcome.possible_cause()));
    }
}

/// The fingerprint of an item, in the log line of an end at which its engine may have crashed: lines
/// about crashes name requests by it.
struct PossibleCause(Option<RequestFingerprint>);

impl KV for PossibleCause {
    fn serialize(&self, _: &slog::Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        let Some(request) = self.0 else {
            return Ok(());
        };
        serializer.emit_arguments("fingerprint", &format_args!("{request}"))
    }
}
