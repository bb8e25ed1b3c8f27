//! The operators and trainers of a run: changes of configuration and publications.

use super::error::{ControlSnafu, HollowError, LateSnafu};
use super::sizes::SITE;
use rand::RngExt;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use wingshore_client::GroupClient;
use wingshore_types::configuration::ConfigurationChange;
use wingshore_types::protocol::control::{
    ControlReply, ControlRequest, Intent, Plan, PlanState, Status,
};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{GroupId, IntentId, PlanId, PoolId, Revision, WeightVersion};

/// Longest time for one request.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Between two looks at a plan.
const LOOK_PAUSE: Duration = Duration::from_millis(5);

/// Asks the control group.
#[derive(Clone, Debug)]
pub struct ControlClient {
    client: GroupClient,
}

impl ControlClient {
    /// A client of these replicas.
    pub fn new(replicas: &[SocketAddr]) -> Self {
        Self {
            client: GroupClient::new(SITE, replicas.to_vec(), 1),
        }
    }

    /// Proposes changes; nothing happens before they are confirmed.
    ///
    /// # Errors
    /// When the control group refuses or does not answer.
    pub fn propose(&self, changes: Vec<ConfigurationChange>) -> Result<PlanId, HollowError> {
        let request = ControlRequest::Propose {
            intent_id: new_intent(),
            base_revision: None,
            intent: Intent::Apply(changes),
        };
        self.plan("make a plan", request).map(|plan| plan.id)
    }

    /// Confirms a plan.
    ///
    /// # Errors
    /// When the control group refuses or does not answer.
    pub fn confirm(&self, plan: PlanId) -> Result<(), HollowError> {
        let request = ControlRequest::Confirm {
            intent_id: new_intent(),
            plan,
        };
        self.plan("confirm a plan", request).map(|_| ())
    }

    /// Waits until a plan is done: until its changes are in force everywhere.
    ///
    /// # Errors
    /// When it is not within `limit`.
    pub fn wait_until_done(&self, plan: PlanId, limit: Duration) -> Result<(), HollowError> {
        let end = Instant::now() + limit;
        loop {
            let shown = self.plan("show a plan", ControlRequest::ShowPlan(plan))?;
            if shown.state == PlanState::Done {
                return Ok(());
            }
            if Instant::now() >= end {
                return LateSnafu {
                    what: "a change in force everywhere",
                    seconds: limit.as_secs(),
                    state: format!("{:?}", shown.state),
                }
                .fail();
            }
            thread::sleep(LOOK_PAUSE);
        }
    }

    /// Publishes a version.
    ///
    /// # Errors
    /// When the control group refuses or does not answer.
    pub fn publish(&self, pool: PoolId, version: WeightVersion) -> Result<Revision, HollowError> {
        let request = ControlRequest::Publish {
            intent_id: new_intent(),
            pool,
            version,
        };
        match self.call(request)? {
            ControlReply::Published(revision) => Ok(revision),
            other => unexpected("publish a version", &other),
        }
    }

    /// The site at a glance.
    ///
    /// # Errors
    /// When the control group does not answer.
    pub fn status(&self) -> Result<Status, HollowError> {
        match self.call(ControlRequest::Status)? {
            ControlReply::Status(status) => Ok(*status),
            other => unexpected("tell how it is", &other),
        }
    }

    fn plan(&self, wanted: &'static str, request: ControlRequest) -> Result<Plan, HollowError> {
        match self.call(request)? {
            ControlReply::Plan(plan) => Ok(*plan),
            other => unexpected(wanted, &other),
        }
    }

    fn call(&self, request: ControlRequest) -> Result<ControlReply, HollowError> {
        let body = GroupRequest::Control(request);
        match self.client.call(GroupId::Control, body, CALL_TIMEOUT) {
            Ok(GroupReply::Control(reply)) => Ok(reply),
            Ok(other) => unexpected("answer", &other),
            Err(error) => unexpected("answer", &error),
        }
    }
}

fn unexpected<T>(wanted: &'static str, answer: &impl std::fmt::Debug) -> Result<T, HollowError> {
    let mut answer = format!("{answer:?}");
    answer.truncate(500);
    ControlSnafu { wanted, answer }.fail()
}

fn new_intent() -> IntentId {
    IntentId(rand::rng().random())
}
