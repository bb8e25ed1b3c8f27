//! Messages between the site's own processes, and what callers ask of the group.
//!
//! They travel as `postcard` values, which hold neither names nor lengths of fields: fields and
//! variants keep their order for good, and new variants come last. A variant that a peer may not know
//! is sent only on links of a format that has it ([`FormatRange`]).

mod coordinator;
mod formats;
mod frames;
mod gateway;
mod group;
mod items;

pub use coordinator::{CallReply, CoordinatorMessage};
pub use formats::{FormatRange, Refusal, RefusedPeers, with_own_formats};
pub use frames::{CoordinatorFrame, CoordinatorHello, HeartbeatAnswer, IncomingFrame, KnownLeader};
pub use gateway::{GatewayHello, GatewayMessage, GatewayStatus, SeenCrash};
pub use group::{Reply, Request};
pub use items::{BreakCause, ItemAssignment, ItemOutcome, ItemProgress, NotRunReason, RunningItem};
