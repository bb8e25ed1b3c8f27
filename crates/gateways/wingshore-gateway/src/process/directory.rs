//! The directory at this gateway: following the list of ready gateways, and answers to clients.

use super::Gateway;
use crate::coordinators::send;
use crate::gateway_directory::{DirectoryQuestion, OwnStatus};
use slog::{info, warn};
use std::net::SocketAddr;
use wingshore_coordination::{GatewayListUpdate, GatewayMessage, LOAD_REPORTS_FORMAT};
use wingshore_net::ConnectionId;

impl Gateway {
    /// Follows the list of ready gateways at the coordinator whose view is followed from now on.
    /// Without a listener for questions the list is not asked for.
    pub(super) fn follow_gateways(&mut self, source: SocketAddr) {
        if self.settings.directory.is_none() {
            return;
        }
        let coordinators = &self.environment.site.coordinators;
        let has_lists = coordinators.speaks(source, LOAD_REPORTS_FORMAT);
        let connection = coordinators.connection(source).filter(|_| has_lists);
        let Some(connection) = connection else {
            return self.directory.follow(None);
        };
        self.directory.follow(Some(source));
        let message = GatewayMessage::FollowGateways;
        send(&mut self.environment.runtime, connection, message);
    }

    /// Handles an update of the list.
    pub(super) fn on_gateway_list(&mut self, from: SocketAddr, update: GatewayListUpdate) {
        let now = self.environment.runtime.now;
        self.directory.update(now, from, update);
        self.log_directory_freshness();
    }

    /// Logs when the list becomes too old to be used, and when it is in use again.
    pub(super) fn log_directory_freshness(&mut self) {
        let now = self.environment.runtime.now;
        let is_fresh = self.directory.is_fresh(now);
        if std::mem::replace(&mut self.is_directory_fresh, is_fresh) == is_fresh {
            return;
        }
        let logger = &self.environment.runtime.logger;
        let listed = self.directory.listed();
        if is_fresh {
            info!(logger, "list of gateways in use"; "gateways" => listed);
        } else {
            let age = self.directory.age(now).unwrap_or_default();
            warn!(logger, "list of gateways too old"; "gateways" => listed,
                "age_ms" => age.as_millis() as u64);
        }
    }

    /// Answers a client that asks in `zone` which gateways it may use.
    pub(super) fn answer_directory(&mut self, client: ConnectionId, zone: &str) {
        let now = self.environment.runtime.now;
        let question = DirectoryQuestion {
            zone,
            own_status: self.own_status(),
            max_validity: self.settings.directory_ttl,
        };
        let answer = self.directory.answer(now, &question);
        let metrics = &self.environment.runtime.metrics;
        metrics.directory_answered(answer.name());
        let answer = self.environment.site.protocol.write_directory(&answer);
        self.answer_whole(client, answer);
    }

    fn own_status(&self) -> OwnStatus {
        if self.is_stopping() {
            OwnStatus::Stopping
        } else if self.environment.site.view.is_configured() {
            OwnStatus::Ready
        } else {
            OwnStatus::Starting
        }
    }
}
