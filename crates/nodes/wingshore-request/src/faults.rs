//! Fault injection: each fault violates one guarantee, so that tests can verify that the violation
//! is detected.

/// Injected faults. All are off by default; only tests enable them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Retries a non-repeatable request although it may have run.
    pub retry_on_may_have_run: bool,
    /// Sends a request with an idempotency key before the key is claimed.
    pub send_before_claim: bool,
    /// Forwards an answer with a truncated body as if it were complete.
    pub accept_truncated_body: bool,
    /// Reports each failed request as not run.
    pub report_failures_as_not_run: bool,
}
