//! The kinds of simulation, and their results.

/// The kind of simulation.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    NoCrashingRequest,
    OneCrashingRequest,
    /// Most clients leave before the answer; suspects run on trial.
    InnocentRequestsOfLeavingClients,
    /// The same, with one crashing request.
    CrashingRequestOfLeavingClients,
    /// One crashing request; gateways close connections on which an answer of no known request
    /// arrives, while the servers go on. Suspects run on trial.
    CrashingRequestBehindUnidentifiedAnswers,
    /// One crashing request, on trial once it is suspect. All other requests are batch items, which
    /// run whatever crashed under them.
    CrashingRequestBesideItems,
}

impl Scenario {
    pub(super) fn has_crashing_request(self) -> bool {
        matches!(
            self,
            Self::OneCrashingRequest
                | Self::CrashingRequestOfLeavingClients
                | Self::CrashingRequestBehindUnidentifiedAnswers
                | Self::CrashingRequestBesideItems
        )
    }

    /// Whether suspects run on trial.
    pub(super) fn has_trials(self) -> bool {
        self.has_leaving_clients() || self.has_unmatched_answers() || self.has_items()
    }

    /// Whether the innocent requests are batch items.
    pub(super) fn has_items(self) -> bool {
        self == Self::CrashingRequestBesideItems
    }

    pub(super) fn has_unmatched_answers(self) -> bool {
        self == Self::CrashingRequestBehindUnidentifiedAnswers
    }

    pub(super) fn has_leaving_clients(self) -> bool {
        matches!(
            self,
            Self::InnocentRequestsOfLeavingClients | Self::CrashingRequestOfLeavingClients
        )
    }
}

/// The result of a simulation.
#[derive(Default)]
pub struct Outcome {
    pub rejected_innocents: usize,
    pub crashes_by_request: u64,
    pub late_sends: usize,
    /// Sends of the crashing request after its third crash, at any time.
    pub sends_after_third_crash: usize,
    pub evidence: u64,
    /// Trials that were granted.
    pub trials: u64,
}
