//! What is known and reported of one live request as the possible cause of the ends of servers.

use crate::crash_reports;
use crate::environment::Environment;
use crate::exchange::Exchange;
use crate::fingerprints;
use crate::site::Site;
use crate::upstream::LostRequest;
use slog::warn;
use wingshore_coordination::RequestFingerprint;

/// What a request asks, whatever its identity; `None` before the site's key is known.
pub(crate) fn fingerprint_of(site: &Site, exchange: &Exchange) -> Option<RequestFingerprint> {
    fingerprints::of_request(site, exchange.tenant.as_ref(), &exchange.request)
}

/// The fingerprint as it is logged.
pub(crate) fn fingerprint_text(site: &Site, exchange: &Exchange) -> Option<String> {
    fingerprint_of(site, exchange).map(|known| known.to_string())
}

/// Whether so many servers have ended under a request that no other one is to run it.
pub(crate) fn is_rejected(environment: &Environment, exchange: &Exchange) -> bool {
    environment.is_rejected(|site| fingerprint_of(site, exchange))
}

/// Whether so many servers have ended under a request that one attempt sends it to one server only.
pub(crate) fn is_suspect(environment: &Environment, exchange: &Exchange) -> bool {
    let Some(suspicions) = environment.suspicions() else {
        return false;
    };
    let request = fingerprint_of(&environment.site, exchange);
    request.is_some_and(|request| suspicions.is_suspect(request))
}

/// One line for a request that is not sent to any server.
pub(crate) fn log_rejected(environment: &Environment, exchange: &Exchange) {
    let request = fingerprint_of(&environment.site, exchange);
    let suspicions = environment.suspicions();
    let ended = suspicions.zip(request);
    let ended = ended.map(|(suspicions, request)| suspicions.ended_under(request));
    let ended: Vec<String> = ended.iter().flatten().map(ToString::to_string).collect();
    warn!(environment.runtime.logger, "request rejected"; "request" => exchange.id_text(),
        "fingerprint" => request.map(|request| request.to_string()), "ended" => ended.join(","),
        "route" => &exchange.route.name, "service" => %exchange.service);
}

/// The connection of a request was lost while a server ran it.
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

/// A request went well.
pub(crate) fn request_succeeded(environment: &mut Environment, exchange: &Exchange) {
    crash_reports::request_succeeded(environment, |site| fingerprint_of(site, exchange));
}

/// A stream that has brought events for long enough is not what ends servers.
pub(crate) fn clear_if_long(environment: &mut Environment, exchange: &mut Exchange) {
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
