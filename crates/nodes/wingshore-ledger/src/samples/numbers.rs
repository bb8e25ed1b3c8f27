//! Remembers numbers as ranges, so that millions of them cost little.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a [`NumberSet`] knows of a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remembered {
    /// It was inserted.
    Yes,
    /// It was not inserted.
    No,
    /// It lies below the lowest number that is still told apart.
    Forgotten,
}

/// A set of numbers, kept as ranges. When there are more than `MAX_RANGES`, the lowest ones are
/// given up: numbers there are then [`Remembered::Forgotten`], neither known nor new.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberSet {
    floor: u64,
    /// First number of each range -> its last number. Ranges neither touch nor overlap.
    ranges: BTreeMap<u64, u64>,
}

impl NumberSet {
    /// Most ranges that are kept.
    pub const MAX_RANGES: usize = 16_384;

    /// What is known of `number`.
    pub fn remembers(&self, number: u64) -> Remembered {
        if number < self.floor {
            return Remembered::Forgotten;
        }
        match self.range_at(number) {
            Some(_) => Remembered::Yes,
            None => Remembered::No,
        }
    }

    /// The lowest number that is still told apart.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Ranges kept now.
    pub fn ranges(&self) -> usize {
        self.ranges.len()
    }

    /// Adds a number.
    pub fn insert(&mut self, number: u64) {
        if self.remembers(number) != Remembered::No {
            return;
        }
        let below = number
            .checked_sub(1)
            .and_then(|previous| self.range_at(previous));
        let above = number
            .checked_add(1)
            .and_then(|next| self.ranges.remove(&next));
        let first = below.map_or(number, |(first, _)| first);
        let last = above.unwrap_or(number);
        self.ranges.insert(first, last);
        self.give_up_lowest();
    }

    fn range_at(&self, number: u64) -> Option<(u64, u64)> {
        let (&first, &last) = self.ranges.range(..=number).next_back()?;
        (number <= last).then_some((first, last))
    }

    fn give_up_lowest(&mut self) {
        while self.ranges.len() > Self::MAX_RANGES {
            if let Some((_, last)) = self.ranges.pop_first() {
                self.floor = last.saturating_add(1);
            }
        }
    }
}
