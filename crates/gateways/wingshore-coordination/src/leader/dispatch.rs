//! Dispatch of the leader machine's inputs to the modules that handle them.

use super::decisions::crash_evidence::Certainty;
use super::decisions::expiry::GATEWAY_REPORT_PERIOD;
use super::interface::{Effect, Event};
use super::jobs;
use super::machine::CoordinationLeader;
use super::proposals::FollowUp;
use super::turn::{Outputs, Turn};
use crate::messages::{Reply, Request};
use crate::state::{Command, CoordinationState};
use std::time::Duration;
use wingshore_types::machine::{LeaderMachine, ProposalTag, RequestTag};
use wingshore_types::{Epoch, Instant};

/// Time between two sweeps over all servers, items and jobs for expired ones. Their timeouts are
/// seconds, and a sweep takes time in proportion to the number of all of them.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

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
        let turn = &mut Turn { now, state, out };
        self.epoch = epoch;
        self.placing_starts_at = turn.now + GATEWAY_REPORT_PERIOD;
        self.heartbeats.begin(turn.now, turn.state.servers().keys());
        self.engines.begin(turn.state);
        self.load_configuration(turn.state);
        let longest_first = self.settings.policy.long_items_first;
        self.items.begin(epoch, longest_first, turn.state);
        self.scorings.begin(turn.now, turn.state);
        self.job_clock.begin(turn.now, turn.state.jobs().keys());
        self.evidence.begin(turn.now, turn.state);
        self.trials.begin(turn.now, turn.state);
        self.usage.begin(turn.now);
        self.begin_rollout(turn);
        if turn.state.evidence().key().is_none() {
            let command = Command::SetFingerprintKey(self.settings.fingerprint_key);
            self.propose(command, FollowUp::Nothing, turn);
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
        let turn = &mut Turn { now, state, out };
        match request {
            Request::PutConfiguration(configuration) => {
                self.put_configuration(tag, configuration, turn)
            }
            Request::ReadConfiguration => {
                let configuration = turn.state.configuration().cloned();
                turn.reply(tag, Reply::Configuration(configuration));
            }
            Request::Heartbeat(heartbeat) => self.on_heartbeat(tag, heartbeat, turn),
            Request::Deregister(name) => self.on_deregister(tag, name, turn),
            Request::NameVersion { model, version } => self.name_version(tag, model, version, turn),
            Request::SubmitJob(submission) => self.submit_job(tag, submission, turn),
            Request::ReadJob { job, from, wait } => self.read_job(tag, job, from, wait, turn),
            Request::ReadItem { job, item } => {
                jobs::read_item(self.epoch, tag, (job, item), turn);
            }
            Request::EndJob(job) => self.end_job(tag, &job, turn),
            Request::DescribeMember { member, node } => {
                self.describe_member(tag, member, node, turn);
            }
            Request::RetireMember { member, node } => {
                self.retire_member(tag, member, node, turn);
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
        let turn = &mut Turn { now, state, out };
        let Some(follow_up) = self.proposals.take(tag) else {
            return;
        };
        match follow_up {
            FollowUp::Request(tag) => turn.reply(tag, Reply::Done),
            FollowUp::ConfigurationApplied(tag) => self.on_configuration_applied(tag, turn),
            FollowUp::ServerChanged(instance, tag) => self.on_server_changed(instance, tag, turn),
            FollowUp::JobAccepted(job, tag) => self.on_job_accepted(job, tag, turn),
            FollowUp::JobForgotten(job) => self.job_clock.forget(&job),
            FollowUp::ResultListed { job, finished } => self.on_result_listed(&job, finished, turn),
            FollowUp::UnscoredTextStored { gateway, made_by } => {
                turn.release_attempt(gateway, made_by)
            }
            FollowUp::Scored { item, finished } => self.on_scored(&item, finished, turn),
            FollowUp::ScoringFailuresCounted { gateway, scoring } => {
                turn.release_scoring(gateway, scoring);
            }
            FollowUp::Nothing => {}
            FollowUp::OrdersClaimed => self.on_orders_claimed(turn),
            FollowUp::CrashesRecorded(requests) => self.on_crashes_recorded(requests, turn),
            FollowUp::EvidenceChanged(requests) => self.on_evidence_committed(requests, turn),
            FollowUp::TrialRecorded(request) => self.on_trial_recorded(request, turn),
            FollowUp::TrialSettled(request) => self.on_trial_settled(request, turn),
            FollowUp::CapacityCommitted(pool) => self.on_capacity_committed(&pool, turn),
            FollowUp::UsageClosed(window) => self.on_usage_closed(window, turn),
            FollowUp::VersionNamed(tag) => self.on_version_named(tag, turn),
        }
    }

    fn on_event(
        &mut self,
        now: Instant,
        event: Event,
        state: &CoordinationState,
        out: &mut Outputs,
    ) {
        let turn = &mut Turn { now, state, out };
        match event {
            Event::GatewayConnected(hello) => self.on_gateway_connected(hello, turn),
            Event::GatewayStatus(gateway, status) => self.on_gateway_status(gateway, status),
            Event::GatewayRunning {
                gateway,
                items,
                scorings,
            } => self.on_gateway_running(gateway, items, scorings, turn),
            Event::ScoringsRunning(scorings) => self.on_scorings_running(turn.now, &scorings),
            Event::ScoringLoadReported { gateway, loads } => {
                self.on_scoring_load(gateway, loads, turn);
            }
            Event::ScoringEnded {
                gateway,
                scoring,
                outcome,
            } => self.on_scoring_ended(gateway, scoring, outcome, turn),
            Event::PartialTextUploaded {
                assignment,
                after_events,
                text,
            } => self.store_partial_text(assignment, after_events, text, turn),
            Event::ItemsProgressed(progress) => self.on_progress(progress, turn),
            Event::RequestsCrashed { gateway, seen } => {
                self.on_requests_crashed(gateway, seen, Certainty::Running, turn);
            }
            Event::RequestsMayHaveCrashed { gateway, seen } => {
                self.on_requests_crashed(gateway, seen, Certainty::Possible, turn);
            }
            Event::TrialRequested { gateway, request } => {
                self.on_trial_requested(gateway, request, turn);
            }
            Event::TrialEnded {
                request,
                instance,
                end,
            } => self.on_trial_ended(request, &instance, end, turn),
            Event::OpenTrials { gateway, trials } => self.on_open_trials(gateway, trials, turn),
            Event::RequestsRan(requests) => self.on_requests_succeeded(requests, turn),
            Event::GatewayDisconnected { gateway, silence } => {
                self.on_gateway_disconnected(gateway, silence, turn);
            }
            Event::ItemEnded {
                gateway,
                assignment,
                item,
                outcome,
            } => self.on_item_ended(gateway, assignment, &item, outcome, turn),
            Event::ServersReported { from, servers } => {
                self.on_servers_reported(from, servers, turn)
            }
            Event::CoordinatorsLost(nodes) => self.on_coordinators_lost(&nodes, turn),
            Event::TimeAgreed(wall) => self.usage.set_agreed_time(turn.now, wall),
            Event::UsageReported { gateway, usage } => {
                self.usage.record_totals(gateway, usage, turn.state.usage())
            }
            Event::CapacityAnswered {
                pool,
                count,
                answer,
            } => self.on_capacity_answered(turn.now, &pool, count, answer),
            Event::UsageAnswered { window, answer } => self.on_usage_answered(window, answer, turn),
            Event::WeightOrderAnswered { instance, answer } => {
                self.on_order_answered(&instance, answer, turn)
            }
            Event::EnginePolled { instance, report } => {
                self.on_engine_polled(&instance, report, turn)
            }
        }
    }

    fn on_tick(&mut self, now: Instant, state: &CoordinationState, out: &mut Outputs) {
        let turn = &mut Turn { now, state, out };
        self.answer_expired_readers(turn);
        self.expire_disconnected_gateways(turn.now);
        if turn.now >= self.next_sweep {
            self.next_sweep = turn.now + SWEEP_INTERVAL;
            self.expire_servers(turn);
            self.abandon_overdue_items(turn);
            self.end_silent_attempts(turn);
            self.end_silent_scorings(turn.now);
            self.forget_jobs(turn);
            self.expire_evidence(turn);
            self.summarize_scorings(turn);
        }
        self.evaluate_evidence(turn);
        self.drive_trials(turn);
        self.drive_rollout(turn);
        self.drive_usage(turn);
        self.drive_capacity(turn);
        self.place_items(turn);
        self.place_scorings(turn);
    }
}
