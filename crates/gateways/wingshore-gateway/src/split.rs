//! Decision: which service of a split route gets the next request?
//!
//! No I/O, no clock.
//!
//! **Inputs.** The shares of the route's services, and a counter of this gateway's requests.
//!
//! **Rule.** The counter advances through the shares in steps of the golden ratio, so that even a
//! few successive requests are distributed according to the shares.
//!
//! **Why.** With random selection, a service with a share of one in ten would get none of 20
//! requests about one time in eight.
//!
//! **Missing inputs.** A route without services has no target.

use wingshore_coordination::{Route, ServiceName};

/// Added to the counter for each request: 2^64 divided by the golden ratio.
const STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;
/// Number of low-order bits of the counter that are dropped; the high-order bits are distributed
/// best.
const SHIFT: u32 = 33;

/// Distributes the requests of one gateway over the services of a route.
pub(crate) struct ServiceSplit {
    counter: u64,
}

impl ServiceSplit {
    /// Creates a counter that starts at `seed`, which must differ between gateways.
    pub(crate) fn new(seed: u64) -> Self {
        Self { counter: seed }
    }

    /// Returns the service for the next request of a route.
    pub(crate) fn next(&mut self, route: &Route) -> Option<ServiceName> {
        self.counter = self.counter.wrapping_add(STRIDE);
        route.target_for(self.counter >> SHIFT).cloned()
    }
}
