//! Length-prefixed `postcard` frames in buffers.

use bytes::{Buf, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Bytes of the length before each frame.
const PREFIX: usize = 4;
/// Largest frame, in bytes; a longer one is a fault of the peer. Above the largest batch job, which is
/// one frame.
const MAX_FRAME_BYTES: usize = 64 << 20;

/// Why a frame cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum FrameError {
    /// Longer than any frame is.
    #[snafu(display("a frame of {length} bytes; allowed are {MAX_FRAME_BYTES}"))]
    TooLong {
        /// Its length.
        length: usize,
    },
    /// Not of the type that is expected.
    #[snafu(display("a frame that cannot be decoded: {source}"))]
    Malformed {
        /// From the codec.
        source: postcard::Error,
    },
}

/// `message` as a frame.
///
/// # Errors
/// When the codec cannot encode the message.
pub fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>, postcard::Error> {
    let mut bytes = postcard::to_extend(message, vec![0; PREFIX])?;
    let length = u32::try_from(bytes.len() - PREFIX).unwrap_or(u32::MAX);
    bytes[..PREFIX].copy_from_slice(&length.to_le_bytes());
    Ok(bytes)
}

/// Takes the next whole frame out of `input`; `None` when there is none yet.
///
/// # Errors
/// When the bytes are no frame of this type; the connection is of no more use.
pub fn decode<M: DeserializeOwned>(input: &mut BytesMut) -> Result<Option<M>, FrameError> {
    let decoded = decode_with_rest(input)?;
    Ok(decoded.map(|(message, _)| message))
}

/// As [`decode`], with the bytes that the frame holds after the message's end.
///
/// # Errors
/// As for [`decode`].
pub fn decode_with_rest<M: DeserializeOwned>(
    input: &mut BytesMut,
) -> Result<Option<(M, Vec<u8>)>, FrameError> {
    let Some(prefix) = input.first_chunk::<PREFIX>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return TooLongSnafu { length }.fail();
    }
    if input.len() < PREFIX + length {
        input.reserve(PREFIX + length - input.len());
        return Ok(None);
    }
    let frame = &input[PREFIX..PREFIX + length];
    let decoded = postcard::take_from_bytes(frame);
    let (message, rest) = decoded.map_err(|source| FrameError::Malformed { source })?;
    let rest = rest.to_vec();
    input.advance(PREFIX + length);
    Ok(Some((message, rest)))
}
