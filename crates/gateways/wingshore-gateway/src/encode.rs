//! What goes to servers: heads of requests and items, with the lines that a gateway sets, and without
//! those that concern only the caller and the gateway.

use crate::exchange::Exchange;
use crate::protocol::HeaderNames;
use crate::site::Site;
use wingshore_coordination::{ItemAssignment, ServerRecord};
use wingshore_net::http::{HeadWriter, Headers};
use wingshore_types::Instant;

/// A request as it goes to a server.
pub(crate) fn encode_request(
    now: Instant,
    site: &Site,
    exchange: &Exchange,
    server: &ServerRecord,
) -> Vec<u8> {
    let names = site.protocol.header_names();
    let head = &exchange.request.head;
    let mut writer = HeadWriter::request(&head.method, &head.target);
    let stream = exchange.stream.as_ref();
    let resumed_after = stream.and_then(|stream| stream.last_event);
    let mut set_here = vec![names.deadline, names.expected_instance];
    set_here.extend(resumed_after.map(|_| names.last_event));
    for (name, value) in lines_for_servers(site, &head.headers) {
        let is_set_here = set_here
            .iter()
            .any(|own| name.eq_ignore_ascii_case(own.as_bytes()));
        if !is_set_here {
            writer = writer.line(name, value);
        }
    }
    let left = exchange.deadline.since(now).as_millis();
    writer = writer
        .header(names.deadline, left)
        .header(names.expected_instance, server.instance.name());
    if let Some(tenant) = &exchange.tenant {
        writer = writer.header(names.tenant, tenant);
    }
    if let Some(event) = resumed_after {
        writer = writer.header(names.last_event, event);
    }
    let has_body = !exchange.request.body.is_empty() || head.method != "GET";
    if has_body {
        writer.body(&exchange.request.body)
    } else {
        writer.end()
    }
}

/// An item as it goes to an engine.
pub(crate) fn encode_item(names: &HeaderNames, assignment: &ItemAssignment) -> Vec<u8> {
    let mut writer = HeadWriter::request("POST", &assignment.path)
        .header("Host", &assignment.host)
        .header(names.request_id, &assignment.request);
    for (name, value) in item_lines(names, assignment) {
        writer = writer.header(name, value);
    }
    if let Some(tenant) = assignment.item.job.tenant() {
        writer = writer.header(names.tenant, tenant);
    }
    writer = writer
        .header(names.expected_instance, assignment.instance.name())
        .header(names.priority, assignment.priority);
    if let Some(event) = assignment.kept.last_event {
        writer = writer.header(names.last_event, event);
    }
    if let Some(version) = assignment.expected_version {
        writer = writer.header(names.expected_version, version);
    }
    writer.body(&assignment.body)
}

/// Header lines of an item as its caller gave them, without those that a gateway sets: a tenant or a
/// key, where the site tells callers apart, and what frames or addresses the request.
fn item_lines<'a>(
    names: &HeaderNames,
    assignment: &'a ItemAssignment,
) -> impl Iterator<Item = (&'a str, &'a str)> + use<'a> {
    let has_tenant = assignment.item.job.tenant().is_some();
    let authorization = names.authorization;
    let set_here = [
        "host",
        names.tenant,
        names.request_id,
        names.expected_instance,
        names.expected_version,
        names.last_event,
        names.priority,
    ];
    let is_own = move |name: &str| {
        is_of_one_connection(name.as_bytes())
            || set_here.iter().any(|own| name.eq_ignore_ascii_case(own))
            || (has_tenant && name.eq_ignore_ascii_case(authorization))
    };
    let lines = assignment.headers.iter();
    let lines = lines.map(|(name, value)| (name.as_str(), value.as_str()));
    lines.filter(move |(name, _)| !is_own(name))
}

/// Header lines of a caller that go on to servers: not the key, nor a tenant that the caller names.
fn lines_for_servers<'a>(
    site: &Site,
    headers: &'a Headers,
) -> impl Iterator<Item = (&'a [u8], &'a [u8])> + use<'a> {
    let names = site.protocol.header_names();
    let (tenant, authorization) = (names.tenant, names.authorization);
    let has_key = site.view.has_tenants() && site.protocol.read_key(headers).is_some();
    let is_own = move |name: &[u8]| {
        name.eq_ignore_ascii_case(tenant.as_bytes())
            || (has_key && name.eq_ignore_ascii_case(authorization.as_bytes()))
    };
    end_to_end_headers(headers).filter(move |(name, _)| !is_own(name))
}

/// Whether a header line is for one connection only, or frames what is sent there.
fn is_of_one_connection(name: &[u8]) -> bool {
    /// Names of header lines, in small letters.
    const OF_ONE_CONNECTION: [&str; 10] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    ];
    OF_ONE_CONNECTION
        .iter()
        .any(|other| name.eq_ignore_ascii_case(other.as_bytes()))
}

/// Header lines that are not for one connection only.
pub(crate) fn end_to_end_headers(headers: &Headers) -> impl Iterator<Item = (&[u8], &[u8])> {
    headers
        .iter()
        .filter(|(name, _)| !is_of_one_connection(name))
}
