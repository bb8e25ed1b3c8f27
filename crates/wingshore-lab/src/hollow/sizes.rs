//! How large the site of a run is, and its configuration.

use super::error::{HollowError, SizeSnafu};
use snafu::ensure;
use std::net::SocketAddr;
use wingshore_types::configuration::{
    Admission, ConfigurationChange, Permille, Pool, Server, Service, ServiceKind, SwapPolicy,
};
use wingshore_types::{NodeId, PoolId, ServerId, ServiceId, TrainerId, WeightVersion, ZoneId};

/// Name of the site.
pub const SITE: &str = "hollow";
/// The live service.
pub const LIVE_SERVICE: &str = "live";
/// One server of this many is a live server; the others are engines.
const ENGINES_PER_LIVE_SERVER: usize = 20;
/// Engines of one pool, where there are enough.
const ENGINES_PER_POOL: usize = 300;
/// Most pools; each has a trainer of its own.
const MOST_POOLS: usize = 31;
/// Nodes of one zone, where there are enough.
const NODES_PER_ZONE: usize = 44;
/// Most nodes and servers of a run on one machine.
const MOST: usize = 20_000;
/// The version that all engines serve at the start.
pub const FIRST_VERSION: WeightVersion = WeightVersion(1);

/// Sizes of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Nodes, hollow and real.
    pub nodes: usize,
    /// Servers: engines and live servers.
    pub servers: usize,
    /// Zones.
    pub zones: usize,
    /// Pools, each with its service of engines.
    pub pools: usize,
    /// Relays; 0 lets nodes watch the replicas.
    pub relays: usize,
}

impl Sizes {
    /// Sizes with what was left open filled in.
    ///
    /// # Errors
    /// When one is out of its range.
    pub fn new(
        nodes: usize,
        servers: usize,
        zones: Option<usize>,
        pools: Option<usize>,
        relays: usize,
    ) -> Result<Self, HollowError> {
        let usual_zones = (nodes / NODES_PER_ZONE).clamp(1, 43);
        let usual_pools = (servers / ENGINES_PER_POOL).clamp(1, MOST_POOLS);
        let sizes = Self {
            nodes,
            servers,
            zones: zones.unwrap_or(usual_zones),
            pools: pools.unwrap_or(usual_pools),
            relays,
        };
        sizes.check()?;
        Ok(sizes)
    }

    fn check(&self) -> Result<(), HollowError> {
        let rows = [
            ("--nodes", self.nodes, 1..=MOST, "1 to 20000"),
            ("--servers", self.servers, 2..=MOST, "2 to 20000"),
            ("--zones", self.zones, 1..=1000, "1 to 1000"),
            (
                "--pools",
                self.pools,
                1..=self.servers / 2,
                "1 to half of the servers",
            ),
            ("--relays", self.relays, 0..=300, "0 to 300"),
        ];
        for (argument, found, range, allowed) in rows {
            ensure!(
                range.contains(&found),
                SizeSnafu {
                    argument,
                    found,
                    allowed
                }
            );
        }
        Ok(())
    }

    /// Zone of the node or server with this number.
    pub fn zone(&self, number: usize) -> ZoneId {
        ZoneId::new(&format!("zone-{}", 1 + number % self.zones))
    }

    /// Name of a node.
    pub fn node(number: usize) -> NodeId {
        NodeId::new(&format!("node-{}", number + 1))
    }

    /// Name of a pool.
    pub fn pool(number: usize) -> PoolId {
        PoolId::new(&format!("pool-{}", number + 1))
    }

    /// The pool whose service the server with this number belongs to; none for live servers.
    pub fn pool_of(&self, server: usize) -> Option<usize> {
        let is_live = server % ENGINES_PER_LIVE_SERVER == ENGINES_PER_LIVE_SERVER - 1
            || (self.servers < ENGINES_PER_LIVE_SERVER && server == self.servers - 1);
        (!is_live).then_some(server % self.pools)
    }

    /// The server with this number.
    pub fn server(&self, number: usize, address: SocketAddr) -> Server {
        let service = match self.pool_of(number) {
            Some(pool) => engines_of(pool),
            None => ServiceId::new(LIVE_SERVICE),
        };
        Server {
            id: ServerId::new(&format!("server-{}", number + 1)),
            service,
            address,
            zone: self.zone(number / self.pools),
            admission: Admission::Open,
        }
    }

    /// The changes that make the site's configuration.
    pub fn configuration(
        &self,
        servers: &[SocketAddr],
        weight_store: SocketAddr,
    ) -> Vec<ConfigurationChange> {
        let mut changes = vec![ConfigurationChange::PutService(live_service())];
        for pool in 0..self.pools {
            changes.push(ConfigurationChange::PutService(engine_service(pool)));
            changes.push(ConfigurationChange::PutPool(pool_entry(pool, weight_store)));
        }
        let numbered = servers.iter().enumerate();
        changes.extend(numbered.map(|(number, address)| {
            ConfigurationChange::PutServer(self.server(number, *address))
        }));
        changes
    }
}

fn engines_of(pool: usize) -> ServiceId {
    ServiceId::new(&format!("engines-{}", pool + 1))
}

fn live_service() -> Service {
    Service {
        id: ServiceId::new(LIVE_SERVICE),
        kind: ServiceKind::Live,
        slots_per_server: 32,
        live_share: Permille::WHOLE,
        default_deadline_ms: 5_000,
    }
}

fn engine_service(pool: usize) -> Service {
    Service {
        id: engines_of(pool),
        kind: ServiceKind::Engines {
            model: format!("model-{}", pool + 1),
        },
        slots_per_server: 24,
        live_share: Permille(250),
        default_deadline_ms: 30_000,
    }
}

fn pool_entry(pool: usize, weight_store: SocketAddr) -> Pool {
    Pool {
        id: Sizes::pool(pool),
        service: engines_of(pool),
        trainer: TrainerId::new(&format!("trainer-{}", pool + 1)),
        staleness_bound: 4,
        idle_weight: Permille(500),
        ledger: 1,
        // Nothing is scored in a hollow run.
        scorer: weight_store,
        weight_store,
        swap: SwapPolicy::Automatic,
        max_open_samples: 100_000,
        sample_lease_ms: 10_000,
        target_version: FIRST_VERSION,
    }
}
