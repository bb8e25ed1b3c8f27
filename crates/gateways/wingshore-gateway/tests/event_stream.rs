//! Parsing of event streams whose bytes arrive in arbitrary pieces.

use googletest::prelude::*;
use proptest::prelude::*;
use wingshore_gateway::{EventReader, StreamEvent, take_complete_events};

const STREAM: &[u8] =
    b"id: 1\ndata: one\n\nweight-versions: 7\nid: 2\ndata: two\ndata: more\n\nid: 3\r\ndata: three\r\n\r\n";

fn expected() -> Vec<StreamEvent> {
    let event = |id: u64, data: &str, version: Option<u64>| StreamEvent {
        id: Some(id),
        data: data.to_owned(),
        has_data: true,
        version,
    };
    vec![
        event(1, "one", None),
        event(2, "two\nmore", Some(7)),
        event(3, "three", None),
    ]
}

proptest! {
    #[test]
    fn bytes_split_anywhere_give_the_same_events(cuts in proptest::collection::vec(0..STREAM.len(), 0..8)) {
        let mut cuts = cuts;
        cuts.sort_unstable();
        let mut reader = EventReader::new("Weight-Versions");
        let mut events = Vec::new();
        let mut start = 0;
        for cut in cuts.into_iter().chain([STREAM.len()]) {
            events.extend(reader.read(&STREAM[start..cut]).unwrap());
            start = cut;
        }
        prop_assert_eq!(events, expected());
        prop_assert!(!reader.is_within_event());
    }

    #[test]
    fn complete_events_and_the_rest_are_all_the_bytes(cut in 0..STREAM.len()) {
        let mut buffer = STREAM[..cut].to_vec();
        let complete = take_complete_events(&mut buffer);
        prop_assert_eq!([complete.as_slice(), buffer.as_slice()].concat(), &STREAM[..cut]);
        let mut reader = EventReader::new("weight-versions");
        reader.read(&complete).unwrap();
        prop_assert!(!reader.is_within_event());
    }
}

#[gtest]
fn an_event_without_its_blank_line_is_incomplete() {
    let mut reader = EventReader::new("v");
    expect_that!(
        reader.read(b"id: 1\ndata: cut").map(|events| events.len()),
        some(eq(0))
    );
    expect_that!(reader.is_within_event(), eq(true));
}
