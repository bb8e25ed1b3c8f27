//! Fault injection: tests use it to prove that their checks detect the faults.

/// Switches for injected faults. All are off by default; only tests set them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Orders carry epoch 1, whichever leader sends them.
    pub ignore_fence_order: bool,
    /// The newest revision is reported as in force without acknowledgements.
    pub in_force_without_acknowledgement: bool,
    /// Answers to intents are not stored, so that retries are executed again.
    pub forget_intents: bool,
    /// A stale plan can be confirmed and is executed.
    pub confirm_stale_plans: bool,
    /// A new leader repeats the completed swaps of running plans.
    pub repeat_steps_after_leader_change: bool,
}
