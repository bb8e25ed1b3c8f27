//! The thread that owns and drives a group's host.

use super::delays::DelayTracker;
use super::kind::HostedLeader;
use super::port::{GroupCall, GroupEvent, Inbox, InboxReceiver, RequestOrigin};
use super::writer::{self, WriteJob};
use crate::error::{HostSnafu, ReplicaError, StorageSnafu, ThreadSnafu};
use crate::metrics::GroupMetrics;
use crate::peers::Peers;
use crossbeam_channel::{Sender, select, unbounded};
use slog::{Logger, info};
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use wingshore_clock::Clock;
use wingshore_group::{Host, HostConfig, HostInput, HostOutput, HostReply, Leadership};
use wingshore_storage::GroupStore;
use wingshore_types::log::{RecoveredLog, WriteBatch};
use wingshore_types::machine::RequestTag;
use wingshore_types::protocol::wire::GroupReply;
use wingshore_types::{Epoch, GroupId, Instant, ReplicaId};

/// Most inputs in one step; everything they write goes to disk as one batch.
const MAX_INPUTS_PER_STEP: usize = 1024;
/// Longest wait for an input.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// Interval at which the progress of the configuration is checked; also the resolution of the
/// delays measured from it.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);
/// Longest possible lease, in milliseconds: the upper bound of the setting `timing.lease`.
const MAX_LEASE_MS: u32 = 60_000;

/// Executes the external effects that a leader machine requests.
pub(crate) trait EffectRunner<L: HostedLeader>: Send {
    /// Called when a leadership begins; returns the first event for the leader machine, if any.
    fn on_leadership_acquired(&mut self, epoch: Epoch) -> Option<L::Event>;
    /// Sets when the lease expires, as of the last step; `None` if it is not held.
    fn set_lease_expiry(&mut self, until: Option<Instant>);
    /// Starts an effect. Returns its result event immediately if the effect cannot be started.
    fn start_effect(&mut self, effect: L::Effect) -> Option<L::Event>;
}

/// Effect runner for leader machines without external effects.
pub(crate) struct NoEffects;

impl<L: HostedLeader> EffectRunner<L> for NoEffects {
    fn on_leadership_acquired(&mut self, _epoch: Epoch) -> Option<L::Event> {
        None
    }

    fn set_lease_expiry(&mut self, _until: Option<Instant>) {}

    fn start_effect(&mut self, _effect: L::Effect) -> Option<L::Event> {
        None
    }
}

/// Everything that a group needs to start.
pub(crate) struct GroupSetup {
    pub(crate) group: GroupId,
    pub(crate) config: HostConfig,
    pub(crate) store: GroupStore,
    pub(crate) recovered: RecoveredLog,
    pub(crate) clock: Clock,
    pub(crate) peers: Arc<Peers>,
    pub(crate) metrics: Arc<GroupMetrics>,
    pub(crate) logger: Logger,
}

/// Starts the group's threads. The handle returns the group's result.
pub(crate) fn start<L: HostedLeader>(
    setup: GroupSetup,
    inbox: Inbox<L>,
    receiver: InboxReceiver<L>,
    effects: impl EffectRunner<L> + 'static,
) -> Result<JoinHandle<Result<(), ReplicaError>>, ReplicaError> {
    let name = setup.group.to_string();
    thread::Builder::new()
        .name(name.clone())
        .spawn(move || run(setup, inbox, receiver, effects))
        .context(ThreadSnafu { name })
}

fn run<L: HostedLeader>(
    setup: GroupSetup,
    inbox: Inbox<L>,
    receiver: InboxReceiver<L>,
    effects: impl EffectRunner<L>,
) -> Result<(), ReplicaError> {
    let group = setup.group;
    let host =
        Host::new(setup.clock.now(), setup.config, setup.recovered).context(HostSnafu { group })?;
    let (writes, jobs) = unbounded();
    let (store, metrics) = (setup.store, Arc::clone(&setup.metrics));
    let name = format!("{group}-writer");
    let writer = thread::Builder::new()
        .name(name.clone())
        .spawn(move || writer::run(store, &jobs, &inbox, &metrics))
        .context(ThreadSnafu { name })?;
    setup.peers.set_members(group, host.membership());
    let driver = Driver {
        group,
        host,
        effects,
        writes,
        clock: setup.clock,
        peers: setup.peers,
        metrics: setup.metrics,
        logger: setup.logger,
        pending_requests: BTreeMap::new(),
        next_tag: 0,
        events: Vec::new(),
        stopped: false,
        commit_delays: DelayTracker::default(),
        revision_delays: None,
        next_progress_check: Instant::default(),
    };
    let driver_result = driver.run(&receiver);
    reject_queued_requests(&receiver);
    // Unblocks all threads that wait for space in a full queue, including the writer.
    drop(receiver);
    // The driver was dropped and with it the writer's channel, so the writer ends.
    let writer_result = writer.join();
    driver_result?;
    writer_result.map_err(|_| ReplicaError::Panicked { group })
}

