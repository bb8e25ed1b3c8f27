//! What only the group's leader does.

mod admission;
mod capacity;
mod configuring;
mod decision_log;
mod decisions;
mod evidence;
mod gateways;
mod interface;
mod jobs;
mod load_choice;
mod moves;
mod outcomes;
mod placement;
mod policy;
mod rollout;
mod scoring;
mod servers;
mod settings;
mod tables;
mod usage;

pub use decision_log::Decision;
pub use decisions::capacity_plan::{
    CapacityDemand, CapacityPolicy, Peak, wanted as wanted_capacity,
};
pub use evidence::EVIDENCE_LIFETIME;
pub use interface::{Effect, Event, LeaderFigures};
pub use policy::LeaderPolicy;
pub use rollout::{EngineReport, OrderAnswer, WeightOrder};
pub use settings::LeaderSettings;
pub use usage::UsageDuty;

use crate::fingerprint::RequestFingerprint;
use crate::ids::{GatewayId, InstanceId, ItemKey, JobId};
use crate::messages::{AssignmentId, Reply, Request};
use crate::routes::RouteTable;
use crate::scaling::CapacityPool;
use crate::state::{Command, CoordinationState};
use crate::tenants::TenantRanks;
use crate::usage::UsageWindow;
use capacity::Capacity;
use evidence::Evidence;
use gateways::{AwayGateway, Gateway};
use jobs::JobClock;
use rollout::Rollout;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tables::engines::Engines;
use tables::items::Items;
use tables::scorings::Scorings;
use usage::UsageReporter;
use wingshore_types::machine::{
    LeaderMachine, LeaderOutput, LeaderOutputs, ProposalTag, RequestTag,
};
use wingshore_types::{Epoch, Instant};

/// Between two looks through all servers, items and jobs for what has expired: their limits are
/// seconds, and a look costs time in proportion to all of them.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Outputs of the leader machine.
pub(crate) type Outputs = LeaderOutputs<CoordinationLeader>;

/// Who waits for a proposal.
enum Waiter {
    /// A request that is answered with [`Reply::Done`].
    Request(RequestTag),
    /// A configuration.
    Configuration(RequestTag),
    /// A change of a server.
    Server(InstanceId, Option<RequestTag>),
    /// A job was accepted: its items can be placed.
    Job(JobId, RequestTag),
    /// A result was listed: readers may wait for it, and the gateway keeps it until then.
    Result {
        job: JobId,
        finished: Option<(GatewayId, AssignmentId)>,
    },
    /// A text was made durable before its score: the gateway keeps it until then.
    TextKept {
        gateway: GatewayId,
        made_by: AssignmentId,
    },
    /// A score was committed: the gateway keeps it until then.
    Scored {
        item: ItemKey,
        finished: (GatewayId, AssignmentId),
    },
    /// Failures of scoring servers were counted: the gateway keeps them until then.
    ScoringCounted {
        gateway: GatewayId,
        scoring: AssignmentId,
    },
    /// Nobody.
    Nobody,
    /// Orders may be given from here on.
    Orders,
    /// More servers have ended under requests: some may be rejected.
    CrashesNoted(Vec<RequestFingerprint>),
    /// Evidence against requests has changed.
    Evidence(Vec<RequestFingerprint>),
    /// A version was named.
    Version(RequestTag),
    /// The counts of a window were committed.
    UsageClosed(UsageWindow),
    /// The number of servers in a pool was committed.
    CapacityWanted(CapacityPool),
}

/// The leader machine of the coordination group.
///
/// Invariant: it holds nothing that must survive it; all of that is in [`CoordinationState`].
pub struct CoordinationLeader {
    settings: LeaderSettings,
    epoch: Epoch,
    /// Items are placed from this time on: gateways first tell what they run.
    place_from: Instant,
    /// When all servers, items and jobs are next looked through for what has expired.
    next_sweep: Instant,
    next_proposal: u64,
    waiters: HashMap<ProposalTag, Waiter>,
    gateways: BTreeMap<GatewayId, Gateway>,
    away: Vec<AwayGateway>,
    heartbeats: servers::Heartbeats,
    engines: Engines,
    items: Items,
    job_clock: JobClock,
    readers: jobs::Readers,
    rollout: Rollout,
    scorings: Scorings,
    evidence: Evidence,
    usage: UsageReporter,
    capacity: Capacity,
    /// The routes of the configuration in force.
    routes: RouteTable,
    /// Ranks of tenants in the configuration in force.
    ranks: TenantRanks,
}

impl Default for CoordinationLeader {
    fn default() -> Self {
        Self::new(LeaderSettings::default())
    }
}

