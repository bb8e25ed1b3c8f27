//! Settings of the node role: keys, defaults and ranges.
//!
//! [`crate::reader`] checks the values, [`crate::relay`] reads the keys that all roles share.

use crate::document::parse_role;
use crate::error::SettingsErrors;
use crate::reader::TableReader;
use crate::replica::{CLAIMS_GROUPS, LOG_LINES};
use crate::units::{
    Bytes, DurationSetting, GIB, IntegerSetting, KIB, MIB, RangedValue, SizeSetting,
};
use crate::{Overrides, relay};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use wingshore_types::configuration::Permille;
use wingshore_types::{NodeId, PoolId, ZoneId};

/// Settings of one node process.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the site.
    pub site: String,
    /// Identity of this node, unique within the site.
    pub node: NodeId,
    /// Zone of this node.
    pub zone: ZoneId,
    /// Address for callers; usually loopback, because a node runs beside its callers.
    pub listen: SocketAddr,
    /// Addresses of replicas; at least one.
    pub replicas: Vec<SocketAddr>,
    /// Relays that the node watches the configuration through; if empty, it watches the replicas.
    pub relays: Vec<SocketAddr>,
    /// Address of the platform's machine list; `None` if the node uses no machine list.
    pub machine_list: Option<SocketAddr>,
    /// Interval between polls of the machine list. Default 1s, 100ms to 60s.
    pub machine_list_poll: Duration,
    /// Number of claims groups of the site. Default 1, 1 to 64.
    pub claims_groups: u16,
    /// Behaviour of the node after its configuration lease has expired.
    pub without_lease: WithoutLease,
    /// Maximum time that a planned stop waits for work in progress. Default 30s, 0s to 1h.
    pub stop_grace: Duration,
    /// HTTP server of the node.
    pub http: HttpSettings,
    /// Choice of servers for requests.
    pub routing: RoutingSettings,
    /// Rollouts run by this node.
    pub rollout: RolloutSettings,
    /// Directory that the log ring buffer is dumped to; `None` dumps it to standard error.
    pub dump_folder: Option<PathBuf>,
    /// Capacity of the log ring buffer, in lines. Default 4096, 64 to 1,000,000.
    pub log_lines: usize,
}

/// Behaviour of a node after its configuration lease has expired, when its configuration may no
/// longer be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithoutLease {
    /// Rejects new requests, which preserves the guarantee that a change is in force everywhere.
    Refuse,
    /// Keeps using the last configuration, so that the node serves while the control group is
    /// unreachable.
    Serve,
}

/// HTTP server of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpSettings {
    /// Threads that serve requests. Default 64, 1 to 4096.
    pub workers: usize,
    /// Maximum size of a request body, in bytes. Default 16MiB, 1KiB to 1GiB.
    pub max_request_body: u64,
    /// Memory for the bodies of all requests, in bytes. Default 64MiB, 64KiB to 4GiB; at least eight
    /// sevenths of `max_request_body`, which is also what holds where the default is less.
    pub body_memory: u64,
    /// Maximum size of a buffered response body, in bytes. Default 64MiB, 1KiB to 1GiB.
    pub max_answer_body: u64,
    /// Time without progress in sending a response after which the caller's connection is closed.
    /// Default 10s, 100ms to 1h.
    pub slow_caller_limit: Duration,
}

/// Choice of servers for requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoutingSettings {
    /// Number of servers compared for each choice. Default 2, 1 to 8.
    pub choices: usize,
    /// Number of servers of each service that this node uses and polls. Default 40, 1 to 1000.
    pub subset: usize,
    /// Interval between polls of one server. Default 500ms, 50ms to 60s.
    pub probe_interval: Duration,
    /// Maximum polls per second over all servers. Default 40, 1 to 10000.
    pub probes_per_second: u32,
    /// Timeout of a poll. Default 1s, 20ms to 60s.
    pub probe_timeout: Duration,
    /// Maximum retries, in thousandths of requests. Default 200, 0 to 1000.
    pub retry_budget: Permille,
    /// Maximum share of a service's servers ejected as failing. Default 500 thousandths, 0 to 1000.
    pub max_ejected: Permille,
}

