//! Client of the replicated groups: finds the leader, follows hints, sends again until it has an
//! answer or the time is up.
