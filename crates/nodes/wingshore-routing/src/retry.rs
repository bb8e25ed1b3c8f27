//! Question: may an attempt that ended be repeated?
//!
//! Inputs: its verdict, whether the request may run twice, the tokens of its service's budget.
//!
//! Rule: what did not run may be repeated, what may have run only where running twice is allowed,
//! what ran never; and only while the budget has a token. The budget is a token bucket per service.
//! Each first attempt adds a share of a token, each second adds a few, each retry takes one. Over
//! any time, retries are at most `share * first attempts + rate * seconds + burst`.
//!
//! Why: while a service is down, attempts must not multiply.

use crate::request::RouteRequest;
use std::time::Duration;
use wingshore_types::configuration::Permille;
use wingshore_types::{Instant, Verdict};

/// Tokens are counted in thousandths.
const UNITS_PER_TOKEN: u64 = 1000;

/// Whether `verdict` allows the request to be sent again.
pub(crate) fn verdict_allows(request: &RouteRequest, verdict: Verdict) -> bool {
    match verdict {
        Verdict::NotRun => true,
        Verdict::MayHaveRun => !request.no_repeat,
        Verdict::Ran => false,
    }
}

/// Size of the bucket and what fills it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BudgetLimits {
    pub(crate) share: Permille,
    pub(crate) per_second: u32,
    pub(crate) burst: u32,
}

/// The bucket of one service. It starts full.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    limits: BudgetLimits,
    tokens: u64,
    refilled_at: Option<Instant>,
    /// Granted retries whose attempt has not come yet; those attempts add nothing.
    granted_retries: u32,
}

impl RetryBudget {
    /// A full bucket.
    pub(crate) fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            tokens: max_tokens(limits),
            refilled_at: None,
            granted_retries: 0,
        }
    }

    /// An attempt was admitted; only a first attempt adds to the bucket.
    pub(crate) fn on_attempt(&mut self) {
        if self.granted_retries > 0 {
            self.granted_retries -= 1;
            return;
        }
        self.add(u64::from(self.limits.share.0));
    }

    /// Takes a token, if there is one.
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

    /// Adds what the time since the last call gives.
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