impl CoordinationLeader {
    /// A leader machine with these settings.
    pub fn new(settings: LeaderSettings) -> Self {
        Self {
            settings,
            epoch: Epoch(0),
            place_from: Instant::ZERO,
            next_sweep: Instant::ZERO,
            next_proposal: 0,
            waiters: HashMap::new(),
            gateways: BTreeMap::new(),
            away: Vec::new(),
            heartbeats: servers::Heartbeats::default(),
            engines: Engines::default(),
            items: Items::default(),
            job_clock: JobClock::default(),
            readers: jobs::Readers::default(),
            rollout: Rollout::default(),
            scorings: Scorings::default(),
            evidence: Evidence::default(),
            usage: UsageReporter::default(),
            capacity: Capacity::default(),
            routes: RouteTable::default(),
            ranks: TenantRanks::default(),
        }
    }

    /// How much it has in hand.
    pub fn figures(&self) -> LeaderFigures {
        let engines = self.engines.iter();
        LeaderFigures {
            items_waiting: self.items.waiting_count(),
            items_running: self.items.running().count(),
            engines_loading: engines
                .filter(|(_, engine)| engine.loading.is_some())
                .count(),
            scorings_waiting: self.scorings.waiting_count(),
            scorings_running: self.scorings.running_count(),
        }
    }

    fn propose(&mut self, command: Command, waiter: Waiter, out: &mut Outputs) {
        let tag = ProposalTag(self.next_proposal);
        self.next_proposal += 1;
        self.waiters.insert(tag, waiter);
        out.push(LeaderOutput::Propose { tag, command });
    }
}

/// Logs a decision.
pub(crate) fn log(decision: Decision, out: &mut Outputs) {
    out.push(LeaderOutput::Effect(Effect::Log(decision)));
}

/// Answers a request.
pub(crate) fn reply(tag: RequestTag, reply: Reply, out: &mut Outputs) {
    out.push(LeaderOutput::Reply { tag, reply });
}

impl LeaderMachine for CoordinationLeader {
    type State = CoordinationState;
    type Request = Request;
    type Reply = Reply;
    type Effect = Effect;
    type Event = Event;

    fn on_leadership(
        &mut self,
        now: Instant,
        epoch: Epoch,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        self.epoch = epoch;
        self.place_from = now + gateways::INTRODUCTION_TIME;
        self.heartbeats.begin(now, state.servers().keys());
        self.engines.begin(state);
        self.take_configuration(state);
        let longest_first = self.settings.policy.long_items_first;
        self.items.begin(epoch, longest_first, state);
        self.scorings.begin(now, state);
        self.job_clock.begin(now, state.jobs().keys());
        self.evidence.begin(now, state);
        self.usage.begin(now);
        self.begin_rollout(now, state, out);
        if state.evidence().key().is_none() {
            let command = Command::SetFingerprintKey(self.settings.fingerprint_key);
            self.propose(command, Waiter::Nobody, out);
        }
    }

    fn on_request(
        &mut self,
        now: Instant,
        tag: RequestTag,
        request: Request,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        match request {
            Request::PutConfiguration(configuration) => {
                self.put_configuration(tag, configuration, state, out);
            }
            Request::ReadConfiguration => {
                let configuration = state.configuration().cloned();
                reply(tag, Reply::Configuration(configuration), out);
            }
            Request::Heartbeat(heartbeat) => self.on_heartbeat(now, tag, heartbeat, state, out),
            Request::Deregister(name) => self.on_deregister(now, tag, name, state, out),
            Request::NameVersion { model, version } => {
                self.name_version(tag, model, version, state, out);
            }
            Request::SubmitJob(submission) => self.submit_job(now, tag, submission, state, out),
            Request::ReadJob { job, from, wait } => {
                self.read_job(now, tag, job, from, wait, state, out);
            }
            Request::ReadItem { job, item } => jobs::read_item(tag, &job, &item, state, out),
            Request::EndJob(job) => self.end_job(tag, &job, state, out),
            Request::DescribeMember { member, node } => {
                if state.member_nodes().get(&member) == Some(&node) {
                    return reply(tag, Reply::Done, out);
                }
                let command = Command::DescribeMember { member, node };
                self.propose(command, Waiter::Request(tag), out);
            }
            Request::RetireMember { member, node } => {
                if state.retired_members().get(&node) == Some(&member) {
                    return reply(tag, Reply::Done, out);
                }
                let command = Command::RetireMember { member, node };
                self.propose(command, Waiter::Request(tag), out);
            }
        }
    }

