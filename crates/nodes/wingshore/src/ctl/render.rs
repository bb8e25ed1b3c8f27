//! Plain-text output of plans and the configuration.

use crate::ctl::diff::{change_text, pool_text, server_text, service_text};
use std::fmt::Write as _;
use wingshore_types::configuration::Configuration;
use wingshore_types::protocol::control::{Intent, Plan, PlanCost, PlanState, PlanStep};

/// Appends one line; writing to a `String` cannot fail.
macro_rules! line {
    ($text:expr, $($argument:tt)*) => {{
        let _ = writeln!($text, $($argument)*);
    }};
}

/// Describes the state of a plan.
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

/// Formats a plan with its steps and cost; changes are shown relative to `current`.
pub fn plan_text(plan: &Plan, current: Option<&Configuration>) -> String {
    let mut text = plan_line(plan);
    for (position, step) in plan.steps.iter().enumerate() {
        let step = step_text(step, current);
        let _ = write!(text, "\n  {:>3}. {step}", position + 1);
    }
    let _ = write!(text, "\n  cost: {}", cost_text(&plan.cost));
    if plan.state == PlanState::Proposed {
        let _ = write!(
            text,
            "\n  nothing happens until: wingshore ctl --replicas … confirm {}",
            plan.id
        );
    }
    text
}

/// Formats a list of plans, one line each.
pub fn plans_text(plans: &[Plan]) -> String {
    if plans.is_empty() {
        return "no plans".to_owned();
    }
    let lines: Vec<String> = plans.iter().map(plan_line).collect();
    lines.join("\n")
}

/// Formats the configuration.
pub fn configuration_text(configuration: &Configuration) -> String {
    let mut text = format!("revision {}\n", configuration.revision);
    for service in configuration.services.values() {
        line!(text, "service {}: {}", service.id, service_text(service));
        for server in configuration.servers_of(&service.id) {
            line!(text, "  server {}: {}", server.id, server_text(server));
        }
    }
    for pool in configuration.pools.values() {
        line!(text, "pool {}: {}", pool.id, pool_text(pool));
    }
    text.trim_end().to_owned()
}

/// Formats a plan in one line.
pub fn plan_line(plan: &Plan) -> String {
    format!(
        "plan {} (to {}; base revision {}, intent {}): {}",
        plan.id,
        intent_text(&plan.intent),
        plan.base_revision,
        plan.intent_id,
        state_text(&plan.state)
    )
}

/// Formats a duration in milliseconds, seconds or minutes, according to its length.
pub fn duration_text(milliseconds: u64) -> String {
    let seconds = milliseconds as f64 / 1000.0;
    match milliseconds {
        0..1_000 => format!("{milliseconds} ms"),
        1_000..120_000 => format!("{seconds:.1} s"),
        _ => format!("{:.0} min", seconds / 60.0),
    }
}

fn intent_text(intent: &Intent) -> String {
    match intent {
        Intent::Apply(changes) => format!("apply {} changes", changes.len()),
        Intent::MovePool { pool, version } => format!("move pool {pool} to version {version}"),
        Intent::Drain(server) => format!("drain {server}"),
        Intent::Restore(server) => format!("restore {server}"),
    }
}

/// Describes one step of a plan.
fn step_text(step: &PlanStep, current: Option<&Configuration>) -> String {
    match step {
        PlanStep::Change(change) => change_text(change, current),
        PlanStep::Swap { server, version } => format!("swap {server} to version {version}"),
        PlanStep::AwaitInForce => "wait until in force on every node".to_owned(),
        PlanStep::AwaitIdle(server) => format!("wait until {server} is idle"),
    }
}

fn cost_text(cost: &PlanCost) -> String {
    let mut parts = vec![format!("about {}", duration_text(cost.duration_ms))];
    parts.push(away_text(cost));
    if cost.trainer_idle_ms > 0 {
        let idle = duration_text(cost.trainer_idle_ms);
        parts.push(format!("trainer idle about {idle} longer"));
    }
    if cost.staleness_versions > 0 {
        let versions = cost.staleness_versions;
        parts.push(format!("versions apart until done: {versions} at most"));
    }
    parts.join("; ")
}

fn away_text(cost: &PlanCost) -> String {
    let slots = format!("{} of {} slots", cost.slots_away_at_once, cost.slots_total);
    match (cost.servers_away_at_once, cost.servers_affected) {
        (0, _) => "no server goes away".to_owned(),
        (1, 1) => format!("1 server goes away ({slots})"),
        (away, affected) if away == affected => format!("{away} servers go away ({slots})"),
        (away, affected) => {
            format!("{affected} servers in turn, at most {away} away at once ({slots})")
        }
    }
}
