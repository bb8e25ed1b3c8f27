//! The leader machine: what it holds.
//!
//! What it does is in one module a topic. Each takes an input, asks the decision modules, changes
//! the tables, and says what is to be done.

use super::decisions::crash_evidence::Evidence;
use super::decisions::registration::Heartbeats;
use super::decisions::usage_reports::UsageReporter;
use super::interface::LeaderFigures;
use super::proposals::{FollowUp, Proposals};
use super::settings::LeaderSettings;
use super::tables::capacity::Capacity;
use super::tables::engines::Engines;
use super::tables::gateways::Gateways;
use super::tables::items::Items;
use super::tables::jobs::{JobClock, Readers};
use super::tables::registrations::Registrations;
use super::tables::rollout::Rollout;
use super::tables::scorings::Scorings;
use super::turn::Turn;
use crate::routes::RouteTable;
use crate::state::Command;
use crate::tenants::TenantPriorities;
use wingshore_types::{Epoch, Instant};

/// The leader machine of the coordination group.
///
/// Invariant: it holds nothing that must survive it; all of that is in
/// [`CoordinationState`](crate::state::CoordinationState).
pub struct CoordinationLeader {
    pub(super) settings: LeaderSettings,
    pub(super) epoch: Epoch,
    /// Items are placed from this time on: gateways first report what they run.
    pub(super) place_from: Instant,
    /// When the next sweep through servers, items and jobs is due.
    pub(super) next_sweep: Instant,
    pub(super) proposals: Proposals,
    pub(super) gateways: Gateways,
    pub(super) heartbeats: Heartbeats,
    pub(super) registrations: Registrations,
    pub(super) engines: Engines,
    pub(super) items: Items,
    pub(super) job_clock: JobClock,
    pub(super) readers: Readers,
    pub(super) rollout: Rollout,
    pub(super) scorings: Scorings,
    pub(super) evidence: Evidence,
    pub(super) usage: UsageReporter,
    pub(super) capacity: Capacity,
    /// The routes of the configuration in force.
    pub(super) routes: RouteTable,
    /// Ranks of tenants in the configuration in force.
    pub(super) ranks: TenantPriorities,
}

impl Default for CoordinationLeader {
    fn default() -> Self {
        Self::new(LeaderSettings::default())
    }
}

impl CoordinationLeader {
    /// A leader machine with these settings.
    pub fn new(settings: LeaderSettings) -> Self {
        Self {
            settings,
            epoch: Epoch(0),
            place_from: Instant::ZERO,
            next_sweep: Instant::ZERO,
            proposals: Proposals::default(),
            gateways: Gateways::default(),
            heartbeats: Heartbeats::default(),
            registrations: Registrations::default(),
            engines: Engines::default(),
            items: Items::default(),
            job_clock: JobClock::default(),
            readers: Readers::default(),
            rollout: Rollout::default(),
            scorings: Scorings::default(),
            evidence: Evidence::default(),
            usage: UsageReporter::default(),
            capacity: Capacity::default(),
            routes: RouteTable::default(),
            ranks: TenantPriorities::default(),
        }
    }

    /// How much it has in hand.
    pub fn figures(&self) -> LeaderFigures {
        let engines = self.engines.iter();
        LeaderFigures {
            items_waiting: self.items.waiting_count(),
            items_running: self.items.attempts().count(),
            engines_loading: engines
                .filter(|(_, engine)| engine.loading.is_some())
                .count(),
            scorings_waiting: self.scorings.waiting_count(),
            scorings_running: self.scorings.running_count(),
        }
    }

    /// Proposes a command; `follow_up` follows once it is applied.
    pub(super) fn propose(&mut self, command: Command, follow_up: FollowUp, turn: &mut Turn<'_>) {
        self.proposals.add(command, follow_up, turn.out);
    }
}
