//! Checksummed frames, the format of segments and of files that are replaced atomically.
//!
//! A frame is `magic | length | checksum | payload`, with little-endian integers. The checksum
//! covers a salt chosen by the caller, the frame's offset in the file and the payload. So frames
//! that were copied into a payload are never mistaken for frames of the file.

use std::io::{self, Read};

/// Magic bytes at the start of each frame.
const MAGIC: [u8; 4] = *b"WSF1";
/// Length of the frame header, in bytes.
pub(crate) const HEADER_BYTES: usize = 12;

/// Error of a frame that ends within its header.
pub(crate) const TRUNCATED_HEADER: &str = "the frame header is truncated";
/// Error of a frame that ends within its payload.
pub(crate) const TRUNCATED_PAYLOAD: &str = "the frame payload is truncated";
/// Error of a frame whose checksum does not match its content.
pub(crate) const WRONG_CHECKSUM: &str = "the frame checksum does not match";

/// Result of parsing a frame at an offset of a file in memory.
pub(crate) enum ParsedFrame<'a> {
    /// A complete, valid frame.
    Frame {
        /// The content of the frame.
        payload: &'a [u8],
    },
    /// The end of the file.
    End,
    /// An invalid frame, with the reason.
    Invalid(&'static str),
}

/// Appends a frame with `payload` to `out`; `offset` is the frame's position in its file.
pub(crate) fn encode(salt: u64, offset: u64, payload: &[u8], out: &mut Vec<u8>) {
    let checksum = checksum(salt, offset, payload);
    out.extend_from_slice(&header(payload.len(), checksum));
    out.extend_from_slice(payload);
}

/// Returns the header of a payload of `length` bytes with this checksum.
pub(crate) fn header(length: usize, checksum: u32) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(&MAGIC);
    header[4..8].copy_from_slice(&(length as u32).to_le_bytes());
    header[8..].copy_from_slice(&checksum.to_le_bytes());
    header
}

/// Maximum payload of a frame, in bytes.
pub(crate) const MAX_PAYLOAD_BYTES: usize = u32::MAX as usize;

/// Parses the frame at `offset` of `file`.
pub(crate) fn parse_frame(salt: u64, offset: usize, file: &[u8]) -> ParsedFrame<'_> {
    let rest = file.get(offset..).unwrap_or_default();
    if rest.is_empty() {
        return ParsedFrame::End;
    }
    let Some((header, body)) = rest.split_at_checked(HEADER_BYTES) else {
        return ParsedFrame::Invalid(TRUNCATED_HEADER);
    };
    let (length, expected) = match read_header(header) {
        Ok(read) => read,
        Err(reason) => return ParsedFrame::Invalid(reason),
    };
    let Some(payload) = body.get(..length) else {
        return ParsedFrame::Invalid(TRUNCATED_PAYLOAD);
    };
    if expected != checksum(salt, offset as u64, payload) {
        return ParsedFrame::Invalid(WRONG_CHECKSUM);
    }
    ParsedFrame::Frame { payload }
}

/// Returns the length in bytes and the checksum of the payload that follows a header.
pub(crate) fn read_header(header: &[u8]) -> Result<(usize, u32), &'static str> {
    if header.len() < HEADER_BYTES {
        return Err(TRUNCATED_HEADER);
    }
    if !header.starts_with(&MAGIC) {
        return Err("the frame magic is missing");
    }
    Ok((read_u32(header, 4) as usize, read_u32(header, 8)))
}

/// Result of reading the next frame from a reader.
pub(crate) enum NextFrame {
    /// A complete, valid frame.
    Frame {
        /// The content of the frame.
        payload: Vec<u8>,
        /// Offset of the next frame.
        next: u64,
    },
    /// The end of the file.
    End,
    /// An invalid frame, with the reason.
    Invalid(&'static str),
}

/// Reads the frame at `offset` of a file. The reader must be positioned at `offset`.
pub(crate) fn read_next(reader: &mut impl Read, salt: u64, offset: u64) -> io::Result<NextFrame> {
    let mut header = Vec::new();
    let header_bytes = HEADER_BYTES as u64;
    reader
        .by_ref()
        .take(header_bytes)
        .read_to_end(&mut header)?;
    if header.is_empty() {
        return Ok(NextFrame::End);
    }
    let (length, expected) = match read_header(&header) {
        Ok(read) => read,
        Err(reason) => return Ok(NextFrame::Invalid(reason)),
    };
    // Not preallocated: the length may be damaged.
    let mut payload = Vec::new();
    reader
        .by_ref()
        .take(length as u64)
        .read_to_end(&mut payload)?;
    if payload.len() < length {
        return Ok(NextFrame::Invalid(TRUNCATED_PAYLOAD));
    }
    if expected != checksum(salt, offset, &payload) {
        return Ok(NextFrame::Invalid(WRONG_CHECKSUM));
    }
    let next = offset + header_bytes + length as u64;
    Ok(NextFrame::Frame { payload, next })
}

/// Returns the offset of the first valid frame after `offset`, if there is one.
pub(crate) fn find_frame_after(salt: u64, offset: usize, file: &[u8]) -> Option<usize> {
    let candidates = offset.saturating_add(1)..file.len();
    candidates
        .filter(|&start| file.get(start..).unwrap_or_default().starts_with(&MAGIC))
        .find(|&start| matches!(parse_frame(salt, start, file), ParsedFrame::Frame { .. }))
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    let mut value = [0; 4];
    value.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(value)
}

fn checksum(salt: u64, offset: u64, payload: &[u8]) -> u32 {
    let mut checksum = Checksum::new(salt, offset, payload.len());
    checksum.0.update(payload);
    checksum.finish()
}

/// Computes the checksum of a payload incrementally.
pub(crate) struct Checksum(crc32fast::Hasher);

impl Checksum {
    /// Starts the checksum of a payload of `length` bytes, in a frame at `offset` of its file.
    pub(crate) fn new(salt: u64, offset: u64, length: usize) -> Self {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&salt.to_le_bytes());
        hasher.update(&offset.to_le_bytes());
        hasher.update(&(length as u64).to_le_bytes());
        Self(hasher)
    }

    /// Returns the checksum of all bytes written.
    pub(crate) fn finish(self) -> u32 {
        self.0.finalize()
    }
}

impl io::Write for Checksum {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.update(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
