//! Runs leased samples on engines: a pure state machine.
