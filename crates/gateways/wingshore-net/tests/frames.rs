//! Encoding and decoding of frames, whatever the pieces in which their bytes arrive.

use bytes::BytesMut;
use proptest::prelude::*;
use wingshore_net::frame::{self, FrameError};

proptest! {
    #[test]
    fn any_split_gives_the_same_messages(
        messages in proptest::collection::vec(any::<Option<String>>(), 1..6),
        step in 1_usize..20,
    ) {
        let mut bytes = Vec::new();
        for message in &messages {
            bytes.extend(frame::encode(message).unwrap());
        }
        let mut input = BytesMut::new();
        let mut found: Vec<Option<String>> = Vec::new();
        for part in bytes.chunks(step) {
            input.extend_from_slice(part);
            while let Some(message) = frame::decode(&mut input).unwrap() {
                found.push(message);
            }
        }
        prop_assert_eq!(found, messages);
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut input = BytesMut::from(bytes.as_slice());
        let _ = frame::decode::<(u64, String)>(&mut input);
    }
}

#[test]
fn a_frame_that_claims_to_be_huge_is_refused() {
    let mut input = BytesMut::from([0xff, 0xff, 0xff, 0xff, 0].as_slice());
    let result = frame::decode::<u64>(&mut input);
    assert!(matches!(result, Err(FrameError::TooLong { .. })));
}
