//! Cost estimates of plans, from the configuration and measured swap durations.

use super::is_engine_service;
use crate::settings::LeaderSettings;
use crate::swaps::SwapLimits;
use std::collections::BTreeSet;
use wingshore_types::configuration::{Admission, Configuration, ConfigurationChange, Pool, Server};
use wingshore_types::ids::{ServerId, ServiceId, WeightVersion};
use wingshore_types::protocol::control::PlanCost;

/// Assumed duration of one swap, in milliseconds, until one has been measured.
pub const ASSUMED_SWAP_MS: u64 = 5_000;

/// Returns the longest time, in milliseconds, until a change is in force everywhere: the lease of a
/// frozen node has to expire first.
fn in_force_ms() -> u64 {
    u64::try_from(LeaderSettings::default().lease_with_margin().as_millis()).unwrap_or(u64::MAX)
}

/// Returns the slots of `servers` servers of a service.
fn slots(configuration: &Configuration, service: &ServiceId, servers: usize) -> u32 {
    let per_server = configuration
        .services
        .get(service)
        .map_or(0, |service| service.slots_per_server);
    per_server.saturating_mul(u32::try_from(servers).unwrap_or(u32::MAX))
}

fn total_slots(configuration: &Configuration, service: &ServiceId) -> u32 {
    slots(
        configuration,
        service,
        configuration.servers_of(service).count(),
    )
}

fn count(servers: usize) -> u32 {
    u32::try_from(servers).unwrap_or(u32::MAX)
}

/// Returns the cost of changes that are applied all at once.
pub(crate) fn apply_cost(before: &Configuration, changes: &[ConfigurationChange]) -> PlanCost {
    let leaving: BTreeSet<&ServerId> = changes.iter().filter_map(leaving_server).collect();
    let leaving: Vec<&Server> = leaving
        .into_iter()
        .filter_map(|id| before.servers.get(id))
        .filter(|server| server.admission == Admission::Open)
        .collect();
    let services: BTreeSet<&ServiceId> = leaving.iter().map(|server| &server.service).collect();
    let away = leaving
        .iter()
        .map(|server| slots(before, &server.service, 1));
    let total = services.iter().map(|service| total_slots(before, service));
    PlanCost {
        servers_affected: count(leaving.len()),
        servers_away_at_once: count(leaving.len()),
        slots_away_at_once: away.sum(),
        slots_total: total.sum(),
        duration_ms: in_force_ms(),
        ..PlanCost::default()
    }
}

fn leaving_server(change: &ConfigurationChange) -> Option<&ServerId> {
    match change {
        ConfigurationChange::RemoveServer(server)
        | ConfigurationChange::SetAdmission {
            server,
            admission: Admission::Draining,
        } => Some(server),
        _ => None,
    }
}

/// Returns the cost of moving a pool to `version`, for which `engines` engines have to swap.
pub(crate) fn move_cost(
    configuration: &Configuration,
    pool: &Pool,
    version: WeightVersion,
    engines: usize,
    swap_ms: Option<u64>,
) -> PlanCost {
    let service = configuration.services.get(&pool.service);
    let live_share = service
        .map(|service| service.live_share)
        .unwrap_or_default();
    let all = configuration.servers_of(&pool.service).count();
    let limits = SwapLimits::new(&LeaderSettings::default(), all, live_share);
    let away = limits.away_at_once.min(engines);
    let rounds = u64::from(limits.rounds(engines));
    let duration_ms = rounds * swap_ms.unwrap_or(ASSUMED_SWAP_MS);
    let slots_away = slots(configuration, &pool.service, away);
    let slots_total = slots(configuration, &pool.service, all);
    PlanCost {
        servers_affected: count(engines),
        servers_away_at_once: count(away),
        slots_away_at_once: slots_away,
        slots_total,
        duration_ms,
        trainer_idle_ms: delay_of_lost_slots(duration_ms, slots_away, slots_total),
        staleness_versions: version.0.abs_diff(pool.target_version.0),
    }
}

/// Returns the cost of draining a server. The server stays unavailable, but the trainer's idle time
/// is counted only until the server is idle.
pub(crate) fn drain_cost(configuration: &Configuration, server: &Server) -> PlanCost {
    let service = configuration.services.get(&server.service);
    let longest_request_ms = service.map_or(0, |service| service.default_deadline_ms);
    let feeds_pool = configuration
        .pools
        .values()
        .any(|pool| pool.service == server.service);
    let is_engine = is_engine_service(configuration, &server.service);
    let duration_ms = in_force_ms().saturating_add(longest_request_ms);
    let slots_away = slots(configuration, &server.service, 1);
    let slots_total = total_slots(configuration, &server.service);
    let trainer_idle_ms = if feeds_pool && is_engine {
        delay_of_lost_slots(duration_ms, slots_away, slots_total)
    } else {
        0
    };
    PlanCost {
        servers_affected: 1,
        servers_away_at_once: 1,
        slots_away_at_once: slots_away,
        slots_total,
        duration_ms,
        trainer_idle_ms,
        staleness_versions: 0,
    }
}

/// Returns the cost of opening a server again, which makes no capacity unavailable.
pub(crate) fn restore_cost(configuration: &Configuration, server: &Server) -> PlanCost {
    PlanCost {
        servers_affected: 1,
        slots_total: total_slots(configuration, &server.service),
        duration_ms: in_force_ms(),
        ..PlanCost::default()
    }
}

/// Returns the delay, in milliseconds, of work that uses all slots while some are unavailable for
/// `duration_ms`.
fn delay_of_lost_slots(duration_ms: u64, slots_away: u32, slots_total: u32) -> u64 {
    if slots_total == 0 {
        return 0;
    }
    duration_ms.saturating_mul(u64::from(slots_away)) / u64::from(slots_total)
}
