//! Set of numbers, stored as ranges so that millions of consecutive numbers take little space.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Result of looking up a number in a [`NumberSet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NumberLookup {
    /// The number was inserted.
    Present,
    /// The number was not inserted.
    Absent,
    /// The number lies below the lowest tracked number, so it is unknown whether it was inserted.
    Forgotten,
}

/// Set of numbers, stored as ranges. When there are more than [`NumberSet::MAX_RANGES`] ranges, the
/// lowest ones are dropped, and numbers up to the end of a dropped range are
/// [`NumberLookup::Forgotten`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberSet {
    floor: u64,
    /// First number of each range -> its last number. Ranges are neither adjacent nor overlapping.
    ranges: BTreeMap<u64, u64>,
}

impl NumberSet {
    /// Maximum number of stored ranges.
    pub const MAX_RANGES: usize = 16_384;

    /// Returns whether `number` was inserted, as far as it is known.
    pub fn lookup(&self, number: u64) -> NumberLookup {
        if number < self.floor {
            return NumberLookup::Forgotten;
        }
        match self.range_containing(number) {
            Some(_) => NumberLookup::Present,
            None => NumberLookup::Absent,
        }
    }

    /// Returns the lowest tracked number.
    pub(super) fn floor(&self) -> u64 {
        self.floor
    }

    /// Returns the number of stored ranges.
    pub fn ranges(&self) -> usize {
        self.ranges.len()
    }

    /// Adds a number.
    pub fn insert(&mut self, number: u64) {
        if self.lookup(number) != NumberLookup::Absent {
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
