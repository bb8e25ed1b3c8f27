//! From when on does this machine give orders to engines and to the provider?
//!
//! Inputs: which machine the log names as the holder of orders, and whether its orders are settled (it
//! has held them for the time of a handover); the time of a handover, a setting; whether engines refuse
//! orders with a lower fence; which machines the connections were lost to.
//!
//! Rule: a new leader claims orders in the log before its first one: at once where it held them before,
//! else after the time of a handover. Only where engines refuse lower fences, the holder's machine is
//! among those lost, and its orders were settled, it claims at once. It settles its own orders after the
//! time of a handover.
//!
//! Why: no two machines may give orders beside each other. A lost connection is seen by both sides, so
//! that the holder gives no more; engines refuse its fence once they have seen a higher one. Without the
//! settling, machines that fall one after the other, and return, would take turns.
//!
//! Old or missing inputs: an old report of lost machines delays a claim at the most. Without a holder in
//! the log there is nobody to wait for.

use crate::state::OrderHolder;
use std::time::Duration;

/// How long a new leader on `node` waits before it claims orders.
pub(crate) fn claim_delay(
    holder: Option<&OrderHolder>,
    node: &str,
    handover: Duration,
) -> Duration {
    let is_own = holder.is_none_or(|holder| holder.node == node);
    if is_own { Duration::ZERO } else { handover }
}

/// Whether a new leader claims at once, now that connections to machines were lost.
pub(crate) fn may_claim_at_once(
    holder: Option<&OrderHolder>,
    is_settled: bool,
    engines_check_fences: bool,
    lost_nodes: &[String],
) -> bool {
    let is_lost = holder.is_some_and(|holder| lost_nodes.contains(&holder.node));
    engines_check_fences && is_settled && is_lost
}
