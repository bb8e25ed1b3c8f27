//! Answers that belong to no known request: the gateway closes the connection, and sends the request
//! again if it may, while the server that runs it may go on.

use super::{RunningRequest, Simulation};
use rand::RngExt;
use std::time::Duration;
use wingshore_coordination::TrialEnd;
use wingshore_types::Instant;

/// Share of the runs on whose connection such an answer arrives before the end.
const UNMATCHED_SHARE: f64 = 0.3;
/// Share of the servers that go on with the run; the others notice the closed connection.
const SHARE_THAT_GOES_ON: f64 = 0.5;

impl Simulation {
    /// Returns when an answer of no known request arrives on the connection of a run that starts now.
    pub(super) fn draw_unmatched(&mut self) -> Option<Instant> {
        let arrives =
            self.scenario.has_unmatched_answers() && self.random.random_bool(UNMATCHED_SHARE);
        let after = arrives.then(|| Duration::from_millis(self.random.random_range(5..200)));
        after.map(|after| self.now + after)
    }

    /// Closes the connections on which such an answer has arrived.
    pub(super) fn close_unmatched(&mut self) {
        for index in 0..self.servers.len() {
            for closed in self.close_unmatched_at(index) {
                if closed.is_on_trial {
                    self.end_trial(closed.request, self.instance(index), TrialEnd::Unknown);
                }
                let time = closed
                    .ends_at
                    .since(self.now)
                    .max(Duration::from_millis(20));
                let is_suspect = self.needs_trial(closed.gateway, closed.request);
                if closed.sends_left > 1 && !is_suspect {
                    self.send(closed.request, time, closed.sends_left - 1);
                }
            }
        }
    }

    /// Closes such connections to one server, and returns the runs as the gateways knew them.
    fn close_unmatched_at(&mut self, index: usize) -> Vec<RunningRequest> {
        let now = self.now;
        let (instance, address) = (self.instance(index), self.servers[index].address);
        let is_due = |running: &mut RunningRequest| {
            !running.is_closed && running.unmatched_at.is_some_and(|at| at <= now)
        };
        let due = self.servers[index].running.extract_if(.., is_due);
        let mut closed: Vec<RunningRequest> = due.collect();
        for running in &mut closed {
            let detector = &mut self.gateways[running.gateway].detector;
            running.close(now, detector, &instance, address);
            if self.random.random_bool(SHARE_THAT_GOES_ON) {
                let going_on = RunningRequest {
                    is_on_trial: false,
                    ..running.clone()
                };
                self.servers[index].running.push(going_on);
            }
        }
        closed
    }
}
