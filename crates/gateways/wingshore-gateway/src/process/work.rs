//! Handling of results from servers: the ends of forwarded requests, and scorings.

use super::Gateway;
use crate::encode::end_to_end_headers;
use crate::exchange::ExchangeEnd;
use crate::scoring::StartOutcome;
use wingshore_coordination::{AssignmentId, ScoringAssignment};
use wingshore_net::ConnectionId;
use wingshore_net::http::{HeadWriter, WholeAnswer};

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
            Some(ExchangeEnd::Scoring { scoring, end }) => {
                let scorings = &mut self.scorings;
                scorings.on_request_end(&mut self.environment, scoring, end);
                self.start_scorings();
            }
        }
    }

    /// Sends a server's answer to a client.
    fn forward_answer(&mut self, client: ConnectionId, answer: &WholeAnswer) {
        let mut writer = HeadWriter::answer(answer.head.status);
        for (name, value) in end_to_end_headers(&answer.head.headers) {
            writer = writer.line(name, value);
        }
        self.answer(client, writer, &answer.body);
    }

    fn stream_ended(&mut self, client: ConnectionId) {
        let is_stopping = self.is_stopping();
        let runtime = &mut self.environment.runtime;
        let after = self.clients.answered(runtime, client, is_stopping);
        self.after_answer(client, after);
    }

    /// Adds the scoring of a text.
    pub(super) fn begin_scoring(&mut self, assignment: ScoringAssignment) {
        let now = self.environment.runtime.now;
        if self.scorings.add(now, assignment) {
            self.start_scorings();
        }
    }

    /// Sends the requests of queued scorings, as far as the limits of their services allow.
    ///
    /// Starts nothing without a leader, because a gateway without a leader does not learn that a
    /// job has ended.
    pub(super) fn start_scorings(&mut self) {
        if self.environment.site.coordinators.leader().is_none() {
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

    /// Drops a scoring that the leader no longer needs.
    pub(super) fn release_scoring(&mut self, id: AssignmentId) {
        let (environment, exchanges) = (&mut self.environment, &mut self.exchanges);
        self.scorings.release(environment, exchanges, id);
        self.start_scorings();
    }
}
