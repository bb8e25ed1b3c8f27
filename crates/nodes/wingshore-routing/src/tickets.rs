//! Admitted attempts that have not ended yet.

use crate::class::Class;
use crate::fleet::{ServerIndex, ServiceIndex};
use crate::request::Ticket;

/// An admitted attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) server: ServerIndex,
    pub(crate) service: ServiceIndex,
    pub(crate) class: Class,
    pub(crate) prefix_hash: Option<u64>,
    pub(crate) tokens: u32,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    generation: u32,
    attempt: Option<Attempt>,
}

/// Attempts by ticket. A ticket consists of a position and its generation, so that a ticket that
/// was already taken back does not match.
#[derive(Debug, Default)]
pub(crate) struct Tickets {
    entries: Vec<Entry>,
    free: Vec<u32>,
}

impl Tickets {
    /// Stores an attempt and returns its ticket.
    pub(crate) fn issue(&mut self, attempt: Attempt) -> Ticket {
        let position = match self.free.pop() {
            Some(position) => position,
            None => {
                self.entries.push(Entry {
                    generation: 0,
                    attempt: None,
                });
                (self.entries.len() - 1) as u32
            }
        };
        let entry = &mut self.entries[position as usize];
        entry.attempt = Some(attempt);
        Ticket(u64::from(entry.generation) << 32 | u64::from(position))
    }

    /// Removes and returns an attempt; `None` if it was already removed.
    pub(crate) fn take(&mut self, ticket: Ticket) -> Option<Attempt> {
        let position = ticket.0 as u32;
        let generation = (ticket.0 >> 32) as u32;
        let entry = self.entries.get_mut(position as usize)?;
        if entry.generation != generation {
            return None;
        }
        let attempt = entry.attempt.take()?;
        entry.generation = entry.generation.wrapping_add(1);
        self.free.push(position);
        Some(attempt)
    }
}
