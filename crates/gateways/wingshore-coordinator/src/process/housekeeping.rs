//! What a coordinator does by time: introductions, connections, time-outs, members, reload and stop.

use super::Coordinator;
use slog::{info, warn};
use std::time::Duration;
use wingshore_group::HostInput;
use wingshore_types::Instant;

/// Between introductions on a link, and `Alive` messages to gateways; the limits of silence count
/// in it.
const HELLO_INTERVAL: Duration = Duration::from_millis(300);
/// Between checks for what has become due.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);
/// A gateway that is silent for this long is disconnected, and what it ran is begun elsewhere: two
/// and a half of the intervals in which it reports its status. While a gateway is cut off its items
/// make no progress for this time; a step that waits for one of them is over as much later.
const GATEWAY_SILENCE: Duration = Duration::from_millis(1000);

impl Coordinator {
    /// Does what is due by time: introductions, connections, time-outs, members, reload and stop.
    pub(super) fn run_housekeeping(&mut self, now: Instant) {
        if now >= self.schedule.next_hello {
            self.schedule.next_hello = now + HELLO_INTERVAL;
            self.introduce_to_all();
            self.send_view_revision();
            self.report_heard(now);
        }
        if now < self.schedule.next_housekeeping {
            return;
        }
        self.schedule.next_housekeeping = now + HOUSEKEEPING_INTERVAL;
        self.dial_members(now);
        let events = self.calls.expire(now, &mut self.reactor);
        self.take_call_events(events);
        self.agree_on_time(now);
        if self.schedule.stall_detector.may_expire_peers(now) {
            for connection in self.directory.silent_connections(now, GATEWAY_SILENCE) {
                self.on_ended(now, connection);
            }
        }
        self.close_idle_callers(now);
        self.answer_late_heartbeats(now);
        self.plan_members(now);
        self.report_shortage(now);
        self.report_sent_states(now);
        self.reload();
        self.begin_stop(now);
    }

    /// Reads the seeds again where the settings have changed. Seeds that cannot be read leave
    /// those before in force.
    fn reload(&mut self) {
        if !self.signals.take_reload() {
            return;
        }
        match (self.seed_source)() {
            Ok(seeds) => {
                info!(self.logger, "reloaded"; "seeds" => ?seeds);
                self.settings.seeds = seeds;
            }
            Err(reason) => warn!(self.logger, "not reloaded"; "reason" => reason),
        }
    }

    fn begin_stop(&mut self, now: Instant) {
        if !self.signals.is_stopping() {
            return;
        }
        match self.stop.since {
            None => {
                info!(self.logger, "planned stop"; "node" => &self.settings.node);
                self.stop.since = Some(now);
                self.inputs.push(HostInput::Stop);
            }
            Some(since) if now.since(since) >= self.settings.stop_limit => self.stop.is_over = true,
            Some(_) => {}
        }
    }
}
