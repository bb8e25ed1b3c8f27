//! Calls to the provider of a site's machines: usage reports and orders for servers. Only one
//! coordinator makes them at a time.

use crate::scaling::CapacityPool;
use crate::usage::{UsageCounts, UsageWindow};
use wingshore_types::Epoch;

/// The coordinator that makes the calls: a machine and its fencing token, which only increases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyHolder {
    /// Name of the machine.
    pub node: String,
    /// Fencing token: the epoch of the leadership, which no two holders share.
    pub fence: Epoch,
}

/// Usage report of one window. For fencing, the reports of all windows are one resource.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// The reported window.
    pub window: UsageWindow,
    /// Counts of the window; the same whoever sends the report.
    pub counts: UsageCounts,
    /// Sender of the report.
    pub holder: DutyHolder,
}

/// An order for the number of servers of one kind in one zone. For fencing, each pool is a resource
/// of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityOrder {
    /// Pool of servers.
    pub pool: CapacityPool,
    /// Number of servers.
    pub count: u32,
    /// Sender of the order.
    pub holder: DutyHolder,
}

/// Answer of the provider.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProviderAnswer {
    /// The call was carried out.
    Done,
    /// Another holder has acted under a higher token, or the ordered servers are not available now.
    Conflict,
    /// Too many calls; the call was not carried out.
    Busy,
    /// Refused for another reason; the call was not carried out.
    Refused,
    /// No answer; the call may have been carried out, or may be carried out later.
    Unknown,
}

impl ProviderAnswer {
    /// Returns the name of the answer in logs.
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
