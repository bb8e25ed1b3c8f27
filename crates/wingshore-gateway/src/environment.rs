//! What the parts of a gateway act on together, apart from the state that each part owns.

use crate::runtime::Runtime;
use crate::servers::Servers;
use crate::site::Site;
use crate::suspects::Suspicions;

/// Sockets and logs, the site as it is known, and the servers.
pub(crate) struct Environment {
    pub(crate) runtime: Runtime,
    pub(crate) site: Site,
    pub(crate) servers: Servers,
}

impl Environment {
    /// What is known of requests under which servers have ended.
    pub(crate) fn suspicions(&self) -> Suspicions<'_> {
        let has_leader = self.site.coordinators.leader().is_some();
        Suspicions::new(&self.site.view, &self.servers.crashes, has_leader)
    }
}
