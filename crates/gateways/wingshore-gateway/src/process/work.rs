//! Handling of results from servers: the ends of forwarded requests, and scorings.

use super::Gateway;
use crate::answer_matching::MatchedAnswer;
use crate::encode::end_to_end_headers;
use crate::exchange::ExchangeEnd;
use crate::scoring::StartOutcome;
use crate::scoring_start::{
    ScoringLeader, ScoringStart, is_leaderless_start_due, may_start_without_leader, scoring_start,
};
use wingshore_coordination::{AssignmentId, LOAD_REPORTS_FORMAT, ScoringAssignment};
use wingshore_net::ConnectionId;
use wingshore_net::http::HeadWriter;

impl Gateway {
    /// Delivers the end of an exchange, if it has ended, to the client or scoring that waits for
    /// it.
    pub(super) fn on_exchange_end(&mut self, end: Option<ExchangeEnd>) {
        match end {
            None => {}
            Some(ExchangeEnd::ServerAnswer { client, answer }) => {
                self.forward_answer(client, &answer);
            }
            Some(ExchangeEnd::OwnAnswer { client, answer }) => {
                self.answer_own(client, &answer);
            }
            Some(ExchangeEnd::StreamEnded(client)) => self.stream_ended(client),
            Some(ExchangeEnd::StreamBroken(client)) => {
                self.clients
                    .close_after_flush(&mut self.environment.runtime, client);
            }
            Some(ExchangeEnd::ClientDoesNotRead(client)) => self.close_client(client),
            Some(ExchangeEnd::NobodyWaits) => {}
            Some(ExchangeEnd::Scoring { scoring, end }) => {
                let scorings = &mut self.scorings;
                scorings.on_request_end(&mut self.environment, scoring, end);
                self.start_scorings();
            }
        }
    }

    /// Sends a server's answer to a client.
    fn forward_answer(&mut self, client: ConnectionId, answer: &MatchedAnswer) {
        let mut writer = HeadWriter::answer(answer.head().status.code());
        for (name, value) in end_to_end_headers(&answer.head().headers) {
            writer = writer.line(name, value);
        }
        self.answer(client, writer, answer.body());
    }

    fn stream_ended(&mut self, client: ConnectionId) {
        let is_stopping = self.is_stopping();
        let runtime = &mut self.environment.runtime;
        let after = self.clients.answered(runtime, client, is_stopping);
        self.after_answer(client, after);
    }

    /// Adds a scoring that the leader has assigned to this gateway.
    pub(super) fn on_assigned_scoring(&mut self, assignment: ScoringAssignment) {
        let is_granted = self.scoring_leader() == ScoringLeader::Grants;
        self.begin_scoring(assignment, is_granted);
    }

    /// Handles a text that was finished here and is to be scored.
    pub(super) fn on_unscored_text(&mut self, assignment: ScoringAssignment) {
        let scorer = &assignment.scorer;
        let routes = self.environment.site.view.routes();
        if let Some(route) = routes.find(&scorer.host, &scorer.path) {
            for target in &route.targets {
                self.scorings.loads().add_service(&target.service);
            }
        }
        let is_shared = self.settings.policy.shared_scoring_limit;
        if scoring_start(is_shared, self.scoring_leader()) == ScoringStart::Own {
            self.begin_scoring(assignment, false);
        }
    }

    /// Returns what the current leader does about scorings.
    pub(super) fn scoring_leader(&self) -> ScoringLeader {
        let coordinators = &self.environment.site.coordinators;
        if coordinators.leader().is_none() {
            return ScoringLeader::Unknown;
        }
        let is_shared = self.settings.policy.shared_scoring_limit;
        if is_shared && coordinators.leader_speaks(LOAD_REPORTS_FORMAT) {
            ScoringLeader::Grants
        } else {
            ScoringLeader::StartsNone
        }
    }

    fn begin_scoring(&mut self, assignment: ScoringAssignment, is_granted: bool) {
        let now = self.environment.runtime.now;
        if self.scorings.add(now, assignment, is_granted) {
            self.start_scorings();
        }
    }

    /// Queues the scorings of finished texts that a new leader, which grants no scorings, expects to
    /// run here.
    pub(super) fn queue_finished_scorings(&mut self) {
        if !self.settings.policy.shared_scoring_limit {
            return;
        }
        let now = self.environment.runtime.now;
        for assignment in self.items.finished_scorings() {
            self.scorings.add(now, assignment, false);
        }
    }

    /// Queues scorings of texts that no leader was told of, once no leader has been known for long.
    pub(super) fn queue_leaderless_scorings(&mut self) {
        let now = self.environment.runtime.now;
        let is_shared = self.settings.policy.shared_scoring_limit;
        let Some(lost_at) = self.leader_lost_at.filter(|_| is_shared) else {
            return;
        };
        let is_due = |finished_at| is_leaderless_start_due(now, lost_at, finished_at);
        for assignment in self.items.unreported_scorings(is_due) {
            self.scorings.add(now, assignment, false);
        }
    }

    /// Records since when no leader is known.
    pub(super) fn record_leader(&mut self) {
        let now = self.environment.runtime.now;
        if self.environment.site.coordinators.leader().is_some() {
            self.leader_lost_at = None;
        } else {
            self.leader_lost_at.get_or_insert(now);
        }
    }

    /// Sends the requests of queued scorings, as far as the limits of their services allow.
    ///
    /// Starts nothing while a leader is being elected, because a gateway without a leader does not
    /// learn that a job has ended.
    pub(super) fn start_scorings(&mut self) {
        if !self.may_start_scorings() {
            return;
        }
        for id in self.scorings.take_queue() {
            let environment = &mut self.environment;
            let exchanges = &mut self.exchanges;
            match self.scorings.start(environment, exchanges, id) {
                StartOutcome::LimitReached => self.scorings.requeue(id),
                StartOutcome::NothingToDo => {}
                StartOutcome::Ended => self.start_scorings(),
                StartOutcome::RequestEnded(end) => self.on_exchange_end(Some(end)),
            }
        }
    }

    fn may_start_scorings(&self) -> bool {
        let is_shared = self.settings.policy.shared_scoring_limit;
        match (self.scoring_leader(), self.leader_lost_at) {
            (ScoringLeader::Unknown, Some(lost_at)) => {
                let now = self.environment.runtime.now;
                is_shared && may_start_without_leader(now, lost_at)
            }
            (ScoringLeader::Unknown, None) => false,
            (ScoringLeader::StartsNone | ScoringLeader::Grants, _) => true,
        }
    }

    /// Drops a scoring that the leader no longer needs.
    pub(super) fn release_scoring(&mut self, id: AssignmentId) {
        let (environment, exchanges) = (&mut self.environment, &mut self.exchanges);
        self.scorings.release(environment, exchanges, id);
        self.start_scorings();
    }
}
