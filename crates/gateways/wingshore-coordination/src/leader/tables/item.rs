//! One item of a batch job that is not listed, and an attempt at it.

use crate::fingerprint::RequestFingerprint;
use crate::ids::{AssignmentId, GatewayId, InstanceId, ItemKey, ModelName};
use crate::text::{ItemText, LoggedPrefix};
use wingshore_types::Instant;

/// An attempt that is under way.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) item: ItemKey,
    pub(crate) gateway: GatewayId,
    pub(crate) instance: InstanceId,
    /// The model that makes its tokens.
    pub(crate) model: Option<ModelName>,
    /// Whether the item is expected to be one of the longest.
    pub(crate) is_long: bool,
    /// Events at the last word of the gateway, and when that came.
    pub(crate) seen: Option<(u64, Instant)>,
    /// Whether the gateway was ordered to break it off.
    pub(crate) interrupted: bool,
    /// When the gateway last spoke of it.
    pub(crate) heard: Instant,
    /// Whether its text goes on behind what the log holds; otherwise it is another run of the item,
    /// whose events must not be added there.
    pub(crate) extends_held: bool,
}

impl Attempt {
    /// An attempt that begins, or that a gateway says it runs.
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
            seen: None,
            interrupted: false,
            heard: now,
            extends_held: true,
        }
    }
}

/// An engine that an item does not go back to for a while. Only for a while: it may be the only one
/// that takes the item.
#[derive(Clone, Debug)]
pub(crate) struct Avoided {
    pub(crate) instance: InstanceId,
    pub(crate) until: Instant,
}

/// What is known of an item that is not listed.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenItem {
    /// All events of earlier attempts.
    pub(crate) partial_text: ItemText,
    /// What the log holds of its text once all that this leader has proposed is applied.
    pub(crate) held: LoggedPrefix,
    /// Attempts that engines ran and failed.
    pub(crate) failures: u32,
    /// Not placed before this time.
    pub(crate) not_before: Option<Instant>,
    /// The attempt under way.
    pub(crate) assignment: Option<AssignmentId>,
    /// A result is proposed.
    pub(crate) has_result: bool,
    /// Times that it was moved from one engine to another.
    pub(crate) moves: u32,
    /// The engine that it was moved away from.
    pub(crate) avoid: Option<Avoided>,
    /// What it asks, once an engine broke it off early.
    pub(crate) request: Option<RequestFingerprint>,
    /// The caller's estimate of its length; longer ones are placed first.
    pub(crate) expected_length: u64,
    /// Whether it is one of the longest: by the estimate, or by an earlier job that it survived.
    pub(crate) is_long: bool,
}

impl OpenItem {
    /// The engine that the item does not go to at `now`.
    pub(crate) fn avoided(&self, now: Instant) -> Option<&InstanceId> {
        let avoid = self.avoid.as_ref().filter(|avoid| now < avoid.until);
        avoid.map(|avoid| &avoid.instance)
    }
}

/// Order in which the waiting items of a job are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// The longest first.
    pub(crate) length: std::cmp::Reverse<u64>,
    /// Items in the order of the submission.
    pub(crate) index: u32,
}
