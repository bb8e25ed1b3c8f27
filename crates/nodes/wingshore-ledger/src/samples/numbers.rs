//! Remembers numbers as ranges, so that millions of them cost little.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a [`NumberSet`] knows of a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Membership {
    /// It was inserted.
    Present,
    /// It was not inserted.
    Absent,
    /// It lies below the lowest number that is still told apart.
    Forgotten,
}

/// A set of numbers, kept as ranges. When there are more than `MAX_RANGES`, the lowest ones are
/// forgotten: numbers there are then [`Membership::Forgotten`], neither known nor new.
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
    pub fn membership(&self, number: u64) -> Membership {
        if number < self.floor {
            return Membership::Forgotten;
        }
        match self.range_containing(number) {
            Some(_) => Membership::Present,
            None => Membership::Absent,
        }
    }

    /// The lowest number that is still told apart.
    pub(super) fn floor(&self) -> u64 {
        self.floor
    }

    /// Ranges kept now.
    pub fn ranges(&self) -> usize {
        self.ranges.len()
    }

    /// Adds a number.
    pub fn insert(&mut self, number: u64) {
        if self.membership(number) != Membership::Absent {
            return;
        }
        let below = number
            .checked_sub(1)
            .and_then(|previous| self.range_containing(previous));
        let above = number
            .checked_add(1)
            .and_then(|next| self.ranges.remove(&next));
        let first = below.map_or(number, |(first, _)| first);
        let last = above.unwrap_or(number);
        self.ranges.insert(first, last);
        self.drop_lowest_ranges();
    }

    fn range_containing(&self, number: u64) -> Option<(u64, u64)> {
        let (&first, &last) = self.ranges.range(..=number).next_back()?;
        (number <= last).then_some((first, last))
    }

    fn drop_lowest_ranges(&mut self) {
        while self.ranges.len() > Self::MAX_RANGES {
            if let Some((_, last)) = self.ranges.pop_first() {
                self.floor = last.saturating_add(1);
            }
        }
    }
}
