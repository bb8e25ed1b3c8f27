//! Coordination of a site whose callers share gateways: the configuration, the registry of servers,
//! batch jobs and the weight versions of models.
//!
//! One replicated group holds all of this state. [`CoordinationState`] is the replicated part;
//! [`CoordinationLeader`] runs only on the group's leader: it assigns items of batch jobs to
//! engines and moves engines to the versions that trainers publish. Neither reads a clock, opens a
//! socket or file, or uses randomness.

mod configuration;
mod evidence;
mod fingerprint;
mod gateway_selection;
mod ids;
mod jobs;
mod leader;
mod messages;
mod provider;
mod registry;
mod routes;
mod scaling;
mod scoring;
mod site_time;
mod state;
mod tenants;
mod text;
mod usage;
mod view;

pub use configuration::{
    ConfigurationError, EngineProfile, IngressLimits, Route, RouteKind, RouteTarget, Service,
    SiteConfiguration,
};
pub use evidence::{CrashEvidence, Suspect};
pub use fingerprint::{FingerprintKey, RequestContent, RequestFingerprint};
pub use gateway_selection::{MAX_ADDRESSES, ReadyGateway, gateways_for_client};
pub use ids::{
    AssignmentId, GatewayId, InstanceId, ItemId, ItemKey, JobId, ModelName, ServerName,
    ServiceName, StartTime, TenantName,
};
pub use jobs::{
    ItemState, Job, JobItem, JobPage, JobSubmission, ListedResult, NoBody, RepeatedItem,
    ResultRecord,
};
pub use leader::{
    CapacityDemand, CapacityPolicy, CoordinationLeader, Decision, EVIDENCE_LIFETIME, Effect,
    EngineStatus, Event, LeaderCounts, LeaderPolicy, LeaderSettings, MoveReason, OrderAnswer, Peak,
    ScoringAnswers, ScoringCapacity, ScoringLimit, ScoringOrder, ScoringReadings, UsageDuty,
    WeightOrder, is_scoring_urgent, wanted_capacity,
};
pub use messages::{
    BreakCause, CallReply, CoordinatorFrame, CoordinatorHello, CoordinatorMessage, FormatRange,
    GatewayHello, GatewayListUpdate, GatewayMessage, GatewayStatus, HeartbeatAnswer, IncomingFrame,
    ItemAssignment, ItemOutcome, ItemProgress, KnownLeader, LOAD_REPORTS_FORMAT, ListedGateway,
    MeasuredPace, NotRunReason, ObservedCrash, OpenTrial, Refusal, RefusedPeers, Reply, Request,
    RunningItem, ScoringLoad, TRIALS_FORMAT, TrialAnswer, TrialEnd, TrialRequest, with_own_formats,
};
pub use provider::{CapacityOrder, DutyHolder, ProviderAnswer, UsageReport};
pub use registry::{Heartbeat, ModelVersion, ServerRecord, UnchangedServer};
pub use routes::RouteTable;
pub use scaling::{CapacityPool, Scaling};
pub use scoring::{
    NotScoredReason, RunningScoring, Scorer, ScoringAssignment, ScoringDecision, ScoringOutcome,
    UnscoredText,
};
pub use site_time::{SiteClock, WallTime};
pub use state::{
    Command, CoordinationState, KnownChanges, MAX_SUSPECTS, OrderHolder, REJECTION_THRESHOLD,
    REPORTING_THRESHOLD, RequestEvidence, SiteUsage,
};
pub use tenants::{ApiKey, Caller, KeyTable, Tenant, TenantError};
pub use text::{
    DurablePrefix, FinishedText, ItemText, LoggedPrefix, PackedText, ResultText, TextError,
    TextPlace, TextStore,
};
pub use usage::{UsageCounts, UsageMeter, UsageWindow, WindowUsage};
pub use view::{SiteView, ViewChange, ViewContent, ViewUpdate};
