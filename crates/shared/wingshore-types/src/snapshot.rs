//! Format of the snapshots of replicated states: a format version byte followed by `postcard`.

use crate::machine::RestoreError;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes `state` as a snapshot of format `version`.
pub fn encode<T: Serialize>(version: u8, state: &T) -> Vec<u8> {
    // Encoding plain data into a growing vector does not fail; `decode` would reject an empty
    // snapshot.
    postcard::to_extend(state, vec![version]).unwrap_or_default()
}

/// Decodes a state that was encoded by [`encode`]; `what` names the state in errors.
///
/// # Errors
/// Returns an error if the bytes are empty, of another format version, damaged, or followed by
/// further bytes.
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
