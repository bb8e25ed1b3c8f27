//! Incremental parser of event streams (`text/event-stream`), whose bytes may arrive in any pieces.
//! No I/O.

/// Maximum number of bytes of a stream within which an event with data must end. Events hold some
/// tokens, and are a thousand times smaller.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamEvent {
    /// The event ID, if it is a number.
    pub id: Option<u64>,
    /// The data lines, joined by line feeds.
    pub data: String,
    /// Whether the event has a data field, even an empty one.
    pub has_data: bool,
    /// The weight version that generates this event and the following ones, if it changes here.
    pub version: Option<u64>,
}

/// Parses the events of one stream. An event is complete once the blank line after it has arrived.
#[derive(Default)]
pub struct EventReader {
    buffer: Vec<u8>,
    event: StreamEvent,
    is_empty: bool,
    version_field: String,
    /// Bytes that were read since the last event with data.
    bytes_since_event: usize,
}

impl EventReader {
    /// Creates a reader; `version_field` (matched in lower case) is the event field that holds a
    /// weight version.
    pub fn new(version_field: &str) -> Self {
        Self {
            buffer: Vec::new(),
            event: StreamEvent::default(),
            is_empty: true,
            version_field: version_field.to_ascii_lowercase(),
            bytes_since_event: 0,
        }
    }

    /// Adds `bytes` and returns the events that they complete. Returns `None` if a line is not
    /// valid UTF-8, or no event with data has ended within [`MAX_EVENT_BYTES`]: the stream is
    /// unusable then.
    pub fn read(&mut self, bytes: &[u8]) -> Option<Vec<StreamEvent>> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = self.buffer[start..].iter().position(|byte| *byte == b'\n') {
            let line = &self.buffer[start..start + length];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            let line = std::str::from_utf8(line).ok()?;
            take_line(
                line,
                &self.version_field,
                &mut self.event,
                &mut self.is_empty,
                &mut events,
            );
            start += length + 1;
        }
        self.buffer.drain(..start);
        self.bytes_since_event += bytes.len();
        if events.iter().any(|event| event.has_data) {
            self.bytes_since_event = self.buffer.len();
        }
        (self.bytes_since_event <= MAX_EVENT_BYTES).then_some(events)
    }

    /// Whether part of an event has arrived.
    pub fn is_within_event(&self) -> bool {
        !self.is_empty || !self.buffer.is_empty()
    }
}

fn take_line(
    line: &str,
    version_field: &str,
    event: &mut StreamEvent,
    is_empty: &mut bool,
    events: &mut Vec<StreamEvent>,
) {
    if line.is_empty() {
        let event = std::mem::take(event);
        if !std::mem::replace(is_empty, true) {
            events.push(event);
        }
        return;
    }
    *is_empty = false;
    let (field, value) = line.split_once(':').unwrap_or((line, ""));
    let value = value.strip_prefix(' ').unwrap_or(value);
    match field {
        "id" => event.id = value.trim().parse().ok(),
        "data" => {
            if event.has_data {
                event.data.push('\n');
            }
            event.has_data = true;
            event.data.push_str(value);
        }
        _ if field == version_field => event.version = value.trim().parse().ok(),
        _ => {}
    }
}

/// Removes the complete events from the front of `buffer` and returns their bytes.
pub fn take_complete_events(buffer: &mut Vec<u8>) -> Vec<u8> {
    let mut end = 0;
    let mut line_start = 0;
    for (position, byte) in buffer.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buffer[line_start..position];
        if line.is_empty() || line == b"\r" {
            end = position + 1;
        }
        line_start = position + 1;
    }
    let rest = buffer.split_off(end);
    std::mem::replace(buffer, rest)
}
