//! Driver of the replica role.
