//! The replicated state, which is identical on all members of the group.
//!
//! [`CoordinationState`] changes only by [`Command`]s, in the order of the group's log; equal logs
//! produce equal states on all members. It reads no clock, and its encodings, in the log and in
//! snapshots, must be readable by the next release.

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
pub(crate) use evidence::MAX_CRASHES_PER_REQUEST;
pub use evidence::{MAX_SUSPECTS, REJECTION_THRESHOLD, REPORTING_THRESHOLD, RequestEvidence};
pub use orders::OrderHolder;
pub use site::CoordinationState;
pub use usage::SiteUsage;
pub use view::KnownChanges;
