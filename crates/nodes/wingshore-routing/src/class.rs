//! The two classes of work that share the servers.

use serde::{Deserialize, Serialize};

/// Which of the two competing kinds of work a request belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Requests of live callers, who wait for each answer.
    Live,
    /// Generation of samples for a trainer.
    Rollout,
}

impl Class {
    /// Both classes, in order.
    pub const ALL: [Self; 2] = [Self::Live, Self::Rollout];

    /// The one that this class shares slots with.
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
    /// The value of a class.
    pub(crate) fn get(&self, class: Class) -> &T {
        match class {
            Class::Live => &self.live,
            Class::Rollout => &self.rollout,
        }
    }

    /// The value of a class, to be changed.
    pub(crate) fn get_mut(&mut self, class: Class) -> &mut T {
        match class {
            Class::Live => &mut self.live,
            Class::Rollout => &mut self.rollout,
        }
    }
}
