//! The part of the control group that runs on the leader only.

mod engine;
mod engines;
mod executor;
mod idle;
mod leases;
mod orders;
mod polling;
mod requests;
mod service_index;
mod store_fetches;
mod swap_scheduler;
mod swap_steps;
mod swap_times;
mod watches;

use crate::command::{CommandReply, ControlCommand};
use crate::effect::{ControlEffect, ControlEvent};
use crate::faults::Faults;
use crate::settings::LeaderSettings;
use crate::state::ControlState;
use engines::Engines;
use executor::{ExecutorView, PlanExecutor};
use leases::NodeLeases;
use orders::FenceSource;
use requests::{ClassifiedRequest, Query};
use std::collections::BTreeMap;
use std::time::Duration;
use swap_scheduler::SchedulerView;
use swap_times::SwapTimes;
use watches::{OpenWatch, Watches};
use wingshore_types::ids::{Epoch, PlanId, ReplicaId, Revision, ServerId};
use wingshore_types::machine::{
    LeaderMachine, LeaderOutput, LeaderOutputs, ProposalTag, RequestTag,
};
use wingshore_types::platform::EngineState;
use wingshore_types::protocol::control::{
    ControlRefusal, ControlReply, ControlRequest, InForce, PlanState, PlanStep, Status,
    WatchRequest,
};
use wingshore_types::{Instant, Verdict};

type Outputs = LeaderOutputs<ControlLeader>;

/// The party that waits for the result of a proposal.
#[derive(Clone, Copy, Debug)]
enum Waiter {
    Client(RequestTag),
    Plan(PlanId),
    Nobody,
}

/// Progress of the configuration on its way to the nodes, for monitoring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigurationProgress {
    /// The newest committed revision.
    pub committed: Revision,
    /// The newest revision known to be in force everywhere, as of the last tick.
    pub everywhere: Revision,
    /// Number of node processes that hold a configuration lease.
    pub nodes: usize,
    /// Number of those processes that have not acknowledged the newest revision.
    pub nodes_behind: usize,
}

/// Leader part of the control group: watches and leases of nodes, execution of plans, orders to
/// engines.
#[derive(Debug, Default)]
pub struct ControlLeader {
    settings: LeaderSettings,
    faults: Faults,
    replica: ReplicaId,
    epoch: Epoch,
    last_proposal: u64,
    proposals: BTreeMap<ProposalTag, Waiter>,
    watches: Watches,
    leases: NodeLeases,
    engines: Engines,
    executor: PlanExecutor,
    swap_times: SwapTimes,
    /// The revision that the engines were last synced with.
    synced_revision: Option<Revision>,
}

impl ControlLeader {
    /// Creates a leader with the given settings and, in tests, injected faults.
    pub fn new(settings: LeaderSettings, faults: Faults) -> Self {
        Self {
            settings,
            faults,
            ..Self::default()
        }
    }

    /// Returns the progress of the configuration on its way to the nodes.
    pub fn progress(&self, state: &ControlState) -> ConfigurationProgress {
        let committed = state.configuration().revision;
        let (nodes, nodes_behind) = self.leases.counts(committed);
        ConfigurationProgress {
            committed,
            everywhere: self.leases.everywhere(),
            nodes,
            nodes_behind,
        }
    }

    fn propose(&mut self, waiter: Waiter, command: ControlCommand, out: &mut Outputs) {
        self.last_proposal += 1;
        let tag = ProposalTag(self.last_proposal);
        self.proposals.insert(tag, waiter);
        out.push(LeaderOutput::Propose { tag, command });
    }

    fn on_watch(
        &mut self,
        now: Instant,
        tag: RequestTag,
        request: WatchRequest,
        state: &ControlState,
        out: &mut Outputs,
    ) {
        let wait = Duration::from_millis(request.wait_ms).min(self.settings.max_watch);
        // A watch without acknowledgements renews no lease, so its answer grants none.
        let lease = if request.acknowledgements.is_empty() {
            Duration::ZERO
        } else {
            self.settings.lease
        };
        let counted = self.settings.lease_with_margin();
        self.leases
            .acknowledge(now, counted, request.acknowledgements);
        let lease_ms = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
        let watch = OpenWatch {
            have: request.have,
            deadline: now + wait,
            lease_ms,
        };
        let answer = self.watches.add(now, tag, watch, state);
        out.extend(answer.map(|reply| LeaderOutput::Reply { tag, reply }));
    }

