//! Checksummed frames: the form of everything on disk.
//!
//! A frame is `magic | length | checksum | payload`, integers little-endian. The checksum covers
//! the frame's place (a caller's salt and its offset in the file) beside its payload, so that
//! a payload which itself holds copied frames never passes for the frames of a file.

use std::io::{self, Read};

/// Starts each frame.
const MAGIC: [u8; 4] = *b"WSF1";
/// Bytes before the payload.
pub(crate) const HEADER_BYTES: usize = 12;

/// What is wrong with a frame that ends within its header.
pub(crate) const CUT_HEADER: &str = "the frame's header is cut short";
/// What is wrong with a frame that ends within its payload.
pub(crate) const CUT_PAYLOAD: &str = "the frame is cut short";
/// What is wrong with a frame whose bytes are not those that were written.
pub(crate) const WRONG_CHECKSUM: &str = "the frame's checksum does not match";

/// What is found at an offset.
pub(crate) enum Scan<'a> {
    /// A whole frame.
    Frame {
        /// Its content.
        payload: &'a [u8],
    },
    /// The end of the file, exactly.
    End,
    /// Something else.
    Bad(&'static str),
}

/// Appends a frame with `payload` to `out`, to be at `offset` of its file.
pub(crate) fn encode(salt: u64, offset: u64, payload: &[u8], out: &mut Vec<u8>) {
    let checksum = checksum(salt, offset, payload);
    out.extend_from_slice(&header(payload.len(), checksum));
    out.extend_from_slice(payload);
}

/// The bytes before a payload of `length` bytes with this checksum.
pub(crate) fn header(length: usize, checksum: u32) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(&MAGIC);
    header[4..8].copy_from_slice(&(length as u32).to_le_bytes());
    header[8..].copy_from_slice(&checksum.to_le_bytes());
    header
}

/// Largest payload that a frame can hold, in bytes.
pub(crate) const MAX_PAYLOAD_BYTES: usize = u32::MAX as usize;

/// Reads what is at `offset` of `file`.
pub(crate) fn scan(salt: u64, offset: usize, file: &[u8]) -> Scan<'_> {
    let rest = file.get(offset..).unwrap_or_default();
    if rest.is_empty() {
        return Scan::End;
    }
    let Some((header, body)) = rest.split_at_checked(HEADER_BYTES) else {
        return Scan::Bad(CUT_HEADER);
    };
    let (length, expected) = match read_header(header) {
        Ok(read) => read,
        Err(reason) => return Scan::Bad(reason),
    };
    let Some(payload) = body.get(..length) else {
        return Scan::Bad(CUT_PAYLOAD);
    };
    if expected != checksum(salt, offset as u64, payload) {
        return Scan::Bad(WRONG_CHECKSUM);
    }
    Scan::Frame { payload }
}

/// Length and checksum of the payload after a header.
pub(crate) fn read_header(header: &[u8]) -> Result<(usize, u32), &'static str> {
    if header.len() < HEADER_BYTES {
        return Err(CUT_HEADER);
    }
    if !header.starts_with(&MAGIC) {
        return Err("no frame starts here");
    }
    Ok((read_u32(header, 4) as usize, read_u32(header, 8)))
}

/// What a reader gives next.
pub(crate) enum NextFrame {
    /// A whole frame.
    Frame {
        /// Its content.
        payload: Vec<u8>,
        /// Where the next one starts.
        next: u64,
    },
    /// The end of the file, exactly.
    End,
    /// Something else.
    Bad(&'static str),
}

/// Reads the frame at `offset` of a file, from a reader that is there.
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
        Err(reason) => return Ok(NextFrame::Bad(reason)),
    };
    // Grows as the bytes come: the length may be damaged.
    let mut payload = Vec::new();
    reader
        .by_ref()
        .take(length as u64)
        .read_to_end(&mut payload)?;
    if payload.len() < length {
        return Ok(NextFrame::Bad(CUT_PAYLOAD));
    }
    if expected != checksum(salt, offset, &payload) {
        return Ok(NextFrame::Bad(WRONG_CHECKSUM));
    }
    let next = offset + header_bytes + length as u64;
    Ok(NextFrame::Frame { payload, next })
}

/// The offset of the first whole frame after `offset`, when there is one.
pub(crate) fn find_after(salt: u64, offset: usize, file: &[u8]) -> Option<usize> {
    let candidates = offset.saturating_add(1)..file.len();
    candidates
        .filter(|&start| file.get(start..).unwrap_or_default().starts_with(&MAGIC))
        .find(|&start| matches!(scan(salt, start, file), Scan::Frame { .. }))
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

/// The checksum of a payload that is produced piece by piece.
pub(crate) struct Checksum(crc32fast::Hasher);

impl Checksum {
    /// Of a payload of `length` bytes in a frame that is to be at `offset` of its file.
    pub(crate) fn new(salt: u64, offset: u64, length: usize) -> Self {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&salt.to_le_bytes());
        hasher.update(&offset.to_le_bytes());
        hasher.update(&(length as u64).to_le_bytes());
        Self(hasher)
    }

    /// Of all that was written.
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
