//! Who may call: keys of callers, and which tenant a request is run for.
//!
//! A key is looked up as soon as the head of a request is read, so that a request that is refused
//! need not arrive whole. It goes to no server and into no log line.

use crate::process::Gateway;
use crate::protocol::OwnAnswer;
use wingshore_coordination::{Caller, Route, TenantName};
use wingshore_net::http::{Headers, RequestHead};

/// The caller of a request that is let in; `None` where it is not told apart from others.
pub(crate) type Admitted = Result<Option<Caller>, OwnAnswer>;

impl Gateway {
    /// The caller whose key a request shows, if that is in force.
    fn caller_of(&self, headers: &Headers) -> Option<Caller> {
        let key = self.environment.site.protocol.read_key(headers)?;
        self.environment.site.view.caller(&key).cloned()
    }

    /// Whether a request may go the way of this route, and for whom.
    pub(crate) fn admit(&self, head: &RequestHead, route: &Route) -> Admitted {
        let caller = self.caller_of(&head.headers);
        if caller.is_none() && self.environment.site.view.asks_for_key(route) {
            return Err(OwnAnswer::Unauthorized);
        }
        Ok(caller)
    }

    /// Whether a call about a batch job is let in, and for whom.
    pub(crate) fn admit_batch_call(&self, head: &RequestHead) -> Admitted {
        let caller = self.caller_of(&head.headers);
        let host = head.headers.text("host").unwrap_or_default();
        if caller.is_none() && self.environment.site.view.asks_for_key_of_jobs(host) {
            return Err(OwnAnswer::Unauthorized);
        }
        Ok(caller)
    }

    /// The answer to a request whose head alone says that it cannot be let in.
    pub(crate) fn early_refusal(&self, head: &RequestHead) -> Option<OwnAnswer> {
        if !self.environment.site.view.has_tenants()
            || self
                .environment
                .site
                .protocol
                .read_batch_call(head)
                .is_some()
        {
            return None;
        }
        let host = head.headers.text("host").unwrap_or_default();
        let route = self
            .environment
            .site
            .view
            .routes()
            .find(host, head.path())?;
        self.admit(head, route).err()
    }
}

/// The tenant that a request is run for.
pub(crate) fn tenant_of(caller: Option<&Caller>) -> Option<TenantName> {
    caller.map(|caller| caller.tenant.clone())
}
