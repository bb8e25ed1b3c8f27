//! Encoding and decoding of length-prefixed `postcard` frames in buffers.

use bytes::{Buf, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Bytes of the little-endian length before each frame.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Maximum length of a frame in bytes; a longer one is an error of the peer. Larger than the
/// largest batch job, which is sent as one frame.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// Why a frame cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum FrameError {
    /// The frame is longer than the maximum.
    #[snafu(display("frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"))]
    TooLong {
        /// Length of the frame in bytes.
        length: usize,
    },
    /// The frame does not hold a message of the expected type.
    #[snafu(display("cannot decode the frame: {source}"))]
    Malformed {
        /// The error of the codec.
        source: postcard::Error,
    },
}

/// Returns the length in bytes that the next frame in `input` announces; `None` before its prefix.
pub fn announced_length(input: &BytesMut) -> Option<usize> {
    let prefix = input.first_chunk::<LENGTH_PREFIX_BYTES>()?;
    Some(u32::from_le_bytes(*prefix) as usize)
}

/// Encodes `message` as a frame.
///
/// # Errors
/// When the codec cannot encode the message.
pub fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>, postcard::Error> {
    let mut bytes = postcard::to_extend(message, vec![0; LENGTH_PREFIX_BYTES])?;
    let length = u32::try_from(bytes.len() - LENGTH_PREFIX_BYTES).unwrap_or(u32::MAX);
    bytes[..LENGTH_PREFIX_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(bytes)
}

/// Removes the next frame from `input` and decodes it; `None` while the frame is incomplete.
///
/// # Errors
/// When the bytes are not a frame of this type. Later frames cannot be decoded either, so the
/// connection has to be closed.
pub fn decode<M: DeserializeOwned>(input: &mut BytesMut) -> Result<Option<M>, FrameError> {
    let decoded = decode_with_rest(input)?;
    Ok(decoded.map(|(message, _)| message))
}

/// Does the same as [`decode`], and returns the bytes of the frame after the message as well.
///
/// # Errors
/// The same as for [`decode`].
pub fn decode_with_rest<M: DeserializeOwned>(
    input: &mut BytesMut,
) -> Result<Option<(M, Vec<u8>)>, FrameError> {
    let Some(length) = announced_length(input) else {
        return Ok(None);
    };
    if length > MAX_FRAME_BYTES {
        return TooLongSnafu { length }.fail();
    }
    if input.len() < LENGTH_PREFIX_BYTES + length {
        input.reserve(LENGTH_PREFIX_BYTES + length - input.len());
        return Ok(None);
    }
    let frame = &input[LENGTH_PREFIX_BYTES..LENGTH_PREFIX_BYTES + length];
    let decoded = postcard::take_from_bytes(frame);
    let (message, rest) = decoded.map_err(|source| FrameError::Malformed { source })?;
    let rest = rest.to_vec();
    input.advance(LENGTH_PREFIX_BYTES + length);
    Ok(Some((message, rest)))
}
