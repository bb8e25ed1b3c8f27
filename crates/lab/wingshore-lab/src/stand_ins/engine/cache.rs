//! Prefix cache in limited memory, with the events it publishes late and with gaps.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;
use wingshore_types::generator::hash_tokens;
use wingshore_types::platform::{CacheEvent, CacheEventKind};
use wingshore_types::{Instant, Token};

/// How many published events are kept for readers.
const EVENTS_KEPT: usize = 4096;

/// A cached prefix, in whole blocks.
#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    own_tokens: u32,
    last_use: u64,
}

/// Caches prefixes of prompts; the least recently used go first.
#[derive(Debug)]
pub struct PrefixCache {
    block_tokens: u32,
    event_delay: Duration,
    event_loss_permille: u32,
    entries: BTreeMap<u64, Entry>,
    /// Entries in the order of their last use; of those used at once the longest goes first.
    by_use: BTreeSet<(u64, Reverse<u32>, u64)>,
    tokens_held: u64,
    uses: u64,
    next_sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    /// An empty cache of blocks of `block_tokens` tokens.
    pub fn new(block_tokens: u32, event_delay: Duration, event_loss_permille: u32) -> Self {
        Self {
            block_tokens: block_tokens.max(1),
            event_delay,
            event_loss_permille,
            entries: BTreeMap::new(),
            by_use: BTreeSet::new(),
            tokens_held: 0,
            uses: 0,
            next_sequence: 1,
            events: VecDeque::new(),
        }
    }

    /// Tokens held. An entry stands for its last block; shorter prefixes are entries too.
    pub fn tokens_held(&self) -> u64 {
        self.tokens_held
    }

    /// Tokens of the longest cached prefix of `tokens`; marks it as used.
    pub fn longest_prefix(&mut self, tokens: &[Token]) -> u32 {
        self.uses += 1;
        let mut longest = 0;
        for (hash, length) in self.block_hashes(tokens) {
            let Some(entry) = self.entries.get(&hash).copied() else {
                break;
            };
            self.put(
                hash,
                Entry {
                    last_use: self.uses,
                    ..entry
                },
            );
            longest = length;
        }
        longest
    }

    /// Caches `tokens` block by block; the last block may be a part.
    pub fn store(&mut self, now: Instant, tokens: &[Token], generator: &mut ChaCha8Rng) {
        self.uses += 1;
        for (hash, length) in self.block_hashes(tokens) {
            let entry = Entry {
                tokens: length,
                own_tokens: length - (length - 1) / self.block_tokens * self.block_tokens,
                last_use: self.uses,
            };
            if self.put(hash, entry) {
                self.publish(now, hash, length, CacheEventKind::Stored, generator);
            }
        }
    }

    /// Evicts least recently used entries until at most `tokens` are held.
    pub fn shrink_to(&mut self, now: Instant, tokens: u64, generator: &mut ChaCha8Rng) {
        while self.tokens_held > tokens {
            let Some((_, Reverse(length), hash)) = self.by_use.first().copied() else {
                return;
            };
            self.remove(hash);
            self.publish(now, hash, length, CacheEventKind::Evicted, generator);
        }
    }

    /// Events after `after` that are published by now.
    pub fn events_after(&self, now: Instant, after: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(visible_at, event)| *visible_at <= now && event.sequence > after)
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// Adds or replaces an entry; answers whether it is new.
    fn put(&mut self, hash: u64, entry: Entry) -> bool {
        let is_new = !self.remove(hash);
        self.tokens_held += u64::from(entry.own_tokens);
        self.by_use
            .insert((entry.last_use, Reverse(entry.tokens), hash));
        self.entries.insert(hash, entry);
        is_new
    }

    /// Removes an entry; answers whether it was there.
    fn remove(&mut self, hash: u64) -> bool {
        let Some(entry) = self.entries.remove(&hash) else {
            return false;
        };
        self.tokens_held -= u64::from(entry.own_tokens);
        self.by_use
            .remove(&(entry.last_use, Reverse(entry.tokens), hash));
        true
    }

    /// Hash and length of each prefix that ends with a block, and of the whole.
    fn block_hashes(&self, tokens: &[Token]) -> Vec<(u64, u32)> {
        let block = self.block_tokens as usize;
        (1..=tokens.len().div_ceil(block))
            .map(|blocks| {
                let length = (blocks * block).min(tokens.len());
                (hash_tokens(&tokens[..length]), length as u32)
            })
            .collect()
    }

    fn publish(
        &mut self,
        now: Instant,
        prefix_hash: u64,
        tokens: u32,
        kind: CacheEventKind,
        generator: &mut ChaCha8Rng,
    ) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if generator.random_range(0..1000) < self.event_loss_permille {
            return;
        }
        let event = CacheEvent {
            sequence,
            prefix_hash,
            tokens,
            kind,
        };
        self.events.push_back((now + self.event_delay, event));
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}
