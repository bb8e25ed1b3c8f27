//! Switches of the leader's mechanisms of choice, for measuring what each is worth. A mechanism
//! that a promise rests on has none.

/// Which mechanisms are on; all of them by default.
///
/// What each is worth is said in seconds of a step by the simulation of steps (45 engines, 16 seeds,
/// standard error 0.01 to 0.02 s; 7.39 s with all on), and in worth of a day without it (15 pairs, 11
/// engines).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderPolicy {
    /// Items that go slower than elsewhere move to a faster engine. 7.64 s without; -0.018 +- 0.014 of worth.
    pub moves: bool,
    /// Long items are placed first, on the engines where they end first. 8.44 s without; +0.039 +- 0.017
    /// of worth.
    pub long_items_first: bool,
    /// Items of a group go where their shared prompt was read. No difference; -0.019 +- 0.017 of worth.
    pub prompt_homes: bool,
    /// Of several models, the one that fewest engines can run loads first. 8.48 s without; the pairs had
    /// one model.
    pub scarce_models_first: bool,
    /// Engines with long items load a new version later. No difference; +0.010 +- 0.018 of worth.
    pub loads_spare_long_items: bool,
}

impl Default for LeaderPolicy {
    fn default() -> Self {
        Self {
            moves: true,
            long_items_first: true,
            prompt_homes: true,
            scarce_models_first: true,
            loads_spare_long_items: true,
        }
    }
}
