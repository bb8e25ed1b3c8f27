//! Question: what becomes of the held samples when the node stops as planned, and when is the stop
//! over?
//!
//! Inputs: when the stop began, what runs, is held or is not answered by the ledger, `stop_limit`.
//!
//! Rule: nothing new is leased, started or scored. Samples without an attempt are returned at once,
//! attempts run on until the limit; then they are cancelled and their samples returned with what was
//! generated. The stop is over when nothing is left, or after [`STOP_LIMITS_FOR_REPORTS`] limits.
//!
//! Why: short attempts finish, and no lease has to run out. What the ledger did not answer by then
//! ends with its lease.

use crate::messages::RolloutOutput;
use crate::reports::ReportKey;
use crate::runner::{Context, RolloutRunner};
use wingshore_types::LeaseId;
use wingshore_types::protocol::ledger::LedgerRequest;

/// After this many stop limits, reports that the ledger does not answer are given up: their leases
/// run out by themselves.
const STOP_LIMITS_FOR_REPORTS: u32 = 2;

impl RolloutRunner {
    pub(crate) fn on_stop(&mut self, context: &mut Context<'_>) {
        if self.stopping_since.is_some() {
            return;
        }
        self.stopping_since = Some(context.now);
        self.return_waiting(context);
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
            self.return_lease(context, lease);
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
        self.return_waiting(context);
        self.send_reports(context);
        let is_idle = self.held.is_empty()
            && self.reports.is_empty()
            && self.scoring.len() == 0
            && !self.polls.awaits_leases();
        let limit = self.settings.stop_limit * STOP_LIMITS_FOR_REPORTS;
        if is_idle || context.now.since(since) >= limit {
            self.is_stopped = true;
            context.out.push(RolloutOutput::Stopped);
        }
    }

    /// Gives a lease back with the tokens generated so far.
    pub(crate) fn return_lease(&mut self, context: &mut Context<'_>, lease: LeaseId) {
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
    fn return_waiting(&mut self, context: &mut Context<'_>) {
        let waiting: Vec<LeaseId> = self
            .held
            .iter()
            .filter(|(_, sample)| sample.attempts.is_empty())
            .map(|(lease, _)| lease)
            .collect();
        for lease in waiting {
            self.return_lease(context, lease);
        }
    }
}
