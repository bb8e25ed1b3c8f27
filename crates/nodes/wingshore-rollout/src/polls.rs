//! Polling of the ledger.
//!
//! Question: when does the runner ask the ledger for leases, renewals and unscored samples, and for
//! how many?
//!
//! Inputs: the size of the lease window, the number of leased samples and of unanswered reports,
//! the free capacity of the scorer, the lease duration in milliseconds.
//!
//! Rule: at most one request of each kind is in flight. Leases are requested while the window is
//! not full and the ledger keeps up with the reports; unscored samples while the scorer has free
//! capacity. A lease is renewed after a third of its duration. After an empty reply or a failure,
//! the next request of the same kind is delayed.
//!
//! Why: two renewals may be lost before a lease expires.
//!
//! Missing input: without the pool's configuration, no request is sent.

use crate::leased::{LeasedSample, is_older_than};
use crate::messages::{CallId, RolloutOutput};
use crate::runner::{Context, RETRY_BACKOFF, RolloutRunner};
use std::time::Duration;
use wingshore_types::protocol::ledger::{LedgerReply, LedgerRequest, SampleLease, UnscoredSample};
use wingshore_types::{Generation, Instant, LeaseId};

/// Number of unanswered reports at which the runner stops leasing samples.
const MAX_UNANSWERED_REPORTS: usize = 512;
/// Maximum number of samples requested by one lease request.
const MAX_LEASES_PER_REQUEST: u32 = 64;
/// Delay of the next poll after the ledger had no sample to lease or to score.
const EMPTY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Leases are renewed after their duration divided by this number.
const RENEWAL_DIVISOR: u64 = 3;

/// State of one kind of poll, of which at most one is in flight.
#[derive(Clone, Copy, Debug, Default)]
struct Poll {
    call: Option<CallId>,
    /// Earliest time of the next poll.
    next_at: Instant,
}

impl Poll {
    fn is_due(&self, now: Instant) -> bool {
        self.call.is_none() && self.next_at <= now
    }

    /// Returns whether `call` is the poll in flight; if so, marks the poll as answered.
    fn complete(&mut self, call: CallId) -> bool {
        let is_in_flight = self.call == Some(call);
        if is_in_flight {
            self.call = None;
        }
        is_in_flight
    }
}

/// The polls of the ledger, one of each kind.
#[derive(Clone, Debug, Default)]
pub(crate) struct Polls {
    lease: Poll,
    renew: Poll,
    unscored: Poll,
    /// The last reply to a lease request was empty: the ledger has no sample to lease.
    ledger_is_empty: bool,
}

impl Polls {
    /// Makes the poll for unscored samples due immediately; called after a generation was finished.
    pub(crate) fn make_unscored_due(&mut self, now: Instant) {
        self.unscored.next_at = self.unscored.next_at.min(now);
    }

    /// Returns whether a reply with new leases may still arrive.
    pub(crate) fn awaits_leases(&self) -> bool {
        self.lease.call.is_some()
    }

    /// Returns whether the ledger had no sample to lease at the last poll.
    pub(crate) fn ledger_is_empty(&self) -> bool {
        self.ledger_is_empty
    }
}

impl RolloutRunner {
    pub(crate) fn poll_ledger(&mut self, context: &mut Context<'_>) {
        if self.binding.is_none() {
            return;
        }
        self.poll_renewals(context);
        if self.stopping_since.is_none() {
            self.poll_leases(context);
            self.poll_unscored(context);
        }
    }

    pub(crate) fn on_poll_answered(
        &mut self,
        context: &mut Context<'_>,
        call: CallId,
        reply: Option<LedgerReply>,
    ) {
        if self.polls.lease.complete(call) {
            self.on_leases(context, reply);
        } else if self.polls.renew.complete(call) {
            self.on_renewed(context, reply);
        } else if self.polls.unscored.complete(call) {
            self.on_unscored(context, reply);
        }
    }

    fn poll_leases(&mut self, context: &mut Context<'_>) {
        let leased = self.leased.len() as u32;
        let wanted = self.window.size().saturating_sub(leased);
        let is_backed_up = self.reports.len() >= MAX_UNANSWERED_REPORTS;
        if wanted == 0 || is_backed_up || !self.polls.lease.is_due(context.now) {
            return;
        }
        let request = LedgerRequest::Lease {
            pool: self.pool.clone(),
            node: self.settings.node.clone(),
            boot_id: self.settings.boot_id,
            most: wanted.min(MAX_LEASES_PER_REQUEST),
        };
        self.polls.lease.call = Some(self.send_to_ledger(context, request));
    }

