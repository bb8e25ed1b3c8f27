//! Dispatches each request to the code that serves it.

use crate::background::PoolAnnouncer;
use crate::http::{BodyMemory, Caller, EdgeAnswer, EdgeError, EdgeHandler, Route, RouteError};
use crate::serve::trainer::{TrainerHandler, TrainerRequest};
use crate::serve::{completions, forward, trainer};
use crate::state::NodeState;
use std::sync::Arc;
use std::time::Duration;

/// Retry-after of a node whose workers are all busy.
const RETRY_AFTER_OVERLOAD: Duration = Duration::from_millis(100);
const NANOSECONDS_PER_MILLISECOND: u128 = 1_000_000;

/// Serves the HTTP requests of a node's callers.
pub struct NodeEdge {
    node: Arc<NodeState>,
    announcer: Arc<PoolAnnouncer>,
    body_memory: Arc<BodyMemory>,
}

impl NodeEdge {
    /// Creates the request handler of `node`, whose requests' bodies are held in `body_memory`.
    pub fn new(
        node: Arc<NodeState>,
        announcer: Arc<PoolAnnouncer>,
        body_memory: Arc<BodyMemory>,
    ) -> Self {
        Self {
            node,
            announcer,
            body_memory,
        }
    }

    fn ready(&self) -> EdgeAnswer {
        match self.node.may_admit() {
            Ok(()) => EdgeAnswer::text(200, "ready\n"),
            Err(error) => error.answer(),
        }
    }

    fn metrics(&self) -> EdgeAnswer {
        const PROMETHEUS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        let now = self.node.clock.now();
        let lease_left = self.node.view().lease_left(now);
        let ejected = self.node.router().ejected();
        self.node.metrics.servers_ejected.set(ejected as i64);
        let body_bytes = self.body_memory.used();
        self.node.metrics.body_bytes.set(body_bytes as i64);
        // Rounded up, so that 0 is shown only after the lease has expired.
        let milliseconds = lease_left.as_nanos().div_ceil(NANOSECONDS_PER_MILLISECOND);
        self.node
            .metrics
            .configuration_lease_ms
            .set(milliseconds as i64);
        EdgeAnswer::new(200, PROMETHEUS, self.node.metrics.text().into_bytes())
    }
}

impl EdgeHandler for NodeEdge {
    fn handle(&self, caller: Caller) {
        let route = match caller.route() {
            Ok(route) => route.clone(),
            Err(error) => {
                let answer = route_error(error).answer();
                return caller.respond(answer);
            }
        };
        match route {
            Route::Health => caller.respond(EdgeAnswer::text(200, "ok\n")),
            Route::Ready => caller.respond(self.ready()),
            Route::Metrics => caller.respond(self.metrics()),
            Route::Completions => completions::serve(&self.node, caller),
            Route::Forward { service, target } => {
                forward::serve(&self.node, caller, service, &target);
            }
            Route::Submit(pool) => {
                trainer::serve(self.trainer_handler(), caller, TrainerRequest::Submit(pool));
            }
            Route::Pull(pool, step) => {
                trainer::serve(
                    self.trainer_handler(),
                    caller,
                    TrainerRequest::Pull(pool, step),
                );
            }
            Route::Acknowledge(pool, step) => {
                trainer::serve(
                    self.trainer_handler(),
                    caller,
                    TrainerRequest::Acknowledge(pool, step),
                );
            }
            Route::Publish(pool) => {
                trainer::serve(
                    self.trainer_handler(),
                    caller,
                    TrainerRequest::Publish(pool),
                );
            }
        }
    }

    fn refuse_overload(&self, caller: Caller) {
        let error = EdgeError::not_run(503, "overloaded", "all workers of this node are busy")
            .retry_after(RETRY_AFTER_OVERLOAD);
        self.node
            .metrics
            .on_answered("overloaded", &error.code, Duration::ZERO);
        caller.respond(error.answer());
    }
}

impl NodeEdge {
    fn trainer_handler(&self) -> TrainerHandler<'_> {
        TrainerHandler {
            node: &self.node,
            announcer: &self.announcer,
        }
    }
}

fn route_error(error: &RouteError) -> EdgeError {
    match error {
        RouteError::NotFound { .. } => EdgeError::not_run(404, "not_found", error),
        RouteError::MethodNotAllowed { .. } => EdgeError::not_run(405, "method_not_allowed", error),
        RouteError::BadStep { .. } => EdgeError::not_run(400, "invalid_request", error),
    }
}
