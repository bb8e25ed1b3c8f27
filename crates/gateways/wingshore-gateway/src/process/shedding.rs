//! Load shedding: keeps what clients use within its bounds, by refusing requests and closing
//! connections.

use super::Gateway;
use crate::admission::Refusal;
use crate::unmatched;
use crate::upstream::ConnectionEnd;
use wingshore_net::ConnectionId;
use wingshore_net::callers::{Cause, connections_to_close};

impl Gateway {
    /// Refuses or closes clients until all of them together stay within their bounds.
    pub(super) fn shed_callers(&mut self) {
        let bounds = self.settings.callers;
        let reactor = &mut self.environment.runtime.reactor;
        reactor.update_account();
        if bounds.hold(reactor.account(), reactor.caller_count()) {
            return;
        }
        self.clients.close_sent(reactor);
        let now = self.environment.runtime.now;
        let states = self.clients.states(now, reactor);
        let (account, count) = (reactor.account(), reactor.caller_count());
        let closed = connections_to_close(&bounds, account, &states, count);
        self.shed_all(&closed);
        self.drop_answers();
    }

    /// Refuses the requests that clients are sending, or closes their connections.
    fn shed_all(&mut self, closed: &[(ConnectionId, Cause)]) {
        let runtime = &self.environment.runtime;
        let used = runtime.reactor.account().total();
        let callers = &runtime.metrics.callers;
        callers.report_closed(&runtime.logger, closed, used, &self.settings.callers);
        for (connection, cause) in closed {
            self.shed(*connection, *cause);
        }
    }

    /// Refuses the request that a client is sending, or closes its connection.
    fn shed(&mut self, client: ConnectionId, cause: Cause) {
        let has_head = self.clients.head(client).is_some();
        if cause.is_refusal() && has_head && self.clients.close_after_answer(client) {
            self.clients.drop_body(client);
            self.answer_own(client, &Refusal::FULL.answer);
        } else {
            self.close_client(client);
        }
    }

    /// Drops incomplete answers of servers, the one that holds most bytes first, while callers use too
    /// much memory even so.
    fn drop_answers(&mut self) {
        let most = self.settings.callers.memory;
        loop {
            let reactor = &mut self.environment.runtime.reactor;
            reactor.update_account();
            if reactor.account().total() <= most {
                return;
            }
            let upstreams = &self.environment.servers.upstreams;
            let Some(largest) = upstreams.largest_held() else {
                return;
            };
            unmatched::log_dropped(&self.environment, largest);
            self.upstream_ended(largest, ConnectionEnd::Dropped);
        }
    }

    /// Closes the connections of clients that do not read their answers.
    pub(super) fn close_stalled_clients(&mut self) {
        let runtime = &mut self.environment.runtime;
        let stalled = self.clients.expire(runtime.now, &mut runtime.reactor);
        let stalled = stalled.into_iter();
        let closed: Vec<_> = stalled
            .map(|connection| (connection, Cause::UnreadAnswer))
            .collect();
        self.shed_all(&closed);
    }

    /// Refuses a request at its head if its body cannot fit even when all incomplete ones are gone.
    pub(super) fn refuse_unfitting(&mut self, client: ConnectionId) {
        let body = self.clients.known_body_bytes(client);
        let bounds = self.settings.callers;
        let account = self.environment.runtime.reactor.account();
        if bounds.may_fit(account, 0, body) {
            return;
        }
        let incomplete = self.clients.incomplete_large_bytes();
        if !bounds.may_fit(account, incomplete, body) {
            self.shed_all(&[(client, Cause::LargeBody)]);
        }
    }
}
