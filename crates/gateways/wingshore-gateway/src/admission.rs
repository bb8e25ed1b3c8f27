//! Decision: what does a client's request ask for, and is it admitted?
//!
//! No I/O, no clock.
//!
//! **Inputs.** The configuration in force (routes, tenants, keys), the listener that the connection
//! came in on, and the head of the request.
//!
//! **Rule.** The listeners for readiness, metrics and the directory answer their own questions only.
//! Without a configuration nothing else is admitted. A call about a batch job needs a key in
//! force, unless a batch route of its host is public. Any other request needs a route for its host
//! and path, and a key in force unless the route is public. A request whose head shows that it
//! cannot be admitted is refused before its body arrives.
//!
//! **Why.** A request that cannot be served is refused at once. Keys are never sent to servers or
//! logged.
//!
//! **Stale or missing inputs.** Routes and keys come from the newest configuration that the gateway
//! has: a route or key that was revoked elsewhere stays valid until the view brings the change.

use crate::attempts::RETRY_AFTER;
use crate::protocol::{BatchCall, OwnAnswer};
use crate::site::Site;
use std::sync::Arc;
use std::time::Duration;
use wingshore_coordination::{Caller, Route, RouteKind, TenantName};
use wingshore_net::http::{Headers, RequestHead};

/// The kind of listener that a connection came in on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    /// For clients.
    Front,
    /// For readiness checks of the deployment.
    Ready,
    /// For monitoring.
    Metrics,
    /// For clients that ask which gateways they may use.
    Directory,
}

/// The decision on a request.
pub(crate) enum Admission {
    /// Answer whether the gateway is ready.
    Ready,
    /// Answer with the metrics.
    Metrics,
    /// Refuse the request, since no configuration is known yet.
    Unconfigured,
    /// Answer which gateways a client in this zone may use.
    Directory { zone: String },
    /// Refuse the request.
    Refused(Refusal),
    /// Handle a call about a batch job.
    BatchCall(BatchCall, Option<Caller>),
    /// Handle the submission of a batch job.
    Submission(Option<Caller>),
    /// Forward the request to a server.
    Forward(Arc<Route>, Option<Caller>),
}

/// The answer to a request that is refused, and the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) answer: OwnAnswer,
    /// The reason, as shown in logs.
    pub(crate) reason: &'static str,
}

impl Refusal {
    /// No route matches.
    const NO_ROUTE: Self = Self {
        answer: OwnAnswer::NoRoute,
        reason: "no route of the configuration in force matches this host and path",
    };
    /// The listener of the directory answers one call only.
    const NO_QUESTION: Self = Self {
        answer: OwnAnswer::NoRoute,
        reason: "the directory knows no such call",
    };
    /// The route has no service to forward to.
    pub(crate) const NO_SERVICE: Self = Self {
        answer: OwnAnswer::NotRun(RETRY_AFTER),
        reason: "the route has no service",
    };
    /// The request may outlast a planned stop and would then have to be interrupted.
    pub(crate) const STOPPING: Self = Self {
        answer: OwnAnswer::NotRun(RETRY_AFTER),
        reason: "the request may outlast the planned stop",
    };
    /// The request did not arrive in time.
    pub(crate) const TOO_SLOW: Self = Self {
        answer: OwnAnswer::TooSlow,
        reason: "the request did not arrive completely within the configured limits",
    };

    /// Clients use all memory that they may use.
    pub(crate) const FULL: Self = Self {
        answer: OwnAnswer::NotRun(RETRY_AFTER),
        reason: "the requests of all clients do not fit into the memory for them",
    };

    /// The gateway has no configuration yet.
    pub(crate) fn unconfigured(retry_after: Duration) -> Self {
        Self {
            answer: OwnAnswer::NotRun(retry_after),
            reason: "no configuration is known yet",
        }
    }

    /// The caller has no valid key.
    fn unauthorized(site: &Site, headers: &Headers) -> Self {
        let has_key = site.protocol.read_key(headers).is_some();
        let reason = if has_key {
            "the key that it shows is not in force"
        } else {
            "its route asks for a key, and it shows none"
        };
        Self {
            answer: OwnAnswer::Unauthorized,
            reason,
        }
    }
}

/// Decides what to do with a complete request.
pub(crate) fn admit(site: &Site, listener_kind: ListenerKind, head: &RequestHead) -> Admission {
    match listener_kind {
        ListenerKind::Ready => return Admission::Ready,
        ListenerKind::Metrics => return Admission::Metrics,
        ListenerKind::Directory => return admit_question(site, head),
        ListenerKind::Front => {}
    }
    if !site.view.is_configured() {
        return Admission::Unconfigured;
    }
    if let Some(call) = site.protocol.read_batch_call(head) {
        return match batch_caller(site, head) {
            Ok(caller) => Admission::BatchCall(call, caller),
            Err(refusal) => Admission::Refused(refusal),
        };
    }
    let Some(route) = site.view.routes().find(host(head), head.path()) else {
        return Admission::Refused(Refusal::NO_ROUTE);
    };
    match route_caller(site, head, route) {
        Err(refusal) => Admission::Refused(refusal),
        Ok(caller) if route.kind == RouteKind::Batch && head.method == "POST" => {
            Admission::Submission(caller)
        }
        Ok(caller) => Admission::Forward(Arc::clone(route), caller),
    }
}

/// Decides what to do with a request on the listener of the directory.
fn admit_question(site: &Site, head: &RequestHead) -> Admission {
    match site.protocol.read_directory_question(head) {
        Some(zone) => Admission::Directory { zone },
        None => Admission::Refused(Refusal::NO_QUESTION),
    }
}

/// Returns why a request is refused if its head alone shows that it cannot be admitted.
pub(crate) fn refuse_early(
    site: &Site,
    listener_kind: ListenerKind,
    head: &RequestHead,
) -> Option<Refusal> {
    let is_call = || site.protocol.read_batch_call(head).is_some();
    if listener_kind != ListenerKind::Front || !site.view.has_tenants() || is_call() {
        return None;
    }
    let route = site.view.routes().find(host(head), head.path())?;
    route_caller(site, head, route).err()
}

/// Returns the tenant on whose behalf a request runs.
pub(crate) fn tenant_of(caller: Option<&Caller>) -> Option<TenantName> {
    caller.map(|caller| caller.tenant.clone())
}

/// Returns the caller of a request on a route; `None` for an anonymous caller of a public route.
fn route_caller(site: &Site, head: &RequestHead, route: &Route) -> Result<Option<Caller>, Refusal> {
    let caller = caller_of(site, &head.headers);
    if caller.is_none() && site.view.requires_key(route) {
        return Err(Refusal::unauthorized(site, &head.headers));
    }
    Ok(caller)
}

/// Returns the caller of a call about a batch job; `None` for an anonymous caller.
fn batch_caller(site: &Site, head: &RequestHead) -> Result<Option<Caller>, Refusal> {
    let caller = caller_of(site, &head.headers);
    if caller.is_none() && site.view.requires_key_for_jobs(host(head)) {
        return Err(Refusal::unauthorized(site, &head.headers));
    }
    Ok(caller)
}

/// Returns the caller that the request's key belongs to, if the key is in force.
fn caller_of(site: &Site, headers: &Headers) -> Option<Caller> {
    let key = site.protocol.read_key(headers)?;
    site.view.caller(&key).cloned()
}

fn host(head: &RequestHead) -> &str {
    head.headers.text("host").unwrap_or_default()
}
