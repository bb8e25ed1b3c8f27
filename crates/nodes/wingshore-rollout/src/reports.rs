//! What must reach the ledger: sent, and sent again until it is answered.

use crate::messages::CallId;
use std::collections::BTreeMap;
use wingshore_types::protocol::ledger::LedgerRequest;
use wingshore_types::{Instant, LeaseId, SampleNumber};

/// What a report is about; a newer report about the same replaces the older one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ReportKey {
    /// The pool's settings.
    Configure,
    /// A whole generation.
    Finish(LeaseId),
    /// A lease given back.
    Return(LeaseId),
    /// A score.
    Score(SampleNumber, LeaseId),
}

#[derive(Clone, Debug)]
struct Report {
    request: LedgerRequest,
    /// The call under way, when one is.
    call: Option<CallId>,
    /// When to send it again, when no call is under way.
    due: Instant,
}

/// Reports that the ledger has not answered yet.
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

    /// Adds a report, due at once.
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

    /// Reports that are due and not under way.
    pub(crate) fn due(&self, now: Instant) -> Vec<ReportKey> {
        self.reports
            .iter()
            .filter(|(_, report)| report.call.is_none() && report.due <= now)
            .map(|(key, _)| *key)
            .collect()
    }

    /// Marks a report as sent by `call` and gives its request.
    pub(crate) fn send(&mut self, key: ReportKey, call: CallId) -> Option<LedgerRequest> {
        let report = self.reports.get_mut(&key)?;
        report.call = Some(call);
        self.calls.insert(call, key);
        Some(report.request.clone())
    }

    /// The report that `call` sent, when it still matters.
    pub(crate) fn take_call(&mut self, call: CallId) -> Option<ReportKey> {
        self.calls.remove(&call)
    }

    /// The ledger has answered: done.
    pub(crate) fn done(&mut self, key: ReportKey) {
        self.reports.remove(&key);
    }

    /// The ledger did not answer, or not finally: once more at `due`.
    pub(crate) fn again(&mut self, key: ReportKey, due: Instant) {
        if let Some(report) = self.reports.get_mut(&key) {
            report.call = None;
            report.due = due;
        }
    }
}
