//! Reports to the ledger, retried until they are answered.
//!
//! Reports are idempotent. Each is kept until the ledger gives a final answer; a refusal because
//! the ledger is full or does not know the pool is not final. Retries follow after
//! [`crate::runner::RETRY_BACKOFF`] and are not limited in number; only a planned stop ends them.

use crate::messages::CallId;
use std::collections::BTreeMap;
use wingshore_types::protocol::ledger::LedgerRequest;
use wingshore_types::{Instant, LeaseId, SampleNumber};

/// Subject of a report; a newer report replaces an older one with the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ReportKey {
    /// The pool's settings.
    Configure,
    /// A complete generation.
    Finish(LeaseId),
    /// A returned lease.
    Return(LeaseId),
    /// A score.
    Score(SampleNumber, LeaseId),
}

#[derive(Clone, Debug)]
struct Report {
    request: LedgerRequest,
    /// The call in flight, if any.
    call: Option<CallId>,
    /// Time of the next send while no call is in flight.
    due: Instant,
}

/// Reports that the ledger has not finally answered.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reports {
    reports: BTreeMap<ReportKey, Report>,
    calls: BTreeMap<CallId, ReportKey>,
}

impl Reports {
    pub(crate) fn len(&self) -> usize {
        self.reports.len()
    }

    pub(crate) fn contains(&self, key: ReportKey) -> bool {
        self.reports.contains_key(&key)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Adds a report that is due immediately.
    pub(crate) fn add(&mut self, now: Instant, key: ReportKey, request: LedgerRequest) {
        let report = Report {
            request,
            call: None,
            due: now,
        };
        let replaced = self.reports.insert(key, report);
        if let Some(call) = replaced.and_then(|replaced| replaced.call) {
            self.calls.remove(&call);
        }
    }

    /// Returns the reports that are due and not in flight.
    pub(crate) fn due(&self, now: Instant) -> Vec<ReportKey> {
        self.reports
            .iter()
            .filter(|(_, report)| report.call.is_none() && report.due <= now)
            .map(|(key, _)| *key)
            .collect()
    }

    /// Marks a report as sent by `call` and returns its request.
    pub(crate) fn send(&mut self, key: ReportKey, call: CallId) -> Option<LedgerRequest> {
        let report = self.reports.get_mut(&key)?;
        report.call = Some(call);
        self.calls.insert(call, key);
        Some(report.request.clone())
    }

    /// Removes `call` and returns its report, unless a newer report has replaced it.
    pub(crate) fn take_call(&mut self, call: CallId) -> Option<ReportKey> {
        self.calls.remove(&call)
    }

    /// Removes a report that the ledger has finally answered.
    pub(crate) fn remove(&mut self, key: ReportKey) {
        self.reports.remove(&key);
    }

    /// Schedules a report without a final answer to be sent again at `due`.
    pub(crate) fn reschedule(&mut self, key: ReportKey, due: Instant) {
        if let Some(report) = self.reports.get_mut(&key) {
            report.call = None;
            report.due = due;
        }
    }
}
