//! One attempt at an item of a batch job, and the text that it generates.

use crate::event_stream::StreamEvent;
use crate::item_policy;
use crate::suspects;
use wingshore_coordination::{
    AssignmentId, BreakCause, DurablePrefix, GatewayMessage, ItemAssignment, ItemOutcome,
    ItemProgress, ItemText, LoggedPrefix, RunningItem, ScoringAssignment,
};
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

/// An attempt that is running, or whose outcome the leader has not made durable.
///
/// Invariant: `uploaded` never covers more than `text`, while `may_upload` holds.
pub(crate) struct ItemAttempt {
    pub(crate) assignment: ItemAssignment,
    /// The connection to the engine, while the attempt is running.
    pub(crate) upstream: Option<ConnectionId>,
    /// The data of all events so far, including those of earlier attempts; empty once it has moved
    /// into the outcome.
    text: ItemText,
    /// Number of events of the text; stays set after the text has moved into the outcome.
    events: u64,
    /// The prefix of the text that was uploaded to survive the loss of this process.
    uploaded: DurablePrefix,
    /// Whether the text begins with the prefix in the log, so that later events may be uploaded.
    may_upload: bool,
    /// The weight version that generates the next event.
    pub(crate) version: Option<u64>,
    pub(crate) begun: Instant,
    first_event: Option<Instant>,
    /// Whether the attempt was reported as cleared of suspicion: it has run for so long that it is
    /// not the cause of server crashes.
    is_cleared: bool,
    /// When the engine last sent data.
    pub(crate) last_input_at: Instant,
    outcome: Option<ItemOutcome>,
    /// The connection on which the outcome was reported.
    reported_on: Option<ConnectionId>,
}

impl ItemAttempt {
    /// Creates an attempt that begins now.
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
            last_input_at: now,
            outcome: None,
            reported_on: None,
            assignment,
        }
    }

    /// Returns whether the attempt is running.
    pub(crate) fn is_running(&self) -> bool {
        self.outcome.is_none()
    }

    /// Returns the number of events of the item so far.
    pub(crate) fn events(&self) -> u64 {
        self.events
    }

    /// Returns the identifiers of the attempt, its item and its engine.
    pub(crate) fn as_running(&self) -> RunningItem {
        RunningItem {
            assignment: self.assignment.assignment,
            item: self.assignment.item.clone(),
            instance: self.assignment.instance.clone(),
        }
    }

    /// Returns the progress of the attempt.
    pub(crate) fn progress(&self) -> ItemProgress {
        ItemProgress {
            assignment: self.assignment.assignment,
            events: self.events,
        }
    }

    /// Records events that the engine sent.
    pub(crate) fn record_events(&mut self, now: Instant, events: Vec<StreamEvent>) {
        if !events.is_empty() {
            self.first_event.get_or_insert(now);
        }
        for event in events {
            self.append_event(event);
        }
    }

    fn append_event(&mut self, event: StreamEvent) {
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

    /// Returns whether the attempt has delivered events for so long that it is not what crashes its
    /// engine.
    pub(crate) fn is_long_running(&self, now: Instant) -> bool {
        self.first_event
            .is_some_and(|first| suspects::is_cleared(now, first))
    }

    /// Marks the attempt as not crashing engines; returns false if it was already marked.
    pub(crate) fn mark_cleared(&mut self) -> bool {
        !std::mem::replace(&mut self.is_cleared, true)
    }

    /// Continues uploads after the prefix that the log holds, unless the log's events come from
    /// another attempt.
    pub(crate) fn upload_after(&mut self, held: LoggedPrefix) {
        self.may_upload = held.is_prefix_of(&self.text);
        self.uploaded = held.extent;
    }

    /// Returns the upload of new events, if one is due.
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

    /// Moves the complete text into a finished outcome.
    pub(crate) fn finish(&mut self) -> ItemOutcome {
        ItemOutcome::Finished(std::mem::take(&mut self.text).into())
    }

    /// Moves the text so far into an interrupted outcome.
    pub(crate) fn interrupt(&mut self, cause: BreakCause) -> ItemOutcome {
        ItemOutcome::Interrupted {
            text: std::mem::take(&mut self.text),
            cause,
        }
    }

    /// Ends the attempt.
    pub(crate) fn end(&mut self, outcome: ItemOutcome) {
        self.upstream = None;
        self.outcome = Some(outcome);
    }

    /// Returns the report of the outcome, if it was not reported on this connection.
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

    /// Returns the scoring of a finished text that no leader has made durable.
    pub(crate) fn finished_scoring(&self) -> Option<ScoringAssignment> {
        match self.outcome {
            Some(ItemOutcome::Finished(_)) => self.scoring(),
            _ => None,
        }
    }

    /// Returns whether the outcome was reported to a leader.
    pub(crate) fn is_reported(&self) -> bool {
        self.reported_on.is_some()
    }

    /// Returns the scoring of the text, if the item has a scorer. The scoring has the identifier of
    /// the attempt.
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
