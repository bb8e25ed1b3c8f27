//! What the parts of a gateway act on together, apart from the state that each part owns.

use crate::runtime::Runtime;
use crate::servers::Servers;
use crate::site::Site;
use crate::suspects::Suspicions;
use crate::usage::UsageCounter;
use wingshore_coordination::{GatewayMessage, RequestFingerprint};

/// Sockets and logs, the site as it is known, and the servers.
pub(crate) struct Environment {
    pub(crate) runtime: Runtime,
    pub(crate) site: Site,
    pub(crate) servers: Servers,
    /// Counts of the requests that were sent.
    pub(crate) usage: UsageCounter,
}

impl Environment {
    /// What is known of requests under which servers have ended; `None` where there are none, as
    /// usual, so that no request need be named.
    pub(crate) fn suspicions(&self) -> Option<Suspicions<'_>> {
        let (view, crashes) = (&self.site.view, &self.servers.crashes);
        let are_any = view.has_suspects() || crashes.unannounced().next().is_some();
        are_any.then(|| Suspicions {
            view,
            crashes,
            has_leader: self.site.coordinators.leader().is_some(),
        })
    }

    /// Whether no server is to run a request; `name` says what it asks.
    pub(crate) fn is_rejected(
        &self,
        name: impl FnOnce(&Site) -> Option<RequestFingerprint>,
    ) -> bool {
        self.suspicions().is_some_and(|suspicions| {
            name(&self.site).is_some_and(|request| suspicions.is_rejected(request))
        })
    }

    /// Sends a message to the leader; without one it is dropped.
    pub(crate) fn report(&mut self, message: GatewayMessage) {
        self.site.coordinators.report(&mut self.runtime, message);
    }

    /// Forgets what is old of servers, and those that the view does not name any more.
    pub(crate) fn forget_old_servers(&mut self) {
        let (servers, view) = (&mut self.servers, &self.site.view);
        servers
            .upstreams
            .close_idle(&mut self.runtime, |instance| view.knows(instance));
        servers.balancer.retain(|instance| view.knows(instance));
        servers.crashes.expire(self.runtime.now);
    }
}
