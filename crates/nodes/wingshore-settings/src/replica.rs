//! Settings of the replica role: keys, defaults and ranges.
//!
//! [`crate::reader`] checks single values, [`crate::relay`] reads the keys that all roles share. A
//! group's lease must end before any quorum can elect another leader, so this module checks it
//! against the election timeout and the clock drift.

use crate::document::parse_role;
use crate::error::SettingsErrors;
use crate::reader::TableReader;
use crate::units::{Bytes, DurationSetting, GIB, IntegerSetting, MIB, SizeSetting};
use crate::{Overrides, relay};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use wingshore_types::ReplicaId;
use wingshore_types::configuration::Permille;

/// Settings of one replica process.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaSettings {
    /// Name of the site; processes of different sites reject each other.
    pub site: String,
    /// Name of this process, for display only.
    pub name: String,
    /// Zone of this process.
    pub zone: String,
    /// Address on which the process accepts frames.
    pub listen: SocketAddr,
    /// Address of `/healthz`, `/readyz` and `/metrics`; `None` does not serve them.
    pub admin: Option<SocketAddr>,
    /// Data directory.
    pub data: PathBuf,
    /// Number of ledger groups; the same on every replica of a site. Default 1, 1 to 64.
    pub ledger_groups: u16,
    /// Number of claims groups; the same on every replica of a site. Default 1, 1 to 64.
    pub claims_groups: u16,
    /// Initial members of the site, used by `wingshore format` and for peer discovery.
    pub founding: Vec<FoundingMember>,
    /// Timing of elections and leases.
    pub timing: TimingSettings,
    /// Bytes of log after which a group writes a snapshot. Default 16MiB, 64KiB to 4GiB.
    pub snapshot_every: u64,
    /// Orders to engines and polls of their state.
    pub orders: OrderSettings,
    /// Duration of a node's configuration lease. Default 5s, 500ms to 30s.
    pub configuration_lease: Duration,
    /// Capacity of the log ring buffer, in lines. Default 4096, 64 to 1,000,000.
    pub log_lines: usize,
}

/// One of the initial members of a site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoundingMember {
    /// Identity of the member.
    pub id: ReplicaId,
    /// Address on which the member accepts frames.
    pub address: SocketAddr,
}

/// Timing of elections and leases in replicated groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimingSettings {
    /// Interval between a leader's heartbeats. Default 100ms, 5ms to 5s.
    pub heartbeat: Duration,
    /// Minimum time without a heartbeat after which a member starts an election; the maximum is a
    /// quarter longer. Default 1s, 50ms to 60s, at least four heartbeats.
    pub election_timeout: Duration,
    /// Duration of the leader lease that acknowledgements of a quorum grant. Default 700ms, 10ms to
    /// 60s, at most `election_timeout` less twice the clock drift.
    pub lease: Duration,
    /// Maximum difference between the rates of two clocks. Default 50 thousandths, 0 to 200.
    pub clock_drift: Permille,
}

/// Orders to engines and polls of their state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderSettings {
    /// Interval between polls of an engine's state. Default 500ms, 50ms to 60s.
    pub state_poll: Duration,
    /// Timeout of an order or poll. Default 2s, 50ms to 60s.
    pub timeout: Duration,
    /// Threads that send orders and polls. Default 8, 1 to 256. With polls of 10 ms, 8 threads
    /// handle 600 polls per second; a leader of 9,500 engines ran with 64 threads.
    pub workers: usize,
}

/// Number of ledger groups of the site.
const LEDGER_GROUPS: IntegerSetting = IntegerSetting {
    key: "ledger_groups",
    default: 1,
    minimum: 1,
    maximum: 64,
};
/// Number of claims groups of the site.
pub(crate) const CLAIMS_GROUPS: IntegerSetting = IntegerSetting {
    key: "claims_groups",
    default: 1,
    minimum: 1,
    maximum: 64,
};
/// Bytes of log after which a group writes a snapshot.
const SNAPSHOT_EVERY: SizeSetting = SizeSetting {
    key: "snapshot_every",
    default: Bytes(16 * MIB),
    minimum: Bytes(MIB / 16),
    maximum: Bytes(4 * GIB),
};
/// Duration of a node's configuration lease.
const CONFIGURATION_LEASE: DurationSetting = DurationSetting {
    key: "configuration_lease",
    default: Duration::from_secs(5),
    minimum: Duration::from_millis(500),
    maximum: Duration::from_secs(30),
};
/// Capacity of the log ring buffer, in lines.
pub(crate) const LOG_LINES: IntegerSetting = IntegerSetting {
    key: "log_lines",
    default: 4096,
    minimum: 64,
    maximum: 1_000_000,
};
/// Interval between a leader's heartbeats.
const HEARTBEAT: DurationSetting = DurationSetting {
    key: "heartbeat",
    default: Duration::from_millis(100),
    minimum: Duration::from_millis(5),
    maximum: Duration::from_secs(5),
};
/// Minimum time without a heartbeat after which a member starts an election.
const ELECTION_TIMEOUT: DurationSetting = DurationSetting {
    key: "election_timeout",
    default: Duration::from_secs(1),
    minimum: Duration::from_millis(50),
    maximum: Duration::from_secs(60),
};
/// Duration of the leader lease that acknowledgements of a quorum grant.
const LEASE: DurationSetting = DurationSetting {
    key: "lease",
    default: Duration::from_millis(700),
    minimum: Duration::from_millis(10),
    maximum: Duration::from_secs(60),
};
/// Maximum difference between the rates of two clocks, in thousandths.
const CLOCK_DRIFT: IntegerSetting = IntegerSetting {
    key: "clock_drift",
    default: 50,
    minimum: 0,
    maximum: 200,
};
/// Interval between polls of an engine's state.
const STATE_POLL: DurationSetting = DurationSetting {
    key: "state_poll",
    default: Duration::from_millis(500),
    minimum: Duration::from_millis(50),
    maximum: Duration::from_secs(60),
};
/// Timeout of an order or poll.
const ORDER_TIMEOUT: DurationSetting = DurationSetting {
    key: "timeout",
    default: Duration::from_secs(2),
    minimum: Duration::from_millis(50),
    maximum: Duration::from_secs(60),
};
/// Threads that send orders and polls.
const ORDER_WORKERS: IntegerSetting = IntegerSetting {
    key: "workers",
    default: 8,
    minimum: 1,
    maximum: 256,
};
/// Identity of a founding member; the key is required, so the default is unused.
const FOUNDING_ID: IntegerSetting = IntegerSetting {
    key: "id",
    default: 0,
    minimum: 1,
    maximum: u32::MAX as u64,
};
/// Allowed numbers of initial members. They are odd, because an additional member that makes the
/// number even does not increase the number of failures a group tolerates.
const FOUNDING_SIZES: [usize; 4] = [1, 3, 5, 7];

