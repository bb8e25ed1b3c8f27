//! Question: which server takes a request?
//!
//! Inputs: the open servers of the service by zone, their load in thousandths of a request, their
//! weight versions, who probably has the prompt's prefix, the servers that the caller excludes.
//!
//! Rule: power of d choices. A few servers of the own zone and a few of the others are drawn at
//! random, with those whose cache probably has the prompt's prefix; the one of least cost wins. The
//! cost is the load in requests, more for a server that has just returned and for another zone, less
//! for a cached prefix. Only when none of those drawn can take the request are the service's open
//! servers gone through, from a random one on.
//!
//! Why: the least known load of all sends all nodes to the server that was emptiest a while ago; a
//! draw of two does not.
//!
//! Missing input: others' requests of a server without a report are taken for the mean of its
//! service; an engine whose version is not known gets no rollouts.

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

/// Costs are counted in thousandths of a request.
const UNITS_PER_REQUEST: u64 = 1000;
/// A server that has just returned counts as this share (in thousandths) of a server.
const MIN_SLOW_START_SHARE: u64 = 100;

/// Cost of an engine that fetches weights, for a live request, in thousandths of a request: more
/// than any load, so that it gets one only where no other engine can.
const LOADING_COST: u64 = 1000 * UNITS_PER_REQUEST;

/// Why no server was found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct NoServerFound {
    /// An open server was not excluded.
    pub(crate) any_open: bool,
    /// One of those serves a useful version.
    pub(crate) any_usable_version: bool,
    /// An open server, useful or not, had room.
    pub(crate) any_free_slot: bool,
    /// The class was below its guarantee on a useful one.
    pub(crate) below_guarantee: bool,
}

/// One decision.
pub(crate) struct ServerSelection<'a> {
    pub(crate) now: Instant,
    pub(crate) settings: &'a RouterSettings,
    pub(crate) servers: &'a [Server],
    pub(crate) service: &'a ServiceState,
    pub(crate) request: &'a RouteRequest,
    pub(crate) borrowing: Borrowing,
    /// How many engines are dedicated to live requests now.
    pub(crate) dedicated_count: usize,
    /// Whether versions are checked; false only under a deliberate fault.
    pub(crate) check_version: bool,
    /// Whether leaving servers are taken too; true only under a deliberate fault.
    pub(crate) ignore_leaving: bool,
}

/// The best server so far.
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
    /// Draws and compares; goes through all only where that found none.
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

    /// Draws servers of one zone until enough of them can take the request; where there are no
    /// more than that, all are compared.
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

    /// Compares a server with the best so far, if it can take the request.
    fn consider(&self, index: ServerIndex, best: &mut BestCandidate) -> bool {
        let server = &self.servers[index as usize];
        let can_take = self.can_take(server);
        if can_take {
            best.consider(self.cost(server), index);
        }
        can_take
    }

    /// Live requests are offered the engines dedicated to them.
    fn consider_dedicated(&self, best: &mut BestCandidate) {
        if self.request.class == Class::Rollout {
            return;
        }
        let dedicated = self.service.dedicated.open.iter().take(MAX_CANDIDATES);
        for (_, index) in dedicated.filter(|(position, _)| *position < self.dedicated_count) {
            self.consider(*index, best);
        }
    }

    /// A cached prefix makes its server a candidate, if it is an open member.
    fn consider_hint(&self, hint: &Hint, best: &mut BestCandidate) {
        let server = &self.servers[hint.server as usize];
        let is_member = server.is_member && server.is_open(self.now, self.ignore_leaving);
        if !is_member || !self.can_take(server) {
            return;
        }
        let bonus = u64::from(self.settings.affinity_bonus) * hint.score;
        best.consider(self.cost(server).saturating_sub(bonus), hint.server);
    }

    /// Goes through all open servers from a random one on, until enough can take the request.
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

    /// Whether a server can take the request; notes why not.
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

    /// Rollouts need an engine whose own report names a version that is new enough.
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

    /// Load in thousandths of a request, this one included.
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

    /// Requests of others, in thousandths.
    fn external(&self, server: &Server) -> u64 {
        server.load.external(self.now, &self.service.load_estimator)
    }

    /// Thousandths of a server that it counts as: less just after its return.
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

/// Thousandths as whole requests.
pub(crate) fn round_to_requests(thousandths: u64) -> u32 {
    let requests = (thousandths + UNITS_PER_REQUEST / 2) / UNITS_PER_REQUEST;
    u32::try_from(requests).unwrap_or(u32::MAX)
}

/// A random position below `length`, which is not zero and below 2^32.
fn random_below(rng: &mut ChaCha8Rng, length: usize) -> usize {
    let product = u64::from(rng.next_u32()) * length as u64;
    (product >> 32) as usize
}
