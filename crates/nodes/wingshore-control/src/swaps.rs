//! Decision: which engines of a service begin to take new weights now, and from which source each?
//!
//! Inputs: each engine's version by its own report, its source while it fetches, whether it is
//! ready; the wanted version; the limits, all in engines. No state and no clock.
//!
//! Rule: engines of unknown version go first, since they are away already; the others follow in the
//! order given, as long as no more than [`SwapLimits::away_at_once`] are away. The store is drawn on
//! first, then engines that have the version, each up to its number of fetches at once. An engine
//! whose last swap failed fetches from the store only.
//!
//! Why: a swap takes an engine away from rollouts until its own report names the new version, so
//! only a share swaps at once, and never more than live requests leave. The store serves a few
//! fetches at a time; at larger services, engines that have the version serve it to others, so that
//! the number of sources grows with each round.
//!
//! Missing input: an engine without a report, or one that does not answer, is not ready and keeps
//! its place; a version that no report names counts as unknown, and its engine as away.

use crate::settings::LeaderSettings;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use wingshore_types::configuration::Permille;
use wingshore_types::ids::{ServerId, WeightVersion};

/// How many swaps may go on at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SwapLimits {
    /// Most engines of the service away at once, at least one.
    pub away_at_once: usize,
    /// Most fetches from the weight store at once.
    pub fetches_per_store: usize,
    /// Most fetches from one engine at once; zero where engines are no sources.
    pub fetches_per_engine: usize,
}

impl SwapLimits {
    /// The limits of a service with so many engines, of which `live_share` is guaranteed to live
    /// requests.
    pub fn new(settings: &LeaderSettings, engines: usize, live_share: Permille) -> Self {
        let beside_live = Permille::WHOLE.0.saturating_sub(live_share.0);
        let share = usize::from(settings.away_share.0.min(beside_live));
        let fan_out = engines >= settings.fan_out_from_engines as usize;
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

    /// Rounds of swaps that `engines` engines take when all of them have to.
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

/// What the policy needs to know of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SwapCandidate<'a> {
    /// Which engine.
    pub server: &'a ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its version by its own newest report; `None` is unknown.
    pub version: Option<WeightVersion>,
    /// Where it fetches from, while a swap is going on.
    pub fetching_from: Option<SocketAddr>,
    /// Whether a swap may begin now: it answers, takes work and is not in quarantine.
    pub ready: bool,
    /// Whether its last swap failed; it then fetches from the store.
    pub failed_before: bool,
}

/// A swap to begin now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SwapStart {
    /// Which engine.
    pub server: ServerId,
    /// Where the weights are fetched.
    pub source: SocketAddr,
}

/// Swaps to begin now, so that all of a service's engines come to serve `wanted`.
///
/// Engines whose version is unknown go first: they are away already. The others follow in the
/// order given, as long as no more are away at once than `limits` allow.
pub fn swaps_to_begin(
    engines: &[SwapCandidate<'_>],
    wanted: WeightVersion,
    store: SocketAddr,
    limits: SwapLimits,
) -> Vec<SwapStart> {
    let mut sources = Sources::new(engines, wanted, store, limits);
    let away = engines.iter().filter(|engine| is_away(engine)).count();
    let mut may_leave = limits.away_at_once.saturating_sub(away);
    let mut starts = Vec::new();
    let (unknown, known) = waiting(engines, wanted);
    for engine in unknown {
        let Some(source) = sources.take(engine.failed_before) else {
            return starts;
        };
        starts.push(start(engine, source));
    }
    for engine in known {
        if may_leave == 0 {
            return starts;
        }
        let Some(source) = sources.take(engine.failed_before) else {
            return starts;
        };
        may_leave -= 1;
        starts.push(start(engine, source));
    }
    starts
}

fn start(engine: &SwapCandidate<'_>, source: SocketAddr) -> SwapStart {
    SwapStart {
        server: engine.server.clone(),
        source,
    }
}

fn is_away(engine: &SwapCandidate<'_>) -> bool {
    engine.version.is_none() || engine.fetching_from.is_some()
}

/// Engines that are to swap and may now: those of unknown version, and those of another one.
fn waiting<'a, 'b>(
    engines: &'a [SwapCandidate<'b>],
    wanted: WeightVersion,
) -> (Vec<&'a SwapCandidate<'b>>, Vec<&'a SwapCandidate<'b>>) {
    engines
        .iter()
        .filter(|engine| engine.ready && engine.fetching_from.is_none())
        .filter(|engine| engine.version != Some(wanted))
        .partition(|engine| engine.version.is_none())
}

/// Free places at the sources of a version.
struct Sources {
    store: SocketAddr,
    free_at_store: usize,
    /// Engines that have the version, each with its free places; the store is drawn on first.
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
            .filter(|(_, places)| *places > 0)
            .collect();
        Self {
            store,
            free_at_store: free(&store, limits.fetches_per_store),
            engines,
        }
    }

    /// A free place: at the store only, or else at an engine.
    fn take(&mut self, store_only: bool) -> Option<SocketAddr> {
        if self.free_at_store > 0 {
            self.free_at_store -= 1;
            return Some(self.store);
        }
        if store_only {
            return None;
        }
        let (address, places) = self.engines.last_mut()?;
        let address = *address;
        *places -= 1;
        if *places == 0 {
            self.engines.pop();
        }
        Some(address)
    }
}
