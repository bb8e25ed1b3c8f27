//! Decides from when on this machine sends orders to engines and to the provider.
//!
//! Inputs: the machine that the log names as the holder of orders, and whether its claim is settled
//! (it has held it for the handover time); the handover time, a setting; whether engines refuse
//! orders with a lower fencing token; the machines to which connections were lost.
//!
//! Rule: a new leader claims orders in the log before it sends the first one. It claims at once if
//! its machine is the holder already, otherwise after the handover time. It may claim earlier only
//! if engines refuse lower fencing tokens, the holder's machine is among the lost ones and the
//! holder's claim was settled. A claim is settled after the handover time.
//!
//! Rationale: no two machines may send orders at the same time. A lost connection is noticed on
//! both sides, so the holder stops sending orders; engines refuse its fencing token once they have
//! seen a higher one. Without settled claims, machines that fail and return one after the other
//! would take turns as the holder.
//!
//! Stale or missing inputs: an outdated report of lost machines can only delay a claim. Without a
//! holder in the log there is nothing to wait for.

use crate::state::OrderHolder;
use std::time::Duration;

/// Returns the time that a new leader on `node` waits before it claims orders.
pub(crate) fn claim_delay(
    holder: Option<&OrderHolder>,
    node: &str,
    handover: Duration,
) -> Duration {
    let is_own = holder.is_none_or(|holder| holder.node == node);
    if is_own { Duration::ZERO } else { handover }
}

/// Returns whether a new leader claims orders at once after connections to machines were lost.
pub(crate) fn may_claim_at_once(
    holder: Option<&OrderHolder>,
    is_settled: bool,
    engines_check_fences: bool,
    lost_nodes: &[String],
) -> bool {
    let is_lost = holder.is_some_and(|holder| lost_nodes.contains(&holder.node));
    engines_check_fences && is_settled && is_lost
}
