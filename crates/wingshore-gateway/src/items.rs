//! Running items of batch jobs on engines.

use crate::coordinators::send;
use crate::event_stream::{EventReader, StreamEvent};
use crate::process::Gateway;
use crate::timers::TimerKey;
use crate::upstream::{ConnectionEnd, LostSend, Task};
use slog::info;
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_coordination::{
    AssignmentId, BreakCause, DurablePrefix, GatewayMessage, HeldPrefix, ItemAssignment,
    ItemOutcome, ItemProgress, ItemText, NotRunReason, RunningItem, ScoringAssignment,
};
use wingshore_net::ConnectionId;
use wingshore_net::http::AnswerHead;
use wingshore_types::Instant;

/// A connection to an engine must be up within this time.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// An engine must begin to answer, and go on, within this time.
const STALL_LIMIT: Duration = Duration::from_millis(2500);

/// So many events of an item are handed in together, to outlast this process. An item that has
/// fewer is begun again at little cost: 2 s at 78 ms an event.
const HANDED_IN_EVENTS: u64 = 24;
/// So many events of a long item are handed in together: those that an engine makes between two
/// looks (400 ms at 78 ms an event). Its job waits for it, so that each lost event is lost time.
const HANDED_IN_EVENTS_OF_LONG: u64 = 5;

/// One try that is under way, or whose end was not told.
pub(crate) struct ItemRun {
    pub(crate) assignment: ItemAssignment,
    upstream: Option<ConnectionId>,
    /// All events so far, also those of earlier tries.
    text: ItemText,
    /// How much of that was handed in to outlast this process.
    handed_in: DurablePrefix,
    /// Whether its events follow those that the log holds.
    may_hand_in: bool,
    /// The version that makes the next event.
    version: Option<u64>,
    begun: Instant,
    /// When its first event came.
    pub(crate) first_event: Option<Instant>,
    /// Whether it has run for so long that it is not what ends servers, and that was said.
    pub(crate) cleared: bool,
    /// When the engine was last heard of.
    heard: Instant,
    /// What came of it, until a leader has made it durable.
    outcome: Option<ItemOutcome>,
    /// The connection on which that was told.
    told: Option<ConnectionId>,
}

/// All tries of this gateway.
#[derive(Default)]
pub(crate) struct Items {
    runs: BTreeMap<AssignmentId, ItemRun>,
}

impl Items {
    /// What runs, and what has ended without a leader being told.
    pub(crate) fn running(&self) -> impl Iterator<Item = RunningItem> + '_ {
        self.runs.values().map(|run| RunningItem {
            assignment: run.assignment.assignment,
            item: run.assignment.item.clone(),
            instance: run.assignment.instance.clone(),
        })
    }

    /// An attempt.
    pub(crate) fn run(&self, id: AssignmentId) -> Option<&ItemRun> {
        self.runs.get(&id)
    }

    /// An attempt.
    pub(crate) fn run_mut(&mut self, id: AssignmentId) -> Option<&mut ItemRun> {
        self.runs.get_mut(&id)
    }

    /// How far those are that run.
    pub(crate) fn progress(&self) -> Vec<ItemProgress> {
        let running = self.runs.values().filter(|run| run.outcome.is_none());
        running
            .map(|run| ItemProgress {
                assignment: run.assignment.assignment,
                events: run.text.events,
            })
            .collect()
    }

    /// The log holds this much of an item's text: what follows is handed in again, unless the log
    /// has its events from another attempt.
    pub(crate) fn hand_in_from(&mut self, id: AssignmentId, held: HeldPrefix) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.may_hand_in = held.begins(&run.text);
            run.handed_in = held.extent;
        }
    }

    /// How many run.
    pub(crate) fn count(&self) -> usize {
        self.runs.len()
    }
}

impl Gateway {
    pub(crate) fn begin_item(&mut self, now: Instant, assignment: ItemAssignment) {
        let id = assignment.assignment;
        let bytes = self.encode_item(&assignment);
        let run = ItemRun {
            upstream: None,
            text: assignment.kept.clone(),
            handed_in: assignment.durable,
            may_hand_in: assignment.durable.events <= assignment.kept.events,
            version: None,
            begun: now,
            first_event: None,
            cleared: false,
            heard: now,
            outcome: None,
            told: None,
            assignment,
        };
        let (instance, address) = (run.assignment.instance.clone(), run.assignment.address);
        let is_rejected = self.is_item_rejected(&run.assignment);
        self.items.runs.insert(id, run);
        if is_rejected {
            return self.end_item(id, ItemOutcome::NotRun(NotRunReason::Rejected));
        }
        if !self.status().takes_items {
            return self.end_item(id, ItemOutcome::NotRun(NotRunReason::Stopping));
        }
        let sent = self.servers.upstreams.send(
            now,
            &mut self.runtime.reactor,
            &instance,
            address,
            Task::Item(id),
            &bytes,
        );
        let Some(upstream) = sent else {
            return self.end_item(id, ItemOutcome::NotRun(NotRunReason::Unreachable));
        };
        if let Some(run) = self.items.runs.get_mut(&id) {
            run.upstream = Some(upstream);
        }
        self.runtime
            .timers
            .arm(now + CONNECT_LIMIT, TimerKey::Item(id));
    }

