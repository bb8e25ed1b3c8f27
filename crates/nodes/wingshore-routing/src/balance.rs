//! Load balancing: selects the server for a request.
//!
//! Inputs: the open servers of the service by zone, their load in thousandths of a request, their
//! weight versions, the servers that probably have the prompt's prefix cached, and the servers that
//! the caller excludes.
//!
//! The algorithm is power of d choices. A few servers of the node's own zone and a few of the other
//! zones are sampled at random, and the servers that probably have the prompt's prefix cached are
//! added; the candidate with the lowest cost wins. The cost is the load in requests, higher for a
//! server in slow start and for another zone, lower for a cached prefix. Only if no candidate can
//! take the request, the open servers of the service are scanned from a random position.
//!
//! Selecting the server with the lowest known load would send all nodes to the server that was
//! least loaded some time ago; sampling two servers avoids that.
//!
//! A server without a load report counts with the mean external load of its service. An engine
//! whose version is unknown gets no rollouts.

use crate::admission::Borrowing;
use crate::affinity::Hint;
use crate::class::Class;
use crate::dedicated::MAX_CANDIDATES;
use crate::fleet::{Server, ServerIndex, ServiceState};
use crate::request::RouteRequest;
use crate::settings::RouterSettings;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use wingshore_types::Instant;

/// Cost units per request: costs are in thousandths of a request.
const UNITS_PER_REQUEST: u64 = 1000;
/// Capacity share of a server at the beginning of its slow start, in thousandths.
const MIN_SLOW_START_SHARE: u64 = 100;

/// Cost that a live request adds for an engine that is loading weights, in thousandths of a
/// request. It exceeds any load, so that such an engine is selected only if no other candidate can
/// take the request.
const LOADING_COST: u64 = 1000 * UNITS_PER_REQUEST;

/// Reasons why no server could take a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct NoServerFound {
    /// At least one open server was not excluded.
    pub(crate) any_open: bool,
    /// At least one of those servers serves a usable version.
    pub(crate) any_usable_version: bool,
    /// At least one open server had a free slot, whatever its version.
    pub(crate) any_free_slot: bool,
    /// The class was below its guarantee on a server with a usable version.
    pub(crate) below_guarantee: bool,
}

/// Inputs of one server selection.
pub(crate) struct ServerSelection<'a> {
    pub(crate) now: Instant,
    pub(crate) settings: &'a RouterSettings,
    pub(crate) servers: &'a [Server],
    pub(crate) service: &'a ServiceState,
    pub(crate) request: &'a RouteRequest,
    pub(crate) borrowing: Borrowing,
    /// Number of engines currently dedicated to live requests.
    pub(crate) dedicated_count: usize,
    /// Whether versions are checked; false only under an injected fault.
    pub(crate) check_version: bool,
    /// Whether leaving servers are accepted; true only under an injected fault.
    pub(crate) ignore_leaving: bool,
}

/// Candidate with the lowest cost so far.
#[derive(Clone, Copy, Debug, Default)]
struct BestCandidate(Option<(u64, ServerIndex)>);

impl BestCandidate {
    fn consider(&mut self, cost: u64, server: ServerIndex) {
        if self.0.is_none_or(|(least, _)| cost < least) {
            self.0 = Some((cost, server));
        }
    }
}

