//! Deliberate faults, by which tests show that their checks can fail.

/// Switches for deliberate faults. All are off by default; only tests set them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Orders carry the first epoch, whichever leader gives them.
    pub ignore_fence_order: bool,
    /// The newest revision is reported in force at once.
    pub in_force_without_acknowledgement: bool,
    /// First answers to intents are not kept.
    pub forget_intents: bool,
    /// A plan whose base has changed is carried out all the same.
    pub confirm_stale_plans: bool,
    /// A new leader carries out running plans from their first step.
    pub repeat_steps_after_leader_change: bool,
}