/// Parses the settings of a replica.
///
/// # Errors
/// Returns every error in the file.
pub fn replica_from_text(
    file: &str,
    text: &str,
    overrides: &Overrides,
) -> Result<ReplicaSettings, SettingsErrors> {
    parse_role(file, text, overrides, read)
}

pub(crate) fn read(keys: TableReader<'_>) -> Option<ReplicaSettings> {
    let common = relay::read_common(&keys, "replica");
    let admin = keys.optional_address("admin");
    let data = keys.text("data");
    let ledger_groups = keys.ranged_integer(&LEDGER_GROUPS);
    let claims_groups = keys.ranged_integer(&CLAIMS_GROUPS);
    let founding = read_founding(&keys);
    let timing = read_timing(keys.table("timing"));
    let snapshot_every = keys.ranged(&SNAPSHOT_EVERY).0;
    let orders = read_orders(keys.table("orders"));
    let configuration_lease = keys.ranged(&CONFIGURATION_LEASE);
    let log_lines = keys.ranged_integer(&LOG_LINES);
    check_founding_size(&keys, keys.tables("founding").len());
    keys.finish();
    let common = common?;
    Some(ReplicaSettings {
        site: common.site,
        name: common.name,
        zone: common.zone,
        listen: common.listen,
        admin,
        data: PathBuf::from(data?),
        ledger_groups,
        claims_groups,
        founding,
        timing,
        snapshot_every,
        orders,
        configuration_lease,
        log_lines,
    })
}

fn read_founding(keys: &TableReader<'_>) -> Vec<FoundingMember> {
    let mut members: Vec<FoundingMember> = Vec::new();
    let mut ids = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    for member in keys.tables("founding") {
        let id = member.required_ranged(&FOUNDING_ID).map(ReplicaId);
        let address = member.address("address");
        if let Some(id) = id
            && !ids.insert(id)
        {
            member.reject("id", &format!("{id} twice"), "each identity once");
        }
        if let Some(address) = address
            && !addresses.insert(address)
        {
            member.reject("address", &format!("{address} twice"), "each address once");
        }
        if let (Some(id), Some(address)) = (id, address) {
            members.push(FoundingMember { id, address });
        }
        member.finish();
    }
    members
}

fn check_founding_size(keys: &TableReader<'_>, size: usize) {
    if !FOUNDING_SIZES.contains(&size) {
        let found = format!("{size} members");
        keys.reject("founding", &found, "1, 3, 5 or 7 `[[founding]]` members");
    }
}

fn read_timing(keys: TableReader<'_>) -> TimingSettings {
    let timing = TimingSettings {
        heartbeat: keys.ranged(&HEARTBEAT),
        election_timeout: keys.ranged(&ELECTION_TIMEOUT),
        lease: keys.ranged(&LEASE),
        clock_drift: Permille(keys.ranged_integer(&CLOCK_DRIFT)),
    };
    if timing.election_timeout < timing.heartbeat * 4 {
        let found = humantime::format_duration(timing.election_timeout).to_string();
        keys.reject("election_timeout", &found, "at least four heartbeats");
    }
    let max_lease = timing
        .election_timeout
        .mul_f64(1.0 - 2.0 * timing.clock_drift.fraction());
    if timing.lease > max_lease {
        let found = humantime::format_duration(timing.lease).to_string();
        let allowed = format!(
            "at most {}ms: the election timeout less twice the clock drift",
            max_lease.as_millis()
        );
        keys.reject("lease", &found, &allowed);
    }
    keys.finish();
    timing
}

fn read_orders(keys: TableReader<'_>) -> OrderSettings {
    let orders = OrderSettings {
        state_poll: keys.ranged(&STATE_POLL),
        timeout: keys.ranged(&ORDER_TIMEOUT),
        workers: keys.ranged_integer(&ORDER_WORKERS),
    };
    keys.finish();
    orders
}
