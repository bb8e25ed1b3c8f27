//! Settings of a gateway process.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Settings of a gateway process, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the machine.
    pub node: String,
    /// Where it stands.
    pub zone: String,
    /// Region of that zone.
    pub region: String,
    /// Where clients connect.
    pub front: SocketAddr,
    /// Where the deployment asks whether it is ready.
    pub ready: Option<SocketAddr>,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Port for the site's own processes; the same on all machines.
    pub internal_port: u16,
    /// Addresses of coordinators as far as known when the settings were written.
    pub seeds: Vec<IpAddr>,
    /// Connections of all kinds at a time, at the most.
    pub most_connections: usize,
    /// How long clients may go on using an address that they were given.
    pub directory_ttl: Duration,
    /// Within which a planned stop must be over.
    pub stop_limit: Duration,
    /// Length of the windows in which requests are counted for the provider; `None` where they are
    /// not counted.
    pub usage_window: Option<Duration>,
    /// Which mechanisms of choice are on.
    pub policy: GatewayPolicy,
}

/// Switches of a gateway's mechanisms of choice, for measuring what each is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayPolicy {
    /// Results are read from the copy of the state in the gateway's zone.
    pub near_copies: bool,
    /// Scorings keep within a limit that adapts to what their servers take.
    pub scoring_limit: bool,
}

impl Default for GatewayPolicy {
    fn default() -> Self {
        Self {
            near_copies: true,
            scoring_limit: true,
        }
    }
}

impl GatewaySettings {
    /// Where the seeds listen for the site's own processes.
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
