//! Prefix cache affinity: estimates which servers have a prompt's prefix in their cache, and how
//! much of the prompt that saves.
//!
//! Inputs: the engines' cache events with their sequence numbers and boot ids, successful requests,
//! and weight changes.
//!
//! Cache events arrive late and with gaps, so an entry is only a hint: it makes a server a
//! candidate and lowers its cost. The score of an entry decays with age, with each gap seen since,
//! and with each weight change. A change of the boot id drops all entries of a server. Memory is
//! bounded per server.

use crate::hash::{MixHasher, mix};
use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasherDefault;
use std::time::Duration;
use wingshore_types::Instant;
use wingshore_types::platform::{CacheEventKind, CacheEvents};

/// Maximum number of servers recorded per prefix.
pub(crate) const MAX_SERVERS_PER_PREFIX: usize = 4;
/// Number of halvings after which the score of a hint is zero.
const MAX_HALVINGS: u32 = 6;
/// Score of a fresh entry that covers the whole prompt, in thousandths.
const FULL_SCORE: u64 = 1000;

/// A server that probably has a prefix in its cache.
#[derive(Clone, Copy, Debug)]
struct Holder {
    server: u32,
    boot_count: u32,
    staleness: u32,
    tokens: u32,
    stored_at: Instant,
}

/// State of one server's cache, as far as it is known.
#[derive(Clone, Debug, Default)]
struct Cache {
    boot_id: Option<u64>,
    /// Number of boots seen; identifies entries of earlier boots.
    boot_count: u32,
    /// Number of gaps and weight changes seen; each one halves the score of older entries.
    staleness: u32,
    last_sequence: u64,
    /// Keys in insertion order, oldest first.
    order: VecDeque<u64>,
}

/// Result of a lookup: a server and how much of the prompt its cache probably saves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Hint {
    pub(crate) server: u32,
    /// Expected saving in thousandths of the prompt, reduced by age and staleness.
    pub(crate) score: u64,
}

/// Result of applying cache events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventsOutcome {
    /// The events belong to the known boot.
    Current,
    /// The events belong to another boot than the known one.
    OtherBoot,
}

/// Cached prefixes of all servers.
#[derive(Debug)]
pub(crate) struct Affinity {
    holders: HashMap<u64, Vec<Holder>, BuildHasherDefault<MixHasher>>,
    caches: Vec<Cache>,
    entries: usize,
    half_life: Duration,
}

impl Affinity {
    /// Creates an index that records at most `entries` prefixes per server.
    pub(crate) fn new(entries: usize, half_life: Duration) -> Self {
        Self {
            holders: HashMap::default(),
            caches: Vec::new(),
            entries,
            half_life,
        }
    }

    /// Returns the last sequence number received from a server.
    pub(crate) fn last_sequence(&self, server: u32) -> u64 {
        self.caches
            .get(server as usize)
            .map_or(0, |cache| cache.last_sequence)
    }

    /// Records the boot id that the server reported. Returns whether it replaces a different one.
    pub(crate) fn on_boot(&mut self, server: u32, boot_id: u64) -> bool {
        let cache = self.cache(server);
        if cache.boot_id == Some(boot_id) {
            return false;
        }
        let is_change = cache.boot_id.is_some();
        self.forget(server);
        self.cache(server).boot_id = Some(boot_id);
        is_change
    }

    /// Marks all entries of a server as stale after a weight change, which may have emptied its
    /// cache.
    pub(crate) fn mark_stale(&mut self, server: u32) {
        let cache = self.cache(server);
        cache.staleness = cache.staleness.wrapping_add(1);
    }

    /// Clears the state at a position that is about to be reused for another server.
    pub(crate) fn reset(&mut self, server: u32) {
        self.forget(server);
        self.cache(server).boot_id = None;
    }

    /// Drops all entries of a server's cache.
    pub(crate) fn forget(&mut self, server: u32) {
        let cache = self.cache(server);
        cache.boot_count = cache.boot_count.wrapping_add(1);
        cache.last_sequence = 0;
        let keys = std::mem::take(&mut cache.order);
        for key in keys {
            self.remove_holder(key, server);
        }
    }

