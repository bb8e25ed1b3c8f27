//! Changes of configuration, as an operator makes them.

use super::error::StateError;
use super::site::{PATIENCE, StateSite, unexpected, wait_until};
use std::net::SocketAddr;
use wingshore_types::configuration::{
    Admission, ConfigurationChange, Permille, Server, Service, ServiceKind,
};
use wingshore_types::protocol::control::{
    ControlReply, ControlRequest, Intent, Plan, PlanState, Status,
};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{GroupId, IntentId, PlanId, ServerId, ServiceId, ZoneId};

/// The service that is changed.
pub const SERVICE: &str = "live";

/// A live service.
pub fn service() -> ConfigurationChange {
    ConfigurationChange::PutService(Service {
        id: ServiceId::new(SERVICE),
        kind: ServiceKind::Live,
        slots_per_server: 16,
        live_share: Permille::WHOLE,
        default_deadline_ms: 2_000,
    })
}

/// A server of the service.
pub fn server(name: &str, address: SocketAddr) -> ConfigurationChange {
    ConfigurationChange::PutServer(Server {
        id: ServerId::new(name),
        service: ServiceId::new(SERVICE),
        address,
        zone: ZoneId::new("hall"),
        admission: Admission::Open,
    })
}

/// Has changes planned and confirms the plan: they are accepted then.
///
/// # Errors
/// When the control group refuses.
pub fn accept(site: &StateSite, changes: Vec<ConfigurationChange>) -> Result<PlanId, StateError> {
    let plan = propose(site, changes)?;
    confirm(site, plan)?;
    Ok(plan)
}

/// Has changes planned.
///
/// # Errors
/// When the control group refuses.
pub fn propose(site: &StateSite, changes: Vec<ConfigurationChange>) -> Result<PlanId, StateError> {
    let intent_id = IntentId(rand::random());
    let plan = plan_of(
        site,
        ControlRequest::Propose {
            intent_id,
            base_revision: None,
            intent: Intent::Apply(changes),
        },
    )?;
    Ok(plan.id)
}

/// Confirms a plan.
///
/// # Errors
/// When the control group refuses.
pub fn confirm(site: &StateSite, plan: PlanId) -> Result<(), StateError> {
    let intent_id = IntentId(rand::random());
    plan_of(site, ControlRequest::Confirm { intent_id, plan }).map(drop)
}

/// Waits until a plan is carried out.
///
/// # Errors
/// When it is not in time.
pub fn await_done(site: &StateSite, plan: PlanId) -> Result<(), StateError> {
    wait_until("the plan is carried out", || {
        let plan = plan_of(site, ControlRequest::ShowPlan(plan))?;
        Ok(plan.state == PlanState::Done)
    })
}

/// The site at a glance.
///
/// # Errors
/// When the control group does not answer.
pub fn status(site: &StateSite) -> Result<Status, StateError> {
    match control(site, ControlRequest::Status)? {
        GroupReply::Control(ControlReply::Status(status)) => Ok(*status),
        reply => unexpected("a question for the status", reply),
    }
}

fn plan_of(site: &StateSite, request: ControlRequest) -> Result<Plan, StateError> {
    match control(site, request)? {
        GroupReply::Control(ControlReply::Plan(plan)) => Ok(*plan),
        reply => unexpected("a plan", reply),
    }
}

fn control(site: &StateSite, request: ControlRequest) -> Result<GroupReply, StateError> {
    let request = GroupRequest::Control(request);
    Ok(site.client.call(GroupId::Control, request, PATIENCE)?)
}
