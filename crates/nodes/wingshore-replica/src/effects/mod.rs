//! Orders to engines and reads of their state, executed on threads of their own.

mod carrier;
mod engine;
mod lease;

pub(crate) use carrier::{ControlEffects, EffectSettings};
pub(crate) use lease::SharedLease;