    fn answer_watches(&mut self, now: Instant, state: &ControlState, out: &mut Outputs) {
        let answers = self.watches.answer_due(now, state).into_iter();
        out.extend(answers.map(|(tag, reply)| LeaderOutput::Reply { tag, reply }));
    }

    /// Updates the leases and returns the newest revision in force everywhere.
    fn update_in_force(&mut self, now: Instant, committed: Revision) -> Revision {
        self.leases.update(now, committed);
        if self.faults.in_force_without_acknowledgement {
            return committed;
        }
        self.leases.everywhere()
    }

    fn in_force(&mut self, now: Instant, committed: Revision) -> InForce {
        InForce {
            committed,
            everywhere: self.update_in_force(now, committed),
            waiting_for: self.leases.behind(committed),
        }
    }

    fn status(&mut self, now: Instant, state: &ControlState) -> Status {
        Status {
            leader: self.replica,
            epoch: self.epoch,
            in_force: self.in_force(now, state.configuration().revision),
            nodes: self.leases.nodes(),
            engines: self.engines.status(),
            open_plans: state.open_plans().cloned().collect(),
        }
    }

    fn answer_query(&mut self, now: Instant, query: Query, state: &ControlState) -> ControlReply {
        match query {
            Query::Plan(id) => match state.plan(id) {
                Some(plan) => ControlReply::Plan(Box::new(plan.clone())),
                None => ControlReply::Refused(ControlRefusal::UnknownPlan(id)),
            },
            Query::Plans => ControlReply::Plans(requests::listed_plans(state)),
            Query::Status => ControlReply::Status(Box::new(self.status(now, state))),
            Query::Configuration => {
                ControlReply::Configuration(Box::new(state.configuration().clone()))
            }
        }
    }

    /// Updates engines, watches and plans to the committed state.
    fn update_to_state(&mut self, now: Instant, state: &ControlState, out: &mut Outputs) {
        let revision = state.configuration().revision;
        if self.synced_revision != Some(revision) {
            self.synced_revision = Some(revision);
            self.engines.sync(now, state.configuration());
        }
        self.answer_watches(now, state, out);
        self.advance_plans(now, state, out);
    }

    fn advance_plans(&mut self, now: Instant, state: &ControlState, out: &mut Outputs) {
        if state.running_plans().next().is_none() {
            return;
        }
        let everywhere = self.update_in_force(now, state.configuration().revision);
        let progress = self.executor.advance(&ExecutorView {
            now,
            state,
            engines: &self.engines,
            everywhere,
            settings: &self.settings,
        });
        for progress in progress {
            let command = ControlCommand::AdvancePlan {
                plan: progress.plan,
                step: progress.step,
                result: progress.result,
            };
            self.propose(Waiter::Plan(progress.plan), command, out);
        }
        let watched: Vec<ServerId> = self.executor.watched().cloned().collect();
        for server in watched {
            self.engines
                .poll_by(&server, now + self.settings.poll_interval);
        }
    }

    fn on_state_read(
        &mut self,
        now: Instant,
        server: &ServerId,
        polled_at: Instant,
        read: Result<EngineState, Verdict>,
        state: &ControlState,
        out: &mut Outputs,
    ) {
        let report = read.ok();
        let in_flight = report
            .as_ref()
            .map(|report| report.in_flight.saturating_add(report.queue));
        self.executor
            .on_load(server, polled_at, Duration::ZERO, in_flight);
        let view = SchedulerView {
            now,
            state,
            settings: &self.settings,
        };
        let finished = self.engines.on_state(server, polled_at, report, view);
        let measured = finished.and_then(|swap| self.swap_times.record(now, swap, state));
        if let Some(command) = measured {
            self.propose(Waiter::Nobody, command, out);
        }
    }

