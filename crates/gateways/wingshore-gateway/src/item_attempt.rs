//! One attempt at an item of a batch job, and the text that it makes.

use crate::event_stream::StreamEvent;
use crate::item_policy;
use crate::suspects;
use wingshore_coordination::{
    AssignmentId, BreakCause, DurablePrefix, GatewayMessage, ItemAssignment, ItemOutcome,
    ItemProgress, ItemText, LoggedPrefix, RunningItem, ScoringAssignment,
};
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

/// An attempt that is under way, or whose end the leader has not made durable.
///
/// Invariant: `uploaded` never covers more than `text`, while `may_upload` holds.
pub(crate) struct ItemAttempt {
    pub(crate) assignment: ItemAssignment,
    /// The connection to the engine, while the attempt is under way.
    pub(crate) upstream: Option<ConnectionId>,
    /// All events so far, also those of earlier attempts; empty once the outcome has taken it.
    text: ItemText,
    /// Events of the text, also after it was taken.
    events: u64,
    /// How much of the text was uploaded to survive this process.
    uploaded: DurablePrefix,
    /// Whether its events follow those that the log holds.
    may_upload: bool,
    /// The version that makes the next event.
    pub(crate) version: Option<u64>,
    pub(crate) begun: Instant,
    first_event: Option<Instant>,
    /// Whether it was reported that it has run for so long that it is not what ends servers.
    is_cleared: bool,
    /// When the engine was last heard of.
    pub(crate) heard: Instant,
    outcome: Option<ItemOutcome>,
    /// The connection on which the outcome was reported.
    reported_on: Option<ConnectionId>,
}

impl ItemAttempt {
    /// One that begins now.
    pub(crate) fn new(now: Instant, assignment: ItemAssignment) -> Self {
        Self {
            upstream: None,
            text: assignment.kept.clone(),
            events: assignment.kept.events,
            uploaded: assignment.durable,
            may_upload: assignment.durable.events <= assignment.kept.events,
            version: None,
            begun: now,
            first_event: None,
            is_cleared: false,
            heard: now,
            outcome: None,
            reported_on: None,
            assignment,
        }
    }

    /// Whether it is under way.
    pub(crate) fn is_running(&self) -> bool {
        self.outcome.is_none()
    }

    /// Events of the item so far.
    pub(crate) fn events(&self) -> u64 {
        self.events
    }

    /// Names it, its item and its engine.
    pub(crate) fn as_running(&self) -> RunningItem {
        RunningItem {
            assignment: self.assignment.assignment,
            item: self.assignment.item.clone(),
            instance: self.assignment.instance.clone(),
        }
    }

    /// How far it is.
    pub(crate) fn progress(&self) -> ItemProgress {
        ItemProgress {
            assignment: self.assignment.assignment,
            events: self.events,
        }
    }

    /// The engine has sent events.
    pub(crate) fn take(&mut self, now: Instant, events: Vec<StreamEvent>) {
        if !events.is_empty() {
            self.first_event.get_or_insert(now);
        }
        for event in events {
            self.take_event(event);
        }
    }

    fn take_event(&mut self, event: StreamEvent) {
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
        self.events = text.events;
        text.last_event = event.id.or(text.last_event);
        if let Some(version) = self.version
            && !text.versions.contains(&version)
        {
            text.versions.push(version);
        }
    }

    /// Whether it has brought events for so long that it is not what ends its engine.
    pub(crate) fn is_long_running(&self, now: Instant) -> bool {
        self.first_event
            .is_some_and(|first| suspects::is_cleared(now, first))
    }

    /// Notes that it is not what ends engines; says whether that is news.
    pub(crate) fn clear(&mut self) -> bool {
        !std::mem::replace(&mut self.is_cleared, true)
    }

    /// The log holds this much of the text: what follows is uploaded again, unless the log has its
    /// events from another attempt.
    pub(crate) fn upload_from(&mut self, held: LoggedPrefix) {
        self.may_upload = held.is_prefix_of(&self.text);
        self.uploaded = held.extent;
    }

    /// The events that are to survive this process, if it is time to upload them.
    pub(crate) fn take_upload(&mut self, id: AssignmentId) -> Option<GatewayMessage> {
        let uploaded = self.uploaded;
        let is_long = self.assignment.is_long;
        let is_due = self.may_upload
            && item_policy::is_upload_due(self.text.events, uploaded.events, is_long);
        if !self.is_running() || !is_due {
            return None;
        }
        self.uploaded = self.text.extent();
        Some(GatewayMessage::Keep {
            assignment: id,
            after_events: uploaded.events,
            text: self.text.after(uploaded),
        })
    }

    /// It has ended whole: takes its text.
    pub(crate) fn finish(&mut self) -> ItemOutcome {
        ItemOutcome::Finished(std::mem::take(&mut self.text).into())
    }

    /// It has broken off: takes the text so far.
    pub(crate) fn interrupt(&mut self, cause: BreakCause) -> ItemOutcome {
        ItemOutcome::Interrupted {
            text: std::mem::take(&mut self.text),
            cause,
        }
    }

    /// It is over.
    pub(crate) fn end(&mut self, outcome: ItemOutcome) {
        self.upstream = None;
        self.outcome = Some(outcome);
    }

    /// Its end, if that was not reported on this connection.
    pub(crate) fn take_report(
        &mut self,
        id: AssignmentId,
        leader: ConnectionId,
    ) -> Option<GatewayMessage> {
        let outcome = self.outcome.as_ref()?;
        if self.reported_on == Some(leader) {
            return None;
        }
        self.reported_on = Some(leader);
        Some(GatewayMessage::ItemEnded {
            assignment: id,
            item: self.assignment.item.clone(),
            outcome: outcome.clone(),
        })
    }

    /// The scoring of its text, if there is to be one. It bears the name of the attempt.
    pub(crate) fn scoring(&self) -> Option<ScoringAssignment> {
        let assignment = &self.assignment;
        Some(ScoringAssignment {
            scoring: assignment.assignment,
            item: assignment.item.clone(),
            id: assignment.request.clone(),
            made_by: assignment.assignment,
            scorer: assignment.scorer.clone()?,
        })
    }
}
