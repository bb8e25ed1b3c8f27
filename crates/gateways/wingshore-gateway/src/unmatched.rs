//! Logs and counts of answers that do not belong to the request that waits on a connection.

use crate::answer_matching::{MismatchedAnswer, UnidentifiedAnswer};
use crate::environment::Environment;
use crate::metrics::UnmatchedKind;
use slog::info;
use wingshore_net::ConnectionId;
use wingshore_net::http::HttpError;

/// Logs and counts mismatched answers that were skipped on a connection: the request that waits there
/// still expects its own answer.
pub(crate) fn log_skipped(
    environment: &Environment,
    connection: ConnectionId,
    skipped: &[MismatchedAnswer],
) {
    let runtime = &environment.runtime;
    for answer in skipped {
        runtime.metrics.unmatched_answer(UnmatchedKind::Mismatched);
        info!(runtime.logger, "mismatched answer skipped"; "request" => &answer.request,
            "status" => answer.status, "server" => server_text(environment, connection));
    }
}

/// Logs and counts an answer that belongs to no known request. The connection is closed.
pub(crate) fn log_unmatched(
    environment: &Environment,
    connection: ConnectionId,
    reason: UnidentifiedAnswer,
) {
    let runtime = &environment.runtime;
    let kind = UnmatchedKind::Unidentified(reason);
    runtime.metrics.unmatched_answer(kind);
    info!(runtime.logger, "answer of no known request"; "reason" => %reason,
        "server" => server_text(environment, connection));
}

/// Logs and counts bytes that are no answer. The connection is closed.
pub(crate) fn log_malformed(
    environment: &Environment,
    connection: ConnectionId,
    error: &HttpError,
) {
    let runtime = &environment.runtime;
    runtime.metrics.unmatched_answer(UnmatchedKind::Malformed);
    info!(runtime.logger, "no answer"; "reason" => %error,
        "server" => server_text(environment, connection));
}

/// Logs and counts an answer that is dropped since all answers together hold too many bytes. The
/// connection is closed.
pub(crate) fn log_dropped(environment: &Environment, connection: ConnectionId) {
    let runtime = &environment.runtime;
    runtime.metrics.unmatched_answer(UnmatchedKind::Dropped);
    info!(runtime.logger, "answer dropped for memory";
        "server" => server_text(environment, connection));
}

/// Logs and counts bytes that arrived on a connection without a request. The connection is closed.
pub(crate) fn log_idle(environment: &Environment, connection: ConnectionId) {
    let runtime = &environment.runtime;
    runtime.metrics.unmatched_answer(UnmatchedKind::Idle);
    info!(runtime.logger, "bytes on an idle connection";
        "server" => server_text(environment, connection));
}

fn server_text(environment: &Environment, connection: ConnectionId) -> Option<String> {
    let upstream = environment.servers.upstreams.get(connection)?;
    Some(upstream.instance.to_string())
}
