//! Wiring of what servers bring: the ends of forwarded requests, and scorings.

use super::Gateway;
use crate::encode::end_to_end_headers;
use crate::exchange::ExchangeEnd;
use crate::scoring::Started;
use wingshore_coordination::{AssignmentId, ScoringAssignment};
use wingshore_net::ConnectionId;
use wingshore_net::http::{HeadWriter, WholeAnswer};

impl Gateway {
    /// An exchange may be over: whoever waits for it gets its end.
    pub(super) fn on_exchange_end(&mut self, end: Option<ExchangeEnd>) {
        match end {
            None => {}
            Some(ExchangeEnd::ServerAnswer { client, answer }) => {
                self.pass_on(client, &answer);
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

    /// Passes a server's answer on to a client.
    fn pass_on(&mut self, client: ConnectionId, answer: &WholeAnswer) {
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

    /// A text is to be scored.
    pub(super) fn begin_scoring(&mut self, assignment: ScoringAssignment) {
        let now = self.environment.runtime.now;
        if self.scorings.add(now, assignment) {
            self.start_scorings();
        }
    }

    /// Sends the requests of those scorings that wait, as far as the limits of their services allow.
    ///
    /// Without a leader nothing is begun: it could not say that a job has ended meanwhile.
    pub(super) fn start_scorings(&mut self) {
        if self.environment.site.coordinators.leader().is_none() {
            return;
        }
        for id in self.scorings.take_queue() {
            let environment = &mut self.environment;
            let exchanges = &mut self.exchanges;
            match self.scorings.start(environment, exchanges, id) {
                Started::Waits => self.scorings.requeue(id),
                Started::Gone => {}
                Started::Ended => self.start_scorings(),
                Started::RequestOver(end) => self.on_exchange_end(Some(end)),
            }
        }
    }

    /// A leader has no more use for a scoring.
    pub(super) fn release_scoring(&mut self, id: AssignmentId) {
        let (environment, exchanges) = (&mut self.environment, &mut self.exchanges);
        self.scorings.release(environment, exchanges, id);
        self.start_scorings();
    }
}