/// Rollouts run by a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutSettings {
    /// Pools whose samples the node leases; if empty, it runs no rollouts.
    pub pools: Vec<PoolId>,
    /// Maximum number of samples generated concurrently. Default 64, 1 to 4096.
    pub max_streams: usize,
    /// Maximum number of samples scored concurrently. Default 16, 1 to 1024.
    pub max_scorings: usize,
    /// Whether a straggling sample gets a second attempt on another engine. Default true.
    pub over_issue: bool,
}

/// Interval between polls of the machine list.
const MACHINE_LIST_POLL: DurationSetting = DurationSetting {
    key: "machine_list_poll",
    default: Duration::from_secs(1),
    minimum: Duration::from_millis(100),
    maximum: Duration::from_secs(60),
};
/// Maximum time that a planned stop waits for work in progress.
const STOP_GRACE: DurationSetting = DurationSetting {
    key: "stop_grace",
    default: Duration::from_secs(30),
    minimum: Duration::ZERO,
    maximum: Duration::from_secs(3600),
};
/// Threads that serve requests.
const WORKERS: IntegerSetting = IntegerSetting {
    key: "workers",
    default: 64,
    minimum: 1,
    maximum: 4096,
};
/// Maximum size of a request body.
const MAX_REQUEST_BODY: SizeSetting = SizeSetting {
    key: "max_request_body",
    default: Bytes(16 * MIB),
    minimum: Bytes(KIB),
    maximum: Bytes(GIB),
};
/// Memory for the bodies of all requests.
const BODY_MEMORY: SizeSetting = SizeSetting {
    key: "body_memory",
    default: Bytes(64 * MIB),
    minimum: Bytes(64 * KIB),
    maximum: Bytes(4 * GIB),
};
/// Maximum size of a buffered response body.
const MAX_ANSWER_BODY: SizeSetting = SizeSetting {
    key: "max_answer_body",
    default: Bytes(64 * MIB),
    minimum: Bytes(KIB),
    maximum: Bytes(GIB),
};
/// Time without progress in sending a response after which the caller's connection is closed.
const SLOW_CALLER_LIMIT: DurationSetting = DurationSetting {
    key: "slow_caller_limit",
    default: Duration::from_secs(10),
    minimum: Duration::from_millis(100),
    maximum: Duration::from_secs(3600),
};
/// Number of servers compared for each choice.
const CHOICES: IntegerSetting = IntegerSetting {
    key: "choices",
    default: 2,
    minimum: 1,
    maximum: 8,
};
/// Number of servers of each service that a node uses and polls.
const SUBSET: IntegerSetting = IntegerSetting {
    key: "subset",
    default: 40,
    minimum: 1,
    maximum: 1000,
};
/// Interval between polls of one server.
const PROBE_INTERVAL: DurationSetting = DurationSetting {
    key: "probe_interval",
    default: Duration::from_millis(500),
    minimum: Duration::from_millis(50),
    maximum: Duration::from_secs(60),
};
/// Maximum polls per second over all servers.
const PROBES_PER_SECOND: IntegerSetting = IntegerSetting {
    key: "probes_per_second",
    default: 40,
    minimum: 1,
    maximum: 10_000,
};
/// Timeout of a poll.
const PROBE_TIMEOUT: DurationSetting = DurationSetting {
    key: "probe_timeout",
    default: Duration::from_secs(1),
    minimum: Duration::from_millis(20),
    maximum: Duration::from_secs(60),
};
/// Maximum retries, in thousandths of requests.
const RETRY_BUDGET: IntegerSetting = IntegerSetting {
    key: "retry_budget",
    default: 200,
    minimum: 0,
    maximum: 1000,
};
/// Maximum share of a service's servers ejected as failing, in thousandths.
const MAX_EJECTED: IntegerSetting = IntegerSetting {
    key: "max_ejected",
    default: 500,
    minimum: 0,
    maximum: 1000,
};
/// Maximum number of samples generated concurrently.
const MAX_STREAMS: IntegerSetting = IntegerSetting {
    key: "max_streams",
    default: 64,
    minimum: 1,
    maximum: 4096,
};
/// Maximum number of samples scored concurrently.
const MAX_SCORINGS: IntegerSetting = IntegerSetting {
    key: "max_scorings",
    default: 16,
    minimum: 1,
    maximum: 1024,
};

