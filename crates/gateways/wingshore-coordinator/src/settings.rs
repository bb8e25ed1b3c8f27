//! Settings of a coordinator process, and the times that follow from them.
//!
//! Read and checked by the adapter of a deployment; what is the same in every deployment is a constant
//! where it is used.

use crate::budget::MemoryBudget;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;
use wingshore_coordination::{CapacityPolicy, LeaderPolicy, UsageDuty};

/// Heartbeats in a row that a server may miss before it leaves the registry: a server that is away
/// for so long is taken for gone, one whose calls are lost now and then is not.
const SERVER_EXPIRY_HEARTBEATS: u32 = 5;
/// Added to the validity of orders before a new leader gives its own; more than the drift of two
/// clocks over the validity, and than an order is under way.
const HANDOVER_MARGIN: Duration = Duration::from_millis(300);
/// Added to the time for which a job must be readable; longer than a change of leader and a
/// caller's retries take.
const RETENTION_MARGIN: Duration = Duration::from_secs(10);

/// Settings of a coordinator process, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinatorSettings {
    /// Name of the machine.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// The machine's address.
    pub ip: IpAddr,
    /// Where operators, trainers and servers call.
    pub control: SocketAddr,
    /// Where clients ask for gateways.
    pub directory: Option<SocketAddr>,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Port for the site's own processes; the same on all machines.
    pub internal_port: u16,
    /// Where to listen for the site's own processes, where that is not where they reach this one:
    /// behind a translation of addresses.
    pub internal_bind: Option<SocketAddr>,
    /// Addresses of coordinators as far as known when the settings were written.
    pub seeds: Vec<IpAddr>,
    /// The data folder.
    pub data: PathBuf,
    /// Whether the site begins with this start.
    pub founding: bool,
    /// Coordinators whose loss at one time the site must bear.
    pub losses_borne: usize,
    /// Memory that the process may have.
    pub memory: MemoryBudget,
    /// How long a client may use an answer of the directory.
    pub directory_ttl: Duration,
    /// Time between two heartbeats of a server.
    pub server_heartbeat: Duration,
    /// Longest time for which orders of a machine that does not lead any more may still take effect.
    pub order_validity: Duration,
    /// Whether engines refuse orders whose fence is lower than one that they have seen.
    pub engines_check_fences: bool,
    /// How the number of servers is chosen where it can be ordered.
    pub capacity: CapacityPolicy,
    /// Which mechanisms of choice of the leader are on.
    pub leader_policy: LeaderPolicy,
    /// The provider of the site's machines; `None` where there is nothing to ask of it.
    pub provider: Option<ProviderSettings>,
    /// How long an ended job must be readable.
    pub job_retention: Duration,
    /// Within which a planned stop must be over.
    pub stop_limit: Duration,
}

/// How the provider of the site's machines is called.
#[derive(Clone, Debug, PartialEq)]
pub struct ProviderSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Calls that it takes in a second from all machines of the site together.
    pub calls_per_second: f64,
    /// Reports of usage that the site owes it.
    pub usage: Option<UsageDuty>,
    /// Whether the number of servers is ordered from it.
    pub orders_servers: bool,
}

impl CoordinatorSettings {
    /// Where this process listens for the site's own processes.
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.internal_port)
    }

    /// Silence after which a server leaves the registry.
    pub(crate) fn server_expiry(&self) -> Duration {
        self.server_heartbeat * SERVER_EXPIRY_HEARTBEATS
    }

    /// Time that a new leader leaves to the orders of the one before.
    pub(crate) fn order_handover(&self) -> Duration {
        self.order_validity + HANDOVER_MARGIN
    }

    /// How long an ended job is remembered.
    pub(crate) fn job_expiry(&self) -> Duration {
        self.job_retention + RETENTION_MARGIN
    }

    /// Where the seeds listen for the site's own processes, in ascending order.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = self
            .seeds
            .iter()
            .map(|ip| SocketAddr::new(*ip, self.internal_port))
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }
}
