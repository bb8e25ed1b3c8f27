//! Routing: which server takes a request, how much work a class may have in flight, and when an
//! attempt may be repeated.
//!
//! [`Router`] is a state machine without I/O: its inputs are what was seen (configuration, machine
//! list, probes, reports, ends of attempts) together with the time, and it decides from that alone.
//! The same seed and the same calls give the same decisions.

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
