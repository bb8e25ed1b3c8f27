//! The machine list's state, without sockets and clocks.

use super::MachineListSettings;
use std::time::Duration;
use wingshore_types::platform::{Machine, MachineList, MachineState};
use wingshore_types::{Instant, ServerId};

/// A change that the list tells after the lag.
#[derive(Debug)]
struct Change {
    at: Instant,
    server: ServerId,
    state: MachineState,
}

/// All machines, as they were one lag ago.
#[derive(Debug)]
pub struct MachineListCore {
    lag: Duration,
    initial: Vec<Machine>,
    changes: Vec<Change>,
}

impl MachineListCore {
    /// The machines at the start.
    pub fn new(settings: MachineListSettings) -> Self {
        Self {
            lag: settings.lag,
            initial: settings.machines,
            changes: Vec::new(),
        }
    }

    /// Notes a machine's state from `now` on.
    pub fn change(&mut self, now: Instant, server: ServerId, state: MachineState) {
        let at = now;
        self.changes.push(Change { at, server, state });
    }

    /// The list as it was one lag ago; `time_ms` is the time of day in milliseconds.
    pub fn list(&self, now: Instant, time_ms: u64) -> MachineList {
        let mut machines = self.initial.clone();
        let told = self
            .changes
            .iter()
            .filter(|change| now.since(change.at) >= self.lag);
        for change in told {
            for machine in &mut machines {
                if machine.id == change.server {
                    machine.state = change.state;
                }
            }
        }
        let lag_ms = self.lag.as_millis() as u64;
        MachineList {
            as_of: time_ms.saturating_sub(lag_ms),
            machines,
        }
    }
}
