//! What trainers ask, what slows engines down, and what came of a day.

/// A trainer's work.
#[derive(Clone, Copy)]
pub struct Work {
    /// Groups of a step, and items of a group.
    pub groups: u32,
    pub size: u32,
    /// Seconds that training on a step takes.
    pub training: f64,
}

/// One engine in five is three times slower for a while.
#[derive(Clone, Copy)]
pub struct SlowPeriod {
    /// Seconds, from the first to the last.
    pub from: f64,
    pub until: f64,
    /// Which of each five.
    pub which: u32,
}

impl SlowPeriod {
    /// Whether it slows this engine down at this time.
    pub fn slows(&self, time: f64, number: u32) -> bool {
        (self.from..self.until).contains(&time) && number % 5 == self.which
    }
}

/// What came of a day.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Steps whose texts were read in time to train on them.
    pub steps: u32,
    /// Seconds from asking a step to its last text that was needed, over all steps.
    pub seconds: f64,
}

impl Outcome {
    /// Mean seconds of a step.
    pub fn mean_seconds(&self) -> f64 {
        self.seconds / f64::from(self.steps.max(1))
    }
}
