//! What faults cost at the size of a run: nodes that freeze, a relay and a leader that die.

use super::error::HollowError;
use super::operator::ControlClient;
use super::processes::Role;
use super::run::{Running, wait_for};
use serde::{Deserialize, Serialize};
use std::thread;
use std::time::{Duration, Instant};

/// Part of the hollow nodes that freeze: a region of twelve.
const REGIONS: usize = 12;
/// How long the leases are watched after a relay has died: longer than they last.
const WATCHED: Duration = Duration::from_secs(8);
/// Between two looks at the leases.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// Times of faults, in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultTimes {
    /// Nodes that froze.
    pub frozen_nodes: usize,
    /// From the confirmation of a change while they were frozen until it was in force everywhere.
    pub frozen_in_force_seconds: f64,
    /// From their waking until all of them had the change, under a lease.
    pub woken_seconds: f64,
    /// A relay that died; none where nodes watch the replicas.
    pub relay: Option<RelayLoss>,
    /// From the death of the leader until a change was accepted.
    pub leader_accepted_seconds: f64,
    /// And until it was in force everywhere.
    pub leader_in_force_seconds: f64,
}

/// What the nodes of a relay that died went through.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayLoss {
    /// Most nodes without a lease at one moment.
    pub most_without_lease: usize,
    /// From its death until a change was in force everywhere.
    pub in_force_seconds: f64,
}

impl Running<'_> {
    /// Lets the faults happen one after another.
    ///
    /// # Errors
    /// When something does not come about in time.
    pub(super) fn time_faults(&mut self) -> Result<FaultTimes, HollowError> {
        let frozen_nodes = self.crowd.len().div_ceil(REGIONS);
        self.crowd.freeze(frozen_nodes);
        let frozen_in_force_seconds = self.seconds_until_in_force()?;
        let woken = Instant::now();
        let newest = self.control.status()?.in_force.committed.0;
        self.crowd.freeze(0);
        self.wait_for_nodes(newest)?;
        let woken_seconds = woken.elapsed().as_secs_f64();
        let relay = self.lose_relay()?;
        let died = Instant::now();
        self.processes.kill(Role::Leader)?;
        // A client that knows nothing of the leader that died.
        self.control = ControlClient::new(self.processes.replicas());
        let plan = self.control.propose(vec![self.change(0)])?;
        self.control.confirm(plan)?;
        let leader_accepted_seconds = died.elapsed().as_secs_f64();
        self.control.wait_until_done(plan, WATCHED * 4)?;
        Ok(FaultTimes {
            frozen_nodes,
            frozen_in_force_seconds,
            woken_seconds,
            relay,
            leader_accepted_seconds,
            leader_in_force_seconds: died.elapsed().as_secs_f64(),
        })
    }

    fn lose_relay(&mut self) -> Result<Option<RelayLoss>, HollowError> {
        if self.options.sizes.relays < 2 {
            return Ok(None);
        }
        self.processes.kill(Role::Relay)?;
        let in_force_seconds = self.seconds_until_in_force()?;
        let end = Instant::now() + WATCHED;
        let mut most_without_lease = 0;
        while Instant::now() < end {
            let without = self.crowd.len() - self.crowd.leases();
            most_without_lease = most_without_lease.max(without);
            thread::sleep(LOOK_PAUSE);
        }
        Ok(Some(RelayLoss {
            most_without_lease,
            in_force_seconds,
        }))
    }

    fn seconds_until_in_force(&self) -> Result<f64, HollowError> {
        let plan = self.control.propose(vec![self.change(0)])?;
        let began = Instant::now();
        self.control.confirm(plan)?;
        self.control.wait_until_done(plan, WATCHED * 4)?;
        Ok(began.elapsed().as_secs_f64())
    }

    fn wait_for_nodes(&self, revision: u64) -> Result<(), HollowError> {
        wait_for("all nodes at the newest change", || {
            let (lowest, leases) = (self.crowd.lowest_revision(), self.crowd.leases());
            let is_done = lowest >= revision && leases == self.crowd.len();
            is_done
                .then_some(())
                .ok_or_else(|| format!("revision {lowest}, {leases} leases"))
        })
    }
}
