//! Driver of the node role.
