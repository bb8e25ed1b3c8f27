//! What the parts of a simulated node share.

use super::settings::SimNodeSettings;
use super::upstream::Upstream;
use crate::events::Event;
use crate::process::{Call, CallId, ProcessOutput};
use crate::sim::client::GroupCalls;
use crate::wiring::{InboundCall, NotTaken, record};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use wingshore_request::{ConfigurationView, NotAdmitted, WithoutLease};
use wingshore_rollout::{AttemptId, ScoreCallId};
use wingshore_routing::{ProbeKind, Router, RouterSettings};
use wingshore_types::configuration::Configuration;
use wingshore_types::protocol::claims::Claimant;
use wingshore_types::protocol::wire::GroupRequest;
use wingshore_types::{GroupId, Instant, Revision, ServerId};

/// Retry-after of a node that has no configuration or no lease.
const RETRY_WITHOUT_CONFIGURATION: Duration = Duration::from_millis(500);
/// Retry-after of a node that stops.
const RETRY_AFTER_STOP: Duration = Duration::from_secs(2);
/// Between two records of the same revision.
const SEEN_INTERVAL: Duration = Duration::from_millis(500);

/// What a call to a group was made for.
#[derive(Clone, Debug)]
pub enum GroupPurpose {
    /// The watch of the configuration, sent at this time.
    Watch(Instant),
    /// The claim of a caller's request.
    Claim(InboundCall),
    /// The settlement of a claim.
    Settle,
    /// A runner's request, of the pool with this number.
    Rollout(usize, wingshore_rollout::CallId),
    /// A trainer's request.
    Trainer(InboundCall),
}

/// What a call to another process was made for.
#[derive(Clone, Debug)]
pub enum UpstreamPurpose {
    /// An attempt of a caller's request.
    Attempt(InboundCall, u32),
    /// A runner's stream, of the pool with this number.
    Stream(usize, AttemptId),
    /// A runner's question to the scorer, of the pool with this number.
    Score(usize, ScoreCallId),
    Probe(ServerId, ProbeKind),
    /// A reading of the machine list.
    Machines,
    /// Word to an engine that an attempt is not wanted any more.
    Cancel,
}

/// State that all parts use.
pub struct NodeCore {
    pub settings: SimNodeSettings,
    /// Drawn at this start.
    pub boot_id: u64,
    pub router: Router,
    /// The copy of the configuration.
    pub view: ConfigurationView,
    /// Whether a planned stop has begun.
    pub is_stopping: bool,
    /// Settlements of claims that are not answered yet.
    pub open_settlements: usize,
    attempts: u64,
    seen: Option<(Revision, Instant)>,
}

impl NodeCore {
    /// The state of a node that has heard nothing yet.
    pub fn new(settings: SimNodeSettings, boot_id: u64) -> Self {
        let router = Router::new(RouterSettings::default(), settings.zone.clone(), boot_id)
            .with_faults(settings.faults.routing);
        Self {
            router,
            view: ConfigurationView::new(WithoutLease::Refuse),
            settings,
            boot_id,
            is_stopping: false,
            open_settlements: 0,
            attempts: 0,
            seen: None,
        }
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(self.view.configuration())
    }

    /// A number that no other attempt of this boot has.
    pub fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        self.attempts
    }

    /// A claimant that no other request of any node has.
    pub fn next_claimant(&mut self) -> Claimant {
        Claimant {
            node: self.settings.node.clone(),
            boot_id: self.boot_id,
            attempt: self.next_attempt(),
        }
    }

    /// A request identity for engines that no other attempt of any node has.
    pub fn next_engine_request_id(&mut self) -> String {
        let attempt = self.next_attempt();
        format!("{}-{:x}-{attempt}", self.settings.node, self.boot_id)
    }

    /// Whether new work may be taken now.
    pub fn may_admit(&self, now: Instant) -> Result<(), NotTaken> {
        if self.is_stopping {
            return Err(NotTaken {
                code: "stopping",
                retry_after: Some(RETRY_AFTER_STOP),
            });
        }
        self.holds_configuration(now)
    }

    /// Whether the configuration may be acted on.
    pub fn holds_configuration(&self, now: Instant) -> Result<(), NotTaken> {
        let code = match self.view.may_admit(now) {
            Ok(()) => return Ok(()),
            Err(NotAdmitted::NoConfiguration) => "no_configuration",
            Err(NotAdmitted::LeaseExpired) => "no_lease",
        };
        Err(NotTaken {
            code,
            retry_after: Some(RETRY_WITHOUT_CONFIGURATION),
        })
    }
}

/// What one step of a part works with.
pub struct NodeContext<'a> {
    /// The node's clock.
    pub now: Instant,
    /// Shared state.
    pub core: &'a mut NodeCore,
    pub groups: &'a mut GroupCalls<GroupPurpose>,
    /// Calls to back ends and to the platform.
    pub upstream: &'a mut Upstream,
    /// What the node wants done.
    pub out: &'a mut Vec<ProcessOutput>,
}

impl NodeContext<'_> {
    /// Records the revision that the node acts by: each new one at once, the same one at times.
    pub fn record_revision(&mut self) {
        let revision = self.core.view.revision();
        let is_known = self
            .core
            .seen
            .is_some_and(|(seen, at)| seen == revision && self.now.since(at) < SEEN_INTERVAL);
        if is_known {
            return;
        }
        self.core.seen = Some((revision, self.now));
        let seen = Event::RevisionSeen {
            observed: self.core.settings.node.to_string(),
            revision: revision.0,
        };
        record(seen, self.out);
    }

    /// Asks a group; its answer comes under `purpose`.
    pub fn ask(
        &mut self,
        group: GroupId,
        body: GroupRequest,
        timeout: Duration,
        purpose: GroupPurpose,
    ) {
        self.groups
            .call(self.now, group, body, timeout, purpose, self.out);
    }

    /// Calls another process; what comes of it is given under `purpose`.
    pub fn call(
        &mut self,
        to: SocketAddr,
        call: Call,
        timeout: Duration,
        purpose: UpstreamPurpose,
    ) -> CallId {
        self.upstream
            .call(self.now, to, call, timeout, purpose, self.out)
    }

    /// Gives a call up; its answer is not wanted any more.
    pub fn close(&mut self, call: CallId) {
        self.upstream.close(call, self.out);
    }
}
