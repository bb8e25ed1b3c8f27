//! The weight store in simulated time: a few fetches at once share its rate, the others wait.

use std::collections::VecDeque;
use std::time::Duration;
use wingshore_types::{Instant, WeightVersion};

/// One fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// The engine.
    pub engine: usize,
    /// Its boot.
    pub boot: u64,
    /// The version.
    pub version: WeightVersion,
}

/// The store.
#[derive(Debug)]
pub struct WeightStore {
    fetch_time: Duration,
    most: usize,
    running: Vec<(Fetch, Duration)>,
    waiting: VecDeque<Fetch>,
    updated: Instant,
}

impl WeightStore {
    /// A store at which one fetch alone takes `fetch_time`.
    pub fn new(fetch_time: Duration, most: usize) -> Self {
        Self {
            fetch_time,
            most: most.max(1),
            running: Vec::new(),
            waiting: VecDeque::new(),
            updated: Instant::ZERO,
        }
    }

    /// A fetch begins or waits.
    pub fn add(&mut self, now: Instant, fetch: Fetch) -> Vec<Fetch> {
        let done = self.advance(now);
        self.waiting.push_back(fetch);
        self.fill();
        done
    }

    /// Lets time pass; gives the fetches that have ended.
    pub fn advance(&mut self, now: Instant) -> Vec<Fetch> {
        let passed = now.since(self.updated);
        self.updated = now;
        let each = passed / self.running.len().max(1) as u32;
        for (_, left) in &mut self.running {
            *left = left.saturating_sub(each);
        }
        let is_done = |(_, left): &mut (Fetch, Duration)| left.as_micros() == 0;
        let done = self.running.extract_if(.., is_done);
        let done = done.map(|(fetch, _)| fetch).collect();
        self.fill();
        done
    }

    /// When the next fetch ends, if nothing changes.
    pub fn next_end(&self) -> Option<Instant> {
        let least = self.running.iter().map(|(_, left)| *left).min()?;
        Some(self.updated + least * self.running.len() as u32)
    }

    fn fill(&mut self) {
        while self.running.len() < self.most {
            let Some(fetch) = self.waiting.pop_front() else {
                return;
            };
            self.running.push((fetch, self.fetch_time));
        }
    }
}
