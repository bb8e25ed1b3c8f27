//! Switches of the leader's mechanisms of choice, for measuring what each is worth. A mechanism
//! that a promise rests on has none.

/// Which mechanisms are on; all of them by default.
///
/// What each is worth: `docs/POLICY.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderPolicy {
    /// Items that go slower than elsewhere move to a faster engine.
    pub moves: bool,
    /// Long items are placed first, on the engines where they end first.
    pub long_items_first: bool,
    /// Items of a group go where their shared prompt was read.
    pub prompt_homes: bool,
    /// Of several models, the one that fewest engines can run loads first.
    pub scarce_models_first: bool,
    /// Engines with long items load a new version later.
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
