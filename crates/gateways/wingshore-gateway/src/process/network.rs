//! Dispatch of socket events and timers to the parts.

use super::Gateway;
use crate::answer_matching::AnswerError;
use crate::crash_reports;
use crate::timers::TimerKey;
use crate::unmatched;
use crate::upstream::{CompletedAnswer, ConnectionEnd, LostRequest, Task};
use wingshore_net::http::BodyStatus;
use wingshore_net::{ConnectionId, ListenerId, NetEvent};

impl Gateway {
    pub(super) fn on_net_event(&mut self, event: NetEvent) {
        match event {
            NetEvent::Accepted {
                listener,
                connection,
            } => self.on_accepted(listener, connection),
            NetEvent::Connected(connection) => self.on_connected(connection),
            NetEvent::Received(connection) => self.on_received(connection),
            NetEvent::Sent(connection) => self.on_sent(connection),
            NetEvent::EndOfInput(connection) => self.on_end_of_input(connection),
            NetEvent::Broken(connection) => self.on_broken(connection),
            NetEvent::Refused(connection) => self.on_refused(connection),
        }
    }

    pub(super) fn fire_timers(&mut self) {
        let now = self.environment.runtime.now;
        while let Some(key) = self.environment.runtime.timers.take_due(now) {
            match key {
                TimerKey::Client(connection) => self.on_client_timer(connection),
                TimerKey::Exchange(id) => {
                    let end = self.exchanges.on_timer(&mut self.environment, id);
                    self.on_exchange_end(end);
                }
                TimerKey::Item(id) => self.items.on_timer(&mut self.environment, id),
                TimerKey::Call(id) => self.on_call_timer(id),
            }
        }
    }

    fn on_accepted(&mut self, listener: ListenerId, connection: ConnectionId) {
        let listener_kind = self.listeners.listener_kind(listener);
        let idle_timeout = self.environment.site.view.limits().idle_timeout;
        let runtime = &mut self.environment.runtime;
        self.clients
            .accept(runtime, connection, listener_kind, idle_timeout);
    }

    fn on_connected(&mut self, connection: ConnectionId) {
        let now = self.environment.runtime.now;
        let environment = &mut self.environment;
        if let Some(address) = environment.site.coordinators.address(connection) {
            return self.on_link_up(connection, address);
        }
        crash_reports::seen_alive(environment, connection);
        let upstreams = &mut environment.servers.upstreams;
        if let Some(Task::Exchange(id)) = upstreams.on_connected(now, connection) {
            self.exchanges.on_connected(environment, id, connection);
        }
    }

    fn on_received(&mut self, connection: ConnectionId) {
        let environment = &self.environment;
        if let Some(address) = environment.site.coordinators.address(connection) {
            return self.on_link_input(connection, address);
        }
        if environment.servers.upstreams.owns(connection) {
            return self.on_upstream_input(connection);
        }
        self.on_client_input(connection);
    }

    /// Handles the end of a client's output: its next request may be waiting for that.
    fn on_sent(&mut self, connection: ConnectionId) {
        self.on_client_input(connection);
    }

    fn on_upstream_input(&mut self, connection: ConnectionId) {
        let environment = &mut self.environment;
        crash_reports::seen_alive(environment, connection);
        let upstreams = &mut environment.servers.upstreams;
        let Some(upstream) = upstreams.get_mut(connection) else {
            return;
        };
        let Some(task) = upstream.task else {
            // The server sent unexpected bytes: nothing that follows on the connection can be
            // trusted.
            unmatched::log_idle(environment, connection);
            let upstreams = &mut environment.servers.upstreams;
            upstreams.close(&mut environment.runtime, connection);
            return;
        };
        let Some(input) = environment.runtime.reactor.input(connection) else {
            return;
        };
        let Some(reader) = &mut upstream.reader else {
            return;
        };
        let status = reader.read(input);
        let is_all_read = input.is_empty();
        let is_own = reader.matched_part().is_some();
        let skipped = reader.take_skipped();
        unmatched::log_skipped(environment, connection, &skipped);
        if is_own {
            self.upstream_continued(connection, task);
        }
        match status {
            Ok(BodyStatus::Partial) => {}
            Ok(BodyStatus::Whole) => self.upstream_answered(connection, task, is_all_read),
            Err(AnswerError::Malformed { source }) => {
                unmatched::log_malformed(&self.environment, connection, &source);
                self.upstream_ended(connection, ConnectionEnd::Lost);
            }
            Err(AnswerError::Unidentified { source }) => {
                unmatched::log_unmatched(&self.environment, connection, source);
                self.upstream_ended(connection, ConnectionEnd::Unidentified);
            }
        }
        self.bound_held_answers(connection);
    }

