//! Passing streams of events on to clients as they come.
//!
//! Only whole events are passed on, so that a stream that breaks off inside one can be resumed at
//! another server behind the last whole event, within the same answer.

use crate::answers::AnswerFacts;
use crate::encode::end_to_end_headers;
use crate::environment::Environment;
use crate::exchange::Exchange;
use crate::passed_stream::PassedStream;
use crate::protocol::HeaderNames;
use crate::request_suspicion;
use crate::upstream::Upstream;
use slog::info;
use wingshore_coordination::RouteKind;
use wingshore_net::ConnectionId;
use wingshore_net::http::{AnswerHead, HeadWriter, write_chunk, write_last_chunk};

/// A client that lets more bytes than this wait is cut off. This bounds the memory that a client
/// which does not read can take.
const MAX_QUEUED_BYTES: usize = 8 << 20;

/// What becomes of the client of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamClient {
    /// It reads.
    Reads,
    /// It lets too much wait.
    DoesNotRead,
}

/// Passes on what has arrived of a server's answer, if that is a stream for `client`.
pub(crate) fn pass_on(
    environment: &mut Environment,
    exchange: &mut Exchange,
    connection: ConnectionId,
    client: ConnectionId,
) -> StreamClient {
    let now = environment.runtime.now;
    if exchange.route.kind != RouteKind::Streaming {
        return StreamClient::Reads;
    }
    let names = environment.site.protocol.header_names();
    let Some(upstream) = environment.servers.upstreams.get_mut(connection) else {
        return StreamClient::Reads;
    };
    let Some((head, body)) = take_part(names, &exchange.id, upstream) else {
        return StreamClient::Reads;
    };
    let reactor = &mut environment.runtime.reactor;
    if exchange.stream.is_none() {
        reactor.send(client, &stream_head(&head));
    }
    let stream = exchange
        .stream
        .get_or_insert_with(|| PassedStream::new(now, connection, names.version));
    let whole = stream.take(now, connection, &body);
    let mut chunk = Vec::new();
    write_chunk(&mut chunk, &whole);
    reactor.send(client, &chunk);
    request_suspicion::clear_if_long(environment, exchange);
    if environment.runtime.reactor.queued(client) <= MAX_QUEUED_BYTES {
        return StreamClient::Reads;
    }
    info!(environment.runtime.logger, "client does not read"; "request" => exchange.id_text(),
        "at_ms" => now.as_millis());
    StreamClient::DoesNotRead
}

/// Takes what has arrived of the stream that answers the request of this identity; `None` if what
/// arrives is not that.
fn take_part(
    names: &HeaderNames,
    request: &[u8],
    upstream: &mut Upstream,
) -> Option<(AnswerHead, Vec<u8>)> {
    let head = upstream.reader.head().filter(|head| head.is_success())?;
    if !AnswerFacts::read(names, request, head).is_genuine() {
        return None;
    }
    let head = head.clone();
    Some((head, upstream.reader.take_body()))
}

fn stream_head(head: &AnswerHead) -> Vec<u8> {
    let mut writer = HeadWriter::answer(head.status);
    for (name, value) in end_to_end_headers(&head.headers) {
        writer = writer.line(name, value);
    }
    writer.chunked()
}

/// The server has ended the stream; says whether it is whole, which it is not inside an event.
pub(crate) fn finish(
    environment: &mut Environment,
    exchange: &Exchange,
    client: ConnectionId,
) -> bool {
    let now = environment.runtime.now;
    let stream = exchange.stream.as_ref();
    if stream.is_some_and(PassedStream::is_within_event) {
        return false;
    }
    let time = now.since(exchange.begun);
    let metrics = &environment.runtime.metrics;
    metrics.request_ended(&exchange.route.name, "served", time);
    request_suspicion::request_succeeded(environment, exchange);
    let mut last = Vec::new();
    write_last_chunk(&mut last);
    environment.runtime.reactor.send(client, &last);
    true
}

/// No server resumes the stream.
pub(crate) fn log_broken(environment: &Environment, exchange: &Exchange) {
    let now = environment.runtime.now;
    let time = now.since(exchange.begun);
    let runtime = &environment.runtime;
    runtime
        .metrics
        .request_ended(&exchange.route.name, "stream_broken", time);
    info!(runtime.logger, "stream broken off"; "request" => exchange.id_text(),
        "route" => &exchange.route.name,
        "last_event" => exchange.stream.as_ref().and_then(|stream| stream.last_event));
}