/// Answers the requests that were still queued when the group ended; none of them had an effect.
fn reject_queued_requests<L: HostedLeader>(receiver: &InboxReceiver<L>) {
    for (origin, _) in receiver.requests.try_iter() {
        origin.reply(GroupReply::NotLeader { leader: None });
    }
}

struct Driver<L: HostedLeader, E> {
    group: GroupId,
    host: Host<L>,
    effects: E,
    writes: Sender<WriteJob>,
    clock: Clock,
    peers: Arc<Peers>,
    metrics: Arc<GroupMetrics>,
    logger: Logger,
    pending_requests: BTreeMap<RequestTag, RequestOrigin>,
    next_tag: u64,
    /// Events created by this thread, for the next step.
    events: Vec<L::Event>,
    stopped: bool,
    /// Delays of this leader's log entries until they are committed.
    commit_delays: DelayTracker,
    /// Delays of this leadership's revisions until they are in force everywhere.
    revision_delays: Option<DelayTracker>,
    next_progress_check: Instant,
}

impl<L: HostedLeader, E: EffectRunner<L>> Driver<L, E> {
    fn run(mut self, receiver: &InboxReceiver<L>) -> Result<(), ReplicaError> {
        let mut inputs = Vec::new();
        let mut outputs = Vec::new();
        while !self.stopped {
            self.await_input(receiver, &mut inputs)?;
            self.drain(receiver, &mut inputs)?;
            if self.stopped {
                return Ok(());
            }
            let now = self.clock.now();
            if self.host.next_tick() <= now {
                inputs.push(HostInput::Tick);
            }
            self.host.step_all(now, inputs.drain(..), &mut outputs);
            self.effects.set_lease_expiry(lease_expiry(&self.host, now));
            for output in outputs.drain(..) {
                self.apply_output(output)?;
            }
            self.update_metrics(now);
        }
        Ok(())
    }

    /// Waits for the first input, at most until the host's next tick.
    fn await_input(
        &mut self,
        receiver: &InboxReceiver<L>,
        inputs: &mut Vec<HostInput<L>>,
    ) -> Result<(), ReplicaError> {
        inputs.extend(self.events.drain(..).map(HostInput::Event));
        let sleep = match inputs.is_empty() {
            true => self.host.next_tick().since(self.clock.now()),
            false => Duration::ZERO,
        };
        let received = select! {
            recv(receiver.events) -> event => event.ok().and_then(|event| self.event_input(event).transpose()),
            recv(receiver.requests) -> call => call.ok().map(|call| Ok(self.call_input(call))),
            default(sleep.min(MAX_SLEEP)) => None,
        };
        inputs.extend(received.transpose()?);
        Ok(())
    }

    /// Takes all further queued inputs, so that they share one write.
    fn drain(
        &mut self,
        receiver: &InboxReceiver<L>,
        inputs: &mut Vec<HostInput<L>>,
    ) -> Result<(), ReplicaError> {
        while inputs.len() < MAX_INPUTS_PER_STEP {
            let Ok(event) = receiver.events.try_recv() else {
                break;
            };
            inputs.extend(self.event_input(event)?);
        }
        while inputs.len() < MAX_INPUTS_PER_STEP {
            let Ok(call) = receiver.requests.try_recv() else {
                break;
            };
            inputs.push(self.call_input(call));
        }
        Ok(())
    }

    fn event_input(
        &mut self,
        event: GroupEvent<L::Event>,
    ) -> Result<Option<HostInput<L>>, ReplicaError> {
        let input = match event {
            GroupEvent::Consensus { from, message } => HostInput::Consensus { from, message },
            GroupEvent::Effect(event) => HostInput::Event(event),
            GroupEvent::Persisted { token } => HostInput::Persisted { token },
            GroupEvent::Stop => HostInput::Stop,
            GroupEvent::WriteFailed(error) => {
                return Err(error).context(StorageSnafu { group: self.group });
            }
            GroupEvent::Abort => {
                self.stopped = true;
                return Ok(None);
            }
        };
        Ok(Some(input))
    }

    fn call_input(&mut self, call: (RequestOrigin, GroupCall<L::Request>)) -> HostInput<L> {
        let (origin, call) = call;
        let tag = RequestTag(self.next_tag);
        self.next_tag += 1;
        self.pending_requests.insert(tag, origin);
        match call {
            GroupCall::Machine(request) => HostInput::Request { tag, request },
            GroupCall::Membership(request) => HostInput::Membership { tag, request },
        }
    }

