//! The changes of members that the leader makes.

use crate::membership::{MembershipPlanner, Shortage};

/// The changes of members that the leader makes.
#[derive(Default)]
pub(super) struct MemberChanges {
    /// Chooses the changes.
    pub(super) planner: MembershipPlanner,
    /// Whether a change other than an addition was asked for and is not answered yet.
    pub(super) is_changing: bool,
    /// The shortage of coordinators that was logged last.
    pub(super) reported_shortage: Option<Shortage>,
}
