//! The replicated state: what every member of the group holds alike.
//!
//! [`CoordinationState`] changes by [`Command`]s only, in the order of the group's log; equal logs give
//! equal states on all members. It reads no clock, and what it encodes, in the log and in snapshots,
//! is read by the next release too.

mod command;
mod earlier;
mod evidence;
mod orders;
mod replicated;
mod servers;
mod site;
mod snapshot;
mod usage;
mod view;
mod view_history;

pub use command::Command;
pub(crate) use evidence::{MAX_CRASHES_PER_REQUEST, REPORTING_THRESHOLD};
pub use evidence::{MAX_SUSPECTS, REJECTION_THRESHOLD, RequestEvidence};
pub use orders::OrderHolder;
pub use site::CoordinationState;
pub use usage::SiteUsage;
pub use view::KnownChanges;
