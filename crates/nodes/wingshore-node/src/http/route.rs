//! Method and target of a request, parsed into what is asked.

use snafu::Snafu;
use wingshore_types::{PoolId, ServiceId, StepId};

/// What a request asks of the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// `GET /healthz`.
    Health,
    /// `GET /readyz`.
    Ready,
    /// `GET /metrics`.
    Metrics,
    /// `POST /v1/completions`.
    Completions,
    /// `POST /v1/pools/{pool}/samples`.
    Submit(PoolId),
    /// `POST /v1/pools/{pool}/steps/{step}/pull`.
    Pull(PoolId, StepId),
    /// `POST /v1/pools/{pool}/steps/{step}/ack`.
    Acknowledge(PoolId, StepId),
    /// `POST /v1/pools/{pool}/versions`.
    Publish(PoolId),
    /// `/{service}/…`: any method, forwarded.
    Forward {
        /// The service.
        service: ServiceId,
        /// Path and query on the server: what follows the service's name.
        target: String,
    },
}

/// Why a request asks for nothing that exists.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum RouteError {
    /// No such path.
    #[snafu(display("there is nothing at `{path}`"))]
    NotFound {
        /// The path.
        path: String,
    },
    /// The path takes another method.
    #[snafu(display("`{path}` takes {allowed} only"))]
    MethodNotAllowed {
        /// The path.
        path: String,
        /// The method it takes.
        allowed: &'static str,
    },
    /// A step that is not a number.
    #[snafu(display("step `{found}` is not a number"))]
    BadStep {
        /// What was found.
        found: String,
    },
}

/// Parses method and target.
///
/// # Errors
/// Where there is nothing at the target, or not for this method.
pub fn parse_route(method: &str, target: &str) -> Result<Route, RouteError> {
    let path = target.split(['?', '#']).next().unwrap_or_default();
    let Some(relative) = path.strip_prefix('/') else {
        return NotFoundSnafu { path }.fail();
    };
    let elements: Vec<&str> = relative.split('/').collect();
    let (allowed, route) = match elements.as_slice() {
        ["healthz"] => ("GET", Route::Health),
        ["readyz"] => ("GET", Route::Ready),
        ["metrics"] => ("GET", Route::Metrics),
        ["v1", rest @ ..] => ("POST", parse_version_one(path, rest)?),
        ["" | "." | ".."] | ["" | "." | "..", ..] => return NotFoundSnafu { path }.fail(),
        [service, ..] => return Ok(forward(service, target)),
        [] => return NotFoundSnafu { path }.fail(),
    };
    if method != allowed {
        return MethodNotAllowedSnafu { path, allowed }.fail();
    }
    Ok(route)
}

fn parse_version_one(path: &str, elements: &[&str]) -> Result<Route, RouteError> {
    match elements {
        ["completions"] => Ok(Route::Completions),
        ["pools", pool, "samples"] => Ok(Route::Submit(PoolId::new(pool))),
        ["pools", pool, "versions"] => Ok(Route::Publish(PoolId::new(pool))),
        ["pools", pool, "steps", step, "pull"] => {
            Ok(Route::Pull(PoolId::new(pool), parse_step(step)?))
        }
        ["pools", pool, "steps", step, "ack"] => {
            Ok(Route::Acknowledge(PoolId::new(pool), parse_step(step)?))
        }
        _ => NotFoundSnafu { path }.fail(),
    }
}

fn parse_step(text: &str) -> Result<StepId, RouteError> {
    match text.parse() {
        Ok(step) => Ok(StepId(step)),
        Err(_) => BadStepSnafu { found: text }.fail(),
    }
}

/// What follows the service's name goes to the server as it is, the query included.
fn forward(service: &str, target: &str) -> Route {
    let rest = target.get(1 + service.len()..).unwrap_or_default();
    let target = if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    };
    Route::Forward {
        service: ServiceId::new(service),
        target,
    }
}
