//! Retries: decides whether an attempt that ended may be repeated.
//!
//! Inputs: the verdict of the attempt, whether the request may run twice, and the tokens in the
//! retry budget of its service.
//!
//! A request that did not run may be repeated. A request that may have run may be repeated only if
//! running it twice is allowed, and one that ran is never repeated. In addition the retry budget
//! must have a token, so that attempts do not multiply while a service is down. The budget is a
//! token bucket per service: each first attempt adds a fraction of a token, each second adds a few
//! tokens, and each retry takes one. Over any period, retries are at most
//! `share * first attempts + rate * seconds + burst`.

use crate::request::RouteRequest;
use std::time::Duration;
use wingshore_types::configuration::Permille;
use wingshore_types::{Instant, Verdict};

/// Budget units per token: tokens are counted in thousandths.
const UNITS_PER_TOKEN: u64 = 1000;

/// Returns whether `verdict` allows the request to be sent again.
pub(crate) fn verdict_allows(request: &RouteRequest, verdict: Verdict) -> bool {
    match verdict {
        Verdict::NotRun => true,
        Verdict::MayHaveRun => !request.no_repeat,
        Verdict::Ran => false,
    }
}

/// Capacity and refill rates of a retry budget.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BudgetLimits {
    pub(crate) share: Permille,
    pub(crate) per_second: u32,
    pub(crate) burst: u32,
}

/// Retry budget of one service: a token bucket that starts full.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    limits: BudgetLimits,
    tokens: u64,
    refilled_at: Option<Instant>,
    /// Number of granted retries whose attempt has not been admitted yet. Those attempts add
    /// nothing to the bucket.
    granted_retries: u32,
}

impl RetryBudget {
    /// Creates a full bucket.
    pub(crate) fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            tokens: max_tokens(limits),
            refilled_at: None,
            granted_retries: 0,
        }
    }

    /// Records an admitted attempt. Only a first attempt adds to the bucket.
    pub(crate) fn on_attempt(&mut self) {
        if self.granted_retries > 0 {
            self.granted_retries -= 1;
            return;
        }
        self.add(u64::from(self.limits.share.0));
    }

    /// Takes a token. Returns false if the bucket has none.
    pub(crate) fn try_take(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < UNITS_PER_TOKEN {
            return false;
        }
        self.tokens -= UNITS_PER_TOKEN;
        self.granted_retries = self
            .granted_retries
            .saturating_add(1)
            .min(self.limits.burst);
        true
    }

    /// Adds the tokens for the time since the last refill.
    fn refill(&mut self, now: Instant) {
        let last = *self.refilled_at.get_or_insert(now);
        let rate = u128::from(self.limits.per_second);
        if rate == 0 {
            return;
        }
        let elapsed = now.since(last).as_nanos();
        let nanoseconds = Duration::from_secs(1).as_nanos() / u128::from(UNITS_PER_TOKEN);
        let added = elapsed * rate / nanoseconds;
        if added > 0 {
            self.refilled_at = Some(now);
            self.add(u64::try_from(added).unwrap_or(u64::MAX));
        }
    }

    fn add(&mut self, thousandths: u64) {
        let sum = self.tokens.saturating_add(thousandths);
        self.tokens = sum.min(max_tokens(self.limits));
    }
}

fn max_tokens(limits: BudgetLimits) -> u64 {
    u64::from(limits.burst) * UNITS_PER_TOKEN
}
