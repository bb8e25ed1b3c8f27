//! Switches for the leader's optional heuristics, so that the benefit of each can be measured.
//! Mechanisms that a guarantee depends on have no switch.

/// The heuristics that are enabled; all of them by default.
///
/// `docs/POLICY.md` lists the measured benefit of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderPolicy {
    /// Items that progress slowly on their engine move to a faster one.
    pub moves: bool,
    /// Long items are placed first, on the engines where they are expected to end earliest.
    pub long_items_first: bool,
    /// Items of a group prefer the engine that has already processed their shared prompt.
    pub prompt_homes: bool,
    /// Of several models, the one that the fewest engines can run is loaded first.
    pub scarce_models_first: bool,
    /// Items go in the order in which they have to start for their jobs to be in time, and callers
    /// share the slots; otherwise jobs go in the order of acceptance.
    pub due_times_first: bool,
    /// Engines that run long items load a new version later than others.
    pub loads_spare_long_items: bool,
    /// The scorings of a service are limited together, not at each gateway on its own.
    pub shared_scoring_limit: bool,
}

impl Default for LeaderPolicy {
    fn default() -> Self {
        Self {
            moves: true,
            long_items_first: true,
            prompt_homes: true,
            scarce_models_first: true,
            due_times_first: true,
            loads_spare_long_items: true,
            shared_scoring_limit: true,
        }
    }
}
