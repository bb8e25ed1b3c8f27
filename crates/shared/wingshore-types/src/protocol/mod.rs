//! Messages between wingshore processes, sent as `postcard` frames.

pub mod byte_vector;
pub mod claims;
pub mod control;
pub mod ledger;
pub mod membership;
pub mod wire;
