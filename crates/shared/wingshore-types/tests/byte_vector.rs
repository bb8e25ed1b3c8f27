//! Byte vectors as one piece are the same on the wire as byte by byte.

use proptest::prelude::*;
use serde::{Deserialize, Serialize};
use wingshore_types::protocol::byte_vector;

#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct OnePiece {
    before: u32,
    #[serde(with = "byte_vector")]
    bytes: Vec<u8>,
    after: String,
}

#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ByteByByte {
    before: u32,
    bytes: Vec<u8>,
    after: String,
}

proptest! {
    #[test]
    fn both_forms_are_the_same_bytes(before: u32, bytes: Vec<u8>, after: String) {
        let one_piece = OnePiece { before, bytes: bytes.clone(), after: after.clone() };
        let byte_by_byte = ByteByByte { before, bytes, after };
        let encoded = postcard::to_stdvec(&one_piece).unwrap();
        prop_assert_eq!(&encoded, &postcard::to_stdvec(&byte_by_byte).unwrap());
        prop_assert_eq!(postcard::from_bytes::<OnePiece>(&encoded).unwrap(), one_piece);
        prop_assert_eq!(postcard::from_bytes::<ByteByByte>(&encoded).unwrap(), byte_by_byte);
    }

    #[test]
    fn json_is_read_back(before: u32, bytes: Vec<u8>, after: String) {
        let one_piece = OnePiece { before, bytes, after };
        let text = serde_json::to_string(&one_piece).unwrap();
        prop_assert_eq!(serde_json::from_str::<OnePiece>(&text).unwrap(), one_piece);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes: Vec<u8>) {
        let _ = postcard::from_bytes::<OnePiece>(&bytes);
    }
}
