//! Decoding of valid frames, arbitrary bytes, truncated frames and corrupted frames.

use googletest::prelude::*;
use proptest::prelude::*;
use std::io::Read;
use wingshore_transport::{FrameError, MAX_FRAME_BYTES, encode, read_frame};
use wingshore_types::protocol::wire::{Frame, GroupReply, GroupRequest, Hello, WIRE_VERSION};
use wingshore_types::{GroupId, ReplicaId, RequestId};

const HEADER_BYTES: usize = 14;

fn any_frame() -> impl Strategy<Value = Frame> {
    let consensus = (any::<u16>(), proptest::collection::vec(any::<u8>(), 0..300)).prop_map(
        |(shard, message)| Frame::Consensus {
            group: GroupId::Ledger(shard),
            message,
        },
    );
    let hello = (".{0,20}", any::<Option<u64>>()).prop_map(|(site, replica)| {
        Frame::Hello(Hello {
            version: WIRE_VERSION,
            site,
            replica: replica.map(ReplicaId),
        })
    });
    let reply = (any::<u64>(), ".{0,50}").prop_map(|(id, reason)| Frame::Reply {
        id: RequestId(id),
        body: GroupReply::Rejected(reason),
    });
    let request = any::<u64>().prop_map(|id| Frame::Request {
        id: RequestId(id),
        group: GroupId::Control,
        body: GroupRequest::DumpLog,
    });
    prop_oneof![consensus, hello, reply, request, Just(Frame::KeepAlive)]
}

proptest! {
    #[test]
    fn frames_round_trip(frames in proptest::collection::vec(any_frame(), 0..5)) {
        let mut bytes = Vec::new();
        for frame in &frames {
            bytes.extend(encode(frame).unwrap());
        }
        let mut reader = bytes.as_slice();
        for frame in &frames {
            prop_assert_eq!(&read_frame(&mut reader, MAX_FRAME_BYTES).unwrap(), frame);
        }
        prop_assert!(matches!(read_frame(&mut reader, MAX_FRAME_BYTES), Err(FrameError::Closed)));
    }

    #[test]
    fn arbitrary_bytes_are_an_error(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(read_frame(&mut bytes.as_slice(), MAX_FRAME_BYTES).is_err());
    }

    #[test]
    fn arbitrary_bodies_never_panic(body in proptest::collection::vec(any::<u8>(), 0..400)) {
        let mut bytes = encode(&Frame::KeepAlive).unwrap();
        bytes.truncate(6);
        bytes.extend((body.len() as u32).to_le_bytes());
        bytes.extend(crc32fast::hash(&body).to_le_bytes());
        bytes.extend(&body);
        // A random body may be a valid message; encoding it again must then give a valid frame.
        if let Ok(frame) = read_frame(&mut bytes.as_slice(), MAX_FRAME_BYTES) {
            let again = encode(&frame).unwrap();
            prop_assert!(read_frame(&mut again.as_slice(), MAX_FRAME_BYTES).is_ok());
        }
    }

    #[test]
    fn every_truncation_is_an_error(frame in any_frame(), cut in any::<prop::sample::Index>()) {
        let bytes = encode(&frame).unwrap();
        let end = cut.index(bytes.len());
        let error = read_frame(&mut &bytes[..end], MAX_FRAME_BYTES).unwrap_err();
        let expected = if end == 0 {
            matches!(error, FrameError::Closed)
        } else {
            matches!(error, FrameError::Truncated)
        };
        prop_assert!(expected, "{:?} after {} bytes", error, end);
    }

    #[test]
    fn every_flipped_bit_is_an_error(
        frame in any_frame(),
        at in any::<prop::sample::Index>(),
        bit in 0u8..8,
    ) {
        let mut bytes = encode(&frame).unwrap();
        let position = at.index(bytes.len());
        bytes[position] ^= 1 << bit;
        prop_assert!(read_frame(&mut bytes.as_slice(), MAX_FRAME_BYTES).is_err());
    }
}

/// Returns a header and then the end of the stream; records the largest buffer passed to a read.
struct HeaderOnlyReader {
    header: Vec<u8>,
    largest_request: usize,
}

impl Read for HeaderOnlyReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        self.largest_request = self.largest_request.max(buffer.len());
        let count = self.header.len().min(buffer.len());
        buffer[..count].copy_from_slice(&self.header[..count]);
        self.header.drain(..count);
        Ok(count)
    }
}

fn header_with_length(length: u32) -> Vec<u8> {
    let mut header = encode(&Frame::KeepAlive).unwrap();
    header.truncate(HEADER_BYTES);
    header[6..10].copy_from_slice(&length.to_le_bytes());
    header
}

#[gtest]
fn the_claimed_length_is_not_allocated_in_advance() {
    let mut reader = HeaderOnlyReader {
        header: header_with_length(MAX_FRAME_BYTES),
        largest_request: 0,
    };
    let error = read_frame(&mut reader, MAX_FRAME_BYTES);
    expect_that!(error, err(pat!(FrameError::Truncated)));
    expect_that!(reader.largest_request, le(64 << 10));
}

#[gtest]
fn a_length_above_the_limit_is_refused_from_the_header() {
    for (length, limit) in [(MAX_FRAME_BYTES + 1, MAX_FRAME_BYTES), (101, 100)] {
        let header = header_with_length(length);
        let error = read_frame(&mut header.as_slice(), limit);
        expect_that!(
            error,
            err(pat!(FrameError::TooLarge {
                length: eq(&u64::from(length)),
                limit: eq(&limit)
            }))
        );
    }
}

#[gtest]
fn a_frame_above_the_limit_is_not_encoded() {
    let frame = Frame::Consensus {
        group: GroupId::Control,
        message: vec![0; MAX_FRAME_BYTES as usize],
    };
    expect_that!(encode(&frame), err(pat!(FrameError::TooLarge { .. })));
}

#[gtest]
fn a_wire_version_mismatch_reports_both_versions() {
    let mut bytes = encode(&Frame::KeepAlive).unwrap();
    bytes[4..6].copy_from_slice(&(WIRE_VERSION + 1).to_le_bytes());
    let error = read_frame(&mut bytes.as_slice(), MAX_FRAME_BYTES);
    expect_that!(
        error,
        err(pat!(FrameError::WrongVersion {
            ours: eq(&WIRE_VERSION),
            theirs: eq(&(WIRE_VERSION + 1))
        }))
    );
}

#[gtest]
fn bytes_after_the_message_are_an_error() {
    let mut bytes = encode(&Frame::KeepAlive).unwrap();
    bytes.push(7);
    let body = bytes[HEADER_BYTES..].to_vec();
    bytes[6..10].copy_from_slice(&(body.len() as u32).to_le_bytes());
    bytes[10..14].copy_from_slice(&crc32fast::hash(&body).to_le_bytes());
    let error = read_frame(&mut bytes.as_slice(), MAX_FRAME_BYTES);
    expect_that!(
        error,
        err(pat!(FrameError::TrailingBytes { count: eq(&1) }))
    );
}