    /// Bytes of an engine's answer have arrived and are in its reader.
    pub(crate) fn on_item_input(&mut self, now: Instant, id: AssignmentId, upstream: ConnectionId) {
        let names = self.site.protocol.header_names().clone();
        let Some(run) = self.items.runs.get_mut(&id) else {
            return;
        };
        run.heard = now;
        let Some(connection) = self.servers.upstreams.get_mut(upstream) else {
            return;
        };
        let Some(head) = connection.reader.head() else {
            return;
        };
        if !head.is_success() {
            return;
        }
        if connection.events.is_none() {
            let is_own = head.headers.get(names.request_id)
                == Some(run.assignment.request.as_str().as_bytes());
            let is_signed = head.headers.get(names.signature).is_some();
            if !is_own || !is_signed {
                return self.item_broken(now, id);
            }
            run.version = head.headers.number(names.version);
            connection.events = Some(EventReader::new(names.version));
        }
        let body = connection.reader.take_body();
        let events = connection
            .events
            .as_mut()
            .and_then(|events| events.read(&body));
        match events {
            Some(events) => {
                if !events.is_empty() {
                    run.first_event.get_or_insert(now);
                }
                events.into_iter().for_each(|event| run.take(event));
                self.clear_long_item(now, id);
            }
            None => self.item_broken(now, id),
        }
    }

    /// Hands in the events of long items that were not handed in yet.
    pub(crate) fn hand_in_texts(&mut self) {
        let Some(leader) = self.site.coordinators.leader() else {
            return;
        };
        let mut messages = Vec::new();
        for (id, run) in &mut self.items.runs {
            let new = run.text.events.saturating_sub(run.handed_in.events);
            let is_due = run.may_hand_in && new >= run.handed_in_together();
            if run.outcome.is_some() || !is_due {
                continue;
            }
            messages.push(GatewayMessage::Keep {
                assignment: *id,
                after_events: run.handed_in.events,
                text: run.text.after(run.handed_in),
            });
            run.handed_in = run.text.extent();
        }
        for message in messages {
            send(&mut self.runtime, leader, message);
        }
    }

    /// An engine's answer is whole.
    pub(crate) fn item_answered(
        &mut self,
        now: Instant,
        id: AssignmentId,
        head: &AnswerHead,
        clean: bool,
    ) {
        let not_run = head
            .headers
            .get(self.site.protocol.header_names().not_run)
            .is_some();
        let Some(run) = self.items.runs.get_mut(&id) else {
            return;
        };
        let mut scoring = None;
        let outcome = match head.status {
            421 => ItemOutcome::NotRun(NotRunReason::Mismatch),
            _ if not_run => ItemOutcome::NotRun(NotRunReason::Full),
            200..=299 if clean => {
                let text = std::mem::take(&mut run.text);
                scoring = run.scoring();
                ItemOutcome::Finished(text.into())
            }
            200..=299 => run.interrupted(BreakCause::Gateway),
            422 => ItemOutcome::Impossible,
            _ => ItemOutcome::Failed,
        };
        if matches!(outcome, ItemOutcome::Finished(_)) {
            self.item_ran_well(id);
        }
        self.end_item(id, outcome);
        if let Some(scoring) = scoring {
            self.begin_scoring(now, scoring);
        }
    }

    /// The connection of a try ended without a whole answer.
    pub(crate) fn item_connection_ended(
        &mut self,
        now: Instant,
        id: AssignmentId,
        lost: &LostSend,
    ) {
        let request = self.possible_cause(now, id);
        if lost.end == ConnectionEnd::BrokeOff {
            self.run_broke_off(now, lost, request);
        }
        let cause = BreakCause::Engine(request);
        let Some(run) = self.items.runs.get_mut(&id) else {
            return;
        };
        run.upstream = None;
        let outcome = match lost.end {
            ConnectionEnd::BrokeOff | ConnectionEnd::Silent => run.interrupted(cause),
            ConnectionEnd::NeverUp => ItemOutcome::NotRun(NotRunReason::Unreachable),
            ConnectionEnd::Refused => ItemOutcome::NotRun(NotRunReason::Ended),
        };
        self.end_item(id, outcome);
    }

    /// What an engine sends is no stream: the connection is closed.
    fn item_broken(&mut self, _now: Instant, id: AssignmentId) {
        let Some(run) = self.items.runs.get_mut(&id) else {
            return;
        };
        let outcome = run.interrupted(BreakCause::Gateway);
        if let Some(upstream) = run.upstream.take() {
            self.servers
                .upstreams
                .close(&mut self.runtime.reactor, upstream);
        }
        self.end_item(id, outcome);
    }

