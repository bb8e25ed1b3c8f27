//! Which answers on a connection belong to the request that waits there.

#[path = "bytes/protocol.rs"]
#[allow(dead_code, reason = "only the header names are used here")]
mod protocol;

use bytes::BytesMut;
use googletest::prelude::*;
use proptest::prelude::*;
use protocol::NAMES;
use wingshore_gateway::{
    AnswerError, ExpectedAnswer, MAX_MISMATCHED_ANSWERS, MAX_MISMATCHED_BYTES, MatchedAnswer,
    MatchingReader, MismatchedAnswer, UnidentifiedAnswer,
};
use wingshore_net::account::Account;
use wingshore_net::http::BodyStatus;

/// ID of the request that waits on the connection.
const OWN: &str = "r-1";
/// ID of an earlier request.
const OTHER: &str = "r-0";

/// Statuses with the header lines that change what they mean.
const STATUSES: [&str; 8] = [
    "200 OK\r\nSignature: s",
    "202 -\r\nSignature: s",
    "404 -",
    "421 -\r\nNot-Run: 1",
    "422 -",
    "500 -",
    "503 -",
    "503 -\r\nNot-Run: 1",
];

fn reader() -> MatchingReader {
    MatchingReader::new(
        ExpectedAnswer::to_request(&NAMES, OWN.as_bytes()),
        &Account::default(),
    )
}

fn answer(status: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nId: {id}\r\nContent-Length: {length}\r\n\r\n{body}")
}

fn chunked(status: &str, id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nId: {id}\r\nTransfer-Encoding: chunked\r\n\r\n\
         {length:x}\r\n{body}\r\n0\r\n\r\n"
    )
}

/// Reads bytes that arrive in these pieces, and returns the answer once it is complete.
fn read_pieces(
    reader: &mut MatchingReader,
    pieces: &[&[u8]],
) -> std::result::Result<BodyStatus, AnswerError> {
    let mut input = BytesMut::new();
    let mut status = BodyStatus::Partial;
    for piece in pieces {
        input.extend_from_slice(piece);
        status = reader.read(&mut input)?;
    }
    Ok(status)
}

fn read_whole(bytes: &str) -> MatchedAnswer {
    let mut reader = reader();
    let status = read_pieces(&mut reader, &[bytes.as_bytes()]);
    assert_eq!(status, Ok(BodyStatus::Whole), "{bytes}");
    reader.into_answer(true).unwrap()
}

fn error_of(bytes: &str) -> std::result::Result<BodyStatus, AnswerError> {
    read_pieces(&mut reader(), &[bytes.as_bytes()])
}

/// Guards against a rule that looks at the status or at the statement of a server before it looks at
/// the request ID: each answer of another request is skipped, whatever it says.
#[gtest]
fn an_answer_of_any_status_belongs_to_the_request_whose_id_it_carries() {
    for own in STATUSES {
        let answer_to_own = answer(own, OWN, "own");
        let alone = read_whole(&answer_to_own);
        expect_that!(&*alone.body().contiguous(), eq(b"own"));
        expect_that!(alone.is_connection_reusable(), eq(true));
        for mismatched in STATUSES {
            for mismatched in [
                answer(mismatched, OTHER, "x"),
                chunked(mismatched, OTHER, "x"),
            ] {
                let behind = read_whole(&format!("{mismatched}{answer_to_own}"));
                expect_that!(behind.head(), eq(alone.head()), "{mismatched} {own}");
                expect_that!(&*behind.body().contiguous(), eq(b"own"));
                expect_that!(behind.is_connection_reusable(), eq(false));
            }
        }
    }
}

#[gtest]
fn nothing_of_a_mismatched_answer_is_handed_out() {
    for status in STATUSES {
        let mut reader = reader();
        let mismatched = answer(status, OTHER, "mismatched");
        let status_after = read_pieces(&mut reader, &[mismatched.as_bytes()]);
        expect_that!(status_after, eq(&Ok(BodyStatus::Partial)));
        expect_that!(reader.matched_part().is_none(), eq(true));
        expect_that!(reader.is_whole_at_close(), eq(false));
        let skipped = MismatchedAnswer {
            request: OTHER.to_owned(),
            status: status[..3].parse().unwrap(),
        };
        expect_that!(reader.take_skipped(), eq(&vec![skipped]));
        expect_that!(reader.take_skipped(), is_empty());
        expect_that!(reader.into_answer(true), none());
    }
}

/// A mismatched answer without a length lasts until the connection ends: the own answer is lost.
#[gtest]
fn a_mismatched_answer_that_ends_with_the_connection_never_completes_the_request() {
    let mismatched = format!("HTTP/1.1 200 OK\r\nSignature: s\r\nId: {OTHER}\r\n\r\nbody");
    let own = answer("200 OK\r\nSignature: s", OWN, "own");
    let mut reader = reader();
    let status = read_pieces(&mut reader, &[mismatched.as_bytes(), own.as_bytes()]);
    expect_that!(status, eq(&Ok(BodyStatus::Partial)));
    expect_that!(reader.is_whole_at_close(), eq(false));
    expect_that!(reader.into_answer(true), none());
}

