//! Decision: how long may an engine be silent, what is an engine's answer to an item, and when is a
//! part of a growing text uploaded?
//!
//! No I/O, no clock.
//!
//! **Inputs.** The status of the answer, whether it says that the item was not run, whether its last
//! event is whole; the events of a text and how many of them were uploaded.
//!
//! **Rule.** An engine that sends nothing for 2.5 s is given up: the item goes on elsewhere behind its
//! last event. An answer is a finished text only if it ends behind a whole event. A text is uploaded each
//! 24 events, a long one each 5, so that it survives this process and the leader.
//!
//! **Why.** What was not uploaded is made again after the loss of a gateway. An upload is one entry of
//! the replicated log, so that short texts are not worth one.

use std::time::Duration;

/// A connection to an engine must be up within this time; round trips within a region take a few
/// milliseconds.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// An engine must begin to answer, and go on, within this time. It is above an engine's step and a
/// load of weights.
pub(crate) const STALL_TIMEOUT: Duration = Duration::from_millis(2500);

/// So many events of an item are uploaded together, to survive this process. An item that has fewer
/// is begun again at little cost: 2 s at 78 ms an event.
const UPLOAD_EVENTS: u64 = 24;
/// So many events of a long item are uploaded together: those that an engine makes between two status
/// reports (400 ms at 78 ms an event). Its job waits for it, so that each lost event is lost time.
const UPLOAD_EVENTS_OF_LONG: u64 = 5;

/// Status by which an engine says that an item was meant for another incarnation or version.
const MISDIRECTED: u16 = 421;
/// Status by which an engine says that an item can never be done.
const IMPOSSIBLE: u16 = 422;

/// What an engine's whole answer to an item is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemAnswer {
    /// The whole text.
    Finished,
    /// A text that ends inside an event.
    CutShort,
    /// Another incarnation or version is there.
    Mismatch,
    /// The engine has not run it.
    NotRun,
    /// It can never be done.
    Impossible,
    /// The engine has run it and failed.
    Failed,
}

/// What an answer is that has this status; `ends_at_event_boundary` if no part of an event is left over.
pub fn classify_item_answer(
    status: u16,
    says_not_run: bool,
    ends_at_event_boundary: bool,
) -> ItemAnswer {
    match status {
        MISDIRECTED => ItemAnswer::Mismatch,
        _ if says_not_run => ItemAnswer::NotRun,
        200..=299 if ends_at_event_boundary => ItemAnswer::Finished,
        200..=299 => ItemAnswer::CutShort,
        IMPOSSIBLE => ItemAnswer::Impossible,
        _ => ItemAnswer::Failed,
    }
}

/// Whether the events behind those that were uploaded are uploaded now. A text counts as long if its
/// job expects that, and once it has proved so.
pub fn is_upload_due(events: u64, uploaded: u64, is_expected_long: bool) -> bool {
    let is_long = is_expected_long || uploaded >= UPLOAD_EVENTS;
    let batch = if is_long {
        UPLOAD_EVENTS_OF_LONG
    } else {
        UPLOAD_EVENTS
    };
    events.saturating_sub(uploaded) >= batch
}
