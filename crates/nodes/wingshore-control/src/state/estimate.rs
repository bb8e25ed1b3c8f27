//! What plans cost, from the configuration and from measured times of swaps.

use super::is_engine_service;
use crate::settings::LeaderSettings;
use crate::swaps::SwapLimits;
use std::collections::BTreeSet;
use wingshore_types::configuration::{Admission, Configuration, ConfigurationChange, Pool, Server};
use wingshore_types::ids::{ServerId, ServiceId, WeightVersion};
use wingshore_types::protocol::control::PlanCost;

/// Time of one swap, in milliseconds, until one has been measured.
pub const ASSUMED_SWAP_MS: u64 = 5_000;

/// Time until a change is in force everywhere when a node has frozen: its lease runs out.
fn in_force_ms() -> u64 {
    u64::try_from(LeaderSettings::default().counted_lease().as_millis()).unwrap_or(u64::MAX)
}

/// Slots of a service, over all its servers.
fn slots(configuration: &Configuration, service: &ServiceId, servers: usize) -> u32 {
    let per_server = configuration
        .services
        .get(service)
        .map_or(0, |service| service.slots_per_server);
    per_server.saturating_mul(u32::try_from(servers).unwrap_or(u32::MAX))
}

fn slots_of_service(configuration: &Configuration, service: &ServiceId) -> u32 {
    slots(
        configuration,
        service,
        configuration.servers_of(service).count(),
    )
}

fn count(servers: usize) -> u32 {
    u32::try_from(servers).unwrap_or(u32::MAX)
}

/// Cost of changes made all at once.
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
    let total = services
        .iter()
        .map(|service| slots_of_service(before, service));
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

/// Cost of moving a pool's engines to `version`, of which `engines` have to swap.
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
        trainer_idle_ms: lost_share(duration_ms, slots_away, slots_total),
        staleness_versions: version.0.abs_diff(pool.target_version.0),
    }
}

/// Cost of draining a server: it is away from then on; idle time is counted until it is idle.
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
    let slots_total = slots_of_service(configuration, &server.service);
    let trainer_idle_ms = if feeds_pool && is_engine {
        lost_share(duration_ms, slots_away, slots_total)
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

/// Cost of opening a server again: no capacity goes away.
pub(crate) fn restore_cost(configuration: &Configuration, server: &Server) -> PlanCost {
    PlanCost {
        servers_affected: 1,
        slots_total: slots_of_service(configuration, &server.service),
        duration_ms: in_force_ms(),
        ..PlanCost::default()
    }
}

/// The time by which work that takes all slots is drawn out when some are away.
fn lost_share(duration_ms: u64, slots_away: u32, slots_total: u32) -> u64 {
    if slots_total == 0 {
        return 0;
    }
    duration_ms.saturating_mul(u64::from(slots_away)) / u64::from(slots_total)
}