#[gtest]
fn an_answer_without_one_id_or_a_success_without_a_signature_has_no_known_owner() {
    let table = [
        (
            "HTTP/1.1 503 -\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n".to_owned(),
            UnidentifiedAnswer::WithoutId,
        ),
        (
            "HTTP/1.1 421 -\r\nContent-Length: 0\r\n\r\n".to_owned(),
            UnidentifiedAnswer::WithoutId,
        ),
        (
            format!("HTTP/1.1 503 -\r\nId: {OTHER}\r\nId: {OWN}\r\nContent-Length: 0\r\n\r\n"),
            UnidentifiedAnswer::SeveralIds,
        ),
        (answer("200 OK", OWN, ""), UnidentifiedAnswer::Unsigned),
    ];
    for (bytes, source) in table {
        let error = AnswerError::Unidentified { source };
        expect_that!(error_of(&bytes), eq(&Err(error.clone())), "{bytes}");
        let behind = format!("{}{bytes}", answer("200 OK\r\nSignature: s", OTHER, "x"));
        expect_that!(error_of(&behind), eq(&Err(error)), "{behind}");
    }
    expect_that!(
        error_of("no answer at all\r\n\r\n"),
        matches_pattern!(Err(matches_pattern!(AnswerError::Malformed { .. })))
    );
}

#[gtest]
fn mismatched_answers_are_skipped_up_to_a_bound() {
    let own = answer("200 OK\r\nSignature: s", OWN, "own");
    let mismatched = answer("503 -\r\nNot-Run: 1", OTHER, "");
    let behind = |count: usize| format!("{}{own}", mismatched.repeat(count));
    expect_that!(
        &*read_whole(&behind(MAX_MISMATCHED_ANSWERS))
            .body()
            .contiguous(),
        eq(b"own")
    );
    let too_many = AnswerError::Unidentified {
        source: UnidentifiedAnswer::TooManyMismatched,
    };
    expect_that!(
        error_of(&behind(MAX_MISMATCHED_ANSWERS + 1)),
        eq(&Err(too_many.clone()))
    );
    let long = "x".repeat(MAX_MISMATCHED_BYTES);
    let status = "200 OK\r\nSignature: s";
    let longest = format!("{}{own}", answer(status, OTHER, &long));
    expect_that!(&*read_whole(&longest).body().contiguous(), eq(b"own"));
    let too_long = answer(status, OTHER, &format!("{long}x"));
    expect_that!(error_of(&too_long), eq(&Err(too_many)));
}

proptest! {
    /// Guards against a reader that takes bytes of a mismatched answer for those of the own one when
    /// they arrive in one read, or an answer in several.
    #[test]
    fn the_own_answer_is_the_same_however_its_bytes_and_those_before_it_arrive(
        mismatched in proptest::collection::vec((0..STATUSES.len(), any::<bool>(), "[a-z]{0,20}"), 0..4),
        own in 0..STATUSES.len(),
        is_chunked in any::<bool>(),
        body in "[a-z\n]{0,40}",
        cuts in proptest::collection::vec(0.0..1.0_f64, 0..8),
    ) {
        let encode = |is_chunked: bool, status: &str, id: &str, body: &str| {
            if is_chunked && !body.is_empty() {
                chunked(status, id, body)
            } else {
                answer(status, id, body)
            }
        };
        let mut bytes = String::new();
        for (status, is_chunked, body) in &mismatched {
            bytes.push_str(&encode(*is_chunked, STATUSES[*status], OTHER, body));
        }
        bytes.push_str(&encode(is_chunked, STATUSES[own], OWN, &body));
        let mut positions: Vec<usize> =
            cuts.iter().map(|cut| (cut * bytes.len() as f64) as usize).collect();
        positions.extend([0, bytes.len()]);
        positions.sort_unstable();
        let mut reader = reader();
        let mut input = BytesMut::new();
        let mut taken = Vec::new();
        let mut last = BodyStatus::Partial;
        for pair in positions.windows(2) {
            prop_assert_eq!(last, BodyStatus::Partial);
            if pair[0] == pair[1] {
                continue;
            }
            input.extend_from_slice(&bytes.as_bytes()[pair[0]..pair[1]]);
            last = reader.read(&mut input).unwrap();
            if let Some(mut part) = reader.matched_part() {
                taken.extend(part.take_body());
            }
        }
        prop_assert_eq!(last, BodyStatus::Whole);
        prop_assert_eq!(taken, body.into_bytes());
        let skipped = reader.take_skipped();
        prop_assert_eq!(skipped.len(), mismatched.len());
        let answer = reader.into_answer(true).unwrap();
        let status: u16 = STATUSES[own][..3].parse().unwrap();
        prop_assert_eq!(answer.head().status.code(), status);
        prop_assert_eq!(answer.is_connection_reusable(), mismatched.is_empty());
    }
}

/// Guards against a new place that acts on an answer before its owner is known: only one module of
/// the gateway can read the answers of servers.
#[gtest]
fn only_one_module_reads_the_answers_of_servers() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/src");
    let mut folders = vec![std::path::PathBuf::from(folder)];
    let mut readers = Vec::new();
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            let source = std::fs::read_to_string(&path).unwrap();
            if source.contains("AnswerReader") || source.contains("WholeAnswer") {
                readers.push(path.file_name().unwrap().to_string_lossy().into_owned());
            }
        }
    }
    expect_that!(readers, elements_are![eq("answer_matching.rs")]);
}
