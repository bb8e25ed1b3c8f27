//! Decoding of frames from other builds, whose messages have more or fewer bytes than this build
//! knows.

use bytes::BytesMut;
use googletest::prelude::*;
use proptest::prelude::*;
use serde::{Deserialize, Serialize};
use wingshore_net::frame::{self, FrameError};

/// The message type of the receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Known {
    First(u64),
    Second { name: String, count: u32 },
}

/// The message type of a newer sender, with a variant added at the end.
#[derive(Serialize, Deserialize)]
enum Grown {
    First(u64),
    Second { name: String, count: u32 },
    Third(u64),
}

fn second() -> Known {
    Known::Second {
        name: "a name".to_owned(),
        count: 3,
    }
}

/// Returns a frame with `message` and the bytes of `more` after it.
fn frame_with(message: &impl Serialize, more: &[u8]) -> Vec<u8> {
    let mut bytes = frame::encode(message).unwrap();
    bytes.extend(more);
    let length = u32::try_from(bytes.len() - 4).unwrap();
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    bytes
}

/// Returns a frame with `message` without its last byte.
fn truncated_frame(message: &impl Serialize) -> Vec<u8> {
    let mut bytes = frame::encode(message).unwrap();
    bytes.pop();
    let length = u32::try_from(bytes.len() - 4).unwrap();
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    bytes
}

proptest! {
    /// Bytes after the message affect neither the message nor the next frame.
    #[test]
    fn bytes_after_the_end_of_a_message_are_ignored(
        more in proptest::collection::vec(any::<u8>(), 0..40),
    ) {
        let mut input = BytesMut::new();
        input.extend_from_slice(&frame_with(&second(), &more));
        input.extend_from_slice(&frame::encode(&Known::First(7)).unwrap());
        let read = frame::decode::<Known>(&mut input).unwrap();
        prop_assert_eq!(read, Some(second()));
        let next = frame::decode::<Known>(&mut input).unwrap();
        prop_assert_eq!(next, Some(Known::First(7)));
        prop_assert!(input.is_empty());
    }
}

#[gtest]
fn an_unknown_variant_is_refused() {
    let bytes = frame::encode(&Grown::Third(7)).unwrap();
    let mut input = BytesMut::from(bytes.as_slice());
    let read = frame::decode::<Known>(&mut input);
    expect_that!(
        matches!(read, Err(FrameError::Malformed { .. })),
        eq(true),
        "{read:?}"
    );
}

#[gtest]
fn a_message_that_ends_too_early_is_refused() {
    let mut input = BytesMut::from(truncated_frame(&second()).as_slice());
    let read = frame::decode::<Known>(&mut input);
    expect_that!(
        matches!(read, Err(FrameError::Malformed { .. })),
        eq(true),
        "{read:?}"
    );
}

/// The decoder must not take the bytes that a frame lacks from the next frame.
#[gtest]
fn a_message_does_not_continue_in_the_next_frame() {
    let mut input = BytesMut::from(truncated_frame(&second()).as_slice());
    input.extend_from_slice(&frame::encode(&Known::First(7)).unwrap());
    let read = frame::decode::<Known>(&mut input);
    expect_that!(
        matches!(read, Err(FrameError::Malformed { .. })),
        eq(true),
        "{read:?}"
    );
}

/// `decode_with_rest` returns the bytes after the message, and none of the next frame.
#[gtest]
fn decode_with_rest_returns_the_bytes_after_the_message() {
    let mut input = BytesMut::from(frame_with(&second(), &[1, 2, 3]).as_slice());
    input.extend_from_slice(&frame::encode(&Known::First(7)).unwrap());
    let read = frame::decode_with_rest::<Known>(&mut input).unwrap();
    expect_that!(read, some(eq(&(second(), vec![1, 2, 3]))));
    let read = frame::decode_with_rest::<Known>(&mut input).unwrap();
    expect_that!(read, some(eq(&(Known::First(7), Vec::new()))));
}