    fn tick(&mut self, now: Instant, state: &ControlState, out: &mut Outputs) {
        self.update_to_state(now, state, out);
        let mut effects = Vec::new();
        self.engines.tick(now, state, &self.settings, &mut effects);
        self.executor
            .poll_loads(now, state, &self.settings, &mut effects);
        out.extend(effects.into_iter().map(LeaderOutput::Effect));
    }

    /// Injected fault: repeats the swaps that were completed under the previous leader.
    fn repeat_steps(&mut self, state: &ControlState) {
        for plan in state.running_plans() {
            let PlanState::Running { next_step } = plan.state else {
                continue;
            };
            for step in plan.steps.iter().take(next_step as usize) {
                if let PlanStep::Swap { server, .. } = step {
                    self.engines.repeat_swap(server);
                }
            }
        }
    }
}

impl LeaderMachine for ControlLeader {
    type State = ControlState;
    type Request = ControlRequest;
    type Reply = ControlReply;
    type Effect = ControlEffect;
    type Event = ControlEvent;

    fn on_leadership(
        &mut self,
        now: Instant,
        epoch: Epoch,
        state: &ControlState,
        out: &mut Outputs,
    ) {
        let fence_epoch = if self.faults.ignore_fence_order {
            Epoch(1)
        } else {
            epoch
        };
        *self = Self {
            epoch,
            replica: self.replica,
            engines: Engines::new(now, FenceSource::new(fence_epoch)),
            leases: NodeLeases::new(
                now,
                self.settings.lease_with_margin(),
                state.proven_in_force(),
                state.configuration().revision,
            ),
            ..Self::new(self.settings.clone(), self.faults)
        };
        if self.faults.repeat_steps_after_leader_change {
            self.repeat_steps(state);
        }
        self.tick(now, state, out);
    }

    fn on_request(
        &mut self,
        now: Instant,
        tag: RequestTag,
        request: ControlRequest,
        state: &ControlState,
        out: &mut Outputs,
    ) {
        match requests::classify(request) {
            ClassifiedRequest::Watch(watch) => self.on_watch(now, tag, watch, state, out),
            ClassifiedRequest::Change(command) => self.propose(Waiter::Client(tag), command, out),
            ClassifiedRequest::Query(query) => {
                let reply = self.answer_query(now, query, state);
                out.push(LeaderOutput::Reply { tag, reply });
            }
        }
    }

    fn on_applied(
        &mut self,
        now: Instant,
        tag: ProposalTag,
        reply: CommandReply,
        state: &ControlState,
        out: &mut Outputs,
    ) {
        match (self.proposals.remove(&tag), reply) {
            (Some(Waiter::Client(tag)), CommandReply::Answer(reply)) => {
                out.push(LeaderOutput::Reply { tag, reply: *reply });
            }
            (Some(Waiter::Plan(plan)), _) => self.executor.on_committed(plan),
            (Some(Waiter::Client(_) | Waiter::Nobody) | None, _) => {}
        }
        self.update_to_state(now, state, out);
    }

    fn on_event(
        &mut self,
        now: Instant,
        event: ControlEvent,
        state: &ControlState,
        out: &mut Outputs,
    ) {
        match event {
            ControlEvent::Configured { replica, settings } => {
                self.replica = replica;
                self.settings = *settings;
                self.leases
                    .extend_earlier_leases(self.settings.lease_with_margin());
            }
            ControlEvent::OrderAnswered {
                server,
                fence,
                answer,
            } => self.engines.on_order_answer(now, &server, fence, answer),
            ControlEvent::StateRead {
                server,
                polled_at,
                state: read,
            } => self.on_state_read(now, &server, polled_at, read, state, out),
            ControlEvent::LoadRead {
                server,
                polled_at,
                load,
            } => {
                let age = load.map_or(0, |load| load.age_ms);
                let in_flight = load.map(|load| load.in_flight.saturating_add(load.queue));
                let age = Duration::from_millis(age);
                self.executor
                    .on_load(&server, polled_at, age, in_flight.ok());
            }
        }
        self.advance_plans(now, state, out);
    }

    fn on_tick(&mut self, now: Instant, state: &ControlState, out: &mut Outputs) {
        self.tick(now, state, out);
    }
}
