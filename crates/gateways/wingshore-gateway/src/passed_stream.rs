//! What has been passed on of a stream of events, so that it can be resumed.

use crate::event_stream::{EventReader, take_whole_events};
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

/// A stream whose head has been passed on.
pub(crate) struct PassedStream {
    /// Bytes of an event that is not whole.
    partial: Vec<u8>,
    events: EventReader,
    /// Identifier of the last event that was passed on.
    pub(crate) last_event: Option<u64>,
    /// The connection that the present part comes from.
    from: ConnectionId,
    /// When that part began.
    pub(crate) since: Instant,
    /// Whether it was reported that the present part has run for so long that it is not what ends
    /// servers.
    pub(crate) is_cleared: bool,
}

impl PassedStream {
    /// A stream that begins now; the field `version_field` of its events names versions.
    pub(crate) fn new(now: Instant, from: ConnectionId, version_field: &str) -> Self {
        Self {
            partial: Vec::new(),
            events: EventReader::new(version_field),
            last_event: None,
            from,
            since: now,
            is_cleared: false,
        }
    }

    /// Takes bytes and gives those of whole events.
    pub(crate) fn take(&mut self, now: Instant, from: ConnectionId, body: &[u8]) -> Vec<u8> {
        if self.from != from {
            // What the server before left unfinished comes whole from this one.
            self.partial.clear();
            self.from = from;
            self.since = now;
            self.is_cleared = false;
        }
        self.partial.extend_from_slice(body);
        let whole = take_whole_events(&mut self.partial);
        let events = self.events.read(&whole).unwrap_or_default();
        if let Some(id) = events.iter().rev().find_map(|event| event.id) {
            self.last_event = Some(id);
        }
        whole
    }

    /// Whether part of an event has come.
    pub(crate) fn is_within_event(&self) -> bool {
        !self.partial.is_empty()
    }
}
