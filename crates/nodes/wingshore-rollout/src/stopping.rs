//! The planned stop.

use crate::messages::RolloutOutput;
use crate::reports::ReportKey;
use crate::runner::{Context, RolloutRunner};
use wingshore_types::LeaseId;
use wingshore_types::protocol::ledger::LedgerRequest;

/// After this many stop limits, reports that the ledger does not answer are given up: their
/// leases run out by themselves.
const GIVE_UP_FACTOR: u32 = 2;

impl RolloutRunner {
    pub(crate) fn on_stop(&mut self, context: &mut Context<'_>) {
        if self.stopping_since.is_some() {
            return;
        }
        self.stopping_since = Some(context.now);
        self.give_back_waiting(context);
    }

    /// Once the limit has passed: cancels what still runs and gives it back.
    pub(crate) fn end_stop(&mut self, context: &mut Context<'_>) {
        let Some(since) = self.stopping_since else {
            return;
        };
        if context.now.since(since) < self.settings.stop_limit {
            return;
        }
        self.scoring.clear();
        let leases: Vec<LeaseId> = self.held.iter().map(|(lease, _)| lease).collect();
        for lease in leases {
            self.give_back(context, lease);
        }
    }

    /// Says once when the stop is over.
    pub(crate) fn finish_stop(&mut self, context: &mut Context<'_>) {
        let Some(since) = self.stopping_since else {
            return;
        };
        if self.is_stopped {
            return;
        }
        self.give_back_waiting(context);
        self.send_reports(context);
        let is_idle = self.held.is_empty()
            && self.reports.is_empty()
            && self.scoring.len() == 0
            && !self.polls.awaits_leases();
        let limit = self.settings.stop_limit * GIVE_UP_FACTOR;
        if is_idle || context.now.since(since) >= limit {
            self.is_stopped = true;
            context.out.push(RolloutOutput::Stopped);
        }
    }

    /// Gives a lease back with the tokens generated so far.
    pub(crate) fn give_back(&mut self, context: &mut Context<'_>, lease: LeaseId) {
        let Some(partial) = self.abandon(context, lease) else {
            return;
        };
        let request = LedgerRequest::Return {
            pool: self.pool.clone(),
            lease,
            partial,
        };
        let key = ReportKey::Return(lease);
        self.reports.add(context.now, key, request);
    }

    /// Samples without an attempt, for instance because their stream was cut, go back at once.
    fn give_back_waiting(&mut self, context: &mut Context<'_>) {
        let waiting: Vec<LeaseId> = self
            .held
            .iter()
            .filter(|(_, sample)| sample.attempts.is_empty())
            .map(|(lease, _)| lease)
            .collect();
        for lease in waiting {
            self.give_back(context, lease);
        }
    }
}
