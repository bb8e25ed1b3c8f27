//! Request classes that share the servers.

use serde::{Deserialize, Serialize};

/// Class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A request of an interactive caller, who waits for the answer.
    Live,
    /// A request that generates samples for a trainer.
    Rollout,
}

impl Class {
    /// Both classes, in order.
    pub const ALL: [Self; 2] = [Self::Live, Self::Rollout];

    /// Returns the class with which this one shares slots.
    pub fn other(self) -> Self {
        match self {
            Self::Live => Self::Rollout,
            Self::Rollout => Self::Live,
        }
    }
}

/// One value for each class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ByClass<T> {
    live: T,
    rollout: T,
}

impl<T> ByClass<T> {
    /// Returns the value of a class.
    pub(crate) fn get(&self, class: Class) -> &T {
        match class {
            Class::Live => &self.live,
            Class::Rollout => &self.rollout,
        }
    }

    /// Returns a mutable reference to the value of a class.
    pub(crate) fn get_mut(&mut self, class: Class) -> &mut T {
        match class {
            Class::Live => &mut self.live,
            Class::Rollout => &mut self.rollout,
        }
    }
}
