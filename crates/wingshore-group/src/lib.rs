//! Hosts one replicated state machine on one replica.
