//! The sockets that a gateway listens on.

use crate::admission::ListenerKind;
use crate::error::{GatewayError, NetSnafu};
use crate::settings::GatewaySettings;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_net::{ListenerId, Reactor};

/// Limit on the time that sent bytes stay unacknowledged on connections of clients.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(8);

/// Listeners of a gateway besides that for clients.
pub(super) struct Listeners {
    ready: Option<ListenerId>,
    metrics: Option<ListenerId>,
    directory: Option<ListenerId>,
}

impl Listeners {
    /// Opens the listening sockets.
    ///
    /// # Errors
    /// Fails if an address cannot be used.
    pub(super) fn open(
        reactor: &mut Reactor,
        settings: &GatewaySettings,
    ) -> Result<Self, GatewayError> {
        let mut listen = |address: SocketAddr| {
            let most = settings.callers.connections;
            reactor
                .listen_for_callers(address, UNACKNOWLEDGED_LIMIT, most)
                .context(NetSnafu)
        };
        listen(settings.front)?;
        Ok(Self {
            ready: settings.ready.map(&mut listen).transpose()?,
            metrics: settings.metrics.map(&mut listen).transpose()?,
            directory: settings.directory.map(&mut listen).transpose()?,
        })
    }

    /// Returns the kind of a listener.
    pub(super) fn listener_kind(&self, listener: ListenerId) -> ListenerKind {
        if Some(listener) == self.ready {
            ListenerKind::Ready
        } else if Some(listener) == self.metrics {
            ListenerKind::Metrics
        } else if Some(listener) == self.directory {
            ListenerKind::Directory
        } else {
            ListenerKind::Front
        }
    }
}
