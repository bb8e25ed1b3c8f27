//! What the leader machine hears from outside the group, and what it wants done there.

use super::decision_log::Decision;
use super::decisions::load_progress::{EngineStatus, OrderAnswer};
use crate::fingerprint::RequestFingerprint;
use crate::ids::{AssignmentId, GatewayId, InstanceId, ItemKey, ModelName};
use crate::messages::{
    CoordinatorMessage, GatewayHello, GatewayStatus, ItemOutcome, ItemProgress, ObservedCrash,
    RunningItem,
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

/// News from outside the group.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A gateway has connected to this coordinator.
    GatewayConnected(GatewayHello),
    /// A gateway reports its status.
    GatewayStatus(GatewayId, GatewayStatus),
    /// A gateway reports what it has in hand.
    GatewayRunning {
        /// Which gateway.
        gateway: GatewayId,
        /// Attempts at items.
        items: Vec<RunningItem>,
        /// Scorings.
        scorings: Vec<RunningScoring>,
    },
    /// A gateway uploads events of a long item.
    PartialTextStored {
        /// Which attempt.
        assignment: AssignmentId,
        /// Events of the item that were kept before.
        after_events: u64,
        /// The events behind them.
        text: ItemText,
    },
    /// A gateway reports how far its items are.
    ItemsProgressed(Vec<ItemProgress>),
    /// A gateway reports which scorings it has in hand.
    ScoringsInHand(Vec<AssignmentId>),
    /// A gateway's scoring is over.
    ScoringEnded {
        /// Which gateway.
        gateway: GatewayId,
        /// Which scoring.
        scoring: AssignmentId,
        /// What came of it.
        outcome: ScoringOutcome,
    },
    /// A gateway has seen servers end under requests.
    RequestsCrashed {
        /// Which gateway.
        gateway: GatewayId,
        /// What it has seen.
        seen: Vec<ObservedCrash>,
    },
    /// Requests under which servers had ended ran well at a gateway.
    RequestsRan(Vec<RequestFingerprint>),
    /// The connection of a gateway has ended.
    GatewayDisconnected {
        /// Which gateway.
        gateway: GatewayId,
        /// How long it had been silent before.
        silence: Duration,
    },
    /// A gateway's attempt at an item is over.
    ItemEnded {
        /// Which gateway.
        gateway: GatewayId,
        /// Which attempt.
        assignment: AssignmentId,
        /// The item.
        item: ItemKey,
        /// What came of it.
        outcome: ItemOutcome,
    },
    /// Another coordinator has heard of servers that say what the registry holds.
    ServersReported {
        /// The coordinator.
        from: ReplicaId,
        /// The servers.
        servers: Vec<UnchangedServer>,
    },
    /// Connections to these coordinators' machines have ended lately, or are down.
    CoordinatorsLost(Vec<String>),
    /// The site has agreed on its time of day.
    TimeAgreed(WallTime),
    /// A gateway reports totals of requests that began to run.
    UsageReported {
        /// Which gateway.
        gateway: GatewayId,
        /// Its totals.
        usage: Vec<WindowUsage>,
    },
    /// The provider answered an order for servers, or did not.
    CapacityAnswered {
        /// Of which servers.
        pool: CapacityPool,
        /// How many were ordered.
        count: u32,
        /// The answer.
        answer: ProviderAnswer,
    },
    /// The provider answered a report of usage, or did not.
    UsageAnswered {
        /// Of which window.
        window: UsageWindow,
        /// The answer.
        answer: ProviderAnswer,
    },
    /// An engine answered an order, or did not.
    Ordered {
        /// The engine.
        instance: InstanceId,
        /// The answer.
        answer: OrderAnswer,
    },
    /// An engine answered a poll of its status, or did not.
    EnginePolled {
        /// The engine.
        instance: InstanceId,
        /// The answer; `None` without one.
        report: Option<EngineStatus>,
    },
}

/// What is to be done outside the group.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message to one gateway.
    ToGateway(GatewayId, CoordinatorMessage),
    /// Report to another coordinator that the registry does not hold these servers.
    UnknownServers {
        /// The coordinator.
        to: ReplicaId,
        /// The servers.
        instances: Vec<InstanceId>,
    },
    /// Log a decision.
    Log(Decision),
    /// Order the number of servers in a pool.
    OrderCapacity(CapacityOrder),
    /// Report a window's usage to the provider.
    ReportUsage(UsageReport),
    /// Give an engine an order.
    Order(WeightOrder),
    /// Poll an engine for its status.
    PollEngine {
        /// The engine.
        instance: InstanceId,
        /// Where it listens.
        address: SocketAddr,
    },
}

/// An order to load weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightOrder {
    /// The engine.
    pub instance: InstanceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The model.
    pub model: ModelName,
    /// The version to load.
    pub version: u64,
    /// Name of the machine that gives the order.
    pub holder: String,
    /// Its leadership; engines refuse lower ones.
    pub fence: Epoch,
    /// Orders that the engine had taken when it was polled.
    pub expected_sequence: u64,
    /// Whether requests under way go on under the new version, rather than end first.
    pub keep_running: bool,
}

/// How much a leader has in hand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaderFigures {
    /// Items without an engine.
    pub items_waiting: usize,
    /// Items on engines.
    pub items_running: usize,
    /// Engines that load weights.
    pub engines_loading: usize,
    /// Texts that wait for a scoring.
    pub scorings_waiting: usize,
    /// Scorings that gateways have in hand.
    pub scorings_running: usize,
}
