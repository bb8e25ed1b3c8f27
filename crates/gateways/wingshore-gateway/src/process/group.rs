//! Handling of the links to the coordination group: incoming messages and reports to the group.

use super::Gateway;
use crate::coordinators::{StateCopy, send, send_hello};
use crate::crash_reports;
use crate::ids::CallId;
use crate::scoring_start::ScoringLeader;
use crate::trials;
use crate::view_following::{self, AppliedUpdate};
use slog::{info, warn};
use std::net::SocketAddr;
use wingshore_coordination::{
    CoordinatorMessage, GatewayHello, GatewayMessage, RunningItem, ViewUpdate,
};
use wingshore_net::{ConnectionId, frame};
use wingshore_types::Epoch;

/// Whether a report is sent.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReportKind {
    /// Also without contents.
    Always,
    /// Only with contents.
    IfAny,
}

impl Gateway {
    /// Connects to all known coordinators without a connection.
    pub(super) fn dial_coordinators(&mut self) {
        let seeds = self.settings.seed_addresses();
        for address in self.environment.site.coordinators.target_addresses(seeds) {
            let lost = self
                .environment
                .site
                .coordinators
                .dial(&mut self.environment.runtime, address);
            if let Some(connection) = lost {
                self.on_link_ended(connection, address);
            }
        }
    }

    pub(super) fn on_link_up(&mut self, connection: ConnectionId, address: SocketAddr) {
        let now = self.environment.runtime.now;
        self.start_estimate.coordinator_reached(now);
        self.environment
            .site
            .coordinators
            .link_up(&self.environment.runtime, address);
        let hello = GatewayHello {
            gateway: self.id,
            node: self.settings.node.clone(),
            front: self.settings.front,
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            status: self.status(),
        };
        send_hello(&mut self.environment.runtime, connection, hello);
    }

    pub(super) fn on_link_ended(&mut self, connection: ConnectionId, address: SocketAddr) {
        let coordinators = &mut self.environment.site.coordinators;
        coordinators.link_ended(&mut self.environment.runtime, connection, address);
        self.view_follower.link_ended(address);
        self.follow_view();
        let (runtime, site) = (&mut self.environment.runtime, &self.environment.site);
        self.calls.link_lost(runtime, site, connection);
    }

    pub(super) fn on_link_input(&mut self, connection: ConnectionId, address: SocketAddr) {
        loop {
            let Some(input) = self.environment.runtime.reactor.input(connection) else {
                return;
            };
            match frame::decode_with_rest::<CoordinatorMessage>(input) {
                Ok(Some((message, rest))) => {
                    if !self.shares_format(address, &message, &rest) {
                        return self.on_link_ended(connection, address);
                    }
                    self.on_coordinator(connection, address, message);
                }
                Ok(None) => return,
                Err(error) => {
                    warn!(self.environment.runtime.logger, "link closed"; "error" => %error);
                    return self.on_link_ended(connection, address);
                }
            }
        }
    }

    /// Returns whether the coordinator shares a format with this gateway, as far as its message and
    /// the bytes after it show.
    fn shares_format(
        &mut self,
        address: SocketAddr,
        message: &CoordinatorMessage,
        rest: &[u8],
    ) -> bool {
        let carries_formats = matches!(message, CoordinatorMessage::Alive { .. });
        let environment = &mut self.environment;
        let coordinators = &mut environment.site.coordinators;
        !carries_formats || coordinators.shares_format(&environment.runtime, address, rest)
    }

    fn on_coordinator(
        &mut self,
        connection: ConnectionId,
        address: SocketAddr,
        message: CoordinatorMessage,
    ) {
        let now = self.environment.runtime.now;
        self.environment
            .site
            .coordinators
            .record_message(now, address);
        match message {
            CoordinatorMessage::Leading { epoch } => {
                self.on_leading(connection, address, epoch);
            }
            CoordinatorMessage::View(update) => self.on_view(connection, update),
            CoordinatorMessage::Reply { id, reply } => {
                self.on_call_reply(connection, CallId(id), reply);
            }
            CoordinatorMessage::Assign(assignment) => {
                let takes_items = self.status().takes_items;
                let environment = &mut self.environment;
                self.items.begin(environment, *assignment, takes_items);
            }
            CoordinatorMessage::Interrupt { assignment } => {
                self.items.interrupt(&mut self.environment, assignment);
            }
            CoordinatorMessage::HandInFrom { assignment, held } => {
                self.items.upload_after(assignment, held);
            }
            CoordinatorMessage::Release { assignment } => {
                self.items.release(&mut self.environment, assignment);
            }
            CoordinatorMessage::Score(assignment) => self.on_assigned_scoring(assignment),
            CoordinatorMessage::ReleaseScoring { scoring } => self.release_scoring(scoring),
            CoordinatorMessage::Alive {
                coordinators,
                zone,
                copy,
                wall,
            } => {
                self.environment.usage.record_wall_time(now, address, wall);
                if copy.is_some() {
                    self.directory.confirmed(now, address);
                }
                let copy = copy.map(|revision| StateCopy { zone, revision });
                let links = &mut self.environment.site.coordinators;
                links.heartbeat(address, coordinators, copy);
                self.follow_view();
            }
            CoordinatorMessage::Trial { id, answer } => {
                let environment = &mut self.environment;
                let end = self.exchanges.on_trial_answer(environment, id, answer);
                self.on_exchange_end(end);
            }
            CoordinatorMessage::Gateways(update) => self.on_gateway_list(address, update),
        }
    }

