//! HTTP calls of operators, trainers, servers and clients.

use super::{Coordinator, ReplyTarget, Role};
use crate::control;
use crate::membership::losses_borne_by;
use crate::metrics::Readings;
use crate::protocol::{ControlAnswer, ControlCall, LocalRequest};
use slog::warn;
use std::time::Duration;
use wingshore_coordination::{CoordinationLeader, Job, Reply, Request};
use wingshore_group::HostReply;
use wingshore_net::ConnectionId;
use wingshore_net::http::{HttpAnswer, WholeRequest};
use wingshore_types::{Instant, ReplicaId};

/// Idle connections of callers are closed after this time.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A request that has not arrived completely after this time is dropped.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Content type of the metrics text.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

impl Coordinator {
    /// Reads and handles the requests of a caller that have arrived, up to one that is not answered at
    /// once.
    pub(super) fn on_control_input(&mut self, now: Instant, connection: ConnectionId) {
        while self.read_call(now, connection) {}
    }

    /// Reads and handles the next request of a caller, unless its previous one is not answered yet, or
    /// it has not taken its answers; returns whether the request was answered at once.
    fn read_call(&mut self, now: Instant, connection: ConnectionId) -> bool {
        let Some(Role::Control(control)) = self.roles.get_mut(&connection) else {
            return false;
        };
        control.last_used_at = now;
        if control.pending_target.is_some() {
            return false;
        }
        if self.reactor.queued(connection) > control::MAX_UNSENT_BYTES {
            self.reactor.report_sent(connection);
            return false;
        }
        let Some(input) = self.reactor.input(connection) else {
            return false;
        };
        let next = control
            .reader
            .next(input, control::MAX_HEAD_BYTES, control.max_body);
        match next {
            Ok(None) => {
                let has_begun = !input.is_empty() || control.reader.is_under_way();
                if has_begun {
                    control.started_at.get_or_insert(now);
                    self.refuse_unfitting(now, connection);
                }
                false
            }
            Ok(Some(request)) => {
                control.started_at = None;
                control.pending_target = Some(request.head.target.clone());
                control.close_after = request.head.wants_close();
                control.is_reading = true;
                self.on_call(now, connection, &request);
                self.end_reading(connection)
            }
            Err(error) => {
                control.close_after = true;
                let answer = HttpAnswer::plain(error.status(), error.to_string());
                self.answer(connection, &answer);
                false
            }
        }
    }

    /// Records that a request was handled; returns whether it was answered.
    fn end_reading(&mut self, connection: ConnectionId) -> bool {
        let Some(Role::Control(control)) = self.roles.get_mut(&connection) else {
            return false;
        };
        control.is_reading = false;
        control.pending_target.is_none()
    }

    /// Answers a request on the metrics listener with all metrics, whatever its path.
    pub(super) fn on_metrics_input(&mut self, now: Instant, connection: ConnectionId) {
        let Some(input) = self.reactor.input(connection) else {
            return;
        };
        let Some(Role::Metrics(control)) = self.roles.get_mut(&connection) else {
            return;
        };
        control.last_used_at = now;
        let next = control
            .reader
            .next(input, control::MAX_HEAD_BYTES, control.max_body);
        let answer = match next {
            Ok(None) => {
                control.started_at.get_or_insert(now);
                return;
            }
            Ok(Some(_)) => HttpAnswer {
                status: 200,
                headers: vec![("Content-Type".to_owned(), METRICS_CONTENT_TYPE.to_owned())],
                body: self.metrics_text().into_bytes(),
            },
            Err(error) => HttpAnswer::plain(error.status(), error.to_string()),
        };
        let bytes = control::encode(&answer, true);
        self.reactor.send_shared(connection, &bytes.into());
        self.close_caller(now, connection);
    }

    /// Returns all metrics.
    fn metrics_text(&self) -> String {
        let account = self.reactor.account();
        self.metrics.callers.read(account, &self.settings.callers);
        self.metrics.text(&self.readings())
    }

    /// Returns the current values of the gauges.
    fn readings(&self) -> Readings {
        let state = self.host.state();
        let membership = self.host.membership();
        let leader = self.host.leader_machine();
        let counts = leader.map(CoordinationLeader::counts).unwrap_or_default();
        let now = self.clock.now();
        let scorings = leader.map(|leader| leader.scoring_readings(now, state));
        let scorings = scorings.unwrap_or_default();
        let (suspect_requests, rejected_requests) = state.evidence().counts();
        let draining = state.servers().values().filter(|server| server.draining);
        Readings {
            leading: self.host.is_leader(),
            leader_known: self.host.leader().is_some(),
            term: self.host.term(),
            commit_index: self.host.commit_index().0,
            applied_index: self.host.applied_index().0,
            voters: membership.voters.len(),
            learners: membership.learners.len(),
            losses_borne: losses_borne_by(membership.voters.len()),
            losses_to_bear: self.settings.losses_borne,
            gateways: self.directory.iter().count(),
            view_followers: self.view_feed.followers(),
            servers: state.servers().len(),
            servers_draining: draining.count(),
            jobs_open: state.jobs().values().filter(|job| !job.ended).count(),
            jobs_late: counts.jobs_late,
            items_waiting: counts.items_waiting,
            items_running: counts.items_running,
            engines_loading: counts.engines_loading,
            scorings_waiting: counts.scorings_waiting,
            scorings_running: counts.scorings_running,
            scorings_limit: scorings.limit,
            scorings_longest_wait_ms: scorings.longest_wait.as_millis() as u64,
            suspect_requests,
            rejected_requests,
            trials_open: counts.trials_open,
            configuration_version: state.configuration().map_or(0, |held| held.version),
            results: state.jobs().values().map(|job| job.results.len()).sum(),
            result_text_bytes: state.jobs().values().map(Job::text_bytes).sum(),
            log_bytes: self.host.log_bytes(),
            state_receivers: self.sent_states.receivers(),
            state_bytes_left: self.sent_states.bytes_left(),
            log_lines_left_out: self.log_counts.left_out(),
        }
    }

