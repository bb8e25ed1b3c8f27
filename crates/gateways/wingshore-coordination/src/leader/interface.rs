//! Inputs of the leader machine from outside the group, and its effects there.

use super::decision_log::Decision;
use super::decisions::load_progress::{EngineStatus, OrderAnswer};
use crate::fingerprint::RequestFingerprint;
use crate::ids::{AssignmentId, GatewayId, InstanceId, ItemKey, ModelName};
use crate::messages::{
    CoordinatorMessage, GatewayHello, GatewayStatus, ItemOutcome, ItemProgress, ObservedCrash,
    OpenTrial, RunningItem, ScoringLoad, TrialEnd, TrialRequest,
};
use crate::provider::{CapacityOrder, ProviderAnswer, UsageReport};
use crate::registry::UnchangedServer;
use crate::scaling::CapacityPool;
use crate::scoring::{RunningScoring, ScoringOutcome};
use crate::site_time::WallTime;
use crate::text::ItemText;
use crate::usage::{UsageWindow, WindowUsage};
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::{Epoch, ReplicaId};

/// An input of the leader from outside the group.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A gateway connected to this coordinator.
    GatewayConnected(GatewayHello),
    /// A gateway reports its status.
    GatewayStatus(GatewayId, GatewayStatus),
    /// A gateway reports all attempts and scorings that it runs.
    GatewayRunning {
        /// The gateway.
        gateway: GatewayId,
        /// Its running attempts at items.
        items: Vec<RunningItem>,
        /// Its running scorings.
        scorings: Vec<RunningScoring>,
    },
    /// A gateway uploads the next events of a long item that is still running.
    PartialTextUploaded {
        /// The attempt.
        assignment: AssignmentId,
        /// Number of the item's events that precede `text`.
        after_events: u64,
        /// The events that follow them.
        text: ItemText,
    },
    /// A gateway reports how many events its items have produced.
    ItemsProgressed(Vec<ItemProgress>),
    /// A gateway reports which scorings it is still running.
    ScoringsRunning(Vec<AssignmentId>),
    /// A gateway reports the load of scoring services, and that it waits for grants of scorings.
    ScoringLoadReported {
        /// The gateway.
        gateway: GatewayId,
        /// What it observed since its last report.
        loads: Vec<ScoringLoad>,
    },
    /// A scoring ended at a gateway.
    ScoringEnded {
        /// The gateway.
        gateway: GatewayId,
        /// The scoring.
        scoring: AssignmentId,
        /// Its outcome.
        outcome: ScoringOutcome,
    },
    /// A gateway reports servers that crashed while they processed requests.
    RequestsCrashed {
        /// The gateway.
        gateway: GatewayId,
        /// The observed crashes.
        seen: Vec<ObservedCrash>,
    },
    /// A gateway reports servers that crashed while they may have been running requests whose
    /// attempts it had ended.
    RequestsMayHaveCrashed {
        /// The gateway.
        gateway: GatewayId,
        /// The possible crashes under requests.
        seen: Vec<ObservedCrash>,
    },
    /// A gateway asks for a trial of a suspect request.
    TrialRequested {
        /// The gateway.
        gateway: GatewayId,
        /// What it asks for.
        request: TrialRequest,
    },
    /// A trial has ended at its gateway.
    TrialEnded {
        /// Fingerprint of the request.
        request: RequestFingerprint,
        /// The server that the trial was granted for.
        instance: InstanceId,
        /// How it ended.
        end: TrialEnd,
    },
    /// A gateway reports the trials that an earlier leader granted to it and that have not ended.
    OpenTrials {
        /// The gateway.
        gateway: GatewayId,
        /// Its open trials.
        trials: Vec<OpenTrial>,
    },
    /// Requests during which servers had crashed before succeeded at a gateway.
    RequestsRan(Vec<RequestFingerprint>),
    /// The connection of a gateway closed.
    GatewayDisconnected {
        /// The gateway.
        gateway: GatewayId,
        /// Time since its last message.
        silence: Duration,
    },
    /// An attempt at an item ended at a gateway.
    ItemEnded {
        /// The gateway.
        gateway: GatewayId,
        /// The attempt.
        assignment: AssignmentId,
        /// The item.
        item: ItemKey,
        /// Its outcome.
        outcome: ItemOutcome,
    },
    /// Another coordinator answered heartbeats that changed nothing in the registry.
    ServersReported {
        /// The coordinator.
        from: ReplicaId,
        /// The servers.
        servers: Vec<UnchangedServer>,
    },
    /// Connections to the machines of these coordinators closed recently, or are down.
    CoordinatorsLost(Vec<String>),
    /// The site's agreed time of day.
    TimeAgreed(WallTime),
    /// A gateway reports totals of requests that started to run, by window and tenant.
    UsageReported {
        /// The gateway.
        gateway: GatewayId,
        /// Its totals.
        usage: Vec<WindowUsage>,
    },
    /// The provider answered an order for servers, or the call got no answer.
    CapacityAnswered {
        /// The pool whose servers were ordered.
        pool: CapacityPool,
        /// The ordered number of servers.
        count: u32,
        /// The answer.
        answer: ProviderAnswer,
    },
    /// The provider answered a usage report, or the call got no answer.
    UsageAnswered {
        /// The window of the report.
        window: UsageWindow,
        /// The answer.
        answer: ProviderAnswer,
    },
    /// An engine answered an order to load weights, or the call got no answer.
    WeightOrderAnswered {
        /// The engine.
        instance: InstanceId,
        /// The answer.
        answer: OrderAnswer,
    },
    /// An engine answered a status poll, or the poll got no answer.
    EnginePolled {
        /// The engine.
        instance: InstanceId,
        /// The reported status; `None` if the engine did not answer.
        report: Option<EngineStatus>,
    },
}

