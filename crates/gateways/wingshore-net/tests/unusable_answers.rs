//! Guards against bytes that are taken for an answer although they are none: a head whose status is
//! no status, a field whose name is no name, and an answer that ends in its head. A faulty server
//! sends them. All readers of answers use the one reader under test.

use bytes::BytesMut;
use googletest::prelude::*;
use proptest::prelude::*;
use wingshore_net::http::{AnswerReader, BodyStatus, FinalStatus, HttpError};

/// Longest body that the readers hold; none of the bodies here is longer.
const MAX_BODY: usize = 100;

fn read(bytes: &[u8]) -> (AnswerReader, std::result::Result<BodyStatus, HttpError>) {
    let mut reader = AnswerReader::new(MAX_BODY);
    let status = reader.read(&mut BytesMut::from(bytes));
    (reader, status)
}

#[gtest]
fn a_status_is_final_from_200_to_599() {
    for code in 0..=u16::MAX {
        let status = FinalStatus::new(code).map(FinalStatus::code);
        let expected = (200..=599).contains(&code).then_some(code);
        assert_eq!(status, expected, "{code}");
    }
}

#[gtest]
fn a_head_without_a_status_is_no_answer() -> Result<()> {
    for code in ["000", "001", "099", "101", "600", "700", "999"] {
        let bytes = format!("HTTP/1.1 {code} OK\r\nContent-Length: 2\r\n\r\nok");
        let (_, status) = read(bytes.as_bytes());
        verify_that!(status, err(anything())).with_failure_message(|| code.to_owned())?;
    }
    for code in ["", "1", "20", "2000", "2x0", "-20", "+20", " 200"] {
        let bytes = format!("HTTP/1.1 {code} OK\r\nContent-Length: 2\r\n\r\nok");
        let (_, status) = read(bytes.as_bytes());
        verify_that!(status, err(anything())).with_failure_message(|| code.to_owned())?;
    }
    Ok(())
}

#[gtest]
fn a_head_with_an_unusable_field_is_no_answer() -> Result<()> {
    let lines = [
        "Na me: value",
        "Na\tme: value",
        "Na\u{1}me: value",
        "Na\u{7f}me: value",
        "Na\0me: value",
        "Name : value",
        "Name\t: value",
        " Name: value",
        "\tName: value",
        ": value",
        "Name",
        "Name: value\r\n folded",
        "Name: va\u{1}lue",
        "Name: va\0lue",
        "Name: value\rOther: value",
        "Na(me: value",
        "N\u{e4}me: value",
    ];
    for line in lines {
        for (before, after) in [("", "Content-Length: 2\r\n"), ("Content-Length: 2\r\n", "")] {
            let bytes = format!("HTTP/1.1 200 OK\r\n{before}{line}\r\n{after}\r\nok");
            let (_, status) = read(bytes.as_bytes());
            verify_that!(status, err(anything())).with_failure_message(|| format!("{line:?}"))?;
        }
    }
    Ok(())
}

/// Each head that a client may get is complete only with its blank line; also behind interim
/// answers, where the connection is the same.
#[gtest]
fn an_answer_that_ends_in_its_head_is_not_complete() -> Result<()> {
    let heads = [
        "HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.0 200 OK\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    ];
    for head in heads {
        for end in 0..head.len() {
            let (reader, status) = read(&head.as_bytes()[..end]);
            let cut = &head[..end];
            let has_blank_line = reader.head().is_some();
            let is_partial = status == Ok(BodyStatus::Partial);
            let is_whole = is_partial && reader.is_whole_at_close();
            let may_be_whole = has_blank_line && !cut.contains("chunked");
            verify_that!(is_whole && !may_be_whole, eq(false))
                .with_failure_message(|| format!("{cut:?}"))?;
            verify_that!(status == Ok(BodyStatus::Whole), eq(false))
                .with_failure_message(|| format!("{cut:?}"))?;
        }
    }
    Ok(())
}

proptest! {
    /// In however many pieces a head arrives, nothing of it counts before its end.
    #[test]
    fn a_head_in_pieces_counts_at_its_end(cuts in proptest::collection::vec(0_usize..60, 0..6)) {
        let head = b"HTTP/1.1 200 OK\r\nId: 1\r\nSignature: s\r\nContent-Length: 2\r\n\r\n";
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(head.len() - 1)).collect();
        cuts.sort_unstable();
        let mut reader = AnswerReader::new(MAX_BODY);
        let mut input = BytesMut::new();
        let mut start = 0;
        for cut in cuts {
            input.extend_from_slice(&head[start..cut]);
            start = cut;
            prop_assert_eq!(reader.read(&mut input), Ok(BodyStatus::Partial));
            prop_assert!(reader.head().is_none());
            prop_assert!(!reader.is_whole_at_close());
        }
    }
}
