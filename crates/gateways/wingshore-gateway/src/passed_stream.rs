//! The part of an event stream that has been forwarded, so that the stream can be resumed.

use crate::event_stream::{EventReader, MAX_EVENT_BYTES, take_complete_events};
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

/// A stream whose head has been forwarded to the client.
pub(crate) struct PassedStream {
    /// Bytes of an incomplete event.
    partial: Vec<u8>,
    events: EventReader,
    /// ID of the last event that was forwarded.
    pub(crate) last_event: Option<u64>,
    /// The connection that the stream currently comes from.
    source: ConnectionId,
    /// When the stream started on that connection.
    pub(crate) source_started_at: Instant,
    /// Whether the request has been cleared of suspicion, because the stream from the current
    /// source has run long enough.
    pub(crate) is_cleared: bool,
}

impl PassedStream {
    /// Creates a stream that starts now; `version_field` is the event field that holds a weight
    /// version.
    pub(crate) fn new(now: Instant, source: ConnectionId, version_field: &str) -> Self {
        Self {
            partial: Vec::new(),
            events: EventReader::new(version_field),
            last_event: None,
            source,
            source_started_at: now,
            is_cleared: false,
        }
    }

    /// Adds bytes from `source` and returns the bytes of the events that are complete.
    pub(crate) fn take(&mut self, now: Instant, source: ConnectionId, body: &[u8]) -> Vec<u8> {
        if self.source != source {
            // The new server sends the event that was incomplete from its beginning.
            self.partial.clear();
            self.source = source;
            self.source_started_at = now;
            self.is_cleared = false;
        }
        self.partial.extend_from_slice(body);
        let complete = take_complete_events(&mut self.partial);
        let events = self.events.read(&complete).unwrap_or_default();
        if let Some(id) = events.iter().rev().find_map(|event| event.id) {
            self.last_event = Some(id);
        }
        complete
    }

    /// Whether the event that is incomplete is longer than any event.
    pub(crate) fn has_endless_event(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Whether part of an event has arrived.
    pub(crate) fn is_within_event(&self) -> bool {
        !self.partial.is_empty()
    }
}