impl ServerSelection<'_> {
    /// Selects a server among sampled candidates; scans all open servers only if none of the
    /// candidates can take the request.
    pub(crate) fn choose(
        &self,
        rng: &mut ChaCha8Rng,
        hints: &[Hint],
    ) -> Result<ServerIndex, NoServerFound> {
        let mut best = BestCandidate::default();
        for hint in hints {
            self.consider_hint(hint, &mut best);
        }
        self.consider_dedicated(&mut best);
        for zone in self.service.open.zones() {
            self.sample_zone(zone, rng, &mut best);
        }
        match best.0 {
            Some((_, server)) => Ok(server),
            None => self.scan_zones(rng),
        }
    }

    /// Samples servers of one zone until the configured number of them can take the request. A zone
    /// with no more servers than that is compared completely.
    fn sample_zone(&self, zone: &[ServerIndex], rng: &mut ChaCha8Rng, best: &mut BestCandidate) {
        let choices = self.settings.choices as usize;
        if zone.len() <= choices {
            for index in zone {
                self.consider(*index, best);
            }
            return;
        }
        let mut accepted = 0;
        let mut last = None;
        for _ in 0..choices * 2 {
            let index = zone[random_below(rng, zone.len())];
            if last == Some(index) {
                continue;
            }
            last = Some(index);
            accepted += usize::from(self.consider(index, best));
            if accepted == choices {
                return;
            }
        }
    }

    /// Compares a server with the best candidate if it can take the request, and returns whether it
    /// can.
    fn consider(&self, index: ServerIndex, best: &mut BestCandidate) -> bool {
        let server = &self.servers[index as usize];
        let can_take = self.can_take(server);
        if can_take {
            best.consider(self.cost(server), index);
        }
        can_take
    }

    /// Adds the dedicated engines as candidates for a live request.
    fn consider_dedicated(&self, best: &mut BestCandidate) {
        if self.request.class == Class::Rollout {
            return;
        }
        let dedicated = self.service.dedicated.open.iter().take(MAX_CANDIDATES);
        for (_, index) in dedicated.filter(|(position, _)| *position < self.dedicated_count) {
            self.consider(*index, best);
        }
    }

    /// Adds a server that probably has the prefix cached, if it is an open member of the subset.
    fn consider_hint(&self, hint: &Hint, best: &mut BestCandidate) {
        let server = &self.servers[hint.server as usize];
        let is_member = server.is_member && server.is_open(self.now, self.ignore_leaving);
        if !is_member || !self.can_take(server) {
            return;
        }
        let bonus = u64::from(self.settings.affinity_bonus) * hint.score;
        best.consider(self.cost(server).saturating_sub(bonus), hint.server);
    }

    /// Scans the open servers of each zone from a random position until the configured number of
    /// them can take the request.
    fn scan_zones(&self, rng: &mut ChaCha8Rng) -> Result<ServerIndex, NoServerFound> {
        let mut best = BestCandidate::default();
        let mut reasons = NoServerFound::default();
        for zone in self.service.open.zones() {
            let mut accepted = 0;
            let start = if zone.is_empty() {
                0
            } else {
                random_below(rng, zone.len())
            };
            let (before, after) = zone.split_at(start);
            for index in after.iter().chain(before) {
                let server = &self.servers[*index as usize];
                if !self.check_server(server, &mut reasons) {
                    continue;
                }
                best.consider(self.cost(server), *index);
                accepted += 1;
                if accepted == self.settings.choices {
                    break;
                }
            }
        }
        best.0.map(|(_, server)| server).ok_or(reasons)
    }

    /// Returns whether a server can take the request, and records in `reasons` what was found.
    fn check_server(&self, server: &Server, reasons: &mut NoServerFound) -> bool {
        let has_free_slot = self.has_free_slot(server);
        reasons.any_free_slot |= has_free_slot;
        if self.is_excluded(server) {
            return false;
        }
        reasons.any_open = true;
        if !self.has_usable_version(server) {
            return false;
        }
        reasons.any_usable_version = true;
        let class = self.request.class;
        let shares = self.service.shares_of(server, self.dedicated_count);
        reasons.below_guarantee |= server.load.own_of(class) < shares.guarantee(class);
        has_free_slot
    }

    fn can_take(&self, server: &Server) -> bool {
        self.has_free_slot(server) && self.has_usable_version(server) && !self.is_excluded(server)
    }

    fn has_free_slot(&self, server: &Server) -> bool {
        let shares = self.service.shares_of(server, self.dedicated_count);
        let external = round_to_requests(self.external(server));
        shares.has_free_slot(&server.load, external, self.request.class, self.borrowing)
    }

    fn is_excluded(&self, server: &Server) -> bool {
        self.request.excluded.contains(&server.id)
    }

    /// Returns whether the server's weight version is usable. Rollouts need an engine whose own
    /// valid report names a version that is new enough.
    fn has_usable_version(&self, server: &Server) -> bool {
        if self.request.class == Class::Live || !self.check_version {
            return true;
        }
        let least = self.request.oldest_useful;
        match server.known_version(self.now) {
            None => false,
            Some(version) => least.is_none_or(|least| version >= least),
        }
    }

    /// Returns the cost of a server in thousandths of a request, including this request.
    fn cost(&self, server: &Server) -> u64 {
        let own = u64::from(server.load.own()) + 1;
        let load = own * UNITS_PER_REQUEST + self.external(server);
        let mut cost = load * UNITS_PER_REQUEST / self.slow_start_share(server);
        if self.request.class == Class::Live && server.is_loading {
            cost += LOADING_COST;
        }
        match server.in_own_zone {
            true => cost,
            false => cost + u64::from(self.settings.zone_penalty) * UNITS_PER_REQUEST,
        }
    }

    /// Returns the estimated requests of other nodes on a server, in thousandths.
    fn external(&self, server: &Server) -> u64 {
        server.load.external(self.now, &self.service.load_estimator)
    }

    /// Returns the capacity share of a server in thousandths; it grows linearly during slow start.
    fn slow_start_share(&self, server: &Server) -> u64 {
        if self.now >= server.slow_start_until {
            return UNITS_PER_REQUEST;
        }
        let whole = self.settings.slow_start.as_nanos().max(1) as u64;
        let left = server.slow_start_until.since(self.now).as_nanos() as u64;
        let passed = whole.saturating_sub(left);
        let share = u128::from(passed) * u128::from(UNITS_PER_REQUEST) / u128::from(whole);
        (share as u64).max(MIN_SLOW_START_SHARE)
    }
}

/// Rounds thousandths of a request to whole requests.
pub(crate) fn round_to_requests(thousandths: u64) -> u32 {
    let requests = (thousandths + UNITS_PER_REQUEST / 2) / UNITS_PER_REQUEST;
    u32::try_from(requests).unwrap_or(u32::MAX)
}

/// Returns a random position below `length`, which must be nonzero and below 2^32.
fn random_below(rng: &mut ChaCha8Rng, length: usize) -> usize {
    let product = u64::from(rng.next_u32()) * length as u64;
    (product >> 32) as usize
}
