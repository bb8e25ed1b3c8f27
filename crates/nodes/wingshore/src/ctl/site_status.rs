//! The `status` command: leader, members, configuration in force, nodes, pools, engines, plans.

use crate::ctl::members::{self, GroupMembers};
use crate::ctl::plans;
use crate::ctl::render::{duration_text, plan_line};
use crate::ctl::session::{Session, unexpected_answer};
use crate::failure::Failure;
use serde::Serialize;
use std::fmt::Write as _;
use wingshore_types::configuration::{Admission, Configuration};
use wingshore_types::protocol::control::{
    ControlReply, ControlRequest, EngineStatus, NodeAcknowledgement, Status,
};
use wingshore_types::{GroupId, PoolId, ServerId, WeightVersion};

/// Maximum number of items shown of one list; `--json` prints all.
const MAX_ITEMS_SHOWN: usize = 20;

/// Output of `wingshore ctl status`.
#[derive(Serialize)]
struct SiteStatus {
    #[serde(flatten)]
    status: Status,
    /// Members of the control group.
    members: GroupMembers,
    pools: Vec<PoolStatus>,
    /// Servers that the configuration sets to draining: they take no new work.
    draining: Vec<ServerId>,
}

/// Progress of a pool's engines toward the target version.
#[derive(Serialize)]
struct PoolStatus {
    pool: PoolId,
    target_version: WeightVersion,
    /// Number of engines of the pool's service.
    engines: usize,
    /// Number of engines that report the target version.
    engines_at_target: usize,
}

/// Prints an overview of the site.
///
/// # Errors
/// When the control group does not answer.
pub fn show(session: &Session) -> Result<(), Failure> {
    let ControlReply::Status(status) = session.control(ControlRequest::Status)? else {
        return Err(unexpected_answer(&"no status"));
    };
    let configuration = plans::read_configuration(session)?;
    let site = SiteStatus {
        members: members::read_members(session, GroupId::Control)?,
        pools: pool_statuses(&configuration, &status.engines),
        draining: draining_servers(&configuration),
        status: *status,
    };
    session.print(&site, status_text);
    Ok(())
}

fn pool_statuses(configuration: &Configuration, engines: &[EngineStatus]) -> Vec<PoolStatus> {
    let is_at = |server: &ServerId, version| {
        let mut engines = engines.iter();
        engines.any(|engine| engine.server == *server && engine.version == Some(version))
    };
    let pools = configuration.pools.values();
    pools
        .map(|pool| {
            let servers: Vec<_> = configuration.servers_of(&pool.service).collect();
            let at_target = servers
                .iter()
                .filter(|server| is_at(&server.id, pool.target_version));
            PoolStatus {
                pool: pool.id.clone(),
                target_version: pool.target_version,
                engines_at_target: at_target.count(),
                engines: servers.len(),
            }
        })
        .collect()
}

fn draining_servers(configuration: &Configuration) -> Vec<ServerId> {
    let servers = configuration.servers.values();
    servers
        .filter(|server| server.admission == Admission::Draining)
        .map(|server| server.id.clone())
        .collect()
}

fn status_text(site: &SiteStatus) -> String {
    let sections = [
        leader_text(site),
        in_force_text(&site.status),
        nodes_text(&site.status),
        pools_text(site),
        engines_text(&site.status.engines),
        draining_text(&site.draining),
        plans_text(&site.status),
    ];
    sections.concat().trim_end().to_owned()
}

fn leader_text(site: &SiteStatus) -> String {
    let members = &site.members;
    let mut text = format!(
        "leader: replica {} (epoch {})\nmembers: {}\n",
        site.status.leader,
        site.status.epoch,
        members.membership.voters.len()
    );
    for (member, kind) in members.members_with_kinds() {
        let behind = members.entries_behind(member.id);
        let state = match behind {
            Some(0) => "in step".to_owned(),
            Some(entries) => format!("{entries} entries behind"),
            None => "not heard of".to_owned(),
        };
        let _ = writeln!(
            text,
            "  {kind} {} at {}, {state}",
            member.id, member.address
        );
    }
    text
}

