//! Question: which servers probably have a prompt's prefix in their cache, and what is that worth?
//!
//! Inputs: the engines' cache events with their sequence numbers and boots, requests that ended well,
//! changes of weights.
//!
//! Rule and reason: cache events come late and with gaps, so an entry is never more than a hint: it
//! makes a server a candidate and lowers its cost, and loses worth with age, with each gap seen
//! since, and with each change of weights. A change of the boot drops all of a server's entries.
//! Memory is bounded per server.

use crate::hash::{MixHasher, mix};
use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasherDefault;
use std::time::Duration;
use wingshore_types::Instant;
use wingshore_types::platform::{CacheEventKind, CacheEvents};

/// Servers remembered per prefix.
pub(crate) const MAX_SERVERS_PER_PREFIX: usize = 4;
/// A hint that lost half of its worth this often is worth nothing.
const MAX_HALVINGS: u32 = 6;
/// Thousandths: the worth of a certain entry.
const FULL_SCORE: u64 = 1000;

/// One server that probably has the prefix.
#[derive(Clone, Copy, Debug)]
struct Holder {
    server: u32,
    boot_count: u32,
    staleness: u32,
    tokens: u32,
    stored_at: Instant,
}

/// What is known of one server's cache.
#[derive(Clone, Debug, Default)]
struct Cache {
    boot_id: Option<u64>,
    /// Counts boots, so that entries of earlier ones are recognised.
    boot_count: u32,
    /// Counts reasons to doubt older entries.
    staleness: u32,
    last_sequence: u64,
    /// Keys in the order they were stored, oldest first.
    order: VecDeque<u64>,
}

/// What a lookup found: a server and how much of the prompt its cache probably saves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Hint {
    pub(crate) server: u32,
    /// Thousandths of the prompt, less the doubt.
    pub(crate) score: u64,
}

/// Result of taking events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventsOutcome {
    /// They belong to the boot that is known.
    Current,
    /// They belong to another boot than the server's state named.
    OtherBoot,
}

/// The caches of all servers.
#[derive(Debug)]
pub(crate) struct Affinity {
    holders: HashMap<u64, Vec<Holder>, BuildHasherDefault<MixHasher>>,
    caches: Vec<Cache>,
    entries: usize,
    half_life: Duration,
}

impl Affinity {
    /// Remembers at most `entries` prefixes per server.
    pub(crate) fn new(entries: usize, half_life: Duration) -> Self {
        Self {
            holders: HashMap::default(),
            caches: Vec::new(),
            entries,
            half_life,
        }
    }

    /// The last sequence number seen of a server.
    pub(crate) fn last_sequence(&self, server: u32) -> u64 {
        self.caches
            .get(server as usize)
            .map_or(0, |cache| cache.last_sequence)
    }

    /// The server's state named its boot. Returns whether that is another one than before.
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

    /// The server changed weights, which may have emptied its cache.
    pub(crate) fn mark_stale(&mut self, server: u32) {
        let cache = self.cache(server);
        cache.staleness = cache.staleness.wrapping_add(1);
    }

    /// The position is used for another server from now on.
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

    /// Takes events. A gap makes all older entries doubtful; events seen before are skipped.
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

    /// A request with this prefix ended well on the server, so it probably has it cached; this is
    /// doubtful from the start.
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

    /// The servers that probably have a prefix; the number found comes second.
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

    /// Notes that the server holds the key; forgets its oldest one beyond the bound.
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

/// The same prefix of two services is two keys.
fn key_of(service: u32, prefix_hash: u64) -> u64 {
    prefix_hash ^ mix(u64::from(service))
}
