//! Fault injection: tests use it to show that a violated guarantee is detected.

/// Injected faults. All are off by default; only tests enable them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Hands over samples regardless of their staleness.
    pub hand_over_without_age_check: bool,
    /// Answers a pull when the hand-over is proposed, before it is committed.
    pub answer_before_commit: bool,
    /// Accepts a second finished generation of a sample, which then becomes ready again.
    pub accept_second_finish: bool,
    /// Answers a repeated pull of a step with other samples.
    pub forget_handover: bool,
}
