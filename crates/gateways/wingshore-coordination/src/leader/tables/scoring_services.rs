//! What the leader knows about the load of each scoring service, and counts for its log.

use crate::ids::{GatewayId, ServiceName};
use crate::leader::decisions::scoring_limit::{
    ScoringAnswers, ScoringCapacity, ScoringLimit, is_report_current,
};
use crate::messages::ScoringLoad;
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::Instant;

/// The live requests that a gateway has in flight at a service.
struct LiveReport {
    in_flight: u32,
    reported_at: Instant,
}

/// Grants of a service since its last summary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct GrantCounts {
    /// Scorings that were granted.
    pub(crate) granted: u64,
    /// Scorings that no server accepted or answered in time.
    pub(crate) refused: u64,
    /// Longest time that a text waited for its grant.
    pub(crate) longest_wait: Duration,
}

/// The load of one scoring service.
#[derive(Default)]
struct ScoringService {
    limit: ScoringLimit,
    live: BTreeMap<GatewayId, LiveReport>,
    counts: GrantCounts,
}

impl ScoringService {
    fn live_in_flight(&self, now: Instant) -> u32 {
        let reports = self.live.values();
        let current = reports.filter(|report| is_report_current(now, report.reported_at));
        current.map(|report| report.in_flight).sum()
    }
}

/// All scoring services of this leadership.
#[derive(Default)]
pub(crate) struct ScoringServices {
    by_name: BTreeMap<ServiceName, ScoringService>,
}

impl ScoringServices {
    /// Records a gateway's report about a service whose servers have this number of slots.
    pub(crate) fn record(
        &mut self,
        now: Instant,
        gateway: GatewayId,
        load: ScoringLoad,
        slots: u32,
    ) {
        let service = self.by_name.entry(load.service).or_default();
        service
            .live
            .retain(|_, report| is_report_current(now, report.reported_at));
        let report = LiveReport {
            in_flight: load.live_in_flight,
            reported_at: now,
        };
        service.live.insert(gateway, report);
        let capacity = ScoringCapacity {
            slots,
            live_in_flight: service.live_in_flight(now),
        };
        let answers = ScoringAnswers {
            in_time: load.in_time,
            overloaded: load.overloaded,
        };
        service.limit.record(now, capacity, answers);
    }

    /// Returns how many scorings may be under way at a service whose servers have this number of
    /// slots.
    pub(crate) fn allowed(
        &self,
        now: Instant,
        service: &ServiceName,
        slots: u32,
        is_urgent: bool,
    ) -> u32 {
        let known = self.by_name.get(service);
        let capacity = ScoringCapacity {
            slots,
            live_in_flight: known.map_or(0, |known| known.live_in_flight(now)),
        };
        match known {
            Some(known) => known.limit.allowed(capacity, is_urgent),
            None => ScoringLimit::default().allowed(capacity, is_urgent),
        }
    }

    /// Returns the names of the services.
    pub(crate) fn names(&self) -> impl Iterator<Item = &ServiceName> {
        self.by_name.keys()
    }

    /// Counts a scoring that was granted after waiting for `wait`.
    pub(crate) fn count_grant(&mut self, service: &ServiceName, wait: Duration) {
        let known = self.by_name.entry(service.clone()).or_default();
        known.counts.granted += 1;
        known.counts.longest_wait = known.counts.longest_wait.max(wait);
    }

    /// Counts a scoring that no server accepted or answered in time.
    pub(crate) fn count_refusal(&mut self, service: &ServiceName) {
        let known = self.by_name.entry(service.clone()).or_default();
        known.counts.refused += 1;
    }

    /// Returns the counts of each service with grants or refusals since the last call.
    pub(crate) fn take_counts(&mut self) -> Vec<(ServiceName, GrantCounts)> {
        let taken = self.by_name.iter_mut().map(|(name, service)| {
            let counts = std::mem::take(&mut service.counts);
            (name.clone(), counts)
        });
        taken
            .filter(|(_, counts)| *counts != GrantCounts::default())
            .collect()
    }
}
