//! Decision: how long may an engine be silent, what does an engine's answer to an item mean, and
//! when are new events of a text uploaded?
//!
//! No I/O, no clock.
//!
//! **Inputs.** The status of the answer, whether it says that the item was not run, and whether its
//! last event is complete; the number of events of a text and how many of them were uploaded.
//!
//! **Rule.** An engine that sends nothing for 2.5 s is abandoned: the item resumes on another
//! engine after its last event. An answer is a finished text only if it ends with a complete event.
//! A text is uploaded every 24 events, a long text every 5, so that it survives the loss of this
//! process and of the leader.
//!
//! **Why.** Events that were not uploaded are generated again after the loss of a gateway. Each
//! upload is one entry of the replicated log, which is too costly for short texts.

use std::time::Duration;

/// Timeout for a connection to an engine; round trips within a region take a few milliseconds.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Limit on an engine's silence, both before and during its answer. It is longer than an engine's
/// step and than a load of weights.
pub(crate) const STALL_TIMEOUT: Duration = Duration::from_millis(2500);

/// Events of an item per upload. An item with fewer events is cheap to restart: 2 s at 78 ms per
/// event.
const EVENTS_PER_UPLOAD: u64 = 24;
/// Events of a long item per upload: those that an engine generates between two status reports (400
/// ms at 78 ms per event). The job waits for its long items, so that each lost event is lost time.
const EVENTS_PER_LONG_UPLOAD: u64 = 5;

/// Status of an engine that has another incarnation or version than the item expects.
const MISDIRECTED_STATUS: u16 = 421;
/// Status of an item that no engine can ever run.
const IMPOSSIBLE_STATUS: u16 = 422;

/// Meaning of an engine's complete answer to an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemAnswer {
    /// The complete text.
    Finished,
    /// A text that ends in the middle of an event.
    CutShort,
    /// The engine has another incarnation or version than expected.
    Mismatch,
    /// The engine has not run the item.
    NotRun,
    /// No engine can ever run the item.
    Impossible,
    /// The engine ran the item and failed.
    Failed,
}

/// Classifies an answer by its status; `ends_at_event_boundary` states that the answer has no
/// incomplete event at its end.
pub fn classify_item_answer(
    status: u16,
    says_not_run: bool,
    ends_at_event_boundary: bool,
) -> ItemAnswer {
    match status {
        MISDIRECTED_STATUS => ItemAnswer::Mismatch,
        _ if says_not_run => ItemAnswer::NotRun,
        200..=299 if ends_at_event_boundary => ItemAnswer::Finished,
        200..=299 => ItemAnswer::CutShort,
        IMPOSSIBLE_STATUS => ItemAnswer::Impossible,
        _ => ItemAnswer::Failed,
    }
}

/// Returns whether the events after the uploaded ones are due for upload. A text counts as long if
/// its job expects it to be, or once a full batch of it was uploaded.
pub fn is_upload_due(events: u64, uploaded: u64, is_expected_long: bool) -> bool {
    let is_long = is_expected_long || uploaded >= EVENTS_PER_UPLOAD;
    let batch = if is_long {
        EVENTS_PER_LONG_UPLOAD
    } else {
        EVENTS_PER_UPLOAD
    };
    events.saturating_sub(uploaded) >= batch
}
