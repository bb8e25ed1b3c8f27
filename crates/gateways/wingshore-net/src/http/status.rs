//! Status codes of answers.

use std::fmt::{self, Display};

/// The lowest status code of a final answer; those from 100 on below it are interim.
const FIRST_FINAL: u16 = 200;
/// The highest status code that has a class (RFC 9110, section 15).
const LAST: u16 = 599;

/// Status code of a final answer: 200 to 599. A number outside is no status of an answer, so that
/// bytes with such a number are no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FinalStatus(u16);

impl FinalStatus {
    /// Creates a status from its code; `None` for a number that is no status of a final answer.
    pub fn new(code: u16) -> Option<Self> {
        (FIRST_FINAL..=LAST).contains(&code).then_some(Self(code))
    }

    /// Returns the code: 200 to 599.
    pub fn code(self) -> u16 {
        self.0
    }
}

impl Display for FinalStatus {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
