//! Periodic work of a coordinator: hellos, connections, timeouts, membership, reload and stop.

use super::Coordinator;
use slog::{info, warn};
use std::time::Duration;
use wingshore_group::HostInput;
use wingshore_types::Instant;

/// Interval of hellos on a link and of `Alive` messages to gateways. The timeouts for silent peers
/// are chosen relative to it.
const HELLO_INTERVAL: Duration = Duration::from_millis(300);
/// Interval of the housekeeping checks.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a status report after which a gateway is disconnected and its items are started
/// elsewhere: two and a half intervals of its status reports. The items of an unreachable gateway
/// make no progress for this time, which delays every step that waits for one of them by as much.
pub(super) const GATEWAY_TIMEOUT: Duration = Duration::from_millis(1000);

impl Coordinator {
    /// Runs the periodic work that is due.
    pub(super) fn run_housekeeping(&mut self, now: Instant) {
        if now >= self.schedule.next_hello {
            self.schedule.next_hello = now + HELLO_INTERVAL;
            self.send_periodic_hellos();
            self.send_view_revision();
            self.report_unchanged_servers(now);
        }
        if now < self.schedule.next_housekeeping {
            return;
        }
        self.schedule.next_housekeeping = now + HOUSEKEEPING_INTERVAL;
        self.dial_members(now);
        let events = self.calls.expire(now, &mut self.reactor);
        self.take_call_events(events);
        self.update_agreed_time(now);
        if self.schedule.stall_detector.may_expire_peers(now) {
            for connection in self.directory.silent_connections(now, GATEWAY_TIMEOUT) {
                self.close_connection(now, connection);
            }
        }
        self.send_gateway_changes(now);
        self.close_idle_callers(now);
        self.close_unknown_links(now);
        self.close_stalled_callers(now);
        self.answer_late_heartbeats(now);
        self.plan_members(now);
        self.report_shortage(now);
        self.report_sent_states(now);
        self.reload();
        self.update_stop(now);
    }

    /// Reloads the seeds after a reload signal. If they cannot be read, the previous ones stay in
    /// force.
    fn reload(&mut self) {
        if !self.signals.take_reload() {
            return;
        }
        match (self.seed_source)() {
            Ok(seeds) => {
                info!(self.logger, "reloaded"; "seeds" => ?seeds);
                self.settings.seeds = seeds;
            }
            Err(reason) => warn!(self.logger, "settings not reloaded"; "reason" => reason),
        }
    }

    /// Starts a planned stop after a stop signal, and completes it when the time limit of the
    /// settings has passed.
    fn update_stop(&mut self, now: Instant) {
        if !self.signals.is_stopping() {
            return;
        }
        match self.stop.started_at {
            None => {
                info!(self.logger, "planned stop"; "node" => &self.settings.node);
                self.stop.started_at = Some(now);
                self.inputs.push(HostInput::Stop);
            }
            Some(start) if now.since(start) >= self.settings.stop_limit => self.stop.is_done = true,
            Some(_) => {}
        }
    }
}
