//! Deliberate faults, by which tests show that a broken promise is noticed.

use super::leader::ClaimsLeader;
use super::state::ClaimsState;
use crate::faulty::TakesFaults;

/// Faults to switch on; all are off by default, and only tests switch any on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Grants a key whose claimant is in flight, or ended without anyone knowing how.
    pub grant_taken: bool,
}

impl TakesFaults for ClaimsState {
    type Faults = Faults;

    fn set_faults(&mut self, faults: Faults) {
        self.set_faults(faults);
    }
}

impl TakesFaults for ClaimsLeader {
    type Faults = Faults;

    /// The leader has none of its own.
    fn set_faults(&mut self, _faults: Faults) {}
}
