//! Settings of a gateway process.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use wingshore_net::callers::CallerBounds;

/// Settings of a gateway process, after validation.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of the machine.
    pub node: String,
    /// Zone of the machine.
    pub zone: String,
    /// Region of that zone.
    pub region: String,
    /// Address that clients connect to.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: Option<SocketAddr>,
    /// Address where clients ask which gateways they may use; `None` disables the directory.
    pub directory: Option<SocketAddr>,
    /// Address that serves metrics.
    pub metrics: Option<SocketAddr>,
    /// Port for connections between the site's own processes; the same on all machines.
    pub internal_port: u16,
    /// Addresses of coordinators that were known when the settings were written.
    pub seeds: Vec<IpAddr>,
    /// What callers may use together.
    pub callers: CallerBounds,
    /// How long clients may keep using an address from the directory.
    pub directory_ttl: Duration,
    /// Maximum duration of a planned stop.
    pub stop_limit: Duration,
    /// Length of the windows in which requests are counted for reports to the provider; `None`
    /// disables counting.
    pub usage_window: Option<Duration>,
    /// Optional mechanisms that are enabled.
    pub policy: GatewayPolicy,
}

/// Switches of a gateway's optional mechanisms, for measuring the effect of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayPolicy {
    /// Whether results are read from the copy of the state in the gateway's zone.
    pub near_copies: bool,
    /// Whether a limit that adapts to the capacity of the servers applies to scorings.
    pub scoring_limit: bool,
    /// Whether scorings wait for grants of a leader that limits the scorings of all gateways
    /// together.
    pub shared_scoring_limit: bool,
    /// Whether repeatable requests get a second attempt before their target latency is missed.
    pub second_attempts: bool,
}

impl Default for GatewayPolicy {
    fn default() -> Self {
        Self {
            near_copies: true,
            scoring_limit: true,
            shared_scoring_limit: true,
            second_attempts: true,
        }
    }
}

impl GatewaySettings {
    /// Returns the addresses at which the seeds listen for the site's own processes.
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
