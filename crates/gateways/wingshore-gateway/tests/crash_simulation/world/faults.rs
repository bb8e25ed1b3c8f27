//! Faults: crashes of other causes, lost connections, partitions that look like a closed port, drains
//! and changes of the leader.

use super::{CLEARED_AFTER, MAX_SENDS_PER_ATTEMPT, RunningRequest, Simulation};
use rand::RngExt;
use std::time::Duration;
use wingshore_coordination::TrialEnd;

/// A request sent less than this long before its connection was lost is not the cause, as in the
/// gateway.
const POSSIBLE_CAUSE_AFTER: Duration = Duration::from_millis(2);

impl Simulation {
    /// Crashes a server; the requests that were running there are sent again.
    pub(super) fn crash(&mut self, index: usize) {
        let down = Duration::from_millis(self.random.random_range(200..4000));
        let server = &mut self.servers[index];
        if !server.up {
            return;
        }
        server.up = false;
        server.back_at = self.now + down;
        self.lose_connections(index, None, true);
    }

    /// Breaks the connections of `only_gateway`, or of all gateways, to a server; `refuses` says
    /// whether the port appears closed.
    fn lose_connections(&mut self, index: usize, only_gateway: Option<usize>, refuses: bool) {
        let now = self.now;
        let (instance, address) = (self.instance(index), self.servers[index].address);
        let was_draining = self.servers[index].draining;
        let lost = self.servers[index].running.extract_if(.., |running| {
            only_gateway.is_none_or(|gateway| running.gateway == gateway)
        });
        let lost: Vec<RunningRequest> = lost.filter(|running| !running.is_closed).collect();
        for running in &lost {
            let ran_for = now.since(running.started_at);
            let is_suspect =
                (POSSIBLE_CAUSE_AFTER..CLEARED_AFTER).contains(&ran_for) && !was_draining;
            let detector = &mut self.gateways[running.gateway].detector;
            if is_suspect {
                let seen = detector.connection_lost(now, &instance, address, running.request);
                self.report_to_leader(running.gateway, seen.into_iter().collect());
            }
        }
        if refuses {
            for gateway in 0..self.gateways.len() {
                let seen = self.gateways[gateway].detector.server_ended(now, &instance);
                self.report_to_leader(gateway, seen);
                self.report_possible(gateway);
            }
        }
        for running in lost {
            if running.is_on_trial {
                self.end_trial(running.request, instance.clone(), TrialEnd::Unknown);
            }
            let time = running.ends_at.since(now).max(Duration::from_millis(20));
            let is_suspect = self.gateways[running.gateway]
                .suspects
                .contains_key(&running.request);
            let is_item = running.sends_left > MAX_SENDS_PER_ATTEMPT;
            if running.sends_left > 1 && (is_item || !is_suspect) {
                self.send(running.request, time, running.sends_left - 1);
            }
        }
    }

    pub(super) fn inject_faults(&mut self) {
        let server = self.random.random_range(0..self.servers.len());
        let gateway = self.random.random_range(0..self.gateways.len());
        if self.random.random_bool(self.crash_rate) {
            match self.random.random_range(0..3) {
                0 => self.crash(server),
                1 => (0..self.servers.len()).for_each(|index| self.crash(index)),
                _ => {
                    for index in 0..self.servers.len() {
                        if self.random.random_bool(0.6) {
                            self.crash(index);
                        }
                    }
                }
            }
        }
        if !self.random.random_bool(self.fault_rate) {
            return;
        }
        match self.random.random_range(0..4) {
            // Connections are reset or answers are lost, while the server still listens.
            0 => self.lose_connections(server, Some(gateway), false),
            // The gateway is partitioned from the server in a way that looks like a closed port.
            1 => self.lose_connections(server, Some(gateway), true),
            2 => {
                self.servers[server].draining = true;
                self.register(server);
            }
            _ => {
                self.group.change_leader(self.now);
                for index in 0..self.gateways.len() {
                    let seen = self.gateways[index].detector.to_report(self.now);
                    self.report_to_leader(index, seen);
                    if self.scenario.has_trials() {
                        self.report_open_trials(index);
                    }
                }
            }
        }
    }
}
