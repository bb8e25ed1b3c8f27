//! Byte strings and sequences of bytes have the same `postcard` encoding.

use proptest::prelude::*;
use serde::{Deserialize, Serialize};
use wingshore_types::protocol::byte_vector;

#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ByteString {
    before: u32,
    #[serde(with = "byte_vector")]
    bytes: Vec<u8>,
    after: String,
}

#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ByteSequence {
    before: u32,
    bytes: Vec<u8>,
    after: String,
}

proptest! {
    #[test]
    fn byte_string_and_sequence_have_the_same_encoding(before: u32, bytes: Vec<u8>, after: String) {
        let byte_string = ByteString { before, bytes: bytes.clone(), after: after.clone() };
        let byte_sequence = ByteSequence { before, bytes, after };
        let encoded = postcard::to_stdvec(&byte_string).unwrap();
        prop_assert_eq!(&encoded, &postcard::to_stdvec(&byte_sequence).unwrap());
        prop_assert_eq!(postcard::from_bytes::<ByteString>(&encoded).unwrap(), byte_string);
        prop_assert_eq!(postcard::from_bytes::<ByteSequence>(&encoded).unwrap(), byte_sequence);
    }

    #[test]
    fn json_round_trips(before: u32, bytes: Vec<u8>, after: String) {
        let byte_string = ByteString { before, bytes, after };
        let text = serde_json::to_string(&byte_string).unwrap();
        prop_assert_eq!(serde_json::from_str::<ByteString>(&text).unwrap(), byte_string);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes: Vec<u8>) {
        let _ = postcard::from_bytes::<ByteString>(&bytes);
    }
}
