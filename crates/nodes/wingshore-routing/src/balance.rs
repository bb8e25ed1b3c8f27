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
use crate::dedicated::MAX_OFFERED;
use crate::fleet::{Server, ServerIndex, ServiceState};
use crate::request::RouteRequest;
use crate::settings::RouterSettings;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;
use wingshore_types::Instant;

/// Costs are counted in thousandths of a request.
const REQUEST: u64 = 1000;
/// A server that has just returned counts as this share (in thousandths) of a server.
const MIN_SLOW_START_SHARE: u64 = 100;

/// Cost of an engine that fetches weights, for a live request, in thousandths of a request: more
/// than any load, so that it gets one only where no other engine can.
const LOADING_COST: u64 = 1000 * REQUEST;

/// Why no server was found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct NoneFound {
    /// An open server was not excluded.
    pub(crate) any_open: bool,
    /// One of those serves a useful version.
    pub(crate) any_useful: bool,
    /// An open server, useful or not, had room.
    pub(crate) any_room: bool,
    /// The class was below its guarantee on a useful one.
    pub(crate) below_guarantee: bool,
}

/// One decision.
pub(crate) struct Choice<'a> {
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
struct Best(Option<(u64, ServerIndex)>);

impl Best {
    fn offer(&mut self, cost: u64, server: ServerIndex) {
        if self.0.is_none_or(|(least, _)| cost < least) {
            self.0 = Some((cost, server));
        }
    }
}

impl Choice<'_> {
    /// Draws and compares; goes through all only where that found none.
    pub(crate) fn choose(
        &self,
        random: &mut ChaCha8Rng,
        hints: &[Hint],
    ) -> Result<ServerIndex, NoneFound> {
        let mut best = Best::default();
        for hint in hints {
            self.offer_hint(hint, &mut best);
        }
        self.offer_dedicated(&mut best);
        for zone in self.service.open.both() {
            self.draw(zone, random, &mut best);
        }
        match best.0 {
            Some((_, server)) => Ok(server),
            None => self.search(random),
        }
    }

    /// Draws servers of one zone until enough of them can take the request; where there are no
    /// more than that, all are compared.
    fn draw(&self, zone: &[ServerIndex], random: &mut ChaCha8Rng, best: &mut Best) {
        let choices = self.settings.choices as usize;
        if zone.len() <= choices {
            for index in zone {
                self.offer(*index, best);
            }
            return;
        }
        let mut accepted = 0;
        let mut last = None;
        for _ in 0..choices * 2 {
            let index = zone[below(random, zone.len())];
            if last == Some(index) {
                continue;
            }
            last = Some(index);
            accepted += usize::from(self.offer(index, best));
            if accepted == choices {
                return;
            }
        }
    }

    /// Compares a server with the best so far, if it can take the request.
    fn offer(&self, index: ServerIndex, best: &mut Best) -> bool {
        let server = &self.servers[index as usize];
        let can_take = self.can_take(server);
        if can_take {
            best.offer(self.cost(server), index);
        }
        can_take
    }

    /// Live requests are offered the engines dedicated to them.
    fn offer_dedicated(&self, best: &mut Best) {
        if self.request.class == Class::Rollout {
            return;
        }
        let dedicated = self.service.dedicated.open.iter().take(MAX_OFFERED);
        for (_, index) in dedicated.filter(|(place, _)| *place < self.dedicated_count) {
            self.offer(*index, best);
        }
    }

    /// A cached prefix makes its server a candidate, if it is an open member.
    fn offer_hint(&self, hint: &Hint, best: &mut Best) {
        let server = &self.servers[hint.server as usize];
        let is_member = server.is_member && server.is_open(self.now, self.ignore_leaving);
        if !is_member || !self.can_take(server) {
            return;
        }
        let bonus = u64::from(self.settings.affinity_bonus) * hint.worth;
        best.offer(self.cost(server).saturating_sub(bonus), hint.server);
    }

    /// Goes through all open servers from a random one on, until enough can take the request.
    fn search(&self, random: &mut ChaCha8Rng) -> Result<ServerIndex, NoneFound> {
        let mut best = Best::default();
        let mut nothing = NoneFound::default();
        for zone in self.service.open.both() {
            let mut accepted = 0;
            let start = if zone.is_empty() {
                0
            } else {
                below(random, zone.len())
            };
            let (before, after) = zone.split_at(start);
            for index in after.iter().chain(before) {
                let server = &self.servers[*index as usize];
                if !self.note(server, &mut nothing) {
                    continue;
                }
                best.offer(self.cost(server), *index);
                accepted += 1;
                if accepted == self.settings.choices {
                    break;
                }
            }
        }
        best.0.map(|(_, server)| server).ok_or(nothing)
    }

    /// Whether a server can take the request; notes why not.
    fn note(&self, server: &Server, nothing: &mut NoneFound) -> bool {
        let has_room = self.has_room(server);
        nothing.any_room |= has_room;
        if self.is_excluded(server) {
            return false;
        }
        nothing.any_open = true;
        if !self.is_useful(server) {
            return false;
        }
        nothing.any_useful = true;
        let class = self.request.class;
        let shares = self.service.shares_of(server, self.dedicated_count);
        nothing.below_guarantee |= server.load.own_of(class) < shares.guarantee(class);
        has_room
    }

    fn can_take(&self, server: &Server) -> bool {
        self.has_room(server) && self.is_useful(server) && !self.is_excluded(server)
    }

    fn has_room(&self, server: &Server) -> bool {
        let shares = self.service.shares_of(server, self.dedicated_count);
        let foreign = rounded(self.foreign(server));
        shares.has_room(&server.load, foreign, self.request.class, self.borrowing)
    }

    fn is_excluded(&self, server: &Server) -> bool {
        self.request.excluded.contains(&server.id)
    }

    /// Rollouts need an engine whose own report names a version that is new enough.
    fn is_useful(&self, server: &Server) -> bool {
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
        let load = own * REQUEST + self.foreign(server);
        let mut cost = load * REQUEST / self.ramp(server);
        if self.request.class == Class::Live && server.is_loading {
            cost += LOADING_COST;
        }
        match server.in_own_zone {
            true => cost,
            false => cost + u64::from(self.settings.zone_penalty) * REQUEST,
        }
    }

    /// Requests of others, in thousandths.
    fn foreign(&self, server: &Server) -> u64 {
        server.load.foreign(self.now, &self.service.persistence)
    }

    /// Thousandths of a server that it counts as: less just after its return.
    fn ramp(&self, server: &Server) -> u64 {
        if self.now >= server.slow_until {
            return REQUEST;
        }
        let whole = self.settings.slow_start.as_nanos().max(1) as u64;
        let left = server.slow_until.since(self.now).as_nanos() as u64;
        let passed = whole.saturating_sub(left);
        let share = u128::from(passed) * u128::from(REQUEST) / u128::from(whole);
        (share as u64).max(MIN_SLOW_START_SHARE)
    }
}

/// Thousandths as whole requests.
pub(crate) fn rounded(thousandths: u64) -> u32 {
    let requests = (thousandths + REQUEST / 2) / REQUEST;
    u32::try_from(requests).unwrap_or(u32::MAX)
}

/// A random position below `length`, which is not zero and below 2^32.
fn below(random: &mut ChaCha8Rng, length: usize) -> usize {
    let product = u64::from(random.next_u32()) * length as u64;
    (product >> 32) as usize
}
