//! Client of the replicated groups.
