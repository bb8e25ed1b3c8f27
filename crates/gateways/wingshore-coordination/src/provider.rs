//! Calls to the provider of a site's machines, made by one coordinator at a time: reports of usage, and
//! orders for servers.

use crate::scaling::CapacityPool;
use crate::usage::{UsageCounts, UsageWindow};
use wingshore_types::Epoch;

/// Who acts: one machine, under a token that only rises.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyHolder {
    /// Name of its machine.
    pub node: String,
    /// Its leadership: no two holders have the same.
    pub fence: Epoch,
}

/// The report of one window's usage. All windows together are one subject of a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// The window.
    pub window: UsageWindow,
    /// What is reported; the same whoever sends it.
    pub counts: UsageCounts,
    /// Who sends it.
    pub holder: DutyHolder,
}

/// An order for the number of servers of one kind in one zone. A pool is a subject of a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityOrder {
    /// Of which servers.
    pub pool: CapacityPool,
    /// How many.
    pub count: u32,
    /// Who gives it.
    pub holder: DutyHolder,
}

/// What the provider answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProviderAnswer {
    /// It is done.
    Done,
    /// Another holder has acted under a higher token, or what was ordered cannot be had now.
    Conflict,
    /// Too many calls: not done.
    Busy,
    /// Refused for another reason; not done.
    Refused,
    /// No answer: it may be done, or be done later.
    Unknown,
}

impl ProviderAnswer {
    /// The answer's name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Conflict => "conflict",
            Self::Busy => "busy",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}
