//! Gateways that are connected to this coordinator: their hellos, their reports, and `Alive`
//! messages to them.

use super::housekeeping::GATEWAY_TIMEOUT;
use super::{Coordinator, ReplyTarget, Role};
use slog::info;
use std::net::SocketAddr;
use wingshore_coordination::{
    CoordinatorMessage, Event, GatewayHello, GatewayId, GatewayMessage, with_own_formats,
};
use wingshore_group::HostInput;
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

impl Coordinator {
    /// Registers a gateway; a new connection of a registered gateway replaces its earlier one.
    pub(super) fn on_gateway_hello(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        hello: GatewayHello,
    ) {
        if let Some(Role::Link(link)) = self.roles.get_mut(&connection) {
            link.gateway = Some(hello.gateway);
        }
        info!(self.logger, "gateway connected"; "gateway" => hello.gateway.0,
            "node" => &hello.node, "zone" => &hello.zone);
        let event = Event::GatewayConnected(hello.clone());
        if let Some(replaced) = self.directory.connected(now, hello, connection) {
            self.reactor.close(replaced);
            self.view_feed.leave(replaced);
            self.gateway_feed.leave(replaced);
            self.roles.remove(&replaced);
        }
        let coordinators = self.coordinator_addresses();
        let alive = self.alive_message(Some(coordinators));
        self.send_frame(connection, &with_own_formats(&alive));
        self.inputs.push(HostInput::Event(event));
    }

    /// Handles a message of a connected gateway.
    pub(super) fn on_gateway_message(
        &mut self,
        now: Instant,
        connection: ConnectionId,
        gateway: GatewayId,
        message: GatewayMessage,
    ) {
        match message {
            GatewayMessage::FollowView { since } => self.view_feed.follow(connection, since),
            GatewayMessage::LeaveView => {
                self.view_feed.leave(connection);
                self.gateway_feed.leave(connection);
            }
            GatewayMessage::FollowGateways => self.on_follow_gateways(connection),
            GatewayMessage::ReadCopy {
                id,
                job,
                from,
                wait,
            } => self.read_copy(now, connection, (id, job, from, wait)),
            GatewayMessage::Call { id, request } => {
                self.submit(request, ReplyTarget::Gateway(connection, id));
            }
            report => {
                if let GatewayMessage::Status(status) = &report {
                    self.directory.status_reported(now, gateway, *status);
                    if !status.ready {
                        self.send_gateway_gone(gateway);
                    }
                }
                self.count_outcomes(&report);
                if let Some(event) = leader_event(gateway, report) {
                    self.inputs.push(HostInput::Event(event));
                }
            }
        }
    }

    /// Counts the outcomes of attempts and scorings that a gateway reports as ended.
    fn count_outcomes(&self, report: &GatewayMessage) {
        match report {
            GatewayMessage::ItemEnded { outcome, .. } => self.metrics.attempt_ended(outcome.name()),
            GatewayMessage::ScoringEnded { outcome, .. } => {
                self.metrics.scoring_ended(outcome.name());
            }
            _ => {}
        }
    }

    /// Sends all gateways an `Alive` message. It holds the coordinators' addresses only when they
    /// have changed: at a large idle site they would be most of the traffic between zones.
    pub(super) fn send_alive(&mut self) {
        let coordinators = self.coordinator_addresses();
        let has_changed = coordinators != self.announced_coordinators;
        let alive = self.alive_message(has_changed.then(|| coordinators.clone()));
        self.announced_coordinators = coordinators;
        self.send_to_all_gateways(&alive);
    }

    /// Returns an `Alive` message, which states up to which index this member's copy of the state
    /// is applied, if it has a copy and knows a leader.
    pub(super) fn alive_message(
        &self,
        coordinators: Option<Vec<SocketAddr>>,
    ) -> CoordinatorMessage {
        let has_copy = self.is_member() && self.host.leader().is_some();
        CoordinatorMessage::Alive {
            coordinators,
            zone: self.settings.zone.clone(),
            copy: has_copy.then(|| self.host.applied_index()),
            wall: super::duties::wall_time(),
        }
    }

    /// Handles the end of a gateway's connection.
    pub(super) fn on_gateway_disconnected(
        &mut self,
        now: Instant,
        gateway: GatewayId,
        connection: ConnectionId,
    ) {
        let Some(known) = self.directory.disconnected(gateway, connection) else {
            return;
        };
        info!(self.logger, "gateway lost"; "gateway" => gateway.0);
        let silence = now.since(known.last_reported_at);
        // A connection that was closed for silence shows nothing about the gateway yet.
        if silence <= GATEWAY_TIMEOUT {
            self.send_gateway_gone(gateway);
        }
        let event = Event::GatewayDisconnected { gateway, silence };
        self.inputs.push(HostInput::Event(event));
    }
}

/// Converts a gateway's report to an event for the leader; `None` for messages that are not
/// reports.
fn leader_event(gateway: GatewayId, report: GatewayMessage) -> Option<Event> {
    let event = match report {
        GatewayMessage::Status(status) => Event::GatewayStatus(gateway, status),
        GatewayMessage::Running { items, scorings } => Event::GatewayRunning {
            gateway,
            items,
            scorings,
        },
        GatewayMessage::Progress(progress) => Event::ItemsProgressed(progress),
        GatewayMessage::Scoring(scorings) => Event::ScoringsRunning(scorings),
        GatewayMessage::ScoringEnded { scoring, outcome } => Event::ScoringEnded {
            gateway,
            scoring,
            outcome,
        },
        GatewayMessage::Keep {
            assignment,
            after_events,
            text,
        } => Event::PartialTextUploaded {
            assignment,
            after_events,
            text,
        },
        GatewayMessage::RequestsCrashed(seen) => Event::RequestsCrashed { gateway, seen },
        GatewayMessage::Usage(usage) => Event::UsageReported { gateway, usage },
        GatewayMessage::RequestsRan(requests) => Event::RequestsRan(requests),
        GatewayMessage::ItemEnded {
            assignment,
            item,
            outcome,
        } => Event::ItemEnded {
            gateway,
            assignment,
            item,
            outcome,
        },
        GatewayMessage::ScoringLoad(loads) => Event::ScoringLoadReported { gateway, loads },
        GatewayMessage::RequestsMayHaveCrashed(seen) => {
            Event::RequestsMayHaveCrashed { gateway, seen }
        }
        GatewayMessage::AskTrial(request) => Event::TrialRequested { gateway, request },
        GatewayMessage::TrialEnded {
            request,
            instance,
            end,
        } => Event::TrialEnded {
            request,
            instance,
            end,
        },
        GatewayMessage::OpenTrials(trials) => Event::OpenTrials { gateway, trials },
        GatewayMessage::EnginePaces(_)
        | GatewayMessage::Weight(_)
        | GatewayMessage::FollowGateways
        | GatewayMessage::FollowView { .. }
        | GatewayMessage::LeaveView
        | GatewayMessage::ReadCopy { .. }
        | GatewayMessage::Call { .. } => return None,
    };
    Some(event)
}
