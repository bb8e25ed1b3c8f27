//! One replicated group in this process: its threads and their queues.

mod delays;
mod driver;
mod kind;
mod port;
mod writer;

pub(crate) use driver::{EffectRunner, GroupSetup, NoEffects, start};
pub(crate) use kind::HostedLeader;
pub(crate) use port::{GroupEvent, GroupPort, Inbox, RequestOrigin};
