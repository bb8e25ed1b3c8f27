//! Encoding of frames: a fixed header (magic, version, length, checksum) and a `postcard` body.
//!
//! The layout of the header never changes, so that peers of different versions recognise each
//! other.

use crate::error::{
    BadChecksumSnafu, BadMagicSnafu, ClosedSnafu, FrameError, MalformedSnafu, TooLargeSnafu,
    TrailingBytesSnafu, TruncatedSnafu, WrongVersionSnafu,
};
use snafu::{ResultExt, ensure};
use std::io::{self, Read};
use wingshore_types::protocol::wire::{Frame, WIRE_VERSION};

/// Maximum size of a frame body, in bytes.
pub const MAX_FRAME_BYTES: u32 = 64 << 20;

/// Maximum size of the body of a handshake frame, in bytes.
pub const MAX_HELLO_BYTES: u32 = 4 << 10;

/// First bytes of each frame.
const MAGIC: [u8; 4] = *b"WSHR";

/// Size of the header in bytes: magic (4), version (2), length (4), checksum (4); little-endian.
pub const HEADER_BYTES: usize = 14;

/// Bytes allocated for a body before any of it has arrived; the buffer of a larger body grows as
/// its bytes arrive.
const BODY_RESERVE_BYTES: usize = 64 << 10;

/// The length and checksum of a frame body, from the frame's header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Header {
    /// Length of the body, in bytes.
    length: u32,
    /// CRC-32 of the body.
    checksum: u32,
}

/// Encodes a frame, including its header.
///
/// # Errors
/// When the body is larger than [`MAX_FRAME_BYTES`] or cannot be encoded.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, FrameError> {
    let bytes = vec![0; HEADER_BYTES];
    let mut bytes = postcard::to_extend(frame, bytes).context(MalformedSnafu)?;
    let (header, body) = bytes.split_at_mut(HEADER_BYTES);
    let length = checked_length(body.len())?;
    let checksum = crc32fast::hash(body);
    header[0..4].copy_from_slice(&MAGIC);
    header[4..6].copy_from_slice(&WIRE_VERSION.to_le_bytes());
    header[6..10].copy_from_slice(&length.to_le_bytes());
    header[10..14].copy_from_slice(&checksum.to_le_bytes());
    Ok(bytes)
}

/// Decodes and checks a header; `limit` is the maximum size of the body, in bytes.
fn decode_header(bytes: [u8; HEADER_BYTES], limit: u32) -> Result<Header, FrameError> {
    let [m0, m1, m2, m3, v0, v1, l0, l1, l2, l3, c0, c1, c2, c3] = bytes;
    let magic = [m0, m1, m2, m3];
    ensure!(magic == MAGIC, BadMagicSnafu { found: magic });
    let theirs = u16::from_le_bytes([v0, v1]);
    let ours = WIRE_VERSION;
    ensure!(theirs == ours, WrongVersionSnafu { ours, theirs });
    let length = u32::from_le_bytes([l0, l1, l2, l3]);
    ensure!(length <= limit, TooLargeSnafu { length, limit });
    let checksum = u32::from_le_bytes([c0, c1, c2, c3]);
    Ok(Header { length, checksum })
}

/// Verifies the checksum of a body and decodes it; the body must be exactly one message.
fn decode_body(header: Header, body: &[u8]) -> Result<Frame, FrameError> {
    let found = crc32fast::hash(body);
    let expected = header.checksum;
    ensure!(found == expected, BadChecksumSnafu { expected, found });
    let (frame, rest) = postcard::take_from_bytes(body).context(MalformedSnafu)?;
    let count = rest.len();
    ensure!(count == 0, TrailingBytesSnafu { count });
    Ok(frame)
}

/// Reads one frame whose body has at most `limit` bytes.
///
/// # Errors
/// When the bytes are not a valid frame, end early, or the reader fails. [`FrameError::Closed`]
/// only if they end between two frames.
pub fn read_frame(reader: &mut impl Read, limit: u32) -> Result<Frame, FrameError> {
    let header = decode_header(read_header(reader)?, limit)?;
    let body = read_body(reader, header.length)?;
    decode_body(header, &body)
}

fn checked_length(length: usize) -> Result<u32, FrameError> {
    let limit = MAX_FRAME_BYTES;
    match u32::try_from(length) {
        Ok(length) if length <= limit => Ok(length),
        _ => {
            let length = length as u64;
            TooLargeSnafu { length, limit }.fail()
        }
    }
}

fn read_header(reader: &mut impl Read) -> Result<[u8; HEADER_BYTES], FrameError> {
    let mut header = [0; HEADER_BYTES];
    let mut filled = 0;
    while filled < HEADER_BYTES {
        match reader.read(&mut header[filled..]) {
            Ok(0) if filled == 0 => return ClosedSnafu.fail(),
            Ok(0) => return TruncatedSnafu.fail(),
            Ok(count) => filled += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(from_io(error)),
        }
    }
    Ok(header)
}

/// Reads a body. Allocates memory for the bytes that arrive, not for the length in the header.
fn read_body(reader: &mut impl Read, length: u32) -> Result<Vec<u8>, FrameError> {
    let expected = length as usize;
    let mut body = Vec::with_capacity(expected.min(BODY_RESERVE_BYTES));
    reader
        .take(u64::from(length))
        .read_to_end(&mut body)
        .map_err(from_io)?;
    ensure!(body.len() == expected, TruncatedSnafu);
    Ok(body)
}

/// Converts an error of the socket. A read timeout means that the peer sent nothing.
fn from_io(source: io::Error) -> FrameError {
    match source.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => FrameError::Idle,
        _ => FrameError::Io { source },
    }
}
