//! Which of the ready gateways a client is given. A decision without I/O.
//!
//! Question: which gateways may a client in a zone use? Inputs: the gateways that are known to be
//! ready, with their zones; the client's zone. Rule: those of the client's own zone where there are
//! at least [`MIN_GATEWAYS_IN_ZONE`], otherwise those of all zones; at most [`MAX_ADDRESSES`]. Why:
//! calls stay in the zone, and a client still has a gateway when one ends. Stale inputs: whoever
//! holds the list decides which gateways count as ready; coordinators and gateways both use this
//! rule.

use std::net::SocketAddr;

/// Largest number of addresses in one answer, which keeps it within one or two packets.
pub const MAX_ADDRESSES: usize = 64;
/// Number of gateways in a client's own zone from which on it is given only those.
const MIN_GATEWAYS_IN_ZONE: usize = 2;

/// A gateway that is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadyGateway<'a> {
    /// Address on which clients reach it.
    pub front: SocketAddr,
    /// Zone of the gateway.
    pub zone: &'a str,
}

/// Returns the addresses of the gateways that a client in `zone` may use, in the order of `ready`.
pub fn gateways_for_client(ready: &[ReadyGateway<'_>], zone: &str) -> Vec<SocketAddr> {
    let is_near = |gateway: &&ReadyGateway<'_>| gateway.zone == zone;
    let only_near = ready.iter().filter(is_near).count() >= MIN_GATEWAYS_IN_ZONE;
    ready
        .iter()
        .filter(|gateway| !only_near || is_near(gateway))
        .take(MAX_ADDRESSES)
        .map(|gateway| gateway.front)
        .collect()
}
