//! Whether one live request is suspected of crashing servers, and the reports about it.

use crate::crash_reports;
use crate::environment::Environment;
use crate::exchange::{Exchange, Origin};
use crate::fingerprints;
use crate::running_attempt::RunningAttempt;
use crate::site::Site;
use crate::trials;
use crate::upstream::LostRequest;
use slog::warn;
use wingshore_coordination::{InstanceId, RequestFingerprint, TrialEnd};

/// Returns the fingerprint of a request's content, independent of its request ID; `None` before the
/// site's fingerprint key is known.
pub(crate) fn fingerprint_of(site: &Site, exchange: &Exchange) -> Option<RequestFingerprint> {
    fingerprints::of_request(site, exchange.tenant.as_ref(), &exchange.request)
}

/// Returns the fingerprint as it is logged.
pub(crate) fn fingerprint_text(site: &Site, exchange: &Exchange) -> Option<String> {
    fingerprint_of(site, exchange).map(|fingerprint| fingerprint.to_string())
}

/// Returns the fingerprint by which a request is judged; `None` for a scoring, which is owed like its
/// item, whatever crashed under it.
fn judged_fingerprint(site: &Site, exchange: &Exchange) -> Option<RequestFingerprint> {
    match exchange.origin {
        Origin::Scoring(_) => None,
        Origin::Client(_) | Origin::Nobody => fingerprint_of(site, exchange),
    }
}

/// Whether a request is rejected because too many servers crashed while running it.
pub(crate) fn is_rejected(environment: &Environment, exchange: &Exchange) -> bool {
    let Some(suspicions) = environment.suspicions() else {
        return false;
    };
    let request = judged_fingerprint(&environment.site, exchange);
    request.is_some_and(|request| suspicions.is_rejected(request))
}

/// Whether several servers crashed while running a request, so that it must not be retried once it
/// may have run.
pub(crate) fn is_suspect(environment: &Environment, exchange: &Exchange) -> bool {
    let Some(suspicions) = environment.suspicions() else {
        return false;
    };
    let request = judged_fingerprint(&environment.site, exchange);
    request.is_some_and(|request| suspicions.is_suspect(request))
}

/// Returns the fingerprint of a request if several servers crashed while running it, as announced
/// by the leader or seen by this gateway; `None` for a scoring.
pub(crate) fn suspect_fingerprint(
    environment: &Environment,
    exchange: &Exchange,
) -> Option<RequestFingerprint> {
    let suspicions = environment.suspicions()?;
    let request = judged_fingerprint(&environment.site, exchange)?;
    suspicions.needs_trial(request).then_some(request)
}

/// Returns the servers that crashed while running a request.
pub(crate) fn crashed_instances(
    environment: &Environment,
    request: RequestFingerprint,
) -> Vec<InstanceId> {
    let suspicions = environment.suspicions();
    suspicions.map_or_else(Vec::new, |suspicions| suspicions.crashed_instances(request))
}

/// Logs a rejected request, which is not sent to any server.
pub(crate) fn log_rejected(environment: &Environment, exchange: &Exchange) {
    let request = fingerprint_of(&environment.site, exchange);
    let suspicions = environment.suspicions();
    let crashed = suspicions.zip(request);
    let crashed = crashed.map(|(suspicions, request)| suspicions.crashed_instances(request));
    let crashed: Vec<String> = crashed.iter().flatten().map(ToString::to_string).collect();
    warn!(environment.runtime.logger, "request rejected"; "request" => exchange.id_text(),
        "fingerprint" => request.map(|request| request.to_string()), "ended" => crashed.join(","),
        "route" => &exchange.route.name, "service" => %exchange.service);
}

/// Handles a connection that was lost while a server ran the request on it.
pub(crate) fn connection_lost(
    environment: &mut Environment,
    exchange: Option<&Exchange>,
    lost: &LostRequest,
) {
    let now = environment.runtime.now;
    let possible_cause = exchange.filter(|exchange| !exchange.has_streamed_long(now));
    let request = possible_cause.and_then(|exchange| fingerprint_of(&environment.site, exchange));
    crash_reports::connection_lost(environment, lost, request);
}

/// Handles an attempt whose connection the gateway closed before the answer.
pub(crate) fn attempt_closed(
    environment: &mut Environment,
    exchange: &Exchange,
    attempt: &RunningAttempt,
) {
    let now = environment.runtime.now;
    if exchange.has_streamed_long(now) {
        return;
    }
    let request = fingerprint_of(&environment.site, exchange);
    let deadline = Some(exchange.deadline);
    crash_reports::attempt_closed(environment, &attempt.instance, request, deadline);
}

/// Handles a request that ran successfully: clears it of suspicion.
pub(crate) fn request_succeeded(environment: &mut Environment, exchange: &mut Exchange) {
    trials::ended(environment, exchange, TrialEnd::Survived);
    crash_reports::request_succeeded(environment, |site| fingerprint_of(site, exchange));
}

/// Clears the request of a stream that has delivered events for long enough: it does not crash
/// servers.
pub(crate) fn clear_long_stream(environment: &mut Environment, exchange: &mut Exchange) {
    let now = environment.runtime.now;
    if environment.suspicions().is_none() || !exchange.has_streamed_long(now) {
        return;
    }
    let Some(stream) = &mut exchange.stream else {
        return;
    };
    if !std::mem::replace(&mut stream.is_cleared, true) {
        request_succeeded(environment, exchange);
    }
}
