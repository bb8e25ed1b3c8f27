//! What this gateway observes at scoring services, for its reports to the leader.

use crate::limit::LoadSignal;
use std::collections::BTreeMap;
use wingshore_coordination::{ScoringLoad, ServiceName};

/// Observations at one service since the last report.
#[derive(Clone, Copy, Debug, Default)]
struct Observed {
    in_time: u32,
    overloaded: u32,
    /// The live requests in flight at the last report.
    reported_live: u32,
}

/// Observations at all scoring services that this gateway knows of.
#[derive(Default)]
pub struct ScoringLoads {
    by_service: BTreeMap<ServiceName, Observed>,
}

impl ScoringLoads {
    /// Adds a service, so that its live requests are reported.
    pub fn add_service(&mut self, service: &ServiceName) {
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.clone(), Observed::default());
        }
    }

    /// Records what the end of a scoring shows about the load of its service.
    pub fn record(&mut self, service: &ServiceName, signal: LoadSignal) {
        let observed = self.by_service.entry(service.clone()).or_default();
        match signal {
            LoadSignal::InTime => observed.in_time += 1,
            LoadSignal::Overload => observed.overloaded += 1,
            LoadSignal::None => {}
        }
    }

    /// Returns the report of the services that have something to report; `live_in_flight` returns
    /// the live requests in flight at a service.
    pub fn take_report(
        &mut self,
        live_in_flight: impl Fn(&ServiceName) -> u32,
    ) -> Vec<ScoringLoad> {
        let mut report = Vec::new();
        for (service, observed) in &mut self.by_service {
            let live = live_in_flight(service);
            let Observed {
                in_time,
                overloaded,
                reported_live,
            } = *observed;
            *observed = Observed {
                reported_live: live,
                ..Observed::default()
            };
            if in_time == 0 && overloaded == 0 && live == 0 && reported_live == 0 {
                continue;
            }
            report.push(ScoringLoad {
                service: service.clone(),
                live_in_flight: live,
                in_time,
                overloaded,
            });
        }
        report
    }
}
