//! Format of the snapshots of replicated states: one byte of format version, then `postcard`.

use crate::machine::RestoreError;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The snapshot of `state` in format `version`.
pub fn encode<T: Serialize>(version: u8, state: &T) -> Vec<u8> {
    // Encoding plain data into a growing vector does not fail; an empty snapshot would be refused
    // by `decode`.
    postcard::to_extend(state, vec![version]).unwrap_or_default()
}

/// The state that [`encode`] wrote; `what` names it in errors.
///
/// # Errors
/// When the bytes are empty, of another format version, damaged, or followed by more bytes.
pub fn decode<T: DeserializeOwned>(
    what: &str,
    version: u8,
    bytes: &[u8],
) -> Result<T, RestoreError> {
    let error = |problem: String| RestoreError {
        message: format!("{what} snapshot: {problem}"),
    };
    let Some((&found, encoded)) = bytes.split_first() else {
        return Err(error("empty".to_owned()));
    };
    if found != version {
        return Err(error(format!(
            "unknown format version {found}; this program reads {version}"
        )));
    }
    let (state, rest) =
        postcard::take_from_bytes(encoded).map_err(|cause| error(format!("damaged: {cause}")))?;
    if !rest.is_empty() {
        return Err(error(format!("{} bytes too many", rest.len())));
    }
    Ok(state)
}
