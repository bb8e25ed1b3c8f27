//! What the decoder of frames does with a frame of a build that writes more, or less, than it knows.

use bytes::BytesMut;
use googletest::prelude::*;
use proptest::prelude::*;
use serde::{Deserialize, Serialize};
use wingshore_net::frame::{self, FrameError};

/// What the receiver knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Known {
    First(u64),
    Second { name: String, count: u32 },
}

/// The same, with a variant after the last one.
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

/// Bytes of `message`, with `more` after its end, as one frame.
fn frame_with(message: &impl Serialize, more: &[u8]) -> Vec<u8> {
    let mut bytes = frame::encode(message).unwrap();
    bytes.extend(more);
    let length = u32::try_from(bytes.len() - 4).unwrap();
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    bytes
}

/// `message` without its last byte, as one frame.
fn cut_frame(message: &impl Serialize) -> Vec<u8> {
    let mut bytes = frame::encode(message).unwrap();
    bytes.pop();
    let length = u32::try_from(bytes.len() - 4).unwrap();
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    bytes
}

proptest! {
    /// Neither the message nor the frame after it is changed.
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
    let mut input = BytesMut::from(cut_frame(&second()).as_slice());
    let read = frame::decode::<Known>(&mut input);
    expect_that!(
        matches!(read, Err(FrameError::Malformed { .. })),
        eq(true),
        "{read:?}"
    );
}

/// The bytes after the frame do not stand in for those that it lacks.
#[gtest]
fn a_message_does_not_go_on_in_the_next_frame() {
    let mut input = BytesMut::from(cut_frame(&second()).as_slice());
    input.extend_from_slice(&frame::encode(&Known::First(7)).unwrap());
    let read = frame::decode::<Known>(&mut input);
    expect_that!(
        matches!(read, Err(FrameError::Malformed { .. })),
        eq(true),
        "{read:?}"
    );
}

/// A receiver that asks for them gets the bytes after the end, and nothing of the next frame.
#[gtest]
fn bytes_after_the_end_are_given_to_who_asks() {
    let mut input = BytesMut::from(frame_with(&second(), &[1, 2, 3]).as_slice());
    input.extend_from_slice(&frame::encode(&Known::First(7)).unwrap());
    let read = frame::decode_with_rest::<Known>(&mut input).unwrap();
    expect_that!(read, some(eq(&(second(), vec![1, 2, 3]))));
    let read = frame::decode_with_rest::<Known>(&mut input).unwrap();
    expect_that!(read, some(eq(&(Known::First(7), Vec::new()))));
}
