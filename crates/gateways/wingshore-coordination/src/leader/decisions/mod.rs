//! Decision rules of a leader.
//!
//! Each module holds one rule as pure functions over plain data: it opens no sockets, reads no
//! clock and changes no state that another module owns. The module documentation states what is
//! decided, the inputs, the rule, the rationale, and the behaviour with stale or missing inputs.

pub(crate) mod admission;
pub(crate) mod capacity_orders;
pub(crate) mod capacity_plan;
pub(crate) mod continuation;
pub(crate) mod crash_evidence;
pub(crate) mod ejection;
pub(crate) mod expiry;
pub(crate) mod fair_share;
pub(crate) mod feasibility;
pub(crate) mod gateway_choice;
pub(crate) mod item_length;
pub(crate) mod item_outcome;
pub(crate) mod job_order;
pub(crate) mod load_choice;
pub(crate) mod load_progress;
pub(crate) mod moves;
pub(crate) mod order_rights;
pub(crate) mod placement;
pub(crate) mod registration;
pub(crate) mod return_times;
pub(crate) mod scoring_limit;
pub(crate) mod scoring_outcome;
pub(crate) mod step_forecast;
pub(crate) mod trials;
pub(crate) mod usage_reports;
