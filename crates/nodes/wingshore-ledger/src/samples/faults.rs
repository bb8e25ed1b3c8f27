//! Deliberate faults, by which tests show that a broken promise is noticed.

use serde::{Deserialize, Serialize};

/// Faults to switch on; all are off by default, and only tests switch any on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults {
    /// Hands samples over whatever their age.
    pub hand_over_without_age_check: bool,
    /// The leader answers a pull when it proposes the hand-over.
    pub answer_before_commit: bool,
    /// A second finish of a sample makes it ready once more.
    pub accept_second_finish: bool,
    /// A repeated pull of a step is given other samples.
    pub forget_handover: bool,
}

impl Faults {
    /// No fault.
    pub const NONE: Self = Self {
        hand_over_without_age_check: false,
        answer_before_commit: false,
        accept_second_finish: false,
        forget_handover: false,
    };
}
