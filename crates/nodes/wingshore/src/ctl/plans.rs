//! The commands about the configuration and plans, among them confirmations.

use crate::ctl::arguments::{CancelArguments, ConfirmArguments, PlanArguments, PlanCommand};
use crate::ctl::render;
use crate::ctl::session::{Session, intent_id, unexpected_answer};
use crate::failure::{Failure, SettingsSnafu};
use crate::settings_file;
use serde::Serialize;
use snafu::ResultExt;
use std::time::Duration;
use wingshore_settings::{SiteFile, site_from_text};
use wingshore_types::configuration::{Configuration, ConfigurationChange};
use wingshore_types::protocol::control::{ControlReply, ControlRequest, Intent, Plan, PlanState};
use wingshore_types::{PlanId, Revision, WeightVersion};

/// Interval between polls of a running plan.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Output for a site file that equals the configuration; no plan is made.
#[derive(Serialize)]
struct NothingToChange {
    nothing_to_change: bool,
    revision: Revision,
}

/// Shows the configuration.
///
/// # Errors
/// When the control group does not answer.
pub fn configuration(session: &Session) -> Result<(), Failure> {
    let configuration = read_configuration(session)?;
    session.print(&configuration, render::configuration_text);
    Ok(())
}

/// Makes a plan from the command line.
///
/// # Errors
/// When an argument is invalid, or the control group does not answer or refuses.
pub fn propose(session: &Session, flags: &PlanArguments) -> Result<(), Failure> {
    let mut base = flags.base.map(Revision);
    let intent = match &flags.wanted {
        PlanCommand::Apply(apply) => {
            let text = settings_file::read(&apply.file)?;
            let site = site_from_text(&apply.file, &text).context(SettingsSnafu)?;
            let current = read_configuration(session)?;
            let changes = changes_to_site(&current, &site, apply.prune);
            if changes.is_empty() {
                print_nothing_to_change(session, &current, &apply.file);
                return Ok(());
            }
            base = base.or(Some(current.revision));
            Intent::Apply(changes)
        }
        PlanCommand::MovePool(wanted) => Intent::MovePool {
            pool: wanted.pool.as_str().into(),
            version: WeightVersion(wanted.version),
        },
        PlanCommand::Drain(wanted) => Intent::Drain(wanted.server.as_str().into()),
        PlanCommand::Restore(wanted) => Intent::Restore(wanted.server.as_str().into()),
    };
    propose_intent(session, flags.intent.as_deref(), base, intent)
}

/// Makes a plan that carries out `intent`.
///
/// # Errors
/// When the control group does not answer or refuses.
pub fn propose_intent(
    session: &Session,
    hex_id: Option<&str>,
    base_revision: Option<Revision>,
    intent: Intent,
) -> Result<(), Failure> {
    let request = ControlRequest::Propose {
        intent_id: intent_id(hex_id)?,
        base_revision,
        intent,
    };
    print_plan(session, &request_plan(session, request)?)
}

/// Shows one plan.
///
/// # Errors
/// When the control group does not answer, or the plan does not exist.
pub fn show(session: &Session, plan: u64) -> Result<(), Failure> {
    let request = ControlRequest::ShowPlan(PlanId(plan));
    print_plan(session, &request_plan(session, request)?)
}

/// Shows all plans.
///
/// # Errors
/// When the control group does not answer.
pub fn list(session: &Session) -> Result<(), Failure> {
    match session.control(ControlRequest::ListPlans)? {
        ControlReply::Plans(plans) => {
            session.print(&plans, |plans| render::plans_text(plans));
            Ok(())
        }
        other => Err(unexpected_answer(&other)),
    }
}

/// Confirms a plan, and on request waits until the plan has ended.
///
/// # Errors
/// When the control group does not answer or refuses, or the plan ended in a state other
/// than done.
pub fn confirm(session: &Session, flags: &ConfirmArguments) -> Result<(), Failure> {
    let plan = PlanId(flags.plan);
    let request = ControlRequest::Confirm {
        intent_id: intent_id(flags.intent.as_deref())?,
        plan,
    };
    let mut current = request_plan(session, request)?;
    while flags.wait && matches!(current.state, PlanState::Running { .. }) {
        std::thread::sleep(POLL_INTERVAL);
        current = request_plan(session, ControlRequest::ShowPlan(plan))?;
    }
    print_plan(session, &current)?;
    match current.state {
        PlanState::Running { .. } | PlanState::Done => Ok(()),
        other => Err(Failure::PlanEnded {
            plan: flags.plan,
            message: format!("is {}", render::state_text(&other)),
        }),
    }
}