    /// Applies cache events. A gap in the sequence marks all older entries as stale; events already
    /// applied are skipped.
    pub(crate) fn on_events(
        &mut self,
        now: Instant,
        server: u32,
        service: u32,
        events: &CacheEvents,
    ) -> EventsOutcome {
        let known = self.cache(server).boot_id;
        if known.is_some_and(|boot_id| boot_id != events.boot_id) {
            self.forget(server);
            return EventsOutcome::OtherBoot;
        }
        self.cache(server).boot_id = Some(events.boot_id);
        for event in &events.events {
            let cache = self.cache(server);
            if event.sequence <= cache.last_sequence {
                continue;
            }
            if event.sequence != cache.last_sequence + 1 {
                cache.staleness = cache.staleness.wrapping_add(1);
            }
            cache.last_sequence = event.sequence;
            let key = key_of(service, event.prefix_hash);
            match event.kind {
                CacheEventKind::Stored => self.store(now, server, key, event.tokens, 0),
                CacheEventKind::Evicted => self.remove_holder(key, server),
            }
        }
        EventsOutcome::Current
    }

    /// Records that a request with this prefix succeeded on the server, which probably cached it.
    /// No cache event confirms that, so the entry starts with a halved score.
    pub(crate) fn on_served(
        &mut self,
        now: Instant,
        server: u32,
        service: u32,
        prefix_hash: u64,
        tokens: u32,
    ) {
        let key = key_of(service, prefix_hash);
        self.store(now, server, key, tokens, 1);
    }

    /// Returns the servers that probably have a prefix cached, and how many were found.
    pub(crate) fn hints(
        &self,
        now: Instant,
        service: u32,
        prefix_hash: u64,
        tokens: u32,
    ) -> ([Hint; MAX_SERVERS_PER_PREFIX], usize) {
        let mut hints = [Hint::default(); MAX_SERVERS_PER_PREFIX];
        let mut count = 0;
        let found = self.holders.get(&key_of(service, prefix_hash));
        for holder in found.into_iter().flatten() {
            let score = self.score(now, holder, tokens);
            if score > 0 {
                let server = holder.server;
                hints[count] = Hint { server, score };
                count += 1;
            }
        }
        (hints, count)
    }

    fn score(&self, now: Instant, holder: &Holder, tokens: u32) -> u64 {
        let Some(cache) = self.caches.get(holder.server as usize) else {
            return 0;
        };
        if cache.boot_count != holder.boot_count {
            return 0;
        }
        let age = now.since(holder.stored_at).as_nanos();
        let halvings_by_age = age / self.half_life.as_nanos().max(1);
        let halvings_by_age = u32::try_from(halvings_by_age).unwrap_or(MAX_HALVINGS);
        let halvings_by_staleness = cache.staleness.wrapping_sub(holder.staleness);
        let halvings = halvings_by_age.saturating_add(halvings_by_staleness);
        if halvings >= MAX_HALVINGS {
            return 0;
        }
        let cached = u64::from(holder.tokens.min(tokens));
        (cached * FULL_SCORE / u64::from(tokens.max(1))) >> halvings
    }

    fn store(&mut self, now: Instant, server: u32, key: u64, tokens: u32, staleness: u32) {
        let cache = self.cache(server);
        let holder = Holder {
            server,
            boot_count: cache.boot_count,
            staleness: cache.staleness.wrapping_sub(staleness),
            tokens,
            stored_at: now,
        };
        let holders = self.holders.entry(key).or_default();
        if let Some(known) = holders.iter_mut().find(|known| known.server == server) {
            *known = holder;
            return;
        }
        if holders.len() == MAX_SERVERS_PER_PREFIX {
            holders.remove(0);
        }
        holders.push(holder);
        self.record_key(server, key);
    }

    /// Records that the server has the key, and evicts its oldest key beyond the bound.
    fn record_key(&mut self, server: u32, key: u64) {
        let entries = self.entries;
        let order = &mut self.cache(server).order;
        order.push_back(key);
        if order.len() <= entries {
            return;
        }
        if let Some(oldest) = order.pop_front() {
            self.remove_holder(oldest, server);
        }
    }

    fn remove_holder(&mut self, key: u64, server: u32) {
        let Some(holders) = self.holders.get_mut(&key) else {
            return;
        };
        holders.retain(|holder| holder.server != server);
        if holders.is_empty() {
            self.holders.remove(&key);
        }
    }

    fn cache(&mut self, server: u32) -> &mut Cache {
        let index = server as usize;
        if index >= self.caches.len() {
            self.caches.resize_with(index + 1, Cache::default);
        }
        &mut self.caches[index]
    }
}

/// Returns the key of a prefix; the same prefix has a different key in each service.
fn key_of(service: u32, prefix_hash: u64) -> u64 {
    prefix_hash ^ mix(u64::from(service))
}
