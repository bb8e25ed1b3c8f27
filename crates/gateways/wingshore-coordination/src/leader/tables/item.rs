//! An unlisted item of a batch job, and an attempt at it.

use crate::ids::{AssignmentId, GatewayId, InstanceId, ItemKey, ModelName};
use crate::leader::decisions::item_length::relative_length;
use crate::text::{ItemText, LoggedPrefix};
use std::time::Duration;
use wingshore_types::Instant;

/// What a caller was charged for an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Charge {
    /// Expected run time.
    pub(crate) run_time: Duration,
    /// Priority of the job; 0 is the most urgent.
    pub(crate) priority: u8,
    /// Estimated length in tokens; 0 if the run time is not to be learned from this attempt.
    pub(crate) tokens: u64,
}

/// An attempt in progress.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) item: ItemKey,
    pub(crate) gateway: GatewayId,
    pub(crate) instance: InstanceId,
    /// The model that generates its tokens.
    pub(crate) model: Option<ModelName>,
    /// Whether the item is expected to be one of the longest.
    pub(crate) is_long: bool,
    /// When it was assigned, or first reported to this leader.
    pub(crate) started_at: Instant,
    /// The run time and the priority that its caller was charged for.
    pub(crate) charged: Option<Charge>,
    /// Number of events in the gateway's last progress report, and the time of that report.
    pub(crate) last_progress: Option<(u64, Instant)>,
    /// Whether the gateway was ordered to interrupt it.
    pub(crate) interrupted: bool,
    /// Time of the gateway's last report of the attempt.
    pub(crate) last_reported_at: Instant,
    /// Whether its text continues the text in the log. Otherwise it is a separate run of the item,
    /// whose events must not be appended there.
    pub(crate) extends_held: bool,
}

impl Attempt {
    /// Creates an attempt that starts now, or that a gateway reports as running.
    pub(crate) fn new(
        now: Instant,
        item: ItemKey,
        gateway: GatewayId,
        instance: InstanceId,
        model: Option<ModelName>,
    ) -> Self {
        Self {
            item,
            gateway,
            instance,
            model,
            is_long: false,
            started_at: now,
            charged: None,
            last_progress: None,
            interrupted: false,
            last_reported_at: now,
            extends_held: true,
        }
    }
}

/// An engine to which an item does not return for a while. The time is limited because the engine
/// may be the only one that takes the item.
#[derive(Clone, Debug)]
pub(crate) struct AvoidedEngine {
    pub(crate) instance: InstanceId,
    pub(crate) until: Instant,
}

/// State of an item that is not listed yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenItem {
    /// Text of all earlier attempts.
    pub(crate) partial_text: ItemText,
    /// The part of its text that the log holds once all proposals of this leader are applied.
    pub(crate) held: LoggedPrefix,
    /// Number of attempts that engines ran and failed.
    pub(crate) failures: u32,
    /// The item is not placed before this time.
    pub(crate) not_before: Option<Instant>,
    /// The attempt in progress.
    pub(crate) assignment: Option<AssignmentId>,
    /// Whether a result is proposed.
    pub(crate) has_result: bool,
    /// Number of its moves from one engine to another.
    pub(crate) moves: u32,
    /// The engine that it was moved away from.
    pub(crate) avoid: Option<AvoidedEngine>,
    /// Whether a gateway has refused it because servers had crashed under it.
    pub(crate) is_refused_as_crashed: bool,
    /// The caller's estimate of its length, in tokens; longer items are placed first.
    pub(crate) expected_length: u64,
    /// Its expected length in tokens; that of the longest item of its job if it was still running
    /// when an earlier job ended.
    pub(crate) estimated_tokens: Option<u64>,
    /// The expected length of the longest item of its job, in tokens.
    pub(crate) longest_tokens: Option<u64>,
    /// Whether it is a long item: by its estimate, or because it was still running when an earlier
    /// job ended.
    pub(crate) is_long: bool,
}

impl OpenItem {
    /// Returns the length by which the item is placed, as a fraction of the longest one of its job.
    pub(crate) fn relative_length(&self) -> f64 {
        let has_run = self.moves > 0 || self.partial_text.events > 0;
        relative_length(
            self.is_long,
            has_run,
            self.estimated_tokens,
            self.longest_tokens,
        )
    }

    /// Returns the engine to which the item does not go at `now`.
    pub(crate) fn avoided(&self, now: Instant) -> Option<&InstanceId> {
        let avoid = self.avoid.as_ref().filter(|avoid| now < avoid.until);
        avoid.map(|avoid| &avoid.instance)
    }
}

/// Sort key of the order in which the waiting items of a job are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Estimated length, longest first.
    pub(crate) length: std::cmp::Reverse<u64>,
    /// Position in the submission.
    pub(crate) index: u32,
}
