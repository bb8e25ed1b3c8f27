//! Messages between the site's own processes, and the requests of callers to the group.
//!
//! Messages are encoded with `postcard`, which stores neither names nor lengths of fields: fields
//! and variants keep their order permanently, and new variants are appended. A variant that a peer
//! may not know is sent only on links whose format includes it ([`FormatRange`]).

mod coordinator;
mod formats;
mod frames;
mod gateway;
mod group;
mod items;
mod load_reports;
mod trials;

pub use coordinator::{CallReply, CoordinatorMessage};
pub use formats::{
    FormatRange, LOAD_REPORTS_FORMAT, Refusal, RefusedPeers, TRIALS_FORMAT, with_own_formats,
};
pub use frames::{CoordinatorFrame, CoordinatorHello, HeartbeatAnswer, IncomingFrame, KnownLeader};
pub use gateway::{GatewayHello, GatewayMessage, GatewayStatus, ObservedCrash};
pub use group::{Reply, Request};
pub use items::{BreakCause, ItemAssignment, ItemOutcome, ItemProgress, NotRunReason, RunningItem};
pub use load_reports::{GatewayListUpdate, ListedGateway, MeasuredPace, ScoringLoad};
pub use trials::{OpenTrial, TrialAnswer, TrialEnd, TrialRequest};
