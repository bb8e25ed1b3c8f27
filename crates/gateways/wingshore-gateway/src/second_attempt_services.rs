//! What second attempts need to know of each service: its answer times, and its budget.

use crate::second_attempt::{Requester, SecondAttemptBudget, second_attempt_delay};
use crate::service_latency::ServiceLatencies;
use std::collections::HashMap;
use std::time::Duration;
use wingshore_coordination::ServiceName;
use wingshore_types::Instant;

/// Answer times and budgets of all services.
pub(crate) struct SecondAttempts {
    /// Whether second attempts are started.
    is_enabled: bool,
    latencies: ServiceLatencies,
    budgets: HashMap<ServiceName, SecondAttemptBudget>,
}

impl SecondAttempts {
    /// Starts without answers and with full budgets.
    pub(crate) fn new(is_enabled: bool, latencies: ServiceLatencies) -> Self {
        Self {
            is_enabled,
            latencies,
            budgets: HashMap::new(),
        }
    }

    /// Records the start of a request to a service.
    pub(crate) fn request_started(&mut self, service: &ServiceName) {
        match self.budgets.get_mut(service) {
            Some(budget) => budget.request_started(),
            None => {
                let budget = SecondAttemptBudget::default();
                self.budgets.insert(service.clone(), budget);
            }
        }
    }

    /// Records how long a server of a service took to answer.
    pub(crate) fn record_latency(&mut self, now: Instant, service: &ServiceName, time: Duration) {
        self.latencies.record(now, service, time);
    }

    /// Returns how long after the start of a request's attempt the second one is due; `None` if
    /// second attempts are disabled.
    pub(crate) fn delay(
        &mut self,
        now: Instant,
        service: &ServiceName,
        target_latency: Duration,
    ) -> Option<Duration> {
        if !self.is_enabled {
            return None;
        }
        let percentile = self.latencies.percentile(now, service);
        Some(second_attempt_delay(percentile, target_latency))
    }

    /// Returns the 95th percentile of a service's answer times; `None` with too few recent answers.
    pub(crate) fn usual_latency(
        &mut self,
        now: Instant,
        service: &ServiceName,
    ) -> Option<Duration> {
        self.latencies.percentile(now, service)
    }

    /// Takes a token of a service for a second attempt; returns false if there is none.
    pub(crate) fn take_token(&mut self, service: &ServiceName, requester: Requester) -> bool {
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.take(requester)
    }

    /// Forgets services for which `is_known` is false.
    pub(crate) fn retain(&mut self, is_known: impl Fn(&ServiceName) -> bool) {
        self.latencies.retain(&is_known);
        self.budgets.retain(|service, _| is_known(service));
    }
}
