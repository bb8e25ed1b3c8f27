//! Planned stop of the node.
//!
//! Question: what happens to the leased samples during a planned stop, and when is the stop
//! complete?
//!
//! Inputs: the start time of the stop, running attempts, leased samples, unanswered reports,
//! `stop_limit`.
//!
//! Rule: no sample is leased, started or newly sent to the scorer. Samples without an attempt are
//! returned immediately. Running attempts continue until the limit; then they are cancelled and
//! their samples are returned with the tokens generated so far. The stop is complete when nothing
//! is left to do, or after [`REPORT_STOP_LIMIT_FACTOR`] times the limit.
//!
//! Why: short attempts finish, and no sample has to wait for its lease to expire. If the ledger
//! does not answer a report in time, the lease of that sample expires.

use crate::messages::RolloutOutput;
use crate::reports::ReportKey;
use crate::runner::{Context, RolloutRunner};
use wingshore_types::LeaseId;
use wingshore_types::protocol::ledger::LedgerRequest;

/// Multiple of the stop limit after which unanswered reports are abandoned; their leases expire.
const REPORT_STOP_LIMIT_FACTOR: u32 = 2;

impl RolloutRunner {
    pub(crate) fn on_stop(&mut self, context: &mut Context<'_>) {
        if self.stopping_since.is_some() {
            return;
        }
        self.stopping_since = Some(context.now);
        self.return_waiting(context);
    }

    /// Once the stop limit has passed, cancels the running attempts and returns their samples.
    pub(crate) fn enforce_stop_limit(&mut self, context: &mut Context<'_>) {
        let Some(since) = self.stopping_since else {
            return;
        };
        if context.now.since(since) < self.settings.stop_limit {
            return;
        }
        self.scoring.clear();
        let leases: Vec<LeaseId> = self.leased.iter().map(|(lease, _)| lease).collect();
        for lease in leases {
            self.return_lease(context, lease);
        }
    }

    /// Emits [`RolloutOutput::Stopped`] once, when the stop is complete.
    pub(crate) fn complete_stop(&mut self, context: &mut Context<'_>) {
        let Some(since) = self.stopping_since else {
            return;
        };
        if self.is_stopped {
            return;
        }
        self.return_waiting(context);
        self.send_reports(context);
        let is_idle = self.leased.is_empty()
            && self.reports.is_empty()
            && self.scoring.len() == 0
            && !self.polls.awaits_leases();
        let limit = self.settings.stop_limit * REPORT_STOP_LIMIT_FACTOR;
        if is_idle || context.now.since(since) >= limit {
            self.is_stopped = true;
            context.out.push(RolloutOutput::Stopped);
        }
    }

    /// Returns a lease to the ledger with the tokens generated so far.
    pub(crate) fn return_lease(&mut self, context: &mut Context<'_>, lease: LeaseId) {
        let Some(partial) = self.remove_sample(context, lease) else {
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

    /// Returns the leases of samples without an attempt, for instance after an interrupted stream.
    fn return_waiting(&mut self, context: &mut Context<'_>) {
        let waiting: Vec<LeaseId> = self
            .leased
            .iter()
            .filter(|(_, sample)| sample.attempts.is_empty())
            .map(|(lease, _)| lease)
            .collect();
        for lease in waiting {
            self.return_lease(context, lease);
        }
    }
}
