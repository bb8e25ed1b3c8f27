//! Guards against a reader that takes bytes for as long as a faulty server sends them: parts of an
//! answer that have no length of their own must end after a bound, in however many pieces they
//! arrive. All readers of answers use the one reader under test.

use bytes::BytesMut;
use googletest::prelude::*;
use wingshore_net::http::{AnswerReader, BodyStatus, HttpError};

/// Bytes after which each part must have been refused: well above the limit of a head (64 KiB) and
/// of sixteen interim answers of that length.
const MOST_BYTES: usize = 2 << 20;
/// Sizes of the pieces in which the bytes arrive.
const PIECES: [usize; 3] = [7, 1_000, 100_000];

/// Feeds `begin`, then `unit` again and again, and returns the error of the reader; `None` if it
/// still reads after [`MOST_BYTES`].
fn error_of(begin: &str, unit: &str, piece: usize) -> Option<HttpError> {
    let mut reader = AnswerReader::new(usize::MAX);
    let mut input = BytesMut::new();
    let units = unit.as_bytes().iter().cycle().copied();
    let mut bytes = begin.bytes().chain(units);
    let mut sent = 0;
    while sent < MOST_BYTES {
        input.extend(bytes.by_ref().take(piece));
        sent += piece;
        match reader.read(&mut input) {
            Ok(BodyStatus::Partial) => {}
            Ok(BodyStatus::Whole) => return None,
            Err(error) => return Some(error),
        }
    }
    None
}

fn expect_error(begin: &str, unit: &str) -> Result<()> {
    for piece in PIECES {
        verify_that!(error_of(begin, unit, piece), some(anything())).with_failure_message(
            || format!("{begin:?}, then {unit:?} without end, in pieces of {piece} bytes"),
        )?;
    }
    Ok(())
}

#[gtest]
fn interim_answers_without_end_are_refused() -> Result<()> {
    expect_error("", "HTTP/1.1 100 Continue\r\n\r\n")?;
    expect_error("", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
}

#[gtest]
fn some_interim_answers_are_no_fault() -> Result<()> {
    let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(8);
    let bytes = format!("{interim}HTTP/1.1 204 No Content\r\n\r\n");
    let mut reader = AnswerReader::new(usize::MAX);
    let status = reader.read(&mut BytesMut::from(bytes.as_bytes()));
    verify_that!(status, ok(eq(&BodyStatus::Whole)))
}

#[gtest]
fn a_head_without_end_is_refused() -> Result<()> {
    expect_error("HTTP/1.1 200 ", "a")?;
    expect_error("HTTP/1.1 200 OK\r\n", "a")?;
    expect_error("HTTP/1.1 200 OK\r\nName: ", "a")?;
    expect_error("HTTP/1.1 200 OK\r\n", "Name: value\r\n")
}

#[gtest]
fn a_trailer_without_end_is_refused() -> Result<()> {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    expect_error(&format!("{head}2\r\nok\r\n0\r\n"), "Name: value\r\n")?;
    expect_error(&format!("{head}0\r\n"), "a")
}

#[gtest]
fn a_chunk_line_without_end_is_refused() -> Result<()> {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    expect_error(head, "1")?;
    expect_error(&format!("{head}2;extension="), "a")?;
    expect_error(&format!("{head}2\r\nok"), "a")
}

/// The bytes of a body that are taken while it arrives do not count: a stream may be long.
#[gtest]
fn a_body_is_held_up_to_its_maximum() -> Result<()> {
    for framing in ["", "Content-Length: 1000000\r\n"] {
        let mut reader = AnswerReader::new(100);
        let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n");
        verify_that!(
            reader.read(&mut BytesMut::from(head.as_bytes())),
            ok(anything())
        )?;
        for _ in 0..10 {
            verify_that!(
                reader.read(&mut BytesMut::from([b'a'; 100].as_slice())),
                ok(anything())
            )?;
            verify_that!(reader.take_body().len(), eq(100))?;
        }
        let beyond = reader.read(&mut BytesMut::from([b'a'; 101].as_slice()));
        verify_that!(beyond, err(anything()))?;
    }
    Ok(())
}