    fn apply_output(&mut self, output: HostOutput<L>) -> Result<(), ReplicaError> {
        match output {
            HostOutput::Send { to, message } => self.peers.send(to, self.group, message),
            HostOutput::Write { token, batch } => {
                self.track_commits(&batch);
                // A writer that has ended has already reported its error.
                let _ = self.writes.send(WriteJob { token, batch });
            }
            HostOutput::Reply { tag, reply } => self.reply(tag, reply),
            HostOutput::Effect(effect) => self.events.extend(self.effects.start_effect(effect)),
            HostOutput::MembershipChanged(membership) => {
                self.peers.set_members(self.group, &membership);
            }
            HostOutput::Election(event) => {
                info!(self.logger, "election"; "group" => %self.group, "event" => ?event);
            }
            HostOutput::Leadership(leadership) => self.on_leadership(leadership),
            HostOutput::Stopped => self.stopped = true,
            HostOutput::Failed(error) => {
                return Err(error).context(HostSnafu { group: self.group });
            }
        }
        Ok(())
    }

    fn reply(&mut self, tag: RequestTag, reply: HostReply<L::Reply>) {
        let Some(origin) = self.pending_requests.remove(&tag) else {
            return;
        };
        let body = match reply {
            HostReply::Reply(reply) => reply.into(),
            HostReply::Membership(reply) => GroupReply::Membership(reply),
            HostReply::NotLeader { leader } => GroupReply::NotLeader {
                leader: leader.and_then(|leader| self.peers.address_of(leader)),
            },
            HostReply::Unknown => GroupReply::Unknown,
        };
        origin.reply(body);
    }

    fn on_leadership(&mut self, leadership: Leadership) {
        match leadership {
            Leadership::Leading { epoch } => {
                info!(self.logger, "leading"; "group" => %self.group, "epoch" => epoch.0);
                self.metrics.leaderships.inc();
                self.events
                    .extend(self.effects.on_leadership_acquired(epoch));
            }
            Leadership::Following { leader } => {
                let leader = leader.map_or(0, |ReplicaId(leader)| leader);
                info!(self.logger, "following"; "group" => %self.group, "leader" => leader);
            }
        }
    }

    /// Starts to measure the commit delay of the entries that a leader appends.
    fn track_commits(&mut self, batch: &WriteBatch) {
        if self.host.is_leader()
            && let Some(last) = batch.append.last()
        {
            self.commit_delays
                .record_start(last.index.0, self.clock.now());
        }
    }

    fn update_metrics(&mut self, now: Instant) {
        let leader = self.host.leader().is_some();
        self.metrics
            .set_leadership(self.host.is_leader(), leader, self.host.term());
        let commit = self.host.commit_index();
        self.metrics.set_log_progress(
            commit,
            self.host.applied_index(),
            self.pending_requests.len(),
        );
        if self.host.is_leader() {
            let delays = self.commit_delays.record_reached(commit.0, now);
            self.metrics.observe_commits(&delays);
        } else {
            self.commit_delays = DelayTracker::starting_at(commit.0);
        }
        self.update_configuration_metrics(now);
    }

    fn update_configuration_metrics(&mut self, now: Instant) {
        if now < self.next_progress_check {
            return;
        }
        self.next_progress_check = now + PROGRESS_INTERVAL;
        if !L::TRACKS_CONFIGURATION {
            return;
        }
        let machine = self.host.leader_machine();
        let progress = machine.and_then(|leader| leader.configuration_progress(self.host.state()));
        self.metrics.set_configuration_progress(progress.as_ref());
        let Some(progress) = progress else {
            self.revision_delays = None;
            return;
        };
        // Revisions from before this leadership are not measured.
        let newest = progress.committed.0;
        let revision_delays = self
            .revision_delays
            .get_or_insert_with(|| DelayTracker::starting_at(newest));
        revision_delays.record_start(newest, now);
        let delays = revision_delays.record_reached(progress.everywhere.0, now);
        self.metrics.observe_in_force(&delays);
    }
}

/// Returns when the lease held at `now` expires, rounded down to the millisecond; `None` if no
/// lease is held.
fn lease_expiry<L: HostedLeader>(host: &Host<L>, now: Instant) -> Option<Instant> {
    /// Resolution of the search: the result is early by less than this and never late. Small
    /// compared to leases, which last hundreds of milliseconds.
    const PRECISION: Duration = Duration::from_millis(1);
    if !host.holds_lease(now) {
        return None;
    }
    let (mut latest_held, mut earliest_ended) = (0_u32, MAX_LEASE_MS);
    while earliest_ended - latest_held > 1 {
        let middle = latest_held.midpoint(earliest_ended);
        match host.holds_lease(now + PRECISION * middle) {
            true => latest_held = middle,
            false => earliest_ended = middle,
        }
    }
    Some(now + PRECISION * latest_held)
}
