//! Answers of the gateway's own to requests that no server was offered, and why they were given.

use crate::attempts::RETRY_AFTER;
use crate::clients::Purpose;
use crate::process::Gateway;
use crate::protocol::OwnAnswer;
use slog::warn;
use std::fmt::Display;
use std::time::Duration;
use wingshore_net::ConnectionId;
use wingshore_net::http::{HttpAnswer, RequestError, RequestHead};
use wingshore_types::Instant;

/// Stands for the route in metrics where there is none.
const NO_ROUTE: &str = "none";

impl Gateway {
    /// Refuses a request as not run; the client may come back.
    pub(crate) fn refuse_not_run(
        &mut self,
        now: Instant,
        client: ConnectionId,
        head: &RequestHead,
        reason: &str,
    ) {
        let answer = OwnAnswer::NotRun(RETRY_AFTER);
        self.log_refused(now, Some(head), answer.name(), reason);
        self.environment
            .runtime
            .metrics
            .request_ended(NO_ROUTE, answer.name(), Duration::ZERO);
        self.answer_own(now, client, &answer);
    }

    /// Refuses a request that no route leads.
    pub(crate) fn refuse_without_route(
        &mut self,
        now: Instant,
        client: ConnectionId,
        head: &RequestHead,
    ) {
        let answer = OwnAnswer::NoRoute;
        let reason = "no route of the configuration in force has this host and path";
        self.log_refused(now, Some(head), answer.name(), reason);
        self.environment
            .runtime
            .metrics
            .request_ended(NO_ROUTE, answer.name(), Duration::ZERO);
        self.answer_own(now, client, &answer);
    }

    /// Refuses a request whose caller is not let in.
    pub(crate) fn refuse_caller(
        &mut self,
        now: Instant,
        client: ConnectionId,
        head: &RequestHead,
        answer: &OwnAnswer,
    ) {
        let has_key = self
            .environment
            .site
            .protocol
            .read_key(&head.headers)
            .is_some();
        let reason = if has_key {
            "the key that it shows is not in force"
        } else {
            "its route asks for a key, and it shows none"
        };
        self.log_refused(now, Some(head), answer.name(), reason);
        self.environment
            .runtime
            .metrics
            .request_ended(NO_ROUTE, answer.name(), Duration::ZERO);
        self.answer_own(now, client, answer);
    }

    /// Refuses a request whose head alone says that it cannot be let in; the rest of it is not
    /// read.
    pub(crate) fn refuse_early(&mut self, now: Instant, client: ConnectionId) {
        let Some(known) = self.clients.get(&client) else {
            return;
        };
        let head = known
            .reader
            .head()
            .filter(|_| known.purpose == Purpose::Front);
        let refusal = head.and_then(|head| Some((self.early_refusal(head)?, head.clone())));
        let Some((answer, head)) = refusal else {
            return;
        };
        if let Some(known) = self.clients.get_mut(&client) {
            known.close_after = true;
        }
        self.refuse_caller(now, client, &head, &answer);
    }

    /// Refuses a request that did not arrive whole in time; its connection is of no more use.
    pub(crate) fn refuse_too_slow(&mut self, now: Instant, client: ConnectionId) {
        let Some(known) = self.clients.get_mut(&client) else {
            return;
        };
        known.close_after = true;
        let head = known.reader.head().cloned();
        let answer = OwnAnswer::TooSlow;
        let reason = "it did not arrive whole within the limits of the configuration";
        self.log_refused(now, head.as_ref(), answer.name(), reason);
        self.answer_own(now, client, &answer);
    }

    /// Refuses bytes that are no request, or one over a limit; their connection is of no more use.
    pub(crate) fn refuse_unreadable(
        &mut self,
        now: Instant,
        client: ConnectionId,
        error: &RequestError,
    ) {
        let Some(known) = self.clients.get_mut(&client) else {
            return;
        };
        known.close_after = true;
        let head = known.reader.head().cloned();
        self.log_refused(now, head.as_ref(), "unreadable", error);
        let answer = HttpAnswer::plain(error.status(), error.to_string());
        self.answer_client(now, client, &answer);
    }

    /// One line for an answer that was given without offering the request to a server.
    pub(crate) fn log_refused(
        &self,
        now: Instant,
        head: Option<&RequestHead>,
        answer: &'static str,
        reason: impl Display,
    ) {
        let name = self.environment.site.protocol.header_names().request_id;
        let text = |name| head.and_then(|head| head.headers.text(name));
        warn!(self.environment.runtime.logger, "refused"; "request" => text(name), "host" => text("host"),
            "path" => head.map(RequestHead::path), "answer" => answer, "reason" => %reason,
            "configuration" => self.environment.site.view.version(), "epoch" => self.environment.site.view.epoch().0,
            "leader_known" => self.environment.site.coordinators.leader().is_some(),
            "leader_heard_ms" => self.environment.site.coordinators.leader_silence(now).map(|time| time.as_millis() as u64),
            "stopping" => self.stopping_since.is_some());
    }
}