    /// Handles a coordinator's announcement that it leads.
    fn on_leading(&mut self, connection: ConnectionId, address: SocketAddr, epoch: Epoch) {
        if !self.environment.site.view.accept_leader(epoch) {
            return;
        }
        info!(self.environment.runtime.logger, "leader"; "address" => %address, "epoch" => epoch.0,
            "configuration" => self.environment.site.view.version());
        self.environment.site.coordinators.set_leader(address);
        self.record_leader();
        match self.scoring_leader() {
            // The first report tells the leader that this gateway waits for grants.
            ScoringLeader::Grants => self.report_scoring_load(ReportKind::Always),
            ScoringLeader::StartsNone | ScoringLeader::Unknown => self.queue_finished_scorings(),
        }
        self.report_running(connection);
        crash_reports::report_all(&mut self.environment);
        trials::report_all(&mut self.environment);
        for end in self.exchanges.ask_again(&mut self.environment) {
            self.on_exchange_end(Some(end));
        }
        self.calls
            .resend(&mut self.environment.runtime, &self.environment.site);
        self.start_scorings();
        self.environment.usage.report_all();
        self.report_usage();
    }

    /// Reports to a new leader which items and scorings run here, and then the outcomes that were
    /// not reported to it.
    fn report_running(&mut self, connection: ConnectionId) {
        let items: Vec<RunningItem> = self.items.running().collect();
        let scorings = self.scorings.running().collect();
        let message = GatewayMessage::Running { items, scorings };
        send(&mut self.environment.runtime, connection, message);
        self.items.report_ended(&mut self.environment, connection);
        self.scorings
            .report_ended(&mut self.environment, connection);
    }

    /// Sends the status of this gateway to all coordinators.
    pub(super) fn report_status(&mut self) {
        let status = self.status();
        for connection in self.environment.site.coordinators.connected() {
            let message = GatewayMessage::Status(status);
            send(&mut self.environment.runtime, connection, message);
        }
    }

    /// Reports the progress of the running items, and the unfinished scorings.
    pub(super) fn report_progress(&mut self) {
        let progress = self.items.progress();
        if !progress.is_empty() {
            self.environment.report(GatewayMessage::Progress(progress));
        }
        let scorings = self.scorings.unfinished();
        if !scorings.is_empty() {
            self.environment.report(GatewayMessage::Scoring(scorings));
        }
        if self.scoring_leader() == ScoringLeader::Grants {
            self.report_scoring_load(ReportKind::IfAny);
        }
    }

    /// Reports the load of scoring services to the leader.
    fn report_scoring_load(&mut self, kind: ReportKind) {
        let exchanges = &self.exchanges;
        let loads = self.scorings.loads();
        let loads = loads.take_report(|service| exchanges.live_in_flight(service));
        if kind == ReportKind::Always || !loads.is_empty() {
            self.environment.report(GatewayMessage::ScoringLoad(loads));
        }
    }

    /// Reports the usage counts that have changed.
    pub(super) fn report_usage(&mut self) {
        if self.environment.site.coordinators.leader().is_none() {
            return;
        }
        if let Some(message) = self.environment.usage.take_report() {
            self.environment.report(message);
        }
    }

    /// Follows the view, and the list of ready gateways, from the best coordinator.
    pub(super) fn follow_view(&mut self) {
        let site = &self.environment.site;
        let source = self.view_follower.follow(
            &mut self.environment.runtime,
            &site.coordinators,
            &site.view,
            &site.zone,
        );
        if let Some(source) = source {
            self.follow_gateways(source);
        }
    }

    /// Handles a whole view or changes of it that a coordinator sent.
    fn on_view(&mut self, connection: ConnectionId, update: ViewUpdate) {
        let version_before = self.environment.site.view.version();
        let view = &mut self.environment.site.view;
        let applied =
            view_following::apply_update(&mut self.environment.runtime, view, connection, update);
        match applied {
            None => return,
            Some(AppliedUpdate::Changes(changes)) => {
                for change in &changes {
                    crash_reports::view_changed(&mut self.environment, change);
                }
            }
            Some(AppliedUpdate::Whole) => {
                crash_reports::view_replaced(&mut self.environment);
                self.start_scorings();
            }
        }
        let version = self.environment.site.view.version();
        if version != version_before {
            info!(self.environment.runtime.logger, "configuration"; "version" => version,
                "before" => version_before);
            self.environment.forget_old_services();
            self.report_status();
        }
    }
}
