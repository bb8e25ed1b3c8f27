//! Fingerprints of the content of requests and batch items, which recognise the same content under
//! another request ID.
//!
//! The fingerprint includes the caller: its tenant or, if the site has no tenants, the key that it
//! presents.

use crate::site::Site;
use wingshore_coordination::{ItemAssignment, RequestContent, RequestFingerprint, TenantName};
use wingshore_net::http::WholeRequest;

/// Returns the fingerprint of a request of `tenant`; `None` before the site's fingerprint key is
/// known.
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
        body: &[],
    };
    let body = &request.body;
    let pieces = body.pieces().iter().map(|piece| &piece[..]);
    Some(content.fingerprint_with_body(key, body.len(), pieces))
}

/// Returns the fingerprint of a batch item; `None` before the site's fingerprint key is known.
pub(crate) fn of_item(site: &Site, item: &ItemAssignment) -> Option<RequestFingerprint> {
    let key = site.view.fingerprint_key()?;
    let name = site.protocol.header_names().authorization;
    let mut headers = item.headers.iter();
    let shown = headers.find(|(header, _)| header.eq_ignore_ascii_case(name));
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
