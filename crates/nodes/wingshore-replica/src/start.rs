//! Opens the groups of a replica.

use crate::effects::{ControlEffects, EffectSettings, SharedLease};
use crate::error::{ReplicaError, StorageSnafu};
use crate::group::{self, EffectRunner, GroupPort, GroupSetup, HostedLeader, Inbox, NoEffects};
use crate::metrics::{GroupMetrics, ReplicaMetrics};
use crate::peers::Peers;
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread::JoinHandle;
use wingshore_clock::Clock;
use wingshore_control::{ControlLeader, LeaderSettings};
use wingshore_diagnostics::Diagnostics;
use wingshore_group::{HostConfig, Timing};
use wingshore_ledger::claims::ClaimsLeader;
use wingshore_ledger::samples::LedgerLeader;
use wingshore_settings::ReplicaSettings;
use wingshore_storage::{DataFolder, FileSystem, GroupStore};
use wingshore_types::GroupId;

/// Divisor of the shortest election timeout; the quotient is the spread of election timeouts.
const ELECTION_SPREAD_DIVISOR: u32 = 4;

/// Longest watch of the configuration, in fifths of the lease: a node that loses one watch can
/// still renew its lease with the next one.
const MAX_WATCH_FIFTHS: u32 = 2;

/// A group whose thread is running.
pub(crate) struct RunningGroup {
    pub(crate) group: GroupId,
    /// Returns the group's result when joined.
    pub(crate) thread: JoinHandle<Result<(), ReplicaError>>,
}

/// Starts the threads of an opened group.
pub(crate) type PreparedGroup = Box<dyn FnOnce() -> Result<RunningGroup, ReplicaError>>;

/// Resources and settings that all groups of a replica share.
pub(crate) struct GroupContext<'a> {
    pub(crate) fs: Arc<dyn FileSystem>,
    pub(crate) folder: &'a DataFolder,
    pub(crate) settings: &'a ReplicaSettings,
    pub(crate) diagnostics: &'a Diagnostics,
    pub(crate) clock: Clock,
    pub(crate) peers: Arc<Peers>,
}

/// Opened groups; their threads are started only once the replica accepts connections.
pub(crate) struct PreparedGroups {
    pub(crate) metrics: ReplicaMetrics,
    pub(crate) group_metrics: Vec<(GroupId, Arc<GroupMetrics>)>,
    pub(crate) ports: BTreeMap<GroupId, Box<dyn GroupPort>>,
    pub(crate) groups: Vec<PreparedGroup>,
}

impl PreparedGroups {
    /// Opens all groups of the settings.
    ///
    /// # Errors
    /// When the storage of a group cannot be opened.
    pub(crate) fn open(context: &GroupContext<'_>) -> Result<Self, ReplicaError> {
        let mut prepared = Self {
            metrics: ReplicaMetrics::new(),
            group_metrics: Vec::new(),
            ports: BTreeMap::new(),
            groups: Vec::new(),
        };
        let settings = context.settings;
        for group in GroupId::all(settings.ledger_groups, settings.claims_groups) {
            match group {
                GroupId::Control => prepared.open_control(context)?,
                GroupId::Ledger(_) => {
                    prepared.open_group(context, group, |_: &Inbox<LedgerLeader>| Ok(NoEffects))?;
                }
                GroupId::Claims(_) => {
                    prepared.open_group(context, group, |_: &Inbox<ClaimsLeader>| Ok(NoEffects))?;
                }
            }
        }
        Ok(prepared)
    }

    fn open_control(&mut self, context: &GroupContext<'_>) -> Result<(), ReplicaError> {
        let settings = EffectSettings {
            replica: context.folder.identity().replica,
            leader: leader_settings(context.settings),
            orders: context.settings.orders,
        };
        let clock = context.clock;
        let effects = move |inbox: &Inbox<ControlLeader>| {
            ControlEffects::start(settings, Arc::new(SharedLease::default()), clock, inbox)
        };
        self.open_group(context, GroupId::Control, effects)
    }

    fn open_group<L: HostedLeader, E: EffectRunner<L> + 'static>(
        &mut self,
        context: &GroupContext<'_>,
        group: GroupId,
        effects: impl FnOnce(&Inbox<L>) -> Result<E, ReplicaError> + 'static,
    ) -> Result<(), ReplicaError> {
        let directory = context.folder.group_directory(group);
        let (store, recovered) = GroupStore::open(Arc::clone(&context.fs), &directory)
            .context(StorageSnafu { group })?;
        let metrics = self.metrics.group(group);
        self.group_metrics.push((group, Arc::clone(&metrics)));
        let setup = GroupSetup {
            group,
            config: host_config(context),
            store,
            recovered,
            clock: context.clock,
            peers: Arc::clone(&context.peers),
            metrics,
            logger: context.diagnostics.logger().clone(),
        };
        let (inbox, receiver) = Inbox::<L>::new();
        self.ports.insert(group, Box::new(inbox.clone()));
        self.groups.push(Box::new(move || {
            let effects = effects(&inbox)?;
            let thread = group::start(setup, inbox, receiver, effects)?;
            Ok(RunningGroup { group, thread })
        }));
        Ok(())
    }
}

fn host_config(context: &GroupContext<'_>) -> HostConfig {
    let identity = context.folder.identity();
    let timing = context.settings.timing;
    let founding = identity.founding.clone();
    HostConfig {
        timing: Timing {
            election_timeout: timing.election_timeout,
            election_spread: timing.election_timeout / ELECTION_SPREAD_DIVISOR,
            heartbeat_interval: timing.heartbeat,
            lease: timing.lease,
            drift: timing.clock_drift,
        },
        snapshot_every_bytes: context.settings.snapshot_every,
        ..HostConfig::new(identity.replica, founding, rand::random())
    }
}

fn leader_settings(settings: &ReplicaSettings) -> LeaderSettings {
    LeaderSettings {
        lease: settings.configuration_lease,
        clock_drift: settings.timing.clock_drift,
        max_watch: settings.configuration_lease * MAX_WATCH_FIFTHS / 5,
        order_timeout: settings.orders.timeout,
        poll_interval: settings.orders.state_poll,
        poll_timeout: settings.orders.timeout,
        ..LeaderSettings::default()
    }
}