/// Withdraws a proposed plan or stops a running one.
///
/// # Errors
/// When the control group does not answer or refuses.
pub fn cancel(session: &Session, flags: &CancelArguments) -> Result<(), Failure> {
    let request = ControlRequest::Cancel {
        intent_id: intent_id(flags.intent.as_deref())?,
        plan: PlanId(flags.plan),
    };
    print_plan(session, &request_plan(session, request)?)
}

fn request_plan(session: &Session, request: ControlRequest) -> Result<Plan, Failure> {
    match session.control(request)? {
        ControlReply::Plan(plan) => Ok(*plan),
        other => Err(unexpected_answer(&other)),
    }
}

/// Prints a plan. The changes of a proposed plan are shown relative to the current configuration,
/// so that an operator can review them.
fn print_plan(session: &Session, plan: &Plan) -> Result<(), Failure> {
    let current = match plan.state {
        PlanState::Proposed if !session.prints_json() => Some(read_configuration(session)?),
        _ => None,
    };
    session.print(plan, |plan| render::plan_text(plan, current.as_ref()));
    Ok(())
}

fn print_nothing_to_change(session: &Session, current: &Configuration, file: &str) {
    let nothing = NothingToChange {
        nothing_to_change: true,
        revision: current.revision,
    };
    session.print(&nothing, |nothing| {
        format!(
            "nothing to change: revision {} is what {file} says",
            nothing.revision
        )
    });
}

/// Reads the committed configuration.
///
/// # Errors
/// When the control group does not answer.
pub fn read_configuration(session: &Session) -> Result<Configuration, Failure> {
    match session.control(ControlRequest::ReadConfiguration)? {
        ControlReply::Configuration(configuration) => Ok(*configuration),
        other => Err(unexpected_answer(&other)),
    }
}

/// Returns the changes that lead from `current` to `site`, without objects that are equal already.
/// A site file does not change the admission of an existing server or the target version of an
/// existing pool.
fn changes_to_site(
    current: &Configuration,
    site: &SiteFile,
    prune: bool,
) -> Vec<ConfigurationChange> {
    let mut wanted = site.clone();
    for server in &mut wanted.servers {
        if let Some(existing) = current.servers.get(&server.id) {
            server.admission = existing.admission;
        }
    }
    for pool in &mut wanted.pools {
        if let Some(existing) = current.pools.get(&pool.id) {
            pool.target_version = existing.target_version;
        }
    }
    let mut changes = if prune {
        removals(current, &wanted)
    } else {
        Vec::new()
    };
    changes.extend(
        wanted
            .changes()
            .into_iter()
            .filter(|change| !is_already_applied(current, change)),
    );
    changes
}

fn is_already_applied(current: &Configuration, change: &ConfigurationChange) -> bool {
    match change {
        ConfigurationChange::PutService(service) => {
            current.services.get(&service.id) == Some(service)
        }
        ConfigurationChange::PutServer(server) => current.servers.get(&server.id) == Some(server),
        ConfigurationChange::PutPool(pool) => current.pools.get(&pool.id) == Some(pool),
        _ => false,
    }
}

fn removals(current: &Configuration, wanted: &SiteFile) -> Vec<ConfigurationChange> {
    let pools = current
        .pools
        .keys()
        .filter(|id| !wanted.pools.iter().any(|pool| &pool.id == *id))
        .map(|id| ConfigurationChange::RemovePool(id.clone()));
    let servers = current
        .servers
        .keys()
        .filter(|id| !wanted.servers.iter().any(|server| &server.id == *id))
        .map(|id| ConfigurationChange::RemoveServer(id.clone()));
    let services = current
        .services
        .keys()
        .filter(|id| !wanted.services.iter().any(|service| &service.id == *id))
        .map(|id| ConfigurationChange::RemoveService(id.clone()));
    pools.chain(servers).chain(services).collect()
}
