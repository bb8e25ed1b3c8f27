//! Work of trainers, slow periods of engines, and the outcome of a simulation.

/// The work of a trainer.
#[derive(Clone, Copy)]
pub struct Work {
    /// Groups of a step, and items of a group.
    pub groups: u32,
    pub size: u32,
    /// Seconds that training on a step takes.
    pub training: f64,
}

/// A period in which one engine in five is three times slower.
#[derive(Clone, Copy)]
pub struct SlowPeriod {
    /// Start and end of the period, in simulated seconds.
    pub from: f64,
    pub until: f64,
    /// Which engine of each five: its number modulo five.
    pub which: u32,
}

impl SlowPeriod {
    /// Returns whether the engine of this number is slow at this time.
    pub fn slows(&self, time: f64, number: u32) -> bool {
        (self.from..self.until).contains(&time) && number % 5 == self.which
    }
}

/// Outcome of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Number of steps that received enough texts to train on.
    pub steps: u32,
    /// Seconds from submitting a step to the last text that it needed, summed over all steps.
    pub seconds: f64,
}

impl Outcome {
    /// Returns the mean duration of a step, in seconds.
    pub fn mean_seconds(&self) -> f64 {
        self.seconds / f64::from(self.steps.max(1))
    }
}
