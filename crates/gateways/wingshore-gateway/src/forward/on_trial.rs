//! Requests that run on trial, since they are suspected of crashing servers: from the question to
//! the leader to the run.

use super::{Exchanges, choose_server};
use crate::environment::Environment;
use crate::exchange::{Exchange, ExchangeEnd, Origin};
use crate::forward_ends::give_up;
use crate::ids::ExchangeId;
use crate::request_suspicion;
use crate::timers::TimerKey;
use crate::trial_table::Trial;
use crate::trials::{self, TrialState};
use wingshore_coordination::{RequestFingerprint, TrialAnswer};

impl Exchanges {
    /// Asks the leader for a trial of a suspect request at the best server, and keeps the request
    /// until there is an answer.
    pub(super) fn ask_for_trial(
        &mut self,
        environment: &mut Environment,
        id: ExchangeId,
        mut exchange: Exchange,
        request: RequestFingerprint,
    ) -> Option<ExchangeEnd> {
        let crashed = request_suspicion::crashed_instances(environment, request);
        let excluded = [exchange.sent_to.clone(), crashed].concat();
        let server = choose_server(environment, &exchange, &excluded)
            .or_else(|| choose_server(environment, &exchange, &exchange.sent_to));
        let Some(server) = server else {
            return Some(give_up(environment, &exchange));
        };
        trials::ask(environment, &mut exchange, request, &server.instance);
        let timers = &mut environment.runtime.timers;
        timers.arm(exchange.deadline, TimerKey::Exchange(id));
        self.all.insert(id, exchange);
        None
    }

    /// Asks a new leader for the trials that an earlier one has not answered.
    pub(crate) fn ask_again(&mut self, environment: &mut Environment) -> Vec<ExchangeEnd> {
        let waiting = self.all.iter();
        let waiting = waiting.filter(|(_, exchange)| exchange.waits_for_trial());
        let waiting: Vec<ExchangeId> = waiting.map(|(id, _)| *id).collect();
        let mut ends = Vec::new();
        for id in waiting {
            if let Some(mut exchange) = self.all.remove(&id) {
                exchange.trial = TrialState::None;
                ends.extend(self.send_to_server(environment, id, exchange));
            }
        }
        ends
    }

    /// Handles the leader's answer about a trial.
    #[must_use]
    pub(crate) fn on_trial_answer(
        &mut self,
        environment: &mut Environment,
        question: u64,
        answer: TrialAnswer,
    ) -> Option<ExchangeEnd> {
        let trial = environment.servers.trials.answered(question)?;
        let mut waiting = self.all.iter();
        let id = waiting.find(|(_, exchange)| exchange.asked_with(question));
        let id = id.map(|(id, _)| *id);
        let Some((id, mut exchange)) = id.and_then(|id| self.all.remove_entry(&id)) else {
            if answer == TrialAnswer::Granted {
                trials::not_run(environment, trial);
            }
            return None;
        };
        exchange.trial = TrialState::None;
        match answer {
            TrialAnswer::Granted => self.run_trial(environment, id, exchange, trial),
            TrialAnswer::NotNeeded => {
                exchange.trial = TrialState::Exempt;
                self.send_to_server(environment, id, exchange)
            }
            TrialAnswer::Refused => {
                exchange.is_rejected = request_suspicion::is_rejected(environment, &exchange);
                Some(give_up(environment, &exchange))
            }
        }
    }

    /// Runs a request on trial, at the server that the trial was granted for.
    fn run_trial(
        &mut self,
        environment: &mut Environment,
        id: ExchangeId,
        mut exchange: Exchange,
        trial: Trial,
    ) -> Option<ExchangeEnd> {
        let server = environment.site.view.server(&trial.instance);
        let Some(server) = server.filter(|server| !server.draining).cloned() else {
            trials::not_run(environment, trial);
            return self.send_to_server(environment, id, exchange);
        };
        trials::started(environment, &mut exchange, trial);
        let exchange = self.try_server(environment, id, exchange, &server)?;
        Some(give_up(environment, &exchange))
    }

    /// Handles an originator that no longer waits for the answer. The request is cancelled, so that
    /// the servers can stop working on it, unless it runs on trial.
    pub(crate) fn originator_left(&mut self, environment: &mut Environment, id: ExchangeId) {
        match self.all.get_mut(&id) {
            Some(exchange) if exchange.is_on_trial() => exchange.origin = Origin::Nobody,
            _ => self.cancel(environment, id),
        }
    }
}
