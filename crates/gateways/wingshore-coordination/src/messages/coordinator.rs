//! Messages from coordinators to gateways.

use super::group::Reply;
use super::items::ItemAssignment;
use crate::ids::AssignmentId;
use crate::scoring::ScoringAssignment;
use crate::site_time::WallTime;
use crate::text::HeldPrefix;
use crate::view::ViewUpdate;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use wingshore_types::{Epoch, LogIndex};

/// From a coordinator to a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CoordinatorMessage {
    /// The coordinator leads: it gives out items, and answers calls.
    Leading {
        /// The leadership.
        epoch: Epoch,
    },
    /// An update for a gateway that follows the view here.
    View(ViewUpdate),
    /// Answer to a call.
    Reply {
        /// Which call.
        id: u64,
        /// The answer.
        reply: CallReply,
    },
    /// An item to run.
    Assign(Box<ItemAssignment>),
    /// An attempt is to be broken off: the item is resumed elsewhere.
    Interrupt {
        /// Which attempt.
        assignment: AssignmentId,
    },
    /// An attempt is of no more use: one that runs is ended, one that has ended is forgotten.
    Release {
        /// Which attempt.
        assignment: AssignmentId,
    },
    /// How much of an item's text the group's log holds, or is about to: the gateway uploads the text
    /// of the attempt from there on. Said where parts may be lost, which is at each report of what the
    /// gateway runs and for each part that does not follow the one before.
    HandInFrom {
        /// Which attempt.
        assignment: AssignmentId,
        /// What the log holds.
        held: HeldPrefix,
    },
    /// A text to be scored.
    Score(ScoringAssignment),
    /// A scoring is of no more use: one that is under way is ended, one that has ended is forgotten.
    ReleaseScoring {
        /// Which one.
        scoring: AssignmentId,
    },
    /// The status of the coordinator, sent again and again.
    Alive {
        /// Where coordinators listen for the site's own processes, as far as this one knows; `None`
        /// if that is as it was sent before on this link.
        coordinators: Option<Vec<SocketAddr>>,
        /// Zone of this one.
        zone: String,
        /// The last entry of the log in its copy of the state, which results and the view can be
        /// read from; `None` without a copy, or while it knows no leader.
        copy: Option<LogIndex>,
        /// Its time of day.
        wall: WallTime,
    },
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallReply {
    /// The group's answer.
    Reply(Reply),
    /// This coordinator does not lead; the call had no effect.
    NotLeader,
    /// Leadership was lost meanwhile; the call may or may not take effect.
    Unknown,
    /// This copy holds nothing that answers the call; the leader may.
    Nothing,
}
