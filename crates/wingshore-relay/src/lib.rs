//! Driver of the relay role.