/// An action outside the group that the leader requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to a gateway.
    ToGateway(GatewayId, CoordinatorMessage),
    /// Tell another coordinator that the registry does not contain these servers.
    UnknownServers {
        /// The coordinator.
        to: ReplicaId,
        /// The servers.
        instances: Vec<InstanceId>,
    },
    /// Log a decision.
    Log(Decision),
    /// Order a number of servers in a pool from the provider.
    OrderCapacity(CapacityOrder),
    /// Report the usage of a window to the provider.
    ReportUsage(UsageReport),
    /// Order an engine to load weights.
    Order(WeightOrder),
    /// Poll the status of an engine.
    PollEngine {
        /// The engine.
        instance: InstanceId,
        /// The address on which it listens.
        address: SocketAddr,
    },
}

/// An order to an engine to load the weights of a model version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightOrder {
    /// The engine.
    pub instance: InstanceId,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The model.
    pub model: ModelName,
    /// The version to load.
    pub version: u64,
    /// Name of the machine that gives the order.
    pub holder: String,
    /// Fencing token: the leader's epoch. Engines refuse orders with a lower one.
    pub fence: Epoch,
    /// Number of orders that the engine had accepted when it was last polled.
    pub expected_sequence: u64,
    /// Whether running requests continue with the new version, rather than finish before the load.
    pub keep_running: bool,
}

/// The state of the scorings that the leader grants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScoringReadings {
    /// Scorings that may be under way, over all services with grants or reports.
    pub limit: u64,
    /// How long the text that has waited longest for a scoring has waited.
    pub longest_wait: Duration,
}

/// Counts of the leader's open work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaderCounts {
    /// Open jobs that cannot be whole by the time they are due.
    pub jobs_late: usize,
    /// Items that wait for an engine.
    pub items_waiting: usize,
    /// Items that run on engines.
    pub items_running: usize,
    /// Engines that are loading weights.
    pub engines_loading: usize,
    /// Finished texts that wait for a scoring.
    pub scorings_waiting: usize,
    /// Scorings that run at gateways.
    pub scorings_running: usize,
    /// Trials of suspect requests that have not ended.
    pub trials_open: usize,
}
