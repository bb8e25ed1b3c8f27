//! Load shedding: keeps what callers use within its bounds, by refusing requests and closing
//! connections.

use super::{Coordinator, Role};
use crate::protocol::ControlAnswer;
use wingshore_net::ConnectionId;
use wingshore_net::account::SMALL_BODY_BYTES;
use wingshore_net::callers::{CallerState, Cause, connections_to_close};
use wingshore_types::Instant;

impl Coordinator {
    /// Refuses or closes callers until all of them together stay within their bounds.
    pub(super) fn shed_callers(&mut self, now: Instant) {
        let bounds = self.settings.callers;
        self.reactor.update_account();
        if bounds.hold(self.reactor.account(), self.reactor.caller_count()) {
            return;
        }
        self.closing.close_sent(&mut self.reactor);
        let states = self.caller_states(now);
        let (account, count) = (self.reactor.account(), self.reactor.caller_count());
        let closed = connections_to_close(&bounds, account, &states, count);
        self.shed_all(now, &closed);
    }

    /// Returns what each caller's connection does and holds.
    fn caller_states(&mut self, now: Instant) -> Vec<CallerState> {
        let reactor = &self.reactor;
        let roles = self.roles.iter_mut();
        let states = roles.filter_map(|(connection, role)| match role {
            Role::Control(control) | Role::Metrics(control) => {
                Some(control.state(now, reactor, *connection))
            }
            Role::Link(_) | Role::Dialed(_) => None,
        });
        let closing = self.closing.states(now, reactor);
        states.chain(closing).collect()
    }

    /// Refuses the requests that callers are sending, or closes their connections.
    fn shed_all(&mut self, now: Instant, closed: &[(ConnectionId, Cause)]) {
        let used = self.reactor.account().total();
        let callers = &self.metrics.callers;
        callers.report_closed(&self.logger, closed, used, &self.settings.callers);
        for (connection, cause) in closed {
            self.shed(now, *connection, *cause);
        }
    }

    fn shed(&mut self, now: Instant, connection: ConnectionId, cause: Cause) {
        match self.roles.get_mut(&connection) {
            Some(Role::Control(control))
                if cause.is_refusal() && control.reader.head().is_some() =>
            {
                control.reader.drop_body();
                control.close_after = true;
                let answer = self.protocol.write(&ControlAnswer::Unavailable);
                self.answer(connection, &answer);
            }
            _ => self.close_connection(now, connection),
        }
    }

    /// Closes connections of callers that do not read their answers.
    pub(super) fn close_stalled_callers(&mut self, now: Instant) {
        self.closing.expire(now, &mut self.reactor);
        let reactor = &self.reactor;
        let roles = self.roles.iter_mut();
        let stalled = roles.filter_map(|(connection, role)| {
            let (Role::Control(control) | Role::Metrics(control)) = role else {
                return None;
            };
            let is_stalled = control.output.is_stalled(now, reactor, *connection);
            is_stalled.then_some((*connection, Cause::UnreadAnswer))
        });
        let closed: Vec<_> = stalled.collect();
        self.shed_all(now, &closed);
    }

    /// Refuses a request at its head if its body cannot fit even when all incomplete ones are gone.
    pub(super) fn refuse_unfitting(&mut self, now: Instant, connection: ConnectionId) {
        let Some(Role::Control(control)) = self.roles.get(&connection) else {
            return;
        };
        let body = control.reader.known_body_bytes();
        let bounds = self.settings.callers;
        let account = self.reactor.account();
        if bounds.may_fit(account, 0, body) {
            return;
        }
        let roles = self.roles.values();
        let incomplete = roles.map(|role| match role {
            Role::Control(control) => {
                let bytes = control.reader.body_bytes();
                bytes.saturating_sub(SMALL_BODY_BYTES)
            }
            _ => 0,
        });
        if !bounds.may_fit(account, incomplete.sum(), body) {
            self.shed_all(now, &[(connection, Cause::LargeBody)]);
        }
    }
}