    fn on_call(&mut self, now: Instant, connection: ConnectionId, request: &WholeRequest) {
        match self.protocol.read(request) {
            ControlCall::Group(Request::Heartbeat(heartbeat)) if !self.host.is_leader() => {
                self.forward_heartbeat(now, connection, heartbeat);
            }
            ControlCall::Group(request) => self.submit(request, ReplyTarget::Caller(connection)),
            ControlCall::Local(LocalRequest::Retire { node }) if self.host.is_leader() => {
                self.begin_retirement(now, connection, &node);
            }
            ControlCall::Local(
                LocalRequest::Retire { .. } | LocalRequest::RetireProgress { .. },
            ) if !self.host.is_leader() => {
                let leader = self.host.leader();
                let answer = self.redirect(connection, leader);
                let answer = self.protocol.write(&answer);
                self.answer(connection, &answer);
            }
            ControlCall::Local(question) => {
                let answer = self.answer_locally(now, &question);
                let answer = self.protocol.write(&answer);
                self.answer(connection, &answer);
            }
            ControlCall::Invalid { answer, reason } => {
                self.metrics
                    .call_ended("unreadable", "refused", Duration::ZERO);
                warn!(self.logger, "call refused"; "call" => &request.head.method,
                    "path" => request.head.path(), "reason" => reason);
                self.answer(connection, &answer);
            }
        }
    }

    fn answer_locally(&self, now: Instant, question: &LocalRequest) -> ControlAnswer {
        match question {
            LocalRequest::Gateways { zone } => {
                let gateways = self.directory.for_client(now, zone);
                if gateways.is_empty() {
                    return ControlAnswer::Unavailable;
                }
                ControlAnswer::Gateways {
                    gateways,
                    ttl: self.settings.directory_ttl,
                }
            }
            LocalRequest::Retire { .. } => ControlAnswer::Unavailable,
            LocalRequest::RetireProgress { node } => self.retirement_progress(now, node),
        }
    }

    /// Sends the group's reply to the caller whose call it answers.
    pub(super) fn answer_caller(&mut self, connection: ConnectionId, reply: HostReply<Reply>) {
        let answer = match reply {
            HostReply::Reply(reply) => ControlAnswer::Reply(reply),
            HostReply::NotLeader { leader } => self.redirect(connection, leader),
            HostReply::Membership(_) | HostReply::Unknown => ControlAnswer::Unknown,
        };
        let answer = self.protocol.write(&answer);
        self.answer(connection, &answer);
    }

    /// Returns a redirect to the leader, or `Unavailable` when no leader can be reached.
    fn redirect(&self, connection: ConnectionId, leader: Option<ReplicaId>) -> ControlAnswer {
        let leader = leader
            .or_else(|| self.known_leader().map(|known| known.leader))
            .filter(|leader| self.route_to(*leader).is_some())
            .and_then(|leader| self.peers.control_address(leader));
        let target = match self.roles.get(&connection) {
            Some(Role::Control(control)) => control.pending_target.clone(),
            _ => None,
        };
        match (leader, target) {
            (Some(leader), Some(target)) => ControlAnswer::Redirect { leader, target },
            _ => ControlAnswer::Unavailable,
        }
    }

    /// Sends an answer on a caller's connection, then closes it or reads the next request.
    pub(super) fn answer(&mut self, connection: ConnectionId, answer: &HttpAnswer) {
        let now = self.clock.now();
        let Some(Role::Control(control)) = self.roles.get_mut(&connection) else {
            return;
        };
        control.pending_target = None;
        control.last_used_at = now;
        control.was_served = true;
        let close = control.close_after;
        let is_reading = control.is_reading;
        let bytes = control::encode(answer, close);
        self.reactor.send_shared(connection, &bytes.into());
        if close {
            return self.close_caller(now, connection);
        }
        // Another request may have arrived while this one was handled. The loop that has read this
        // one reads the next one as well.
        if !is_reading {
            self.on_control_input(now, connection);
        }
    }

    /// Closes a caller's connection once its last answer was sent. A caller that may still be sending
    /// its request is given time to read the answer.
    fn close_caller(&mut self, now: Instant, connection: ConnectionId) {
        let role = self.roles.remove(&connection);
        let is_incomplete = match &role {
            Some(Role::Control(control) | Role::Metrics(control)) => {
                control.reader.head().is_some()
            }
            _ => false,
        };
        self.closing.add(now, connection);
        if is_incomplete {
            self.reactor.close_when_answered(connection);
        } else {
            self.reactor.close_when_flushed(connection);
        }
    }

    /// Closes connections of callers that were idle for longer than [`CALLER_IDLE_TIMEOUT`], or whose
    /// request does not arrive completely within [`ARRIVAL_TIMEOUT`].
    pub(super) fn close_idle_callers(&mut self, now: Instant) {
        let idle: Vec<ConnectionId> = self
            .roles
            .iter()
            .filter(|(_, role)| match role {
                Role::Control(control) | Role::Metrics(control) => {
                    let is_idle = now.since(control.last_used_at) > CALLER_IDLE_TIMEOUT;
                    let started_at = control.started_at;
                    let is_late = started_at.is_some_and(|at| now.since(at) > ARRIVAL_TIMEOUT);
                    control.pending_target.is_none() && (is_idle || is_late)
                }
                _ => false,
            })
            .map(|(connection, _)| *connection)
            .collect();
        for connection in idle {
            self.close_connection(now, connection);
        }
    }
}
