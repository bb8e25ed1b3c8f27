//! State of the leader's membership changes.

use crate::membership::{MembershipPlanner, Shortage};

/// State of the leader's membership changes.
#[derive(Default)]
pub(super) struct MemberChanges {
    /// Decides which change is made next.
    pub(super) planner: MembershipPlanner,
    /// Whether a change other than an addition was requested and is not answered yet.
    pub(super) is_change_pending: bool,
    /// The shortage of coordinators that was last logged.
    pub(super) reported_shortage: Option<Shortage>,
}