    fn poll_renewals(&mut self, context: &mut Context<'_>) {
        if !self.polls.renew.is_due(context.now) {
            return;
        }
        let leases = self.leased.due_for_renewal(context.now);
        if leases.is_empty() {
            return;
        }
        let renew_at = context.now + self.renewal_interval();
        for lease in &leases {
            self.leased
                .update(*lease, |sample| sample.renew_at = renew_at);
        }
        let request = LedgerRequest::Renew {
            pool: self.pool.clone(),
            leases,
        };
        self.polls.renew.call = Some(self.send_to_ledger(context, request));
    }

    fn poll_unscored(&mut self, context: &mut Context<'_>) {
        let free = self.free_scoring_slots();
        if free == 0 || !self.polls.unscored.is_due(context.now) {
            return;
        }
        let request = LedgerRequest::Unscored {
            pool: self.pool.clone(),
            most: free,
        };
        self.polls.unscored.call = Some(self.send_to_ledger(context, request));
    }

    fn on_leases(&mut self, context: &mut Context<'_>, reply: Option<LedgerReply>) {
        let granted = match reply {
            Some(LedgerReply::Leases(granted)) => granted,
            _ => {
                self.polls.lease.next_at = context.now + RETRY_BACKOFF;
                return;
            }
        };
        self.polls.ledger_is_empty = granted.is_empty();
        if granted.is_empty() {
            self.polls.lease.next_at = context.now + EMPTY_POLL_INTERVAL;
        }
        for lease in granted {
            self.raise_oldest_useful(context, lease.oldest_useful);
            self.accept_lease(context, lease);
        }
    }

    fn accept_lease(&mut self, context: &mut Context<'_>, mut granted: SampleLease) {
        if is_older_than(&granted.partial, self.oldest_useful) {
            granted.partial = Generation::default();
        }
        let renewal_delay = Duration::from_millis(granted.duration_ms / RENEWAL_DIVISOR);
        let sample = LeasedSample {
            prompt: granted.prompt,
            partial: granted.partial,
            attempts: Vec::new(),
            avoided: None,
            not_before: context.now,
            renew_at: context.now + renewal_delay,
        };
        self.leased.insert(granted.lease, sample);
        if self.stopping_since.is_some() {
            self.return_lease(context, granted.lease);
        }
    }

    fn on_renewed(&mut self, context: &mut Context<'_>, reply: Option<LedgerReply>) {
        match reply {
            Some(LedgerReply::Lost(lost)) => self.drop_lost_leases(context, &lost),
            _ => {
                let retry_at = context.now + RETRY_BACKOFF;
                self.polls.renew.next_at = retry_at;
                self.renew_all_at(retry_at);
            }
        }
    }

    fn drop_lost_leases(&mut self, context: &mut Context<'_>, lost: &[LeaseId]) {
        for lease in lost {
            if let Some(partial) = self.remove_sample(context, *lease) {
                self.counters.wasted_tokens += partial.tokens.len() as u64;
            }
        }
    }

    fn renew_all_at(&mut self, at: Instant) {
        let leases: Vec<LeaseId> = self.leased.iter().map(|(lease, _)| lease).collect();
        for lease in leases {
            self.leased.update(lease, |sample| {
                sample.renew_at = sample.renew_at.min(at);
            });
        }
    }

    fn on_unscored(&mut self, context: &mut Context<'_>, reply: Option<LedgerReply>) {
        let samples: Vec<UnscoredSample> = match reply {
            Some(LedgerReply::Unscored(samples)) => samples,
            _ => {
                self.polls.unscored.next_at = context.now + RETRY_BACKOFF;
                return;
            }
        };
        if samples.is_empty() {
            self.polls.unscored.next_at = context.now + EMPTY_POLL_INTERVAL;
        }
        for sample in samples {
            self.start_scoring(context, sample);
        }
    }

    fn renewal_interval(&self) -> Duration {
        let duration_ms = self
            .binding
            .as_ref()
            .map_or(0, |binding| binding.pool.sample_lease_ms);
        Duration::from_millis(duration_ms / RENEWAL_DIVISOR)
    }

    fn send_to_ledger(&mut self, context: &mut Context<'_>, request: LedgerRequest) -> CallId {
        let call = self.next_call();
        context.out.push(RolloutOutput::Ledger { call, request });
        call
    }
}
