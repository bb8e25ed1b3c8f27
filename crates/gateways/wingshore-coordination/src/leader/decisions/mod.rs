//! Rules by which a leader decides. Each module answers one question over plain data: no sockets, no
//! clock of its own, no change of what others own. Its head says the question, its inputs, the rule,
//! why, and what happens when an input is old or missing.

pub(crate) mod admission;
pub(crate) mod capacity_orders;
pub(crate) mod capacity_plan;
pub(crate) mod continuation;
pub(crate) mod crash_evidence;
pub(crate) mod ejection;
pub(crate) mod expiry;
pub(crate) mod gateway_choice;
pub(crate) mod item_length;
pub(crate) mod item_outcome;
pub(crate) mod load_choice;
pub(crate) mod load_progress;
pub(crate) mod moves;
pub(crate) mod order_rights;
pub(crate) mod placement;
pub(crate) mod registration;
pub(crate) mod scoring_outcome;
pub(crate) mod usage_reports;
