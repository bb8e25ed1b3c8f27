//! Request routing: server selection, admission control per request class, and retry decisions.
//!
//! [`Router`] is a state machine without I/O. Its inputs are the configuration, the machine list,
//! probe results, load reports and attempt outcomes, each together with the current time. The same
//! seed and the same sequence of calls give the same decisions.

mod admission;
mod affinity;
mod balance;
mod class;
mod dedicated;
mod demand;
mod faults;
mod fleet;
mod hash;
mod load;
mod load_estimator;
mod membership;
mod outlier;
mod pace;
mod request;
mod retry;
mod router;
mod settings;
mod subset;
mod tickets;

pub use class::Class;
pub use faults::Faults;
pub use request::{
    Admitted, AttemptOutcome, OverGuarantee, ProbeKind, ProbeTarget, Refusal, RefusalCode,
    RouteRequest, ServerView, Ticket,
};
pub use router::Router;
pub use settings::{RouterSettings, SettingError};
