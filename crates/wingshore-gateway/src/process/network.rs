//! Wiring of events of sockets and of timers: which part each one is for.

use super::Gateway;
use crate::crash_reports;
use crate::timers::TimerKey;
use crate::upstream::{ConnectionEnd, Finished, LostSend, Task};
use wingshore_net::http::BodyStatus;
use wingshore_net::{ConnectionId, ListenerId, NetEvent};
use wingshore_types::Instant;

impl Gateway {
    pub(super) fn on_net_event(&mut self, now: Instant, event: NetEvent) {
        match event {
            NetEvent::Accepted {
                listener,
                connection,
            } => self.on_accepted(now, listener, connection),
            NetEvent::Connected(connection) => self.on_connected(now, connection),
            NetEvent::Received(connection) => self.on_received(now, connection),
            NetEvent::EndOfInput(connection) => self.on_end_of_input(now, connection),
            NetEvent::Broken(connection) => self.on_broken(now, connection),
            NetEvent::Refused(connection) => self.on_refused(now, connection),
        }
    }

    pub(super) fn fire_timers(&mut self, now: Instant) {
        while let Some(key) = self.environment.runtime.timers.take_due(now) {
            match key {
                TimerKey::Client(connection) => self.on_client_timer(now, connection),
                TimerKey::Exchange(id) => {
                    let end = self.exchanges.on_timer(now, &mut self.environment, id);
                    self.on_exchange_end(now, end);
                }
                TimerKey::Item(id) => self.items.on_timer(now, &mut self.environment, id),
                TimerKey::Call(id) => self.on_call_timer(now, id),
            }
        }
    }

    fn on_accepted(&mut self, now: Instant, listener: ListenerId, connection: ConnectionId) {
        let purpose = self.listeners.purpose(listener);
        let idle_timeout = self.environment.site.view.limits().idle_timeout;
        let runtime = &mut self.environment.runtime;
        self.clients
            .accept(now, runtime, connection, purpose, idle_timeout);
    }

    fn on_connected(&mut self, now: Instant, connection: ConnectionId) {
        let environment = &mut self.environment;
        if let Some(address) = environment.site.coordinators.address(connection) {
            return self.on_link_up(now, connection, address);
        }
        let upstreams = &mut environment.servers.upstreams;
        if let Some(Task::Exchange(id)) = upstreams.on_connected(now, connection) {
            self.exchanges.on_connected(now, environment, id);
        }
    }

    fn on_received(&mut self, now: Instant, connection: ConnectionId) {
        let environment = &self.environment;
        if let Some(address) = environment.site.coordinators.address(connection) {
            return self.on_link_input(now, connection, address);
        }
        if environment.servers.upstreams.owns(connection) {
            return self.on_upstream_input(now, connection);
        }
        self.on_client_input(now, connection);
    }

    fn on_upstream_input(&mut self, now: Instant, connection: ConnectionId) {
        let environment = &mut self.environment;
        let upstreams = &mut environment.servers.upstreams;
        let Some(upstream) = upstreams.get_mut(connection) else {
            return;
        };
        let Some(task) = upstream.task else {
            // Bytes that nobody asked for: whatever comes next cannot be trusted.
            upstreams.close(&mut environment.runtime.reactor, connection);
            return;
        };
        let Some(input) = environment.runtime.reactor.input(connection) else {
            return;
        };
        let status = upstream.reader.read(input);
        let is_all_read = input.is_empty();
        match task {
            Task::Item(id) => self.items.on_input(now, environment, id, connection),
            Task::Exchange(id) => {
                let end = self.exchanges.on_input(now, environment, id, connection);
                self.on_exchange_end(now, end);
            }
        }
        match status {
            Ok(BodyStatus::Partial) => {}
            Ok(BodyStatus::Whole) => self.upstream_answered(now, connection, task, is_all_read),
            Err(_) => self.upstream_ended(now, connection, ConnectionEnd::BrokeOff),
        }
    }

    /// The answer on a connection is whole; `is_all_read` when nothing came behind it.
    fn upstream_answered(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        task: Task,
        is_all_read: bool,
    ) {
        let environment = &mut self.environment;
        let reactor = &mut environment.runtime.reactor;
        let upstreams = &mut environment.servers.upstreams;
        let finished = upstreams.finish(now, reactor, connection, is_all_read);
        let Some(finished) = finished else {
            return;
        };
        let Finished {
            instance,
            answer,
            ends_whole,
        } = finished;
        match task {
            Task::Exchange(id) => {
                let exchanges = &mut self.exchanges;
                let end = exchanges.on_answer(now, environment, id, &instance, answer);
                self.on_exchange_end(now, end);
            }
            Task::Item(id) => {
                let items = &mut self.items;
                let scoring = items.on_answer(now, environment, id, &answer.head, ends_whole);
                if let Some(scoring) = scoring {
                    self.begin_scoring(now, scoring);
                }
            }
        }
    }

    fn on_end_of_input(&mut self, now: Instant, connection: ConnectionId) {
        let environment = &self.environment;
        if environment.site.coordinators.address(connection).is_some() {
            return self.on_broken(now, connection);
        }
        let Some(upstream) = environment.servers.upstreams.get(connection) else {
            return self.close_client(connection);
        };
        match upstream.task {
            Some(task) if upstream.reader.is_whole_at_close() => {
                self.upstream_answered(now, connection, task, false);
            }
            _ => self.upstream_ended(now, connection, ConnectionEnd::BrokeOff),
        }
    }

    fn on_broken(&mut self, now: Instant, connection: ConnectionId) {
        let environment = &self.environment;
        if let Some(address) = environment.site.coordinators.address(connection) {
            return self.on_link_ended(now, connection, address);
        }
        match environment.servers.upstreams.get(connection) {
            Some(upstream) if upstream.up => {
                self.upstream_ended(now, connection, ConnectionEnd::BrokeOff);
            }
            Some(_) => self.upstream_ended(now, connection, ConnectionEnd::NeverUp),
            None => self.close_client(connection),
        }
    }

    /// Nobody listens where a connection was to lead.
    fn on_refused(&mut self, now: Instant, connection: ConnectionId) {
        if self.environment.servers.upstreams.owns(connection) {
            return self.upstream_ended(now, connection, ConnectionEnd::Refused);
        }
        self.on_broken(now, connection);
    }

    /// A connection to a server ended without a whole answer.
    fn upstream_ended(&mut self, now: Instant, connection: ConnectionId, end: ConnectionEnd) {
        let environment = &mut self.environment;
        let reactor = &mut environment.runtime.reactor;
        let closed = environment.servers.upstreams.close(reactor, connection);
        let Some(closed) = closed else {
            return;
        };
        if end == ConnectionEnd::Refused {
            crash_reports::server_ended(now, environment, &closed.instance);
        }
        let lost = LostSend {
            instance: closed.instance,
            sent_at: closed.since,
            end,
        };
        match closed.task {
            Some(Task::Exchange(id)) => {
                let exchanges = &mut self.exchanges;
                let end = exchanges.on_connection_ended(now, environment, id, &lost);
                self.on_exchange_end(now, end);
            }
            Some(Task::Item(id)) => {
                self.items.on_connection_ended(now, environment, id, &lost);
            }
            None => crash_reports::probe(now, environment, &lost.instance),
        }
    }
}
