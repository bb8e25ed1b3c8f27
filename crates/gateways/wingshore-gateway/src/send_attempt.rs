//! The start of an attempt at a server, and its end without an answer.

use crate::answer_matching::ExpectedAnswer;
use crate::encode::encode_request;
use crate::environment::Environment;
use crate::exchange::Exchange;
use crate::ids::ExchangeId;
use crate::request_suspicion;
use crate::running_attempt::RunningAttempt;
use crate::upstream::{ServerRequest, Task};
use wingshore_coordination::ServerRecord;

/// Sends a request to a server; returns `None` if the operating system refuses a connection.
pub(crate) fn send(
    environment: &mut Environment,
    id: ExchangeId,
    exchange: &Exchange,
    server: &ServerRecord,
) -> Option<RunningAttempt> {
    let now = environment.runtime.now;
    let names = environment.site.protocol.header_names();
    let encoded = encode_request(now, &environment.site, exchange, server);
    let servers = &mut environment.servers;
    let request = ServerRequest {
        instance: &server.instance,
        address: server.address,
        task: Task::Exchange(id),
        expected: ExpectedAnswer::to_request(names, &exchange.id),
        encoded,
    };
    let upstreams = &mut servers.upstreams;
    let connection = upstreams.send(&mut environment.runtime, request)?;
    servers.balancer.started(&server.instance);
    let upstream = servers.upstreams.get(connection);
    let is_connected = upstream.is_some_and(|upstream| upstream.is_connected);
    Some(RunningAttempt {
        connection,
        instance: server.instance.clone(),
        started_at: now,
        connected_at: is_connected.then_some(now),
        kept_until: None,
        is_second: false,
    })
}

/// Closes the connection of an attempt before its answer, so that the server can stop working on
/// it. Every attempt that the gateway itself ends, ends here: the server may go on with the
/// request, and crash.
pub(crate) fn close(environment: &mut Environment, exchange: &Exchange, attempt: &RunningAttempt) {
    let servers = &mut environment.servers;
    let closed = servers
        .upstreams
        .close(&mut environment.runtime, attempt.connection);
    if closed.is_none() {
        return;
    }
    servers.balancer.ended(&attempt.instance);
    if attempt.connected_at.is_some() {
        request_suspicion::attempt_closed(environment, exchange, attempt);
    }
}
