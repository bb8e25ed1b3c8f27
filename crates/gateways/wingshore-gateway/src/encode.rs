//! Encoding of requests and batch items for servers: adds the header fields that a gateway sets,
//! and removes those that concern only the caller and the gateway.

use crate::exchange::Exchange;
use crate::protocol::HeaderNames;
use crate::site::Site;
use wingshore_coordination::{ItemAssignment, ServerRecord};
use wingshore_net::http::{HeadWriter, Headers, MessageBody};
use wingshore_types::Instant;

/// A request as it is sent to a server. All attempts share the body.
pub(crate) struct EncodedRequest {
    /// The head, with its end.
    pub(crate) head: Vec<u8>,
    /// The body.
    pub(crate) body: MessageBody,
}

/// Encodes a request for a server.
pub(crate) fn encode_request(
    now: Instant,
    site: &Site,
    exchange: &Exchange,
    server: &ServerRecord,
) -> EncodedRequest {
    let names = site.protocol.header_names();
    let head = &exchange.request.head;
    let mut writer = HeadWriter::request(&head.method, &head.target);
    let stream = exchange.stream.as_ref();
    let resumed_after = stream.and_then(|stream| stream.last_event);
    let mut gateway_headers = vec![names.deadline, names.expected_instance];
    gateway_headers.extend(resumed_after.map(|_| names.last_event));
    for (name, value) in forwarded_headers(site, &head.headers) {
        let is_set_here = gateway_headers
            .iter()
            .any(|header| name.eq_ignore_ascii_case(header.as_bytes()));
        if !is_set_here {
            writer = writer.line(name, value);
        }
    }
    let remaining_ms = exchange.deadline.since(now).as_millis();
    writer = writer
        .header(names.deadline, remaining_ms)
        .header(names.expected_instance, server.instance.name());
    if let Some(tenant) = &exchange.tenant {
        writer = writer.header(names.tenant, tenant);
    }
    if let Some(event) = resumed_after {
        writer = writer.header(names.last_event, event);
    }
    let has_body = !exchange.request.body.is_empty() || head.method != "GET";
    let body = exchange.request.body.clone();
    let head = if has_body {
        writer.before_body(body.len())
    } else {
        writer.end()
    };
    EncodedRequest { head, body }
}

/// Encodes a batch item for an engine.
pub(crate) fn encode_item(names: &HeaderNames, assignment: &ItemAssignment) -> EncodedRequest {
    let mut writer = HeadWriter::request("POST", &assignment.path)
        .header("Host", &assignment.host)
        .header(names.request_id, &assignment.request);
    for (name, value) in item_headers(names, assignment) {
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
    EncodedRequest {
        head: writer.before_body(assignment.body.len()),
        body: MessageBody::from(assignment.body.clone()),
    }
}

/// Returns the header fields that the caller gave for an item, without those that the gateway sets:
/// tenant and key if the site has tenants, and the fields for framing and addressing.
fn item_headers<'a>(
    names: &HeaderNames,
    assignment: &'a ItemAssignment,
) -> impl Iterator<Item = (&'a str, &'a str)> + use<'a> {
    let has_tenant = assignment.item.job.tenant().is_some();
    let authorization = names.authorization;
    let gateway_headers = [
        "host",
        names.tenant,
        names.request_id,
        names.expected_instance,
        names.expected_version,
        names.last_event,
        names.priority,
    ];
    let is_dropped = move |name: &str| {
        is_hop_by_hop(name.as_bytes())
            || gateway_headers
                .iter()
                .any(|header| name.eq_ignore_ascii_case(header))
            || (has_tenant && name.eq_ignore_ascii_case(authorization))
    };
    let headers = assignment.headers.iter();
    let headers = headers.map(|(name, value)| (name.as_str(), value.as_str()));
    headers.filter(move |(name, _)| !is_dropped(name))
}

/// Returns the caller's header fields that are forwarded to servers, without the key and without
/// any tenant that the caller claims.
fn forwarded_headers<'a>(
    site: &Site,
    headers: &'a Headers,
) -> impl Iterator<Item = (&'a [u8], &'a [u8])> + use<'a> {
    let names = site.protocol.header_names();
    let (tenant, authorization) = (names.tenant, names.authorization);
    let has_key = site.view.has_tenants() && site.protocol.read_key(headers).is_some();
    let is_dropped = move |name: &[u8]| {
        name.eq_ignore_ascii_case(tenant.as_bytes())
            || (has_key && name.eq_ignore_ascii_case(authorization.as_bytes()))
    };
    end_to_end_headers(headers).filter(move |(name, _)| !is_dropped(name))
}

/// Whether a header field is hop-by-hop: it applies to one connection only or frames the message.
fn is_hop_by_hop(name: &[u8]) -> bool {
    /// Header field names, in lower case.
    const HOP_BY_HOP_HEADERS: [&str; 10] = [
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
    HOP_BY_HOP_HEADERS
        .iter()
        .any(|other| name.eq_ignore_ascii_case(other.as_bytes()))
}

/// Returns the header fields that are not hop-by-hop.
pub(crate) fn end_to_end_headers(headers: &Headers) -> impl Iterator<Item = (&[u8], &[u8])> {
    headers.iter().filter(|(name, _)| !is_hop_by_hop(name))
}
