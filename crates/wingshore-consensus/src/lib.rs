//! Replicated log as a pure state machine.