    fn on_applied(
        &mut self,
        now: Instant,
        tag: ProposalTag,
        (): (),
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let Some(waiter) = self.waiters.remove(&tag) else {
            return;
        };
        match waiter {
            Waiter::Request(tag) => reply(tag, Reply::Done, out),
            Waiter::Configuration(tag) => {
                if let Some(configuration) = state.configuration() {
                    let version = configuration.version;
                    log(Decision::Configured { version }, out);
                }
                reply(tag, Reply::Done, out);
                self.take_configuration(state);
                self.engines.begin(state);
                self.place_items(now, state, out);
            }
            Waiter::Server(instance, tag) => self.server_changed(now, instance, tag, state, out),
            Waiter::Job(job, tag) => self.job_accepted(now, job, tag, state, out),
            Waiter::Result { job, finished } => {
                if let Some((gateway, assignment)) = finished {
                    self.log_listed(now, &job, state, out);
                    outcomes::release(gateway, assignment, out);
                }
                self.results_listed(&job, state, out);
            }
            Waiter::TextKept { gateway, made_by } => outcomes::release(gateway, made_by, out),
            Waiter::Scored { item, finished } => self.scored(now, &item, finished, state, out),
            Waiter::ScoringCounted { gateway, scoring } => {
                scoring::release_scoring(gateway, scoring, out);
            }
            Waiter::Nobody => {}
            Waiter::Orders => {
                self.rollout.may_order(now + self.settings.order_handover);
                self.drive_rollout(now, state, out);
            }
            Waiter::CrashesNoted(requests) => self.crashes_noted(now, requests, state, out),
            Waiter::Evidence(requests) => self.evidence_changed(now, requests, state, out),
            Waiter::CapacityWanted(pool) => self.capacity_wanted(now, &pool, state, out),
            Waiter::UsageClosed(window) => self.usage_closed(now, window, state, out),
            Waiter::Version(tag) => {
                reply(tag, Reply::Done, out);
                self.drive_rollout(now, state, out);
            }
        }
    }

    fn on_event(
        &mut self,
        now: Instant,
        event: Event,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        match event {
            Event::GatewayConnected(hello) => self.on_gateway(now, hello, out),
            Event::GatewayStatus(gateway, status) => {
                if let Some(known) = self.gateways.get_mut(&gateway) {
                    known.status = status;
                }
            }
            Event::GatewayRunning {
                gateway,
                items,
                scorings,
            } => self.on_running(now, gateway, (items, scorings), state, out),
            Event::ScoringsInHand(scorings) => self.on_scoring(now, &scorings),
            Event::ScoringEnded {
                gateway,
                scoring,
                outcome,
            } => self.on_scoring_ended(now, gateway, scoring, outcome, state, out),
            Event::ItemKept {
                assignment,
                after_events,
                text,
            } => self.keep_text(assignment, after_events, text, out),
            Event::ItemsProgressed(progress) => self.on_progress(now, progress, state, out),
            Event::RequestsCrashed { gateway, seen } => {
                self.on_requests_crashed(now, gateway, seen, state);
            }
            Event::RequestsRan(requests) => self.on_requests_ran(requests, state, out),
            Event::GatewayGone { gateway, silence } => {
                self.on_gateway_gone(now, (gateway, silence), state, out);
            }
            Event::ItemEnded {
                gateway,
                assignment,
                item,
                outcome,
            } => self.on_item_ended(now, gateway, (assignment, item), outcome, state, out),
            Event::ServersHeard { from, servers } => {
                self.on_servers_heard(now, from, servers, state, out);
            }
            Event::CoordinatorsLost(nodes) => self.on_coordinators_lost(now, &nodes, state, out),
            Event::TimeAgreed(wall) => self.usage.time_agreed(now, wall),
            Event::UsageTold { gateway, usage } => {
                self.usage.told(gateway, usage, state.usage());
            }
            Event::CapacityAnswered {
                pool,
                count,
                answer,
            } => self.on_capacity_answered(now, &pool, count, answer),
            Event::UsageAnswered { window, answer } => {
                self.on_usage_answered(now, window, answer, out);
            }
            Event::Ordered { instance, answer } => {
                self.on_ordered(now, &instance, answer, state, out);
            }
            Event::Reported { instance, report } => {
                self.on_reported(now, &instance, report, state, out);
            }
        }
    }

    fn on_tick(&mut self, now: Instant, state: &CoordinationState, out: &mut Outputs) {
        self.answer_waiting_readers(now, state, out);
        self.away_gateways_lost(now);
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.expire_servers(now, state, out);
            self.give_up_items(now, state, out);
            self.end_silent_items(now, out);
            self.end_silent_scorings(now);
            self.forget_jobs(now, state, out);
            self.relieve_requests(now, state, out);
        }
        self.weigh_evidence(now, state, out);
        self.drive_rollout(now, state, out);
        self.drive_usage(now, state, out);
        self.drive_capacity(now, state, out);
        self.place_items(now, state, out);
        self.place_scorings(now, state, out);
    }
}
