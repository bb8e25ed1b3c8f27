//! Events of simulated time, in order; those of one instant in the order they were added.

use std::collections::BTreeMap;
use wingshore_types::Instant;

/// What is still to happen.
#[derive(Debug)]
pub struct EventQueue<E> {
    events: BTreeMap<(Instant, u64), E>,
    added: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            events: BTreeMap::new(),
            added: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event.
    pub fn add(&mut self, at: Instant, event: E) {
        self.added += 1;
        self.events.insert((at, self.added), event);
    }

    /// Takes the next event.
    pub fn pop(&mut self) -> Option<(Instant, E)> {
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
