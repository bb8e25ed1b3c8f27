//! Answers of the gateway itself to requests that were not sent to a server, and the reasons.

use super::Gateway;
use crate::admission::{self, Refusal};
use slog::warn;
use std::fmt::Display;
use std::time::Duration;
use wingshore_net::ConnectionId;
use wingshore_net::http::{HttpAnswer, RequestError, RequestHead};

/// Route label in metrics for requests without a route.
const NO_ROUTE: &str = "none";
/// Name of the answer in logs to bytes that are not a valid request.
const UNREADABLE: &str = "unreadable";

impl Gateway {
    /// Refuses a request that is not admitted.
    pub(super) fn refuse(&mut self, client: ConnectionId, head: &RequestHead, refusal: Refusal) {
        let Refusal { answer, reason } = refusal;
        self.log_refused(Some(head), answer.name(), reason);
        let metrics = &self.environment.runtime.metrics;
        metrics.request_ended(NO_ROUTE, answer.name(), Duration::ZERO);
        self.answer_own(client, &answer);
    }

    /// Refuses a request that is not admitted because of its head alone; the rest of it is not
    /// read.
    pub(super) fn refuse_early(&mut self, client: ConnectionId) {
        let (listener_kind, head) = (
            self.clients.listener_kind(client),
            self.clients.head(client),
        );
        let Some((listener_kind, head)) = listener_kind.zip(head) else {
            return;
        };
        let refusal = admission::refuse_early(&self.environment.site, listener_kind, head);
        if let Some(refusal) = refusal {
            let head = head.clone();
            self.clients.close_after_answer(client);
            self.refuse(client, &head, refusal);
        }
    }

    /// Refuses a request that did not arrive completely in time; its connection is closed after the
    /// answer.
    pub(super) fn refuse_too_slow(&mut self, client: ConnectionId) {
        if !self.clients.close_after_answer(client) {
            return;
        }
        let Refusal { answer, reason } = Refusal::TOO_SLOW;
        let head = self.clients.head(client);
        self.log_refused(head, answer.name(), reason);
        self.answer_own(client, &answer);
    }

    /// Refuses bytes that are not a valid request, or a request over a limit; the connection is
    /// closed after the answer.
    pub(super) fn refuse_unreadable(&mut self, client: ConnectionId, error: &RequestError) {
        if !self.clients.close_after_answer(client) {
            return;
        }
        let head = self.clients.head(client);
        self.log_refused(head, UNREADABLE, error);
        let answer = HttpAnswer::plain(error.status(), error.to_string());
        self.answer_whole(client, answer);
    }

    /// Logs an answer that was given without sending the request to a server.
    pub(super) fn log_refused(
        &self,
        head: Option<&RequestHead>,
        answer: &'static str,
        reason: impl Display,
    ) {
        let now = self.environment.runtime.now;
        let site = &self.environment.site;
        let name = site.protocol.header_names().request_id;
        let header = |name| head.and_then(|head| head.headers.text(name));
        let leader_silence = site.coordinators.leader_silence(now);
        warn!(self.environment.runtime.logger, "refused"; "request" => header(name),
            "host" => header("host"), "path" => head.map(RequestHead::path), "answer" => answer,
            "reason" => %reason, "configuration" => site.view.version(),
            "epoch" => site.view.epoch().0,
            "leader_known" => site.coordinators.leader().is_some(),
            "leader_heard_ms" => leader_silence.map(|time| time.as_millis() as u64),
            "stopping" => self.is_stopping());
    }
}
