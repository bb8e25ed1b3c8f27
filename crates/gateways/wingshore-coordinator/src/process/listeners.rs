//! Where a coordinator listens.

use crate::error::{CoordinatorError, NetSnafu};
use crate::settings::CoordinatorSettings;
use snafu::ResultExt;
use std::time::Duration;
use wingshore_net::{ListenerId, Reactor};

/// Sent bytes may stay unacknowledged this long on links of the site.
pub(super) const LINK_LIMIT: Duration = Duration::from_millis(1500);
/// Sent bytes may stay unacknowledged this long on connections of callers.
const CALLER_LIMIT: Duration = Duration::from_secs(5);
/// Connections at a time at most.
const MAX_CONNECTIONS: usize = 6000;
/// Listeners other than those of callers.
pub(super) struct Listeners {
    /// For the site's own processes.
    pub(super) internal: ListenerId,
    /// For monitoring.
    pub(super) metrics: Option<ListenerId>,
}

impl Listeners {
    /// Listens on all addresses of the settings.
    pub(super) fn open(
        settings: &CoordinatorSettings,
        reactor: &mut Reactor,
    ) -> Result<Self, CoordinatorError> {
        let listen = |reactor: &mut Reactor, address, limit| {
            reactor
                .listen(address, limit, MAX_CONNECTIONS)
                .context(NetSnafu)
        };
        listen(reactor, settings.control, CALLER_LIMIT)?;
        if let Some(address) = settings.directory {
            listen(reactor, address, CALLER_LIMIT)?;
        }
        let internal = settings
            .internal_bind
            .unwrap_or_else(|| settings.internal_address());
        let internal = listen(reactor, internal, LINK_LIMIT)?;
        let metrics = settings
            .metrics
            .map(|address| listen(reactor, address, CALLER_LIMIT))
            .transpose()?;
        Ok(Self { internal, metrics })
    }
}
