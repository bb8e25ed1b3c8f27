//! Settings of a coordinator process, and the times that follow from them.
//!
//! The adapter of a deployment reads and validates them. A value that is the same in every
//! deployment is a constant where it is used.

use crate::budget::MemoryBudget;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;
use wingshore_coordination::{CapacityPolicy, LeaderPolicy, UsageDuty};
use wingshore_net::callers::CallerBounds;

/// Consecutive heartbeats that a server may miss before it leaves the registry: enough that
/// occasional lost calls do not remove a server, while one that is away for so long counts as gone.
const SERVER_EXPIRY_HEARTBEATS: u32 = 5;
/// Time that a new leader waits in addition to the validity of orders before it sends its own. It
/// is more than the drift of two clocks during the validity, and than an order takes to arrive.
const HANDOVER_MARGIN: Duration = Duration::from_millis(300);
/// Time added to the retention of ended jobs; longer than a change of leader and a caller's retries
/// take.
const RETENTION_MARGIN: Duration = Duration::from_secs(10);

/// Validated settings of a coordinator process.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinatorSettings {
    /// Name of the machine.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Address of the machine.
    pub ip: IpAddr,
    /// Address for calls of operators, trainers and servers.
    pub control: SocketAddr,
    /// Address where clients ask for gateways.
    pub directory: Option<SocketAddr>,
    /// Address where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Port for the site's own processes; the same on all machines.
    pub internal_port: u16,
    /// Address to listen on for the site's own processes where it differs from the one that they
    /// connect to, as behind a NAT.
    pub internal_bind: Option<SocketAddr>,
    /// Addresses of coordinators that were known when the settings were written.
    pub seeds: Vec<IpAddr>,
    /// The data folder.
    pub data: PathBuf,
    /// Whether the site is founded with this start.
    pub founding: bool,
    /// Simultaneous losses of coordinators that the site must tolerate.
    pub losses_borne: usize,
    /// Memory limit of the process.
    pub memory: MemoryBudget,
    /// What callers may use together.
    pub callers: CallerBounds,
    /// Maximum number of connections of the site's own processes.
    pub max_links: usize,
    /// How long a client may use an answer of the directory.
    pub directory_ttl: Duration,
    /// Interval between two heartbeats of a server.
    pub server_heartbeat: Duration,
    /// Longest time for which orders of a former leader may still take effect.
    pub order_validity: Duration,
    /// Whether engines refuse orders with a lower fence than the highest that they have received.
    pub engines_check_fences: bool,
    /// Policy for the number of servers, where servers can be ordered.
    pub capacity: CapacityPolicy,
    /// Which selection mechanisms of the leader are enabled.
    pub leader_policy: LeaderPolicy,
    /// The provider of the site's machines; `None` where the deployment calls none.
    pub provider: Option<ProviderSettings>,
    /// How long an ended job must stay readable.
    pub job_retention: Duration,
    /// Time limit of a planned stop.
    pub stop_limit: Duration,
}

/// How the provider of the site's machines is called.
#[derive(Clone, Debug, PartialEq)]
pub struct ProviderSettings {
    /// Address where it listens.
    pub address: SocketAddr,
    /// Calls per second that it accepts from all machines of the site together.
    pub calls_per_second: f64,
    /// Usage reports that the site owes the provider.
    pub usage: Option<UsageDuty>,
    /// Whether the number of servers is ordered from the provider.
    pub orders_servers: bool,
}

impl CoordinatorSettings {
    /// Returns the address where the site's own processes reach this process.
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.internal_port)
    }

    /// Returns the silence after which a server leaves the registry.
    pub(crate) fn server_expiry(&self) -> Duration {
        self.server_heartbeat * SERVER_EXPIRY_HEARTBEATS
    }

    /// Returns how long a new leader waits for the orders of the one before to expire.
    pub(crate) fn order_handover(&self) -> Duration {
        self.order_validity + HANDOVER_MARGIN
    }

    /// Returns how long an ended job is kept.
    pub(crate) fn job_expiry(&self) -> Duration {
        self.job_retention + RETENTION_MARGIN
    }

    /// Returns the addresses where the seeds listen for the site's own processes, in ascending
    /// order.
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
