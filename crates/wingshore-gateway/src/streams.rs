//! Passing streams of events on to clients as they come.
//!
//! Only whole events are passed on, so that a stream that breaks off inside one can be taken up
//! at another server behind the last whole event, within the same answer.

use crate::encode::end_to_end;
use crate::event_stream::{EventReader, take_whole_events};
use crate::exchange::Exchange;
use crate::ids::ExchangeId;
use crate::process::Gateway;
use crate::request_suspicion;
use slog::info;
use wingshore_coordination::RouteKind;
use wingshore_net::ConnectionId;
use wingshore_net::http::{HeadWriter, write_chunk, write_last_chunk};
use wingshore_types::Instant;

/// A client that lets more bytes than this wait is cut off.
const MOST_QUEUED: usize = 8 << 20;

/// What has been passed on of a stream.
pub(crate) struct PassedStream {
    /// Bytes of an event that is not whole.
    partial: Vec<u8>,
    events: EventReader,
    /// Identifier of the last event that was passed on.
    pub(crate) last_event: Option<u64>,
    /// The connection that the present part comes from.
    from: ConnectionId,
    /// When that part began.
    pub(crate) since: Instant,
    /// Whether it has run for so long that it is not what ends servers, and that was said.
    pub(crate) is_cleared: bool,
}

impl Gateway {
    /// Bytes of a server's answer have arrived: passes whole events of a stream on.
    pub(crate) fn on_exchange_input(
        &mut self,
        now: Instant,
        exchange_id: ExchangeId,
        upstream: ConnectionId,
    ) {
        let names = self.environment.site.protocol.header_names().clone();
        let Some(exchange) = self.exchanges.get_mut(exchange_id) else {
            return;
        };
        let Some(client) = exchange.client() else {
            return;
        };
        if exchange.route.kind != RouteKind::Streaming {
            return;
        }
        let id = exchange.id.clone();
        let has_begun = exchange.stream.is_some();
        let Some(connection) = self.environment.servers.upstreams.get_mut(upstream) else {
            return;
        };
        let Some(head) = connection.reader.head().filter(|head| head.is_success()) else {
            return;
        };
        let is_own = head.headers.get(names.request_id) == Some(id.as_slice());
        let is_signed = head.headers.get(names.signature).is_some();
        if !is_own || !is_signed {
            return;
        }
        let head = head.clone();
        let body = connection.reader.take_body();
        if !has_begun {
            let mut writer = HeadWriter::answer(head.status);
            for (name, value) in end_to_end(&head.headers) {
                writer = writer.line(name, value);
            }
            self.environment
                .runtime
                .reactor
                .send(client, &writer.chunked());
        }
        let Some(exchange) = self.exchanges.get_mut(exchange_id) else {
            return;
        };
        let stream = exchange.stream.get_or_insert_with(|| PassedStream {
            partial: Vec::new(),
            events: EventReader::new(names.version),
            last_event: None,
            from: upstream,
            since: now,
            is_cleared: false,
        });
        let whole = stream.take(now, upstream, &body);
        let mut chunk = Vec::new();
        write_chunk(&mut chunk, &whole);
        self.environment.runtime.reactor.send(client, &chunk);
        request_suspicion::clear_if_long(now, &mut self.environment, exchange);
        if self.environment.runtime.reactor.queued(client) > MOST_QUEUED {
            info!(self.environment.runtime.logger, "client does not read"; "request" => String::from_utf8_lossy(&id).into_owned(),
                "at_ms" => now.as_millis());
            self.close_client(client);
        }
    }

    /// The server has ended the stream; it is whole unless that was inside an event.
    pub(crate) fn finish_stream(&mut self, now: Instant, id: ExchangeId) {
        let Some(exchange) = self.exchanges.take(id) else {
            return;
        };
        let Some(client) = exchange.client() else {
            return;
        };
        let within_event = exchange
            .stream
            .as_ref()
            .is_some_and(|stream| !stream.partial.is_empty());
        if within_event {
            self.clients.remove(&client);
            return self.environment.runtime.reactor.close_when_flushed(client);
        }
        let time = now.since(exchange.begun);
        self.environment
            .runtime
            .metrics
            .request_ended(&exchange.route.name, "served", time);
        request_suspicion::ran_well(&mut self.environment, &exchange);
        let mut last = Vec::new();
        write_last_chunk(&mut last);
        self.environment.runtime.reactor.send(client, &last);
        self.end_exchange(now, client);
    }

    /// The stream cannot be gone on with: the answer must not look complete.
    pub(crate) fn break_stream(&mut self, now: Instant, client: ConnectionId, exchange: &Exchange) {
        let time = now.since(exchange.begun);
        self.environment
            .runtime
            .metrics
            .request_ended(&exchange.route.name, "stream_broken", time);
        info!(self.environment.runtime.logger, "stream broken off"; "request" => String::from_utf8_lossy(&exchange.id).into_owned(),
            "route" => &exchange.route.name,
            "last_event" => exchange.stream.as_ref().and_then(|stream| stream.last_event));
        self.clients.remove(&client);
        self.environment.runtime.reactor.close_when_flushed(client);
    }
}

impl PassedStream {
    /// Takes bytes and gives those of whole events.
    fn take(&mut self, now: Instant, from: ConnectionId, body: &[u8]) -> Vec<u8> {
        if self.from != from {
            // What the server before left unfinished comes whole from this one.
            self.partial.clear();
            self.from = from;
            self.since = now;
            self.is_cleared = false;
        }
        self.partial.extend_from_slice(body);
        let whole = take_whole_events(&mut self.partial);
        let events = self.events.read(&whole).unwrap_or_default();
        if let Some(id) = events.iter().rev().find_map(|event| event.id) {
            self.last_event = Some(id);
        }
        whole
    }
}
