//! What must hold of a whole run, in one place for both kinds of site.

use super::observer::SimPromise;
use super::world::World;
use crate::checks::{Limits, RunLog, check_all};
use crate::stand_ins::engine::length::LengthDistribution;
use std::time::Duration;

impl World {
    /// Runs until `condition` holds on a site that has no reason not to get there; notes a breach of
    /// liveness when it does not within `limit`.
    pub fn await_or_violate(
        &mut self,
        limit: Duration,
        what: &str,
        condition: impl Fn(&Self) -> bool,
    ) -> bool {
        let holds = self.run_until(limit, condition);
        if !holds {
            let detail = format!("{what} has not come within {limit:?}");
            self.observer.violate(SimPromise::Liveness, detail);
        }
        holds
    }

    /// Judges the whole run, of engines that generate these lengths: each broken promise, and what
    /// was found.
    pub fn judge(&self, lengths: LengthDistribution) -> Vec<(String, String)> {
        let mut records = self.records.clone();
        records.extend(self.observer.records());
        let checked = check_all(&RunLog::new(records), &Limits::stated(lengths)).into_iter();
        let checked = checked.map(|found| (found.promise.as_str().to_owned(), found.detail));
        let seen = self.observer.violations().into_iter();
        let seen = seen.map(|found| {
            let detail = format!("{} us: {}", found.at.0 / 1000, found.detail);
            (found.promise.as_str().to_owned(), detail)
        });
        checked.chain(seen).collect()
    }
}
