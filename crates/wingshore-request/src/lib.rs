//! Carries one caller's request out, and holds the node's configuration: pure state machines.
