//! Question: when does the runner ask the ledger for leases, renewals and unscored samples, and for
//! how many?
//!
//! Inputs: the size of the window, the samples held, reports that the ledger has not answered, free
//! places at the scorer, the lease duration in milliseconds.
//!
//! Rule: at most one request of each kind is under way. Leases are asked for while fewer samples are
//! held than the window allows and the ledger keeps up with the reports; unscored samples while the
//! scorer has free places. Renewals name the leases of which a third of the duration has passed. After
//! an empty answer or a failure the next request of the kind waits.
//!
//! Why: two renewals may be lost before a lease ends.
//!
//! Missing input: without the pool's configuration nothing is asked for.

use crate::held::{HeldSample, is_older_than};
use crate::messages::{CallId, RolloutOutput};
use crate::runner::{Context, RETRY_BACKOFF, RolloutRunner};
use std::time::Duration;
use wingshore_types::protocol::ledger::{LedgerReply, LedgerRequest, SampleLease, UnscoredSample};
use wingshore_types::{Generation, Instant, LeaseId};

/// Most reports that may wait for the ledger before no more samples are leased.
const MAX_WAITING_REPORTS: usize = 512;
/// Most samples asked for by one lease request.
const MAX_LEASES_PER_REQUEST: u32 = 64;
/// Time until the ledger is asked again when it had nothing to lease or to score.
const EMPTY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Leases are renewed when this part of their duration has passed.
const RENEWAL_DIVISOR: u64 = 3;

/// One kind of question: at most one is under way.
#[derive(Clone, Copy, Debug, Default)]
struct Poll {
    call: Option<CallId>,
    /// Not to be asked before.
    next: Instant,
}

impl Poll {
    fn is_due(&self, now: Instant) -> bool {
        self.call.is_none() && self.next <= now
    }

    /// Whether `call` is the one under way; it then no longer is.
    fn take(&mut self, call: CallId) -> bool {
        let is_own = self.call == Some(call);
        if is_own {
            self.call = None;
        }
        is_own
    }
}

/// The questions.
#[derive(Clone, Debug, Default)]
pub(crate) struct Polls {
    lease: Poll,
    renew: Poll,
    unscored: Poll,
    /// The last answer to a lease request was empty: no sample waits for a node.
    ledger_is_empty: bool,
}

impl Polls {
    /// A generation was finished: it can be scored now.
    pub(crate) fn poll_unscored_at_once(&mut self, now: Instant) {
        self.unscored.next = self.unscored.next.min(now);
    }

    /// Whether an answer with new leases may still come.
    pub(crate) fn awaits_leases(&self) -> bool {
        self.lease.call.is_some()
    }

