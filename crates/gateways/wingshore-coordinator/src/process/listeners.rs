//! Listening sockets of a coordinator.

use crate::error::{CoordinatorError, NetSnafu};
use crate::settings::CoordinatorSettings;
use snafu::ResultExt;
use std::time::Duration;
use wingshore_net::{ListenerId, Reactor};

/// Longest time that sent bytes may stay unacknowledged on links between the site's processes.
pub(super) const LINK_UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1500);
/// Longest time that sent bytes may stay unacknowledged on connections of callers.
const CALLER_UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(5);
/// Listeners other than that for control.
pub(super) struct Listeners {
    /// Listener for the site's own processes.
    pub(super) internal: ListenerId,
    /// Listener for clients that ask for gateways, if it has an address of its own.
    pub(super) directory: Option<ListenerId>,
    /// Listener for metrics, if the settings give its address.
    pub(super) metrics: Option<ListenerId>,
}

impl Listeners {
    /// Listens on all addresses of the settings.
    pub(super) fn open(
        settings: &CoordinatorSettings,
        reactor: &mut Reactor,
    ) -> Result<Self, CoordinatorError> {
        let listen = |reactor: &mut Reactor, address| {
            let most = settings.callers.connections;
            reactor
                .listen_for_callers(address, CALLER_UNACKNOWLEDGED_LIMIT, most)
                .context(NetSnafu)
        };
        listen(reactor, settings.control)?;
        let directory = settings.directory;
        let directory = directory
            .map(|address| listen(reactor, address))
            .transpose()?;
        let internal = settings
            .internal_bind
            .unwrap_or_else(|| settings.internal_address());
        let internal = reactor
            .listen(internal, LINK_UNACKNOWLEDGED_LIMIT, settings.max_links)
            .context(NetSnafu)?;
        let metrics = settings.metrics;
        let metrics = metrics
            .map(|address| listen(reactor, address))
            .transpose()?;
        Ok(Self {
            internal,
            directory,
            metrics,
        })
    }
}