    /// Drops the incomplete answer that holds most bytes if all together hold too many now.
    fn bound_held_answers(&mut self, connection: ConnectionId) {
        let upstreams = &mut self.environment.servers.upstreams;
        if let Some(largest) = upstreams.record_held(connection) {
            unmatched::log_dropped(&self.environment, largest);
            self.upstream_ended(largest, ConnectionEnd::Dropped);
        }
    }

    /// Handles a part of an answer on a connection.
    fn upstream_continued(&mut self, connection: ConnectionId, task: Task) {
        let environment = &mut self.environment;
        match task {
            Task::Item(id) => self.items.on_input(environment, id, connection),
            Task::Exchange(id) => {
                let end = self.exchanges.on_input(environment, id, connection);
                self.on_exchange_end(end);
            }
        }
    }

    /// Handles a complete answer on a connection; `is_all_read` if no bytes followed it.
    fn upstream_answered(&mut self, connection: ConnectionId, task: Task, is_all_read: bool) {
        let environment = &mut self.environment;
        let runtime = &mut environment.runtime;
        let upstreams = &mut environment.servers.upstreams;
        let finished = upstreams.finish(runtime, connection, is_all_read);
        let Some(finished) = finished else {
            return;
        };
        let CompletedAnswer {
            answer,
            ends_at_event_boundary,
        } = finished;
        match task {
            Task::Exchange(id) => {
                let exchanges = &mut self.exchanges;
                let end = exchanges.on_answer(environment, id, connection, answer);
                self.on_exchange_end(end);
            }
            Task::Item(id) => {
                let items = &mut self.items;
                let scoring = items.on_answer(environment, id, &answer, ends_at_event_boundary);
                if let Some(scoring) = scoring {
                    self.on_unscored_text(scoring);
                }
            }
        }
    }

    fn on_end_of_input(&mut self, connection: ConnectionId) {
        let environment = &self.environment;
        if environment.site.coordinators.address(connection).is_some() {
            return self.on_broken(connection);
        }
        let Some(upstream) = environment.servers.upstreams.get(connection) else {
            return self.close_client(connection);
        };
        match upstream.task {
            Some(task) if upstream.is_whole_at_close() => {
                self.upstream_answered(connection, task, false);
            }
            _ => self.upstream_ended(connection, ConnectionEnd::Lost),
        }
    }

    fn on_broken(&mut self, connection: ConnectionId) {
        let environment = &self.environment;
        if let Some(address) = environment.site.coordinators.address(connection) {
            return self.on_link_ended(connection, address);
        }
        match environment.servers.upstreams.get(connection) {
            Some(upstream) if upstream.is_connected => {
                self.upstream_ended(connection, ConnectionEnd::Lost);
            }
            Some(_) => self.upstream_ended(connection, ConnectionEnd::ConnectFailed),
            None => self.close_client(connection),
        }
    }

    /// Handles a refused connection: no process listens at the address.
    fn on_refused(&mut self, connection: ConnectionId) {
        if self.environment.servers.upstreams.owns(connection) {
            return self.upstream_ended(connection, ConnectionEnd::Refused);
        }
        self.on_broken(connection);
    }

    /// Handles the end of a connection to a server before a complete answer.
    pub(super) fn upstream_ended(&mut self, connection: ConnectionId, end: ConnectionEnd) {
        let environment = &mut self.environment;
        let runtime = &mut environment.runtime;
        let closed = environment.servers.upstreams.close(runtime, connection);
        let Some(closed) = closed else {
            return;
        };
        if end == ConnectionEnd::Refused {
            crash_reports::server_ended(environment, &closed.instance);
        }
        let lost = LostRequest {
            connection,
            instance: closed.instance,
            sent_at: closed.task_started_at,
            end,
        };
        match closed.task {
            Some(Task::Exchange(id)) => {
                let exchanges = &mut self.exchanges;
                let end = exchanges.on_connection_ended(environment, id, &lost);
                self.on_exchange_end(end);
            }
            Some(Task::Item(id)) => {
                self.items.on_connection_ended(environment, id, &lost);
            }
            None => crash_reports::idle_connection_lost(environment, &lost.instance),
        }
    }
}
