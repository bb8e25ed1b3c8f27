//! Routing, limits, retries and rollout execution.
