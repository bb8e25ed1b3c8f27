//! The data of the leader machine.
//!
//! Its behaviour is split into one module per topic. Each handles its inputs: it consults the
//! decision modules, updates the tables and emits outputs.

use super::decisions::crash_evidence::Evidence;
use super::decisions::fair_share::FairShares;
use super::decisions::registration::Heartbeats;
use super::decisions::return_times::ReturnTimes;
use super::decisions::step_forecast::StepForecast;
use super::decisions::trials::Trials;
use super::decisions::usage_reports::UsageReporter;
use super::interface::LeaderCounts;
use super::proposals::{FollowUp, Proposals};
use super::settings::LeaderSettings;
use super::tables::capacity::Capacity;
use super::tables::engines::Engines;
use super::tables::event_sizes::EventSizes;
use super::tables::gateways::Gateways;
use super::tables::items::Items;
use super::tables::jobs::{JobClock, Readers};
use super::tables::registrations::Registrations;
use super::tables::rollout::Rollout;
use super::tables::run_times::RunTimes;
use super::tables::scoring_services::ScoringServices;
use super::tables::scorings::Scorings;
use super::turn::Turn;
use crate::ids::JobId;
use crate::routes::RouteTable;
use crate::state::Command;
use crate::tenants::TenantPriorities;
use std::collections::{BTreeSet, HashMap};
use wingshore_types::{Epoch, Instant};

/// The leader machine of the coordination group.
///
/// Invariant: all of its data is volatile. Everything that must survive a change of leader is in
/// [`CoordinationState`](crate::state::CoordinationState).
pub struct CoordinationLeader {
    pub(super) settings: LeaderSettings,
    pub(super) epoch: Epoch,
    /// Nothing is placed before this time, so that gateways first report what they already run.
    pub(super) placing_starts_at: Instant,
    /// When the next sweep for expired servers, items and jobs is due.
    pub(super) next_sweep: Instant,
    pub(super) proposals: Proposals,
    pub(super) gateways: Gateways,
    pub(super) heartbeats: Heartbeats,
    pub(super) registrations: Registrations,
    pub(super) engines: Engines,
    pub(super) items: Items,
    pub(super) event_sizes: EventSizes,
    /// The newest forecast of each job's step.
    pub(super) forecasts: HashMap<JobId, StepForecast>,
    pub(super) job_clock: JobClock,
    pub(super) readers: Readers,
    pub(super) shares: FairShares,
    /// Jobs that were refused for lack of memory.
    pub(super) returns: ReturnTimes,
    pub(super) run_times: RunTimes,
    /// Number of items placed since one of a late job.
    pub(super) placed_since_late: u32,
    /// Jobs that cannot be whole in time.
    pub(super) late_jobs: BTreeSet<JobId>,
    pub(super) rollout: Rollout,
    pub(super) scorings: Scorings,
    pub(super) scoring_services: ScoringServices,
    /// When the next summary of scorings is logged.
    pub(super) next_scoring_summary: Instant,
    pub(super) evidence: Evidence,
    pub(super) trials: Trials,
    /// Whether trials of earlier leaders that no gateway has reported were closed.
    pub(super) has_closed_earlier_trials: bool,
    pub(super) usage: UsageReporter,
    pub(super) capacity: Capacity,
    /// The routes of the configuration in force.
    pub(super) routes: RouteTable,
    /// Ranks of the tenants of the configuration in force.
    pub(super) ranks: TenantPriorities,
}

impl Default for CoordinationLeader {
    fn default() -> Self {
        Self::new(LeaderSettings::default())
    }
}

impl CoordinationLeader {
    /// Creates a leader machine with these settings.
    pub fn new(settings: LeaderSettings) -> Self {
        Self {
            settings,
            epoch: Epoch(0),
            placing_starts_at: Instant::ZERO,
            next_sweep: Instant::ZERO,
            proposals: Proposals::default(),
            gateways: Gateways::default(),
            heartbeats: Heartbeats::default(),
            registrations: Registrations::default(),
            engines: Engines::default(),
            items: Items::default(),
            event_sizes: EventSizes::default(),
            forecasts: HashMap::new(),
            job_clock: JobClock::default(),
            readers: Readers::default(),
            shares: FairShares::default(),
            returns: ReturnTimes::default(),
            run_times: RunTimes::default(),
            placed_since_late: 0,
            late_jobs: BTreeSet::new(),
            rollout: Rollout::default(),
            scorings: Scorings::default(),
            scoring_services: ScoringServices::default(),
            next_scoring_summary: Instant::ZERO,
            evidence: Evidence::default(),
            trials: Trials::default(),
            has_closed_earlier_trials: false,
            usage: UsageReporter::default(),
            capacity: Capacity::default(),
            routes: RouteTable::default(),
            ranks: TenantPriorities::default(),
        }
    }

    /// Returns the counts of the leader's open work.
    pub fn counts(&self) -> LeaderCounts {
        let engines = self.engines.iter();
        LeaderCounts {
            items_waiting: self.items.waiting_count(),
            items_running: self.items.attempts().count(),
            jobs_late: self.late_jobs.len(),
            engines_loading: engines
                .filter(|(_, engine)| engine.loading.is_some())
                .count(),
            scorings_waiting: self.scorings.waiting_count(),
            scorings_running: self.scorings.running_count(),
            trials_open: self.trials.open_count(),
        }
    }

    /// Proposes a command; `follow_up` is carried out once the command is applied.
    pub(super) fn propose(&mut self, command: Command, follow_up: FollowUp, turn: &mut Turn<'_>) {
        self.proposals.add(command, follow_up, turn.out);
    }
}
