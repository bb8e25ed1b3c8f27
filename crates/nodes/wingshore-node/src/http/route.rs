//! Parses the method and target of a request into a route.

use snafu::Snafu;
use wingshore_types::{PoolId, ServiceId, StepId};

/// The operation that a request asks for.
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
    /// `/{service}/…`: forwarded to a live service, with any method.
    Forward {
        /// Id of the service.
        service: ServiceId,
        /// Path and query for the server: the part of the target after the service id.
        target: String,
    },
}

/// Reason why a request has no route.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum RouteError {
    /// The path does not exist.
    #[snafu(display("there is nothing at `{path}`"))]
    NotFound {
        /// The requested path.
        path: String,
    },
    /// The path exists but supports another method.
    #[snafu(display("`{path}` takes {allowed} only"))]
    MethodNotAllowed {
        /// The requested path.
        path: String,
        /// The supported method.
        allowed: &'static str,
    },
    /// The step is not a number.
    #[snafu(display("step `{found}` is not a number"))]
    BadStep {
        /// The text in place of the step.
        found: String,
    },
}

/// Parses a method and a target.
///
/// # Errors
/// Fails when the target does not exist or does not support the method.
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
        ["v1", rest @ ..] => ("POST", parse_v1_route(path, rest)?),
        ["" | "." | ".."] | ["" | "." | "..", ..] => return NotFoundSnafu { path }.fail(),
        [service, ..] => return Ok(forward_route(service, target)),
        [] => return NotFoundSnafu { path }.fail(),
    };
    if method != allowed {
        return MethodNotAllowedSnafu { path, allowed }.fail();
    }
    Ok(route)
}

fn parse_v1_route(path: &str, elements: &[&str]) -> Result<Route, RouteError> {
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

/// Returns the route to a live service. The part after the service id is passed on unchanged, query
/// included.
fn forward_route(service: &str, target: &str) -> Route {
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
