//! Requests the copy of a KV cache from one engine to another; the engines transfer the data
//! directly.

use crate::upstream::agent::UpstreamClient;
use crate::upstream::json::JsonError;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::platform::{KvExportRequest, KvHandle, KvImportRequest};

/// Path on engines that exports a KV cache.
const EXPORT_PATH: &str = "/kv/export";
/// Path on engines that imports a KV cache.
const IMPORT_PATH: &str = "/kv/import";
/// Timeout of each of the export and import calls.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Copies the KV cache of an attempt that runs on `from` to `to`.
///
/// # Errors
/// Fails when one of the engines does not answer its call successfully in time.
pub fn copy_cache(
    client: &UpstreamClient,
    request_id: String,
    from: SocketAddr,
    to: SocketAddr,
) -> Result<(), JsonError> {
    let export = KvExportRequest { request_id };
    let KvHandle { handle } = client.post_json(from, EXPORT_PATH, &export, CALL_TIMEOUT)?;
    let import = KvImportRequest { handle, from };
    client
        .post(to, IMPORT_PATH, &import, CALL_TIMEOUT)
        .map(|_| ())
}
