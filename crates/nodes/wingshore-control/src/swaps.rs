//! Decision: which engines of a service start to load new weights now, and from which source?
//!
//! Inputs: for each engine, the version that it reports, its source while it fetches, and whether
//! it is ready; the wanted version; the limits, counted in engines. No state and no clock.
//!
//! Rule: engines of unknown version go first, since they are unavailable ("away") already; the
//! others follow in the given order while no more than [`SwapLimits::away_at_once`] are away. The
//! store is used as a source first, then engines that have the version, each up to its limit of
//! concurrent fetches. An engine whose last swap failed fetches from the store only.
//!
//! Why: a swap makes an engine unavailable for rollouts until its own report names the new version,
//! so only a share swaps at once, and never more than the share that is not guaranteed to live
//! requests. The store serves a few fetches at a time; in larger services, engines that have the
//! version serve it to others, so that the number of sources grows with each round.
//!
//! Missing input: an engine without a report, or one that does not answer, is not ready and keeps
//! its position in the order; an engine whose version no report names has an unknown version and
//! counts as away.

use crate::settings::LeaderSettings;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wingshore_types::configuration::Permille;
use wingshore_types::ids::{ServerId, WeightVersion};

/// Limits on concurrent swaps and fetches of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SwapLimits {
    /// Most engines of the service that are away at once, at least one.
    pub away_at_once: usize,
    /// Most concurrent fetches from the weight store.
    pub fetches_per_store: usize,
    /// Most concurrent fetches from one engine; zero if engines do not serve as sources.
    pub fetches_per_engine: usize,
}

impl SwapLimits {
    /// Returns the limits of a service with `engines` engines, of which the share `live_share` is
    /// guaranteed to live requests.
    pub fn new(settings: &LeaderSettings, engines: usize, live_share: Permille) -> Self {
        let beside_live = Permille::WHOLE.0.saturating_sub(live_share.0);
        let share = usize::from(settings.max_away_share.0.min(beside_live));
        let fan_out = engines >= settings.fan_out_min_engines as usize;
        Self {
            away_at_once: (engines * share / usize::from(Permille::WHOLE.0)).max(1),
            fetches_per_store: settings.fetches_per_store.max(1) as usize,
            fetches_per_engine: if fan_out {
                settings.fetches_per_engine as usize
            } else {
                0
            },
        }
    }

    /// Returns the number of rounds that swaps of `engines` engines take.
    pub fn rounds(&self, engines: usize) -> u32 {
        let mut swapped = 0;
        let mut rounds = 0;
        while swapped < engines {
            let sources = self.fetches_per_store + swapped * self.fetches_per_engine;
            swapped += sources.min(self.away_at_once);
            rounds += 1;
        }
        rounds
    }
}

/// An engine as the swap policy sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SwapCandidate<'a> {
    /// Id of the engine.
    pub server: &'a ServerId,
    /// Address that it listens at.
    pub address: SocketAddr,
    /// Version by its own newest report; `None` if unknown.
    pub version: Option<WeightVersion>,
    /// Source that it fetches from while a swap is in progress.
    pub fetching_from: Option<SocketAddr>,
    /// Whether a swap may start now: the engine answers, accepts work and is not in quarantine.
    pub ready: bool,
    /// Whether its last swap failed; it then fetches from the store only.
    pub failed_before: bool,
}

/// A swap to start now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SwapStart {
    /// Id of the engine.
    pub server: ServerId,
    /// Address that the weights are fetched from.
    pub source: SocketAddr,
}

/// Returns the swaps to start now so that all engines of a service eventually serve `wanted`.
///
/// Engines whose version is unknown go first: they are away already. The others follow in the
/// given order while no more engines are away at once than `limits` allows.
pub fn swaps_to_begin(
    engines: &[SwapCandidate<'_>],
    wanted: WeightVersion,
    store: SocketAddr,
    limits: SwapLimits,
) -> Vec<SwapStart> {
    let mut sources = Sources::new(engines, wanted, store, limits);
    let away = engines.iter().filter(|engine| is_away(engine)).count();
    let mut may_start = limits.away_at_once.saturating_sub(away);
    let mut starts = Vec::new();
    let (unknown, known) = swap_candidates(engines, wanted);
    for engine in unknown {
        let Some(source) = sources.take(engine.failed_before) else {
            return starts;
        };
        starts.push(swap_start(engine, source));
    }
    for engine in known {
        if may_start == 0 {
            return starts;
        }
        let Some(source) = sources.take(engine.failed_before) else {
            return starts;
        };
        may_start -= 1;
        starts.push(swap_start(engine, source));
    }
    starts
}

fn swap_start(engine: &SwapCandidate<'_>, source: SocketAddr) -> SwapStart {
    SwapStart {
        server: engine.server.clone(),
        source,
    }
}

fn is_away(engine: &SwapCandidate<'_>) -> bool {
    engine.version.is_none() || engine.fetching_from.is_some()
}

/// Returns the ready engines that do not serve `wanted` and are not fetching: first those of
/// unknown version, then those of another version.
fn swap_candidates<'a, 'b>(
    engines: &'a [SwapCandidate<'b>],
    wanted: WeightVersion,
) -> (Vec<&'a SwapCandidate<'b>>, Vec<&'a SwapCandidate<'b>>) {
    engines
        .iter()
        .filter(|engine| engine.ready && engine.fetching_from.is_none())
        .filter(|engine| engine.version != Some(wanted))
        .partition(|engine| engine.version.is_none())
}

/// Free fetch slots at the sources of a version.
struct Sources {
    store: SocketAddr,
    free_at_store: usize,
    /// Engines that have the version, each with its free fetch slots; used after the store.
    engines: Vec<(SocketAddr, usize)>,
}

impl Sources {
    fn new(
        engines: &[SwapCandidate<'_>],
        wanted: WeightVersion,
        store: SocketAddr,
        limits: SwapLimits,
    ) -> Self {
        let mut fetches: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        for source in engines.iter().filter_map(|engine| engine.fetching_from) {
            *fetches.entry(source).or_default() += 1;
        }
        let free = |address: &SocketAddr, limit: usize| {
            limit.saturating_sub(fetches.get(address).copied().unwrap_or(0))
        };
        let engines = engines
            .iter()
            .filter(|engine| engine.version == Some(wanted) && engine.fetching_from.is_none())
            .map(|engine| {
                (
                    engine.address,
                    free(&engine.address, limits.fetches_per_engine),
                )
            })
            .filter(|(_, free_slots)| *free_slots > 0)
            .collect();
        Self {
            store,
            free_at_store: free(&store, limits.fetches_per_store),
            engines,
        }
    }

    /// Takes a free fetch slot at the store or, unless `store_only` is set, at an engine.
    fn take(&mut self, store_only: bool) -> Option<SocketAddr> {
        if self.free_at_store > 0 {
            self.free_at_store -= 1;
            return Some(self.store);
        }
        if store_only {
            return None;
        }
        let (address, free_slots) = self.engines.last_mut()?;
        let address = *address;
        *free_slots -= 1;
        if *free_slots == 0 {
            self.engines.pop();
        }
        Some(address)
    }
}
