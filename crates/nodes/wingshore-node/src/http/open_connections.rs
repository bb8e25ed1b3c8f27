//! Counts the connections that callers still hold open, from the kernel's tables: the HTTP library
//! does not expose them.

use std::fs;

/// The kernel's connection tables for IPv4 and IPv6.
const CONNECTION_TABLES: [&str; 2] = ["/proc/self/net/tcp", "/proc/self/net/tcp6"];
/// Kernel code of the state ESTABLISHED: neither side has closed the connection.
const ESTABLISHED: &str = "01";

/// Returns the number of connections accepted at `port` that neither side has closed; 0 where the
/// system has no such tables.
pub fn open_connections(port: u16) -> usize {
    let tables = CONNECTION_TABLES
        .iter()
        .filter_map(|path| fs::read_to_string(path).ok());
    tables.map(|table| established_at(port, &table)).sum()
}

/// Counts the established connections at `port` in a table. After a heading, each row holds a
/// number, the local address, the remote address, the state and further fields.
fn established_at(port: u16, table: &str) -> usize {
    let rows = table.lines().skip(1);
    rows.filter(|row| {
        let mut fields = row.split_whitespace().skip(1);
        let local_port = fields.next().and_then(|local| local.rsplit(':').next());
        let is_at_port = local_port.and_then(|text| u16::from_str_radix(text, 16).ok());
        is_at_port == Some(port) && fields.nth(1) == Some(ESTABLISHED)
    })
    .count()
}
