//! The servers that run requests and batch items.

use crate::balance::Balancer;
use crate::crashes::CrashDetector;
use crate::second_attempt_services::SecondAttempts;
use crate::trial_table::TrialTable;
use crate::upstream::Upstreams;

/// The connections to servers and the state kept for each server.
pub(crate) struct Servers {
    /// Connections to servers.
    pub(crate) upstreams: Upstreams,
    /// Latency, load and failures of each server, for load balancing of live requests.
    pub(crate) balancer: Balancer,
    /// Detected crashes of servers, and the requests that were running.
    pub(crate) crashes: CrashDetector,
    /// Trials of suspect requests.
    pub(crate) trials: TrialTable,
    /// Answer times of services, and the budgets for second attempts.
    pub(crate) second_attempts: SecondAttempts,
}

impl Servers {
    /// Starts without connections and without known servers.
    pub(crate) fn new(second_attempts: SecondAttempts) -> Self {
        Self {
            upstreams: Upstreams::default(),
            balancer: Balancer::default(),
            crashes: CrashDetector::default(),
            trials: TrialTable::default(),
            second_attempts,
        }
    }
}
