//! What follows the end of an attempt at an item: is the result taken, is the item tried again and when,
//! is it abandoned, and what becomes of the engine?
//!
//! Inputs: what the gateway says came of the attempt; whether the text is older than the job allows;
//! attempts that engines ran and failed, and how many the route allows; whether servers have ended under
//! what the item asks.
//!
//! Rule: the table in [`verdict`]. A whole text is taken. Whatever did not run, or broke off, is tried
//! again, behind the events that there are; what an engine ran and failed is tried again as often as the
//! route allows, and then abandoned; what can never be done is abandoned at once.
//!
//! Why: an item is abandoned only for what engines say of it, or when its time in the queue is over
//! ([`super::expiry`]); everything else is a matter of where it was sent. An engine whose fault it was
//! gets no items for a while, so that the next one does not meet the same.
//!
//! Old or missing inputs: the end of an attempt that this leader has already replaced counts if it is a
//! whole text and the item has no result yet; else it is ignored.

use crate::messages::{BreakCause, ItemOutcome, NotRunReason};
use std::time::Duration;

/// An item that was not run is not placed again for this long.
const NOT_RUN_BACKOFF: Duration = Duration::from_millis(30);
/// An item that is rejected since servers have ended under it is offered to a gateway again after
/// this time, for the case that it was cleared. It is abandoned when its route says so, not earlier.
const REJECTED_BACKOFF: Duration = Duration::from_secs(2);
/// An item that may be what ends engines waits this long, so that the last ending is weighed
/// (300 ms, at the next tick) before it could end one more.
const SUSPECT_BACKOFF: Duration = Duration::from_millis(450);
/// An engine that did not take an item, being full or another one than expected, gets none for this long.
const REFUSED_DEFERRAL: Duration = Duration::from_millis(90);
/// An item that an engine ran and failed is not placed again for this long.
const FAILED_BACKOFF: Duration = Duration::from_millis(100);

/// Why an item is abandoned that an engine ran and failed.
const FAILED_TOO_OFTEN: &str = "it failed as often as its route allows";
/// Why an item is abandoned that cannot be done.
const IMPOSSIBLE: &str = "the engine says that it can never be done";

/// What is known of an item whose attempt is over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ItemHistory {
    /// Whether the text of the attempt is of a version that its job does not allow.
    pub(crate) is_too_old: bool,
    /// Attempts that engines ran and failed, this one not counted.
    pub(crate) failures: u32,
    /// How many of them its route allows.
    pub(crate) max_failures: u32,
    /// Whether a server has ended under what it asks, as far as is known.
    pub(crate) may_end_engines: bool,
}

/// What becomes of the engine that an attempt was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineVerdict {
    /// Nothing.
    Keep,
    /// It gets no items for a while: see [`super::ejection`].
    Eject,
    /// The same, and none before its next heartbeat.
    EjectUntilHeartbeat,
    /// The same as for `Eject`, and it is asked for its versions.
    EjectAndPoll,
    /// It gets no items for this long.
    Defer(Duration),
}

/// What becomes of an item's partial text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PartialText {
    /// As before the attempt.
    Keep,
    /// That of the attempt takes its place.
    Replace,
    /// The item begins anew.
    Drop,
}

/// An item is tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Retry {
    /// Not before this time has passed; `None` leaves what held before.
    pub(crate) backoff: Option<Duration>,
    /// Behind which events.
    pub(crate) partial_text: PartialText,
    /// What becomes of the engine.
    pub(crate) engine: EngineVerdict,
    /// Whether the attempt counts as one that an engine ran and failed.
    pub(crate) is_failure: bool,
}

impl Retry {
    /// At once, behind the same events.
    const NOW: Self = Self {
        backoff: None,
        partial_text: PartialText::Keep,
        engine: EngineVerdict::Keep,
        is_failure: false,
    };
}

/// What follows the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Its text is the result.
    Take,
    /// The item is tried again.
    Retry(Retry),
    /// The item is abandoned, for this reason.
    Abandon(&'static str),
}

/// What follows the end of an attempt at an item that has no result yet.
pub(crate) fn verdict(outcome: &ItemOutcome, item: ItemHistory) -> Verdict {
    match outcome {
        ItemOutcome::Finished(_) if item.is_too_old => Verdict::Retry(Retry {
            partial_text: PartialText::Drop,
            engine: EngineVerdict::EjectAndPoll,
            ..Retry::NOW
        }),
        ItemOutcome::Finished(_) => Verdict::Take,
        ItemOutcome::Interrupted { cause, .. } => Verdict::Retry(after_break(*cause, item)),
        ItemOutcome::NotRun(reason) => Verdict::Retry(after_not_run(*reason)),
        ItemOutcome::Failed if item.failures + 1 >= item.max_failures => {
            Verdict::Abandon(FAILED_TOO_OFTEN)
        }
        ItemOutcome::Failed => Verdict::Retry(Retry {
            backoff: Some(FAILED_BACKOFF),
            is_failure: true,
            ..Retry::NOW
        }),
        ItemOutcome::Impossible => Verdict::Abandon(IMPOSSIBLE),
    }
}

/// An attempt broke off. Where an engine has ended under the item a moment before, or a while ago, the
/// item may be the cause: it waits until that is weighed.
fn after_break(cause: BreakCause, item: ItemHistory) -> Retry {
    let broken = Retry {
        partial_text: PartialText::Replace,
        ..Retry::NOW
    };
    match cause {
        BreakCause::Gateway => broken,
        BreakCause::Engine(request) => Retry {
            backoff: (request.is_some() && item.may_end_engines).then_some(SUSPECT_BACKOFF),
            engine: EngineVerdict::Eject,
            ..broken
        },
    }
}

fn after_not_run(reason: NotRunReason) -> Retry {
    let engine = match reason {
        NotRunReason::Unreachable => EngineVerdict::Eject,
        NotRunReason::Ended => EngineVerdict::EjectUntilHeartbeat,
        NotRunReason::Full | NotRunReason::Mismatch => EngineVerdict::Defer(REFUSED_DEFERRAL),
        NotRunReason::Stopping | NotRunReason::Rejected => EngineVerdict::Keep,
    };
    let backoff = match reason {
        NotRunReason::Rejected => REJECTED_BACKOFF,
        _ => NOT_RUN_BACKOFF,
    };
    Retry {
        backoff: Some(backoff),
        engine,
        ..Retry::NOW
    }
}
