//! Streams among the requests that are forwarded: their events as they arrive, and their ends.

use super::Exchanges;
use crate::environment::Environment;
use crate::exchange::ExchangeEnd;
use crate::ids::ExchangeId;
use crate::streams::{self, StreamProgress};
use crate::trials;
use crate::unmatched;
use crate::upstream::{ConnectionEnd, LostRequest};
use wingshore_coordination::TrialEnd;
use wingshore_net::ConnectionId;
use wingshore_net::http::HttpError;

impl Exchanges {
    /// Handles bytes of a server's answer: forwards complete events of a stream.
    #[must_use]
    pub(crate) fn on_input(
        &mut self,
        environment: &mut Environment,
        id: ExchangeId,
        connection: ConnectionId,
    ) -> Option<ExchangeEnd> {
        let exchange = self.all.get_mut(&id)?;
        let client = exchange.client();
        let progress = match client {
            Some(client) => streams::forward_events(environment, exchange, connection, client),
            None => streams::discard_events(environment, exchange, connection),
        };
        match progress {
            StreamProgress::Continues => None,
            StreamProgress::ClientDoesNotRead => client.map(ExchangeEnd::ClientDoesNotRead),
            StreamProgress::EndlessEvent => self.end_endless_event(environment, id, connection),
            StreamProgress::MayEnd => {
                self.cancel(environment, id);
                None
            }
        }
    }

    /// Closes a connection on which an event has no end: its stream broke off there.
    fn end_endless_event(
        &mut self,
        environment: &mut Environment,
        id: ExchangeId,
        connection: ConnectionId,
    ) -> Option<ExchangeEnd> {
        let error = HttpError::Endless { part: "an event" };
        unmatched::log_malformed(environment, connection, &error);
        let upstreams = &mut environment.servers.upstreams;
        let closed = upstreams.close(&mut environment.runtime, connection)?;
        let lost = LostRequest {
            connection,
            instance: closed.instance,
            sent_at: closed.task_started_at,
            end: ConnectionEnd::Lost,
        };
        self.on_connection_ended(environment, id, &lost)
    }

    /// Handles the end of a stream.
    pub(super) fn finish_stream(
        &mut self,
        environment: &mut Environment,
        id: ExchangeId,
    ) -> Option<ExchangeEnd> {
        let mut exchange = self.all.remove(&id)?;
        trials::ended(environment, &mut exchange, TrialEnd::Survived);
        let client = exchange.client()?;
        if streams::finish(environment, &mut exchange, client) {
            Some(ExchangeEnd::StreamEnded(client))
        } else {
            Some(ExchangeEnd::StreamBroken(client))
        }
    }
}
