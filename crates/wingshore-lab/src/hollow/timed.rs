//! Changes of configuration and publications, timed.

use super::error::HollowError;
use super::report::{ChangeTimes, WeightTimes};
use super::run::{LOOK_PAUSE, Running, wait_for};
use super::sizes::{FIRST_VERSION, Sizes};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};
use wingshore_types::WeightVersion;
use wingshore_types::configuration::ConfigurationChange;

/// Longest time that is waited for one change, and for a version on all engines.
const LONGEST_WAIT: Duration = Duration::from_secs(90);
/// Seconds of an hour.
const HOUR: f64 = 3600.0;

impl Running<'_> {
    /// Changes at the wanted rate, none waiting for the one before.
    pub(super) fn change_steadily(&mut self) -> Result<u64, HollowError> {
        let began = Instant::now();
        let per_second = f64::from(self.options.changes_per_hour) / HOUR;
        let count = (self.options.window.as_secs_f64() * per_second)
            .round()
            .max(1.0) as u64;
        for number in 0..count {
            let due = Duration::from_secs_f64(number as f64 / per_second);
            thread::sleep(due.saturating_sub(began.elapsed()));
            let plan = self.control.propose(vec![self.change(number as usize)])?;
            self.control.confirm(plan)?;
        }
        Ok(count)
    }

    /// A change that leaves everything as it is, and is a revision like any other.
    pub(super) fn change(&self, number: usize) -> ConfigurationChange {
        let server = number % self.options.sizes.servers;
        let address = self.servers.addresses()[server];
        ConfigurationChange::PutServer(self.options.sizes.server(server, address))
    }

    pub(super) fn time_changes(&mut self) -> Result<ChangeTimes, HollowError> {
        let mut times = ChangeTimes::default();
        for number in 0..self.options.timed_changes {
            let target = self.crowd.lowest_revision() + 1;
            let plan = self.control.propose(vec![self.change(number)])?;
            let began = Instant::now();
            self.control.confirm(plan)?;
            wait_for("a change on all hollow nodes", || {
                let lowest = self.crowd.lowest_revision();
                (lowest >= target)
                    .then_some(())
                    .ok_or_else(|| format!("revision {lowest}"))
            })?;
            times.last_node_seconds.push(began.elapsed().as_secs_f64());
            self.control.wait_until_done(plan, LONGEST_WAIT)?;
            times.in_force_seconds.push(began.elapsed().as_secs_f64());
        }
        times.last_node_seconds.sort_by(f64::total_cmp);
        times.in_force_seconds.sort_by(f64::total_cmp);
        Ok(times)
    }

    /// Publishes a version to all pools at once and waits until all engines serve it.
    pub(super) fn time_weights(&mut self) -> Result<WeightTimes, HollowError> {
        let sizes = self.options.sizes;
        let version = WeightVersion(FIRST_VERSION.0 + 1);
        let is_engine = |server: usize| sizes.pool_of(server).is_some();
        let engines = (0..sizes.servers)
            .filter(|server| is_engine(*server))
            .count();
        let began = Instant::now();
        for pool in 0..sizes.pools {
            self.control.publish(Sizes::pool(pool), version)?;
        }
        let mut times = WeightTimes {
            engines,
            fetch_seconds: self.options.fetch_time.as_secs_f64(),
            ..WeightTimes::default()
        };
        while times.all_seconds.is_none() && began.elapsed() < LONGEST_WAIT {
            thread::sleep(LOOK_PAUSE * 4);
            let served = self.servers.count_at(version, is_engine);
            let seconds = began.elapsed().as_secs_f64();
            if times.most_seconds.is_none() && served * 100 >= engines * 99 {
                times.most_seconds = Some(seconds);
            }
            if served == engines {
                times.all_seconds = Some(seconds);
            }
        }
        let most = &self.servers.fetches().most_at_once;
        times.most_fetches_at_once = most.load(Ordering::Relaxed);
        Ok(times)
    }
}
