//! Sending the list of ready gateways to the gateways that follow it at this coordinator.

use super::{Coordinator, Role};
use crate::gateway_feed::GroupContact;
use slog::warn;
use wingshore_coordination::GatewayId;
use wingshore_net::ConnectionId;
use wingshore_types::Instant;

impl Coordinator {
    /// Handles a gateway's subscription to the list.
    pub(super) fn on_follow_gateways(&mut self, connection: ConnectionId) {
        let Some(Role::Link(link)) = self.roles.get(&connection) else {
            return;
        };
        let format = link.format;
        if !self.gateway_feed.follow(connection, format) {
            warn!(self.logger, "list of gateways not sent"; "format" => format,
                "gateway" => link.gateway.map(|gateway| gateway.0));
        }
    }

    /// Sends the followers what has changed in the list since the previous call.
    pub(super) fn send_gateway_changes(&mut self, now: Instant) {
        let contact = if self.host.leader().is_some() {
            GroupContact::Established
        } else {
            GroupContact::Lost
        };
        let ready = self.directory.listed(now);
        let links = &mut self.reactor;
        if let Err(error) = self.gateway_feed.update(now, contact, ready, links) {
            warn!(self.logger, "cannot encode list of gateways"; "error" => %error);
        }
    }

    /// Tells the followers at once that a gateway is no longer ready.
    pub(super) fn send_gateway_gone(&mut self, gateway: GatewayId) {
        if let Err(error) = self.gateway_feed.gone(gateway, &mut self.reactor) {
            warn!(self.logger, "cannot encode list of gateways"; "error" => %error);
        }
    }
}