fn in_force_text(status: &Status) -> String {
    let in_force = &status.in_force;
    let mut text = format!(
        "configuration: revision {} committed, {} in force everywhere",
        in_force.committed, in_force.everywhere
    );
    if !in_force.waiting_for.is_empty() {
        let names: Vec<&str> = in_force.waiting_for.iter().map(|n| n.as_str()).collect();
        let _ = write!(text, ", waiting for {}", shortened(&names, ", "));
    }
    text.push('\n');
    text
}

fn nodes_text(status: &Status) -> String {
    let committed = status.in_force.committed;
    let mut nodes: Vec<&NodeAcknowledgement> = status.nodes.iter().collect();
    nodes.sort_by_key(|node| node.in_force);
    let lines: Vec<String> = nodes
        .iter()
        .map(|node| {
            let lag = committed.0.saturating_sub(node.in_force.0);
            let lag = match lag {
                0 => String::new(),
                1.. => format!(", {lag} behind"),
            };
            format!(
                "  {} has revision {} in force{lag}",
                node.node, node.in_force
            )
        })
        .collect();
    section("nodes with a lease", &lines)
}

fn pools_text(site: &SiteStatus) -> String {
    let lines: Vec<String> = site
        .pools
        .iter()
        .map(|pool| {
            format!(
                "  pool {}: target version {}, served by {} of {} engines",
                pool.pool, pool.target_version, pool.engines_at_target, pool.engines
            )
        })
        .collect();
    section("pools", &lines)
}

fn engines_text(engines: &[EngineStatus]) -> String {
    let mut engines: Vec<&EngineStatus> = engines.iter().collect();
    // Engines with an unknown version or failed swaps come first: they may need an operator.
    engines.sort_by_key(|engine| (engine.version.is_some(), std::cmp::Reverse(engine.failures)));
    let lines: Vec<String> = engines.iter().map(|engine| engine_text(engine)).collect();
    section("engines", &lines)
}

fn engine_text(engine: &EngineStatus) -> String {
    let mut text = match engine.version {
        Some(version) => format!("  {} serves version {version}", engine.server),
        None => format!("  {} serves an unknown version", engine.server),
    };
    if let Some(ordered) = engine.ordered
        && engine.version != Some(ordered)
    {
        let _ = write!(text, ", ordered to take {ordered}");
    }
    if engine.failures > 0 {
        let _ = write!(text, ", {} failed swaps in a row", engine.failures);
    }
    text
}

fn draining_text(draining: &[ServerId]) -> String {
    if draining.is_empty() {
        return String::new();
    }
    let names: Vec<&str> = draining.iter().map(ServerId::as_str).collect();
    format!("draining: {}\n", shortened(&names, ", "))
}

fn plans_text(status: &Status) -> String {
    let lines: Vec<String> = status
        .open_plans
        .iter()
        .map(|plan| {
            let time = duration_text(plan.cost.duration_ms);
            format!("  {}, about {time} in all", plan_line(plan))
        })
        .collect();
    section("open plans", &lines)
}

fn section(title: &str, lines: &[String]) -> String {
    let mut text = format!("{title}: {}\n", lines.len());
    if !lines.is_empty() {
        let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
        text.push_str(&shortened(&lines, "\n"));
        text.push('\n');
    }
    text
}

/// Joins the first `MAX_ITEMS_SHOWN` items and appends the number of the rest.
fn shortened(items: &[&str], separator: &str) -> String {
    let mut text = items
        .iter()
        .take(MAX_ITEMS_SHOWN)
        .copied()
        .collect::<Vec<&str>>()
        .join(separator);
    if items.len() > MAX_ITEMS_SHOWN {
        let more = items.len() - MAX_ITEMS_SHOWN;
        let _ = write!(text, "{separator}  and {more} more; --json has all");
    }
    text
}
