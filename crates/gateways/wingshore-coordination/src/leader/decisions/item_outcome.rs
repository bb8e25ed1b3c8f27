//! Decides what follows the end of an attempt at an item: whether the result is accepted, whether
//! and when the item is retried, whether it is abandoned, and what happens to the engine.
//!
//! Inputs: the outcome that the gateway reports; whether the text is older than the job allows; the
//! number of attempts that engines ran and failed, and the limit of the route; whether servers have
//! crashed under the item before; whether another gateway may take an item that one has refused.
//!
//! Rule: see [`next_step`]. A complete text is accepted. An attempt that was not run or was
//! interrupted is retried, continuing the events received so far. An attempt that an engine ran and
//! failed is retried up to the limit of the route, after which the item is abandoned. An item that
//! can never succeed is abandoned at once. Servers that crash under an item delay its next attempt
//! by a pause, however many they are: an item is never the cause, and is owed.
//!
//! Rationale: an item is abandoned only because of what engines report of it, or because its time
//! in the queue is over ([`super::expiry`]); all other outcomes depend on where it was sent. An
//! engine at fault gets no items for a while, so that the next item does not meet the same fault.
//!
//! Stale or missing inputs: the end of an attempt that this leader has already replaced counts only
//! if it delivers a complete text and the item has no result yet; otherwise it is ignored.

use crate::messages::{BreakCause, ItemOutcome, NotRunReason};
use std::time::Duration;

/// Time before an item that was not run is placed again.
const NOT_RUN_BACKOFF: Duration = Duration::from_millis(30);
/// Time before an item that every gateway refuses, because servers crashed under it, is offered to
/// one again: only gateways of earlier builds refuse it, until its request is cleared.
const REJECTED_BACKOFF: Duration = Duration::from_secs(2);
/// Time before an item is placed again under which servers have crashed repeatedly: in a series of
/// crashes it does not use up the slots of one engine after the other.
const CRASH_BACKOFF: Duration = Duration::from_millis(450);
/// Time for which an engine gets no items after it refused one because it was full or not the
/// expected engine.
const REFUSED_DEFERRAL: Duration = Duration::from_millis(90);
/// Time before an item that an engine ran and failed is placed again.
const FAILED_BACKOFF: Duration = Duration::from_millis(100);

/// Reason for abandoning an item that engines ran and failed.
const FAILED_TOO_OFTEN: &str = "it failed as often as its route allows";
/// Reason for abandoning an item that can never succeed.
const IMPOSSIBLE: &str = "the engine reports that the item can never succeed";

/// State of an item whose attempt has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ItemHistory {
    /// Whether the attempt's text comes from a version that the job does not allow.
    pub(crate) is_too_old: bool,
    /// Number of attempts that engines ran and failed, without this one.
    pub(crate) failures: u32,
    /// Maximum number of such attempts that the route allows.
    pub(crate) max_failures: u32,
    /// Whether a server is known to have crashed under the item before.
    pub(crate) has_crashed_servers: bool,
    /// Whether a gateway may take the item that another one refuses because servers crashed under
    /// it.
    pub(crate) may_go_to_other_gateway: bool,
}

/// Action on the engine that ran the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineAction {
    /// No action.
    Keep,
    /// Ejects it: it gets no items for a while (see [`super::ejection`]).
    Eject,
    /// Ejects it, and gives it no items before its next heartbeat.
    EjectUntilHeartbeat,
    /// Ejects it, and polls it for its versions.
    EjectAndPoll,
    /// Gives it no items for this time.
    Defer(Duration),
}

/// Action on an item's partial text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PartialText {
    /// The text from before the attempt is kept.
    Keep,
    /// The text of the attempt replaces it.
    Replace,
    /// The text is discarded; the item starts from the beginning.
    Drop,
}

/// How an item is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Retry {
    /// Minimum time before the retry; `None` leaves an earlier backoff in force.
    pub(crate) backoff: Option<Duration>,
    /// The partial text that the retry continues.
    pub(crate) partial_text: PartialText,
    /// Action on the engine.
    pub(crate) engine: EngineAction,
    /// Whether the attempt counts towards the limit of attempts that engines ran and failed.
    pub(crate) is_failure: bool,
}

impl Retry {
    /// Immediate retry that continues the same partial text.
    const NOW: Self = Self {
        backoff: None,
        partial_text: PartialText::Keep,
        engine: EngineAction::Keep,
        is_failure: false,
    };
}

/// Consequence of the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// The attempt's text is accepted as the result.
    Take,
    /// The item is retried.
    Retry(Retry),
    /// The item is abandoned for this reason.
    Abandon(&'static str),
}

/// Returns the consequence of the end of an attempt at an item that has no result yet.
pub(crate) fn next_step(outcome: &ItemOutcome, item: ItemHistory) -> NextStep {
    match outcome {
        ItemOutcome::Finished(_) if item.is_too_old => NextStep::Retry(Retry {
            partial_text: PartialText::Drop,
            engine: EngineAction::EjectAndPoll,
            ..Retry::NOW
        }),
        ItemOutcome::Finished(_) => NextStep::Take,
        ItemOutcome::Interrupted { cause, .. } => NextStep::Retry(after_interruption(*cause, item)),
        ItemOutcome::NotRun(reason) => NextStep::Retry(after_not_run(*reason, item)),
        ItemOutcome::Failed if item.failures + 1 >= item.max_failures => {
            NextStep::Abandon(FAILED_TOO_OFTEN)
        }
        ItemOutcome::Failed => NextStep::Retry(Retry {
            backoff: Some(FAILED_BACKOFF),
            is_failure: true,
            ..Retry::NOW
        }),
        ItemOutcome::Impossible => NextStep::Abandon(IMPOSSIBLE),
    }
}

/// Returns how an interrupted item is retried.
fn after_interruption(cause: BreakCause, item: ItemHistory) -> Retry {
    let interrupted = Retry {
        partial_text: PartialText::Replace,
        ..Retry::NOW
    };
    match cause {
        BreakCause::Gateway => interrupted,
        BreakCause::Engine(request) => Retry {
            backoff: (request.is_some() && item.has_crashed_servers).then_some(CRASH_BACKOFF),
            engine: EngineAction::Eject,
            ..interrupted
        },
    }
}

fn after_not_run(reason: NotRunReason, item: ItemHistory) -> Retry {
    let engine = match reason {
        NotRunReason::Unreachable => EngineAction::Eject,
        NotRunReason::Ended => EngineAction::EjectUntilHeartbeat,
        NotRunReason::Full | NotRunReason::Mismatch => EngineAction::Defer(REFUSED_DEFERRAL),
        NotRunReason::Stopping | NotRunReason::Rejected => EngineAction::Keep,
    };
    let backoff = match reason {
        NotRunReason::Rejected if !item.may_go_to_other_gateway => REJECTED_BACKOFF,
        _ => NOT_RUN_BACKOFF,
    };
    Retry {
        backoff: Some(backoff),
        engine,
        ..Retry::NOW
    }
}
