//! Plain text for people.

use crate::ctl::step_text;
use std::fmt::Write as _;
use wingshore_types::configuration::{Configuration, ConfigurationChange, ServiceKind};
use wingshore_types::protocol::control::{InForce, Plan, PlanCost, PlanState, Status};

/// Appends one line; writing to a `String` cannot fail.
macro_rules! line {
    ($text:expr, $($argument:tt)*) => {{
        let _ = writeln!($text, $($argument)*);
    }};
}

/// A plan's state in a few words.
pub fn state_text(state: &PlanState) -> String {
    match state {
        PlanState::Proposed => "proposed".to_owned(),
        PlanState::Running { next_step } => format!("running, at step {}", next_step + 1),
        PlanState::Done => "done".to_owned(),
        PlanState::Stale { reason } => format!("stale: {reason}"),
        PlanState::Failed { step, reason } => format!("failed at step {}: {reason}", step + 1),
        PlanState::Cancelled => "cancelled".to_owned(),
    }
}

/// A change in a few words.
pub fn change_text(change: &ConfigurationChange) -> String {
    match change {
        ConfigurationChange::PutService(service) => format!("service {}", service.id),
        ConfigurationChange::RemoveService(id) => format!("remove service {id}"),
        ConfigurationChange::PutServer(server) => {
            format!("server {} at {}", server.id, server.address)
        }
        ConfigurationChange::RemoveServer(id) => format!("remove server {id}"),
        ConfigurationChange::SetAdmission { server, admission } => {
            format!("admission of {server} to {admission:?}").to_lowercase()
        }
        ConfigurationChange::PutPool(pool) => format!("pool {}", pool.id),
        ConfigurationChange::RemovePool(id) => format!("remove pool {id}"),
        ConfigurationChange::SetTargetVersion { pool, version } => {
            format!("target version of {pool} to {version}")
        }
    }
}

/// A plan with its steps and cost.
pub fn plan_text(plan: &Plan) -> String {
    let mut text = plan_line(plan);
    for (position, step) in plan.steps.iter().enumerate() {
        let _ = write!(text, "\n  {:>3}. {}", position + 1, step_text(step));
    }
    let _ = write!(text, "\n  cost: {}", cost_text(&plan.cost));
    if plan.state == PlanState::Proposed {
        let _ = write!(
            text,
            "\n  nothing happens until: wingshore ctl … confirm {}",
            plan.id
        );
    }
    text
}

/// Plans, a line each.
pub fn plans_text(plans: &[Plan]) -> String {
    if plans.is_empty() {
        return "no plans".to_owned();
    }
    let lines: Vec<String> = plans.iter().map(plan_line).collect();
    lines.join("\n")
}

/// The site at a glance.
pub fn status_text(status: &Status) -> String {
    let mut text = String::new();
    line!(
        text,
        "leader: replica {}, epoch {}",
        status.leader,
        status.epoch
    );
    line!(text, "{}", in_force_text(&status.in_force));
    line!(text, "nodes: {}", status.nodes.len());
    for node in &status.nodes {
        line!(text, "  {} has revision {}", node.node, node.in_force);
    }
    line!(text, "engines: {}", status.engines.len());
    for engine in &status.engines {
        let version = show(engine.version);
        let ordered = show(engine.ordered);
        line!(
            text,
            "  {} serves version {version}, ordered {ordered}, {} failed swaps",
            engine.server,
            engine.failures
        );
    }
    line!(text, "open plans: {}", status.open_plans.len());
    for plan in &status.open_plans {
        line!(text, "  {}", plan_line(plan));
    }
    text.trim_end().to_owned()
}

/// The configuration.
pub fn configuration_text(configuration: &Configuration) -> String {
    let mut text = format!("revision {}\n", configuration.revision);
    for service in configuration.services.values() {
        let kind = match &service.kind {
            ServiceKind::Engines { model } => format!("engines of {model}"),
            ServiceKind::Live => "live".to_owned(),
        };
        line!(
            text,
            "service {}: {kind}, {} slots a server, live share {}/1000",
            service.id,
            service.slots_per_server,
            service.live_share.0
        );
        for server in configuration.servers_of(&service.id) {
            let admission = format!("{:?}", server.admission).to_lowercase();
            line!(
                text,
                "  server {}: {} in {}, {admission}",
                server.id,
                server.address,
                server.zone
            );
        }
    }
    for pool in configuration.pools.values() {
        line!(
            text,
            "pool {}: service {}, trainer {}, staleness bound {}, target version {}",
            pool.id,
            pool.service,
            pool.trainer,
            pool.staleness_bound,
            pool.target_version
        );
    }
    text.trim_end().to_owned()
}

fn plan_line(plan: &Plan) -> String {
    format!(
        "plan {} (intent {}, base revision {}): {}",
        plan.id,
        plan.intent_id,
        plan.base_revision,
        state_text(&plan.state)
    )
}

fn cost_text(cost: &PlanCost) -> String {
    format!(
        "{} servers affected, at most {} away at once ({} of {} slots), about {} ms, \
         trainer idle about {} ms, engines up to {} versions behind",
        cost.servers_affected,
        cost.servers_away_at_once,
        cost.slots_away_at_once,
        cost.slots_total,
        cost.duration_ms,
        cost.trainer_idle_ms,
        cost.staleness_versions
    )
}

fn in_force_text(in_force: &InForce) -> String {
    let mut text = format!(
        "configuration: revision {} committed, {} in force everywhere",
        in_force.committed, in_force.everywhere
    );
    if !in_force.waiting_for.is_empty() {
        let names: Vec<&str> = in_force.waiting_for.iter().map(|n| n.as_str()).collect();
        let _ = write!(text, ", waiting for {}", names.join(", "));
    }
    text
}

fn show<T: std::fmt::Display>(value: Option<T>) -> String {
    value.map_or_else(|| "unknown".to_owned(), |value| value.to_string())
}