    /// Whether the ledger had no more samples to lease when last asked.
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
        if self.polls.lease.take(call) {
            self.on_leases(context, reply);
        } else if self.polls.renew.take(call) {
            self.on_renewed(context, reply);
        } else if self.polls.unscored.take(call) {
            self.on_unscored(context, reply);
        }
    }

    fn poll_leases(&mut self, context: &mut Context<'_>) {
        let held = self.held.len() as u32;
        let wanted = self.window.size().saturating_sub(held);
        let is_backed_up = self.reports.len() >= MAX_WAITING_REPORTS;
        if wanted == 0 || is_backed_up || !self.polls.lease.is_due(context.now) {
            return;
        }
        let request = LedgerRequest::Lease {
            pool: self.pool.clone(),
            node: self.settings.node.clone(),
            boot_id: self.settings.boot_id,
            most: wanted.min(MAX_LEASES_PER_REQUEST),
        };
        self.polls.lease.call = Some(self.ask(context, request));
    }

    fn poll_renewals(&mut self, context: &mut Context<'_>) {
        if !self.polls.renew.is_due(context.now) {
            return;
        }
        let leases = self.held.due_for_renewal(context.now);
        if leases.is_empty() {
            return;
        }
        let renew_at = context.now + self.renewal_interval();
        for lease in &leases {
            self.held
                .update(*lease, |sample| sample.renew_at = renew_at);
        }
        let request = LedgerRequest::Renew {
            pool: self.pool.clone(),
            leases,
        };
        self.polls.renew.call = Some(self.ask(context, request));
    }

    fn poll_unscored(&mut self, context: &mut Context<'_>) {
        let free = self.free_scoring();
        if free == 0 || !self.polls.unscored.is_due(context.now) {
            return;
        }
        let request = LedgerRequest::Unscored {
            pool: self.pool.clone(),
            most: free,
        };
        self.polls.unscored.call = Some(self.ask(context, request));
    }

    fn on_leases(&mut self, context: &mut Context<'_>, reply: Option<LedgerReply>) {
        let granted = match reply {
            Some(LedgerReply::Leases(granted)) => granted,
            _ => {
                self.polls.lease.next = context.now + RETRY_BACKOFF;
                return;
            }
        };
        self.polls.ledger_is_empty = granted.is_empty();
        if granted.is_empty() {
            self.polls.lease.next = context.now + EMPTY_POLL_INTERVAL;
        }
        for lease in granted {
            self.raise_oldest_useful(context, lease.oldest_useful);
            self.hold(context, lease);
        }
    }

    fn hold(&mut self, context: &mut Context<'_>, mut granted: SampleLease) {
        if is_older_than(&granted.partial, self.oldest_useful) {
            granted.partial = Generation::default();
        }
        let third = Duration::from_millis(granted.duration_ms / RENEWAL_DIVISOR);
        let sample = HeldSample {
            prompt: granted.prompt,
            partial: granted.partial,
            attempts: Vec::new(),
            avoided: None,
            not_before: context.now,
            renew_at: context.now + third,
        };
        self.held.insert(granted.lease, sample);
        if self.stopping_since.is_some() {
            self.return_lease(context, granted.lease);
        }
    }

    fn on_renewed(&mut self, context: &mut Context<'_>, reply: Option<LedgerReply>) {
        match reply {
            Some(LedgerReply::Lost(lost)) => self.drop_lost(context, &lost),
            _ => {
                let retry_at = context.now + RETRY_BACKOFF;
                self.polls.renew.next = retry_at;
                self.renew_all_at(retry_at);
            }
        }
    }

    fn drop_lost(&mut self, context: &mut Context<'_>, lost: &[LeaseId]) {
        for lease in lost {
            if let Some(partial) = self.abandon(context, *lease) {
                self.counters.wasted_tokens += partial.tokens.len() as u64;
            }
        }
    }

    fn renew_all_at(&mut self, at: Instant) {
        let leases: Vec<LeaseId> = self.held.iter().map(|(lease, _)| lease).collect();
        for lease in leases {
            self.held.update(lease, |sample| {
                sample.renew_at = sample.renew_at.min(at);
            });
        }
    }

    fn on_unscored(&mut self, context: &mut Context<'_>, reply: Option<LedgerReply>) {
        let samples: Vec<UnscoredSample> = match reply {
            Some(LedgerReply::Unscored(samples)) => samples,
            _ => {
                self.polls.unscored.next = context.now + RETRY_BACKOFF;
                return;
            }
        };
        if samples.is_empty() {
            self.polls.unscored.next = context.now + EMPTY_POLL_INTERVAL;
        }
        for sample in samples {
            self.score(context, sample);
        }
    }

    fn renewal_interval(&self) -> Duration {
        let duration_ms = self
            .binding
            .as_ref()
            .map_or(0, |binding| binding.pool.sample_lease_ms);
        Duration::from_millis(duration_ms / RENEWAL_DIVISOR)
    }

    fn ask(&mut self, context: &mut Context<'_>, request: LedgerRequest) -> CallId {
        let call = self.next_call();
        context.out.push(RolloutOutput::Ledger { call, request });
        call
    }
}
