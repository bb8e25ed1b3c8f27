//! Creation of the group's host from the settings.

use crate::error::{CoordinatorError, GroupSnafu};
use crate::settings::CoordinatorSettings;
use crate::spool::FileSpool;
use crate::texts::TextArchive;
use snafu::ResultExt;
use std::sync::Arc;
use std::time::Duration;
use wingshore_coordination::{
    CoordinationLeader, CoordinationState, FingerprintKey, LeaderSettings, TextStore,
};
use wingshore_group::{Host, HostConfig, Limits, MachineFactory, Timing};
use wingshore_storage::DataFolder;
use wingshore_types::Instant;
use wingshore_types::configuration::Permille;
use wingshore_types::log::RecoveredLog;

/// Interval at which a leader sends heartbeats to the other members.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time without a message of the leader after which a member starts an election: six
/// heartbeat intervals.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(600);
/// Duration of the leader's lease, before the margin for clock drift: shorter than the election
/// timeout, so that the lease expires before another member can become the leader.
const LEASE_DURATION: Duration = Duration::from_millis(550);
/// Delay from an order to load weights to the first poll of its progress: the time that an engine
/// takes to load.
const EXPECTED_LOAD_TIME: Duration = Duration::from_millis(920);
/// Divisor of the election timeout that gives the range of its random extension, which makes
/// simultaneous candidacies rare.
const ELECTION_SPREAD_DIVISOR: u32 = 2;
/// Upper bound on how much any clock runs fast or slow, in thousandths: far above the actual drift
/// of machine clocks.
const MAX_CLOCK_DRIFT: Permille = Permille(20);

/// Creates the host from the log and snapshot that were recovered from disk.
pub(super) fn open(
    settings: &CoordinatorSettings,
    folder: &DataFolder,
    now: Instant,
    recovered: RecoveredLog,
    texts: Arc<TextArchive>,
    spool: FileSpool,
) -> Result<Host<CoordinationLeader>, CoordinatorError> {
    let identity = folder.identity();
    let config = HostConfig {
        timing: Timing {
            election_timeout: ELECTION_TIMEOUT,
            election_spread: ELECTION_TIMEOUT / ELECTION_SPREAD_DIVISOR,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            lease: LEASE_DURATION,
            drift: MAX_CLOCK_DRIFT,
        },
        snapshot_every_bytes: settings.memory.log_between_snapshots(),
        max_log_bytes: settings.memory.log_between_snapshots(),
        spool: Arc::new(spool),
        limits: Limits {
            cached_log_bytes: settings.memory.cached_log(),
            ..Limits::default()
        },
        ..HostConfig::new(identity.replica, identity.founding.clone(), rand::random())
    };
    let leader_settings = LeaderSettings {
        node: settings.node.clone(),
        fingerprint_key: FingerprintKey::new(rand::random()),
        server_expiry: settings.server_expiry(),
        order_handover: settings.order_handover(),
        engines_check_fences: settings.engines_check_fences,
        load_time: EXPECTED_LOAD_TIME,
        usage: settings
            .provider
            .as_ref()
            .and_then(|provider| provider.usage),
        orders_servers: settings
            .provider
            .as_ref()
            .is_some_and(|provider| provider.orders_servers),
        capacity: settings.capacity,
        job_retention: settings.job_expiry(),
        max_open_job_bytes: settings.memory.open_jobs(),
        policy: settings.leader_policy,
    };
    let machines = MachineFactory {
        leader: Box::new(move || CoordinationLeader::new(leader_settings.clone())),
        prepare: Box::new(move |state: &mut CoordinationState| {
            state.set_text_store(Arc::clone(&texts) as Arc<dyn TextStore>);
        }),
    };
    Host::with_machines(now, config, recovered, machines).context(GroupSnafu)
}
