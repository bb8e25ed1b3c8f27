//! Copies KV cache from one engine to another; the engines exchange the cache itself.

use crate::upstream::agent::UpstreamClient;
use crate::upstream::json::JsonError;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::platform::{KvExportRequest, KvHandle, KvImportRequest};

/// Where engines export cache.
const EXPORT: &str = "/kv/export";
/// Where engines import cache.
const IMPORT: &str = "/kv/import";
/// Timeout of each of the two calls.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Has `to` take over the cache of an attempt that runs on `from`.
///
/// # Errors
/// When one of the engines does not do its part in time.
pub fn copy_cache(
    client: &UpstreamClient,
    request_id: String,
    from: SocketAddr,
    to: SocketAddr,
) -> Result<(), JsonError> {
    let export = KvExportRequest { request_id };
    let KvHandle { handle } = client.post_json(from, EXPORT, &export, TIMEOUT)?;
    let import = KvImportRequest { handle, from };
    client.post(to, IMPORT, &import, TIMEOUT).map(|_| ())
}
