//! Decision: which service of a split route gets the next request?
//!
//! No I/O, no clock.
//!
//! **Inputs.** The shares of the route's services, and a counter of this gateway's requests.
//!
//! **Rule.** The counter goes round the shares in steps of the golden ratio, so that any few successive
//! requests are spread by the shares.
//!
//! **Why.** A draw at random would give a service with a share of one in ten no request of twenty about
//! one time in eight.
//!
//! **Missing inputs.** A route without services leads nowhere.

use wingshore_coordination::{Route, ServiceName};

/// Added to the counter for each request: 2^64 divided by the golden ratio.
const STRIDE: u64 = 0x9e37_79b9_7f4a_7c15;
/// The upper bits of the counter are spread best: so many lower ones are left out.
const SHIFT: u32 = 33;

/// The counter of one gateway.
pub(crate) struct ServiceSplit {
    counter: u64,
}

impl ServiceSplit {
    /// Begins at `seed`, which differs from gateway to gateway.
    pub(crate) fn new(seed: u64) -> Self {
        Self { counter: seed }
    }

    /// The service that the next request of a route goes to.
    pub(crate) fn next(&mut self, route: &Route) -> Option<ServiceName> {
        self.counter = self.counter.wrapping_add(STRIDE);
        route.target_for(self.counter >> SHIFT).cloned()
    }
}
