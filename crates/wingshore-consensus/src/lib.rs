//! Replicated log as a pure state machine.

pub mod config;

pub use config::{ConfigError, Faults, Limits, RaftConfig, Timing};
