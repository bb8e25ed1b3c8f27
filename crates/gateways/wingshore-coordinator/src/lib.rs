//! Process of a coordinator: a member of the coordination group, or a standby for it.
//!
//! The process has three threads: one owns all sockets and the group's
//! [`Host`](wingshore_group::Host), one makes writes durable, and one moves texts that exceed the
//! memory budget to disk.
//!
//! - [`process`](Coordinator): the event loop and its wiring, without rules of its own.
//! - Decisions, without I/O and clocks: [`membership`](MembershipPlanner), [`lost`](LostMachines),
//!   [`silence`](StallDetector), [`heartbeats`](HeartbeatRelay), [`directory`](GatewayAddress),
//!   [`call_rate`](CallRate), [`budget`](MemoryBudget), [`view_feed`](ViewFeed), [`dials`](Dials),
//!   [`gateway_feed`](GatewayFeed), [`sent_states`](SentStates), [`forwarded_heartbeats`](ForwardedHeartbeats), `text_queue`.
//! - State: `peers` (other coordinators), [`texts`](TextArchive) and [`spool`](FileSpool) on disk.
//! - Adapters: [`ControlProtocol`], [`EngineProtocol`] and [`ProviderProtocol`] translate the wire
//!   protocols of a deployment. This crate itself knows only the protocol between the site's own
//!   processes.
//!
//! The group's state machine is in `wingshore-coordination`, its consensus in `wingshore-group`.

mod budget;
mod call_rate;
mod control;
mod decision_log;
mod dials;
mod directory;
mod error;
mod forwarded_heartbeats;
mod gateway_feed;
mod heartbeats;
mod identity;
mod lost;
mod membership;
mod metrics;
mod outgoing_calls;
mod peers;
mod process;
mod protocol;
mod sent_states;
mod settings;
mod silence;
mod spool;
mod text_queue;
mod texts;
mod view_feed;
mod writer;

pub use budget::MemoryBudget;
pub use call_rate::CallRate;
pub use dials::{DialStep, Dials};
pub use directory::GatewayAddress;
pub use error::CoordinatorError;
pub use forwarded_heartbeats::{AnsweredHeartbeat, ForwardStep, ForwardedHeartbeats, LeaderRoute};
pub use gateway_feed::{GatewayFeed, GroupContact};
pub use heartbeats::{HeartbeatAction, HeartbeatRelay};
pub use lost::LostMachines;
pub use membership::{KnownCoordinator, MembershipPlanner, MembershipView, Shortage};
pub use outgoing_calls::CallProtocols;
pub use process::Coordinator;
pub use protocol::{
    ControlAnswer, ControlCall, ControlProtocol, EngineProtocol, LocalRequest, OutgoingCall,
    ProviderProtocol,
};
pub use sent_states::{SendingPhase, SendingReport, SendingUpdate, SentStates};
pub use settings::{CoordinatorSettings, ProviderSettings};
pub use silence::StallDetector;
pub use spool::FileSpool;
pub use texts::TextArchive;
pub use view_feed::{FeedLinks, FeedSource, ViewFeed};
