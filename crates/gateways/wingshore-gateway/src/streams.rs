//! Forwarding of event streams to clients as the events arrive.
//!
//! Only complete events are forwarded. A stream that is cut inside an event can then be resumed
//! at another server after the last complete event, within the same answer to the client.

use crate::encode::end_to_end_headers;
use crate::environment::Environment;
use crate::exchange::Exchange;
use crate::passed_stream::PassedStream;
use crate::request_suspicion;
use crate::upstream::Upstream;
use slog::info;
use wingshore_coordination::RouteKind;
use wingshore_net::ConnectionId;
use wingshore_net::http::{AnswerHead, HeadWriter, write_chunk, write_last_chunk};

/// A client with more unsent bytes than this is disconnected. This bounds the memory that a client
/// that does not read can take up.
const MAX_QUEUED_BYTES: usize = 8 << 20;

/// What follows from the bytes that have arrived of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamProgress {
    /// The stream goes on.
    Continues,
    /// The send queue of the client exceeds its limit: the client does not read.
    ClientDoesNotRead,
    /// An event has no end: the server does not send a stream of events.
    EndlessEvent,
    /// Nobody waits for the stream, and it has run long enough to clear its request of suspicion.
    MayEnd,
}

/// Forwards the complete events that have arrived, if the answer is a stream for `client`.
pub(crate) fn forward_events(
    environment: &mut Environment,
    exchange: &mut Exchange,
    connection: ConnectionId,
    client: ConnectionId,
) -> StreamProgress {
    let now = environment.runtime.now;
    if exchange.route.kind != RouteKind::Streaming {
        return StreamProgress::Continues;
    }
    let names = environment.site.protocol.header_names();
    let upstream = environment.servers.upstreams.get_mut(connection);
    let Some((head, body)) = upstream.and_then(take_stream_body) else {
        return StreamProgress::Continues;
    };
    let reactor = &mut environment.runtime.reactor;
    if exchange.stream.is_none() {
        reactor.send(client, &stream_head(&head));
    }
    let stream = exchange
        .stream
        .get_or_insert_with(|| PassedStream::new(now, connection, names.version));
    let complete = stream.take(now, connection, &body);
    let is_endless = stream.has_endless_event();
    let mut chunk = Vec::new();
    write_chunk(&mut chunk, &complete);
    reactor.send(client, &chunk);
    request_suspicion::clear_long_stream(environment, exchange);
    if is_endless {
        return StreamProgress::EndlessEvent;
    }
    if environment.runtime.reactor.queued(client) <= MAX_QUEUED_BYTES {
        return StreamProgress::Continues;
    }
    info!(environment.runtime.logger, "client does not read"; "request" => exchange.id_text(),
        "at_ms" => now.as_millis());
    StreamProgress::ClientDoesNotRead
}

/// Discards the events that have arrived of a stream that nobody waits for.
pub(crate) fn discard_events(
    environment: &mut Environment,
    exchange: &mut Exchange,
    connection: ConnectionId,
) -> StreamProgress {
    let now = environment.runtime.now;
    if exchange.route.kind != RouteKind::Streaming {
        return StreamProgress::Continues;
    }
    let names = environment.site.protocol.header_names();
    let upstream = environment.servers.upstreams.get_mut(connection);
    let Some((_, body)) = upstream.and_then(take_stream_body) else {
        return StreamProgress::Continues;
    };
    let stream = exchange
        .stream
        .get_or_insert_with(|| PassedStream::new(now, connection, names.version));
    stream.take(now, connection, &body);
    let is_endless = stream.has_endless_event();
    request_suspicion::clear_long_stream(environment, exchange);
    if is_endless {
        return StreamProgress::EndlessEvent;
    }
    if exchange.has_streamed_long(now) {
        return StreamProgress::MayEnd;
    }
    StreamProgress::Continues
}

/// Takes the bytes that have arrived of the stream that answers the request on a connection; `None`
/// if its answer is no success.
fn take_stream_body(upstream: &mut Upstream) -> Option<(AnswerHead, Vec<u8>)> {
    let mut part = upstream.reader.as_mut()?.matched_part()?;
    let head = part.head().clone();
    head.is_success().then(|| (head, part.take_body()))
}

fn stream_head(head: &AnswerHead) -> Vec<u8> {
    let mut writer = HeadWriter::answer(head.status.code());
    for (name, value) in end_to_end_headers(&head.headers) {
        writer = writer.line(name, value);
    }
    writer.chunked()
}

/// Handles the end of the stream. Returns false if the stream ended inside an event and is
/// therefore incomplete.
pub(crate) fn finish(
    environment: &mut Environment,
    exchange: &mut Exchange,
    client: ConnectionId,
) -> bool {
    let now = environment.runtime.now;
    let stream = exchange.stream.as_ref();
    if stream.is_some_and(PassedStream::is_within_event) {
        return false;
    }
    let time = now.since(exchange.started_at);
    let metrics = &environment.runtime.metrics;
    metrics.request_ended(&exchange.route.name, "served", time);
    request_suspicion::request_succeeded(environment, exchange);
    let mut last = Vec::new();
    write_last_chunk(&mut last);
    environment.runtime.reactor.send(client, &last);
    true
}

/// Logs and counts a stream that no server can resume.
pub(crate) fn log_broken(environment: &Environment, exchange: &Exchange) {
    let now = environment.runtime.now;
    let time = now.since(exchange.started_at);
    let runtime = &environment.runtime;
    runtime
        .metrics
        .request_ended(&exchange.route.name, "stream_broken", time);
    info!(runtime.logger, "stream interrupted"; "request" => exchange.id_text(),
        "route" => &exchange.route.name,
        "last_event" => exchange.stream.as_ref().and_then(|stream| stream.last_event));
}
