//! State that the parts of a gateway share, besides the state that each part owns.

use crate::runtime::Runtime;
use crate::servers::Servers;
use crate::site::Site;
use crate::suspects::Suspicions;
use crate::usage::UsageCounter;
use wingshore_coordination::GatewayMessage;

/// Sockets and logs, the known state of the site, and the servers.
pub(crate) struct Environment {
    pub(crate) runtime: Runtime,
    pub(crate) site: Site,
    pub(crate) servers: Servers,
    /// Usage counts of the requests sent to servers.
    pub(crate) usage: UsageCounter,
}

impl Environment {
    /// Returns what is known about requests that were running when a server crashed. Returns `None`
    /// if there are no such requests, which is the usual case, so that no request needs a
    /// fingerprint.
    pub(crate) fn suspicions(&self) -> Option<Suspicions<'_>> {
        let (view, crashes) = (&self.site.view, &self.servers.crashes);
        let has_any = view.has_suspects() || crashes.has_unannounced();
        has_any.then(|| Suspicions {
            view,
            crashes,
            has_leader: self.site.coordinators.leader().is_some(),
        })
    }

    /// Sends a message to the leader; drops it if there is no leader.
    pub(crate) fn report(&mut self, message: GatewayMessage) {
        self.site.coordinators.report(&mut self.runtime, message);
    }

    /// Closes idle connections to servers, and drops state about servers that have left the view
    /// and crash evidence that has expired.
    pub(crate) fn forget_old_servers(&mut self) {
        let (servers, view) = (&mut self.servers, &self.site.view);
        servers
            .upstreams
            .close_idle(&mut self.runtime, |instance| view.knows(instance));
        servers.balancer.retain(|instance| view.knows(instance));
        servers.crashes.expire(self.runtime.now);
        servers.trials.expire(self.runtime.now);
    }

    /// Drops state about services to which the configuration has no route.
    pub(crate) fn forget_old_services(&mut self) {
        let view = &self.site.view;
        let seconds = &mut self.servers.second_attempts;
        seconds.retain(|service| view.has_route_to(service));
    }
}
