//! Orders to engines and readings of their states: carried by threads of their own.

mod carrier;
mod engine;
mod lease;

pub(crate) use carrier::{ControlEffects, EffectSettings};
pub(crate) use lease::SharedLease;
