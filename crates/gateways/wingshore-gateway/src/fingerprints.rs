//! Naming what requests and items ask, so that one can be known again under another identity.
//!
//! A caller is named by its tenant, or by the key that it shows where the site has no tenants.

use crate::site::Site;
use wingshore_coordination::{ItemAssignment, RequestContent, RequestFingerprint, TenantName};
use wingshore_net::http::WholeRequest;

/// What a request of `tenant` asks; `None` before the site's key is known.
pub(crate) fn of_request(
    site: &Site,
    tenant: Option<&TenantName>,
    request: &WholeRequest,
) -> Option<RequestFingerprint> {
    let key = site.view.fingerprint_key()?;
    let head = &request.head;
    let shown = head.headers.get(site.protocol.header_names().authorization);
    let caller = tenant.map_or(shown, |tenant| Some(tenant.as_str().as_bytes()));
    let content = RequestContent {
        method: &head.method,
        host: head.headers.text("host").unwrap_or_default(),
        target: &head.target,
        caller: caller.unwrap_or_default(),
        body: &request.body,
    };
    Some(content.fingerprint(key))
}

/// What an item asks; `None` before the site's key is known.
pub(crate) fn of_item(site: &Site, item: &ItemAssignment) -> Option<RequestFingerprint> {
    let key = site.view.fingerprint_key()?;
    let name = site.protocol.header_names().authorization;
    let mut headers = item.headers.iter();
    let shown = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
    let shown = shown.map(|(_, value)| value.as_str());
    let tenant = item.item.job.tenant().map(TenantName::as_str);
    let caller = tenant.or(shown).unwrap_or_default();
    let content = RequestContent {
        method: "POST",
        host: &item.host,
        target: &item.path,
        caller: caller.as_bytes(),
        body: &item.body,
    };
    Some(content.fingerprint(key))
}