    /// An engine may have been silent for too long.
    pub(crate) fn on_item_timer(&mut self, now: Instant, id: AssignmentId) {
        let Some(run) = self.items.runs.get_mut(&id) else {
            return;
        };
        let Some(upstream) = run.upstream else {
            return;
        };
        let up = self
            .servers
            .upstreams
            .get(upstream)
            .is_some_and(|upstream| upstream.up);
        let limit = if up { STALL_LIMIT } else { CONNECT_LIMIT };
        if now < run.heard + limit {
            return self
                .runtime
                .timers
                .arm(run.heard + limit, TimerKey::Item(id));
        }
        let lost = LostSend {
            instance: run.assignment.instance.clone(),
            sent_at: run.begun,
            end: if up {
                ConnectionEnd::Silent
            } else {
                ConnectionEnd::NeverUp
            },
        };
        self.servers
            .upstreams
            .close(&mut self.runtime.reactor, upstream);
        self.item_connection_ended(now, id, &lost);
    }

    /// A leader has no more use for a try.
    pub(crate) fn release_item(&mut self, id: AssignmentId) {
        if let Some(run) = self.items.runs.remove(&id)
            && let Some(upstream) = run.upstream
        {
            self.servers
                .upstreams
                .close(&mut self.runtime.reactor, upstream);
        }
    }

    fn end_item(&mut self, id: AssignmentId, outcome: ItemOutcome) {
        let now = self.clock.now();
        let leader = self.site.coordinators.leader();
        let Some(run) = self.items.runs.get_mut(&id) else {
            return;
        };
        run.upstream = None;
        let time = now.since(run.begun);
        self.runtime.metrics.item_ended(outcome.name(), time);
        let failed = !matches!(outcome, ItemOutcome::Finished(_));
        if failed || self.runtime.samples(now, run.assignment.request.as_str()) {
            info!(self.runtime.logger, "item ended"; "item" => %run.assignment.request,
                "job" => %run.assignment.item.job, "engine" => %run.assignment.instance,
                "outcome" => outcome.name(), "epoch" => id.epoch.0, "try" => id.number,
                "after_ms" => time.as_millis() as u64, "events" => run.text.events);
        }
        run.outcome = Some(outcome);
        if let Some(leader) = leader {
            self.tell_ended_items(leader);
        }
    }

    /// Tells the leader the ends that it was not told.
    pub(crate) fn tell_ended_items(&mut self, leader: ConnectionId) {
        let mut messages = Vec::new();
        for (id, run) in &mut self.items.runs {
            let Some(outcome) = run.outcome.as_ref().filter(|_| run.told != Some(leader)) else {
                continue;
            };
            messages.push(GatewayMessage::ItemEnded {
                assignment: *id,
                item: run.assignment.item.clone(),
                outcome: outcome.clone(),
            });
            run.told = Some(leader);
        }
        for message in messages {
            send(&mut self.runtime, leader, message);
        }
    }

    /// Hands back all items: another gateway goes on with them.
    pub(crate) fn hand_items_back(&mut self) {
        let running: Vec<AssignmentId> = self
            .items
            .runs
            .iter()
            .filter(|(_, run)| run.outcome.is_none())
            .map(|(id, _)| *id)
            .collect();
        for id in running {
            self.interrupt_item(id);
        }
    }

    /// Breaks a try off: its item goes on elsewhere.
    pub(crate) fn interrupt_item(&mut self, id: AssignmentId) {
        let Some(run) = self.items.runs.get_mut(&id) else {
            return;
        };
        if run.outcome.is_some() {
            return;
        }
        let outcome = run.interrupted(BreakCause::Gateway);
        if let Some(upstream) = run.upstream.take() {
            self.servers
                .upstreams
                .close(&mut self.runtime.reactor, upstream);
        }
        self.end_item(id, outcome);
    }
}

impl ItemRun {
    /// Events that are handed in together.
    fn handed_in_together(&self) -> u64 {
        let has_proved_long = self.handed_in.events >= HANDED_IN_EVENTS;
        if self.assignment.is_long || has_proved_long {
            HANDED_IN_EVENTS_OF_LONG
        } else {
            HANDED_IN_EVENTS
        }
    }

    /// The scoring of its text, if there is to be one. It bears the name of the try.
    fn scoring(&self) -> Option<ScoringAssignment> {
        let assignment = &self.assignment;
        Some(ScoringAssignment {
            scoring: assignment.assignment,
            item: assignment.item.clone(),
            id: assignment.request.clone(),
            made_by: assignment.assignment,
            scorer: assignment.scorer.clone()?,
        })
    }

    fn take(&mut self, event: StreamEvent) {
        if let Some(version) = event.version {
            self.version = Some(version);
        }
        if !event.has_data {
            return;
        }
        let text = &mut self.text;
        if text.events > 0 {
            text.text.push('\n');
        }
        text.text.push_str(&event.data);
        text.events += 1;
        text.last_event = event.id.or(text.last_event);
        if let Some(version) = self.version
            && !text.versions.contains(&version)
        {
            text.versions.push(version);
        }
    }

    fn interrupted(&mut self, cause: BreakCause) -> ItemOutcome {
        ItemOutcome::Interrupted {
            text: std::mem::take(&mut self.text),
            cause,
        }
    }
}
