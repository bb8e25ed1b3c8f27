//! Messages from coordinators to gateways.

use super::group::Reply;
use super::items::ItemAssignment;
use super::load_reports::GatewayListUpdate;
use super::trials::TrialAnswer;
use crate::ids::AssignmentId;
use crate::scoring::ScoringAssignment;
use crate::site_time::WallTime;
use crate::text::LoggedPrefix;
use crate::view::ViewUpdate;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use wingshore_types::{Epoch, LogIndex};

/// A message from a coordinator to a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CoordinatorMessage {
    /// The coordinator is the leader: it assigns items and answers calls.
    Leading {
        /// Epoch of the leadership.
        epoch: Epoch,
    },
    /// A view update for a gateway that follows the view on this link.
    View(ViewUpdate),
    /// Answer to a call of the gateway.
    Reply {
        /// Identifier of the call.
        id: u64,
        /// The answer.
        reply: CallReply,
    },
    /// An item to run.
    Assign(Box<ItemAssignment>),
    /// Aborts an attempt: the item is resumed on another engine.
    Interrupt {
        /// Identifier of the attempt.
        assignment: AssignmentId,
    },
    /// Releases an attempt that is no longer needed: a running one is aborted, a finished one is
    /// forgotten.
    Release {
        /// Identifier of the attempt.
        assignment: AssignmentId,
    },
    /// How much of an item's text the group's log contains, or is about to: the gateway uploads the
    /// text of the attempt from that point. Sent when parts may be lost: on each report of the
    /// attempts that the gateway runs, and for each part that does not directly follow the previous
    /// one.
    HandInFrom {
        /// Identifier of the attempt.
        assignment: AssignmentId,
        /// Prefix of the text that the log contains.
        held: LoggedPrefix,
    },
    /// A text to score.
    Score(ScoringAssignment),
    /// Releases a scoring that is no longer needed: a running one is aborted, a finished one is
    /// forgotten.
    ReleaseScoring {
        /// Identifier of the scoring.
        scoring: AssignmentId,
    },
    /// Status of the coordinator, sent periodically.
    Alive {
        /// Addresses of the known coordinators for the site's internal traffic; `None` if unchanged
        /// since the last message on this link.
        coordinators: Option<Vec<SocketAddr>>,
        /// Zone of this coordinator.
        zone: String,
        /// Index of the last log entry in this coordinator's copy of the state, from which results
        /// and the view can be read; `None` without a copy, or while it knows no leader.
        copy: Option<LogIndex>,
        /// Wall-clock time of the coordinator.
        wall: WallTime,
    },
    /// An update of the list of ready gateways, for a gateway that follows it on this link. Since
    /// [`LOAD_REPORTS_FORMAT`](super::LOAD_REPORTS_FORMAT).
    Gateways(GatewayListUpdate),
    /// Answer to the request for a trial. Since [`TRIALS_FORMAT`](super::TRIALS_FORMAT).
    Trial {
        /// Identifier of the gateway's request.
        id: u64,
        /// The answer.
        answer: TrialAnswer,
    },
}

/// Answer of a coordinator to a gateway's call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallReply {
    /// The group's answer.
    Reply(Reply),
    /// This coordinator is not the leader; the call had no effect.
    NotLeader,
    /// Leadership was lost during the call; the call may or may not take effect.
    Unknown,
    /// This copy of the state has no answer to the call; the leader may have one.
    Nothing,
}
