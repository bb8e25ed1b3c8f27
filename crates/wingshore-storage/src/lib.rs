//! Durable log, snapshots and identity.
