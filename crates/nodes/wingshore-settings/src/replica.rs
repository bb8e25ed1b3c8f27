//! Settings of the replica role: keys, defaults and ranges.
//!
//! Relies on [`crate::reader`] for the checks and on [`crate::relay`] for the keys of every role. The
//! lease of a group must end before any quorum can elect another leader, so it is checked against
//! the election timeout and the clock drift here.

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
    /// The site's name; processes of different sites refuse each other.
    pub site: String,
    /// This process's name, for people.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens for frames.
    pub listen: SocketAddr,
    /// Where it serves `/healthz`, `/readyz` and `/metrics`; absent is nowhere.
    pub admin: Option<SocketAddr>,
    /// Its data folder.
    pub data: PathBuf,
    /// Number of ledger groups; the same on every replica of a site. Default 1, 1 to 64.
    pub ledger_groups: u16,
    /// Number of claims groups; the same on every replica of a site. Default 1, 1 to 64.
    pub claims_groups: u16,
    /// Members that the site was founded with; read by `wingshore format`, and for finding peers.
    pub founding: Vec<FoundingMember>,
    /// Elections and leases.
    pub timing: TimingSettings,
    /// Log bytes after which a group writes a snapshot. Default 16MiB, 64KiB to 4GiB.
    pub snapshot_every: u64,
    /// Orders to engines.
    pub orders: OrderSettings,
    /// How long a node's configuration lease lasts. Default 5s, 500ms to 30s.
    pub configuration_lease: Duration,
    /// Lines kept in the log ring. Default 4096, 64 to 1,000,000.
    pub log_lines: usize,
}

/// One of the members that a site is founded with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoundingMember {
    /// Its identity.
    pub id: ReplicaId,
    /// Where it listens for frames.
    pub address: SocketAddr,
}

/// Elections and leases of replicated groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimingSettings {
    /// Between a leader's heartbeats. Default 100ms, 5ms to 5s.
    pub heartbeat: Duration,
    /// Shortest silence after which a member campaigns; the longest is a quarter more.
    /// Default 1s, 50ms to 60s, at least four heartbeats.
    pub election_timeout: Duration,
    /// How long a quorum's answer lets a leader act. Default 700ms, below `election_timeout`
    /// less the clock drift.
    pub lease: Duration,
    /// Most that two clocks' rates differ. Default 50 thousandths, 0 to 200.
    pub clock_drift: Permille,
}

/// Orders to engines and readings of their states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderSettings {
    /// Between readings of an engine's state. Default 500ms, 50ms to 60s.
    pub state_poll: Duration,
    /// After which an order or reading is given up. Default 2s, 50ms to 60s.
    pub timeout: Duration,
    /// Threads that carry them. Default 8, 1 to 256. A reading that takes 10 ms allows 600 a second
    /// with 8; a leader of 9,500 engines ran with 64.
    pub workers: usize,
}

/// Ledger groups of the site.
const LEDGER_GROUPS: IntegerSetting = IntegerSetting {
    key: "ledger_groups",
    default: 1,
    minimum: 1,
    maximum: 64,
};
/// Claims groups of the site.
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
/// How long a node's configuration lease lasts.
const CONFIGURATION_LEASE: DurationSetting = DurationSetting {
    key: "configuration_lease",
    default: Duration::from_secs(5),
    minimum: Duration::from_millis(500),
    maximum: Duration::from_secs(30),
};
/// Lines kept in the log ring.
pub(crate) const LOG_LINES: IntegerSetting = IntegerSetting {
    key: "log_lines",
    default: 4096,
    minimum: 64,
    maximum: 1_000_000,
};
/// Time between a leader's heartbeats.
const HEARTBEAT: DurationSetting = DurationSetting {
    key: "heartbeat",
    default: Duration::from_millis(100),
    minimum: Duration::from_millis(5),
    maximum: Duration::from_secs(5),
};
/// Shortest silence after which a member campaigns.
const ELECTION_TIMEOUT: DurationSetting = DurationSetting {
    key: "election_timeout",
    default: Duration::from_secs(1),
    minimum: Duration::from_millis(50),
    maximum: Duration::from_secs(60),
};
/// How long a quorum's answer lets a leader act.
const LEASE: DurationSetting = DurationSetting {
    key: "lease",
    default: Duration::from_millis(700),
    minimum: Duration::from_millis(10),
    maximum: Duration::from_secs(60),
};
/// Most that two clocks' rates differ, in thousandths.
const CLOCK_DRIFT: IntegerSetting = IntegerSetting {
    key: "clock_drift",
    default: 50,
    minimum: 0,
    maximum: 200,
};
/// Time between readings of an engine's state.
const STATE_POLL: DurationSetting = DurationSetting {
    key: "state_poll",
    default: Duration::from_millis(500),
    minimum: Duration::from_millis(50),
    maximum: Duration::from_secs(60),
};
/// Time after which an order or a reading is given up.
const ORDER_TIMEOUT: DurationSetting = DurationSetting {
    key: "timeout",
    default: Duration::from_secs(2),
    minimum: Duration::from_millis(50),
    maximum: Duration::from_secs(60),
};
/// Threads that carry orders and readings.
const ORDER_WORKERS: IntegerSetting = IntegerSetting {
    key: "workers",
    default: 8,
    minimum: 1,
    maximum: 256,
};
/// Identity of a founding member; it must be there, so the default is not used.
const FOUNDING_ID: IntegerSetting = IntegerSetting {
    key: "id",
    default: 0,
    minimum: 1,
    maximum: u32::MAX as u64,
};
/// A site is founded with an odd number of members, so that no member is there in vain.
const FOUNDING_SIZES: [usize; 4] = [1, 3, 5, 7];

/// Parses the settings of a replica.
///
/// # Errors
/// All that is wrong with them.
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
