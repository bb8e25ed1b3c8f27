//! Decision: what is a client's request for, and is it let in?
//!
//! No I/O, no clock.
//!
//! **Inputs.** The configuration in force (routes, tenants, keys), who calls on the connection, and the
//! head of the request.
//!
//! **Rule.** Without a configuration nothing is let in. A call about a batch job is let in with a key in
//! force, or where a batch route of its host is public; any other request needs a route for its host
//! and path, and a key in force unless the route is public. A head that cannot be let in is refused
//! before the rest of its request arrives.
//!
//! **Why.** What cannot be served is refused at once. A key goes to no server and into no log line.
//!
//! **Old or missing inputs.** Routes and keys are those of the newest configuration that the gateway has:
//! one that was taken back elsewhere counts until the view brings that.

use crate::attempts::RETRY_AFTER;
use crate::protocol::{BatchCall, OwnAnswer};
use crate::site::Site;
use std::sync::Arc;
use wingshore_coordination::{Caller, Route, RouteKind, TenantName};
use wingshore_net::http::{Headers, RequestHead};

/// Who calls on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Clients.
    Front,
    /// The deployment's checks of readiness.
    Ready,
    /// Monitoring.
    Metrics,
}

/// What is done about a request.
pub(crate) enum Admission {
    /// It asks whether the gateway is ready.
    Ready,
    /// It asks for the metrics.
    Metrics,
    /// It is not let in.
    Refused(Refusal),
    /// It is a call about a batch job.
    BatchCall(BatchCall, Option<Caller>),
    /// It submits a batch job.
    Submission(Option<Caller>),
    /// It goes to servers.
    Forward(Arc<Route>, Option<Caller>),
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) answer: OwnAnswer,
    /// In words, for logs.
    pub(crate) reason: &'static str,
}

impl Refusal {
    /// No configuration is known.
    const UNCONFIGURED: Self = Self {
        answer: OwnAnswer::NotRun(RETRY_AFTER),
        reason: "no configuration is known yet",
    };
    /// No route leads it.
    const NO_ROUTE: Self = Self {
        answer: OwnAnswer::NoRoute,
        reason: "no route of the configuration in force has this host and path",
    };
    /// Its route leads nowhere.
    pub(crate) const NO_SERVICE: Self = Self {
        answer: OwnAnswer::NotRun(RETRY_AFTER),
        reason: "its route has no service",
    };
    /// It may outlast a planned stop, and could only be broken off.
    pub(crate) const STOPPING: Self = Self {
        answer: OwnAnswer::NotRun(RETRY_AFTER),
        reason: "it is a stream that may outlast the planned stop",
    };
    /// It did not arrive in time.
    pub(crate) const TOO_SLOW: Self = Self {
        answer: OwnAnswer::TooSlow,
        reason: "it did not arrive whole within the limits of the configuration",
    };

    /// Its caller is not let in.
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

/// What is done about a whole request.
pub(crate) fn admit(site: &Site, purpose: Purpose, head: &RequestHead) -> Admission {
    match purpose {
        Purpose::Ready => return Admission::Ready,
        Purpose::Metrics => return Admission::Metrics,
        Purpose::Front => {}
    }
    if !site.view.is_configured() {
        return Admission::Refused(Refusal::UNCONFIGURED);
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

/// Why a request is refused whose head alone says that it cannot be let in.
pub(crate) fn refuse_early(site: &Site, purpose: Purpose, head: &RequestHead) -> Option<Refusal> {
    let is_call = || site.protocol.read_batch_call(head).is_some();
    if purpose != Purpose::Front || !site.view.has_tenants() || is_call() {
        return None;
    }
    let route = site.view.routes().find(host(head), head.path())?;
    route_caller(site, head, route).err()
}

/// The tenant that a request is run for.
pub(crate) fn tenant_of(caller: Option<&Caller>) -> Option<TenantName> {
    caller.map(|caller| caller.tenant.clone())
}

/// The caller of a request on a route; `None` where it is not told apart from others.
fn route_caller(site: &Site, head: &RequestHead, route: &Route) -> Result<Option<Caller>, Refusal> {
    let caller = caller_of(site, &head.headers);
    if caller.is_none() && site.view.requires_key(route) {
        return Err(Refusal::unauthorized(site, &head.headers));
    }
    Ok(caller)
}

/// The caller of a call about a batch job; `None` where it is not told apart from others.
fn batch_caller(site: &Site, head: &RequestHead) -> Result<Option<Caller>, Refusal> {
    let caller = caller_of(site, &head.headers);
    if caller.is_none() && site.view.asks_for_key_of_jobs(host(head)) {
        return Err(Refusal::unauthorized(site, &head.headers));
    }
    Ok(caller)
}

/// The caller whose key a request shows, if that is in force.
fn caller_of(site: &Site, headers: &Headers) -> Option<Caller> {
    let key = site.protocol.read_key(headers)?;
    site.view.caller(&key).cloned()
}

fn host(head: &RequestHead) -> &str {
    head.headers.text("host").unwrap_or_default()
}