/// Parses the settings of a node.
///
/// # Errors
/// Returns every error in the file.
pub fn node_from_text(
    file: &str,
    text: &str,
    overrides: &Overrides,
) -> Result<NodeSettings, SettingsErrors> {
    parse_role(file, text, overrides, read)
}

pub(crate) fn read(keys: TableReader<'_>) -> Option<NodeSettings> {
    let common = relay::read_common(&keys, "node");
    let replicas = keys.non_empty_addresses("replicas");
    let relays = keys.addresses("relays");
    let machine_list = keys.optional_address("machine_list");
    let machine_list_poll = keys.ranged(&MACHINE_LIST_POLL);
    let claims_groups = keys.ranged_integer(&CLAIMS_GROUPS);
    let without_lease = keys.choice(
        "without_lease",
        WithoutLease::Refuse,
        &[
            ("refuse", WithoutLease::Refuse),
            ("serve", WithoutLease::Serve),
        ],
    );
    let stop_grace = keys.ranged(&STOP_GRACE);
    let http = read_http(keys.table("http"));
    let routing = read_routing(keys.table("routing"));
    let rollout = read_rollout(keys.table("rollout"));
    let dump_folder = keys.optional_text("data").map(PathBuf::from);
    let log_lines = keys.ranged_integer(&LOG_LINES);
    keys.finish();
    let common = common?;
    Some(NodeSettings {
        site: common.site,
        node: NodeId::new(&common.name),
        zone: ZoneId::new(&common.zone),
        listen: common.listen,
        replicas,
        relays,
        machine_list,
        machine_list_poll,
        claims_groups,
        without_lease,
        stop_grace,
        http,
        routing,
        rollout,
        dump_folder,
        log_lines,
    })
}

fn read_http(keys: TableReader<'_>) -> HttpSettings {
    let workers = keys.ranged_integer(&WORKERS);
    let max_request_body = keys.ranged(&MAX_REQUEST_BODY).0;
    let http = HttpSettings {
        workers,
        max_request_body,
        body_memory: read_body_memory(&keys, max_request_body),
        max_answer_body: keys.ranged(&MAX_ANSWER_BODY).0,
        slow_caller_limit: keys.ranged(&SLOW_CALLER_LIMIT),
    };
    keys.finish();
    http
}

/// Reads the memory for bodies, which must hold one of the largest size and leave an eighth for small
/// ones.
fn read_body_memory(keys: &TableReader<'_>, max_request_body: u64) -> u64 {
    let memory = keys.ranged(&BODY_MEMORY);
    let least = max_request_body.saturating_mul(8).div_ceil(7);
    if memory.0 < least && memory != BODY_MEMORY.default {
        let found = memory.show();
        keys.reject(
            "body_memory",
            &found,
            "at least eight sevenths of `max_request_body`",
        );
    }
    memory.0.max(least)
}

fn read_routing(keys: TableReader<'_>) -> RoutingSettings {
    let routing = RoutingSettings {
        choices: keys.ranged_integer(&CHOICES),
        subset: keys.ranged_integer(&SUBSET),
        probe_interval: keys.ranged(&PROBE_INTERVAL),
        probes_per_second: keys.ranged_integer(&PROBES_PER_SECOND),
        probe_timeout: keys.ranged(&PROBE_TIMEOUT),
        retry_budget: Permille(keys.ranged_integer(&RETRY_BUDGET)),
        max_ejected: Permille(keys.ranged_integer(&MAX_EJECTED)),
    };
    keys.finish();
    routing
}

fn read_rollout(keys: TableReader<'_>) -> RolloutSettings {
    let rollout = RolloutSettings {
        pools: keys.names("pools"),
        max_streams: keys.ranged_integer(&MAX_STREAMS),
        max_scorings: keys.ranged_integer(&MAX_SCORINGS),
        over_issue: keys.boolean("over_issue", true),
    };
    keys.finish();
    rollout
}
