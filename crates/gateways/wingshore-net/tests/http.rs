//! Reading of HTTP/1.1 messages: only complete messages are returned, whatever the pieces in which
//! their bytes arrive, and ambiguous framing, which allows request smuggling, is refused.

use bytes::BytesMut;
use googletest::prelude::*;
use proptest::prelude::*;
use wingshore_net::http::{AnswerReader, BodyStatus, RequestError, RequestReader};

const LIMIT: usize = 4096;

fn read(bytes: &[u8]) -> std::result::Result<Vec<(String, Vec<u8>)>, RequestError> {
    let mut input = BytesMut::from(bytes);
    let mut reader = RequestReader::default();
    let mut requests = Vec::new();
    while let Some(request) = reader.next(&mut input, LIMIT, LIMIT)? {
        requests.push((request.head.target, request.body.contiguous().into_owned()));
    }
    Ok(requests)
}

proptest! {
    #[test]
    fn any_split_gives_the_same_requests(cuts in proptest::collection::vec(0_usize..150, 0..10)) {
        let stream = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello\
            POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n\
            GET /c HTTP/1.1\r\n\r\n";
        let mut cuts: Vec<usize> = cuts.into_iter().filter(|cut| *cut < stream.len()).collect();
        cuts.sort_unstable();
        let mut reader = RequestReader::default();
        let mut input = BytesMut::new();
        let mut found = Vec::new();
        let mut start = 0;
        for cut in cuts.into_iter().chain([stream.len()]) {
            input.extend_from_slice(&stream[start..cut]);
            start = cut;
            while let Some(request) = reader.next(&mut input, LIMIT, LIMIT).unwrap() {
                found.push((request.head.target, request.body.contiguous().into_owned()));
            }
        }
        let expected = vec![
            ("/a".to_owned(), b"hello".to_vec()),
            ("/b".to_owned(), b"abcde".to_vec()),
            ("/c".to_owned(), Vec::new()),
        ];
        prop_assert_eq!(found, expected);
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = read(&bytes);
        let mut reader = AnswerReader::new(usize::MAX);
        let _ = reader.read(&mut BytesMut::from(bytes.as_slice()));
    }
}

#[gtest]
fn requests_with_ambiguous_framing_are_refused() {
    let heads = [
        "Content-Length: -1",
        "Content-Length: 5\r\nContent-Length: 6",
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    ];
    for head in heads {
        let request = format!("POST / HTTP/1.1\r\n{head}\r\n\r\nhello");
        let status = read(request.as_bytes()).map_err(|error| error.status());
        expect_that!(status, err(eq(&400)), "{head}");
    }
}

#[gtest]
fn heads_and_bodies_over_the_limit_are_refused_with_their_status() {
    let long_head = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(LIMIT));
    let status = read(long_head.as_bytes()).map_err(|error| error.status());
    expect_that!(status, err(eq(&431)));
    let long_body = format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", LIMIT + 1);
    let status = read(long_body.as_bytes()).map_err(|error| error.status());
    expect_that!(status, err(eq(&413)));
    let chunk = "x".repeat(LIMIT + 1);
    let chunked = format!(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{chunk}\r\n0\r\n\r\n",
        chunk.len()
    );
    let status = read(chunked.as_bytes()).map_err(|error| error.status());
    expect_that!(status, err(eq(&413)));
}

fn answer(bytes: &[u8]) -> (AnswerReader, BytesMut, BodyStatus) {
    let mut reader = AnswerReader::new(usize::MAX);
    let mut input = BytesMut::from(bytes);
    let status = reader.read(&mut input).expect("an answer");
    (reader, input, status)
}

#[gtest]
fn a_truncated_answer_is_not_complete() {
    let (reader, _, status) = answer(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhell");
    expect_that!(status, eq(BodyStatus::Partial));
    expect_that!(reader.is_whole_at_close(), eq(false));
    let (reader, _, status) =
        answer(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhell\r\n");
    expect_that!(status, eq(BodyStatus::Partial));
    expect_that!(reader.is_whole_at_close(), eq(false));
}

#[gtest]
fn an_answer_without_a_length_ends_with_its_connection() {
    let (reader, _, status) = answer(b"HTTP/1.1 200 OK\r\n\r\nhello");
    expect_that!(status, eq(BodyStatus::Partial));
    expect_that!(reader.is_whole_at_close(), eq(true));
    let answer = reader.into_answer(false).expect("whole at the close");
    expect_that!(answer.body, container_eq(*b"hello"));
}

#[gtest]
fn bytes_after_an_answer_stay_in_the_input() {
    let (_, input, status) =
        answer(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n");
    expect_that!(status, eq(BodyStatus::Whole));
    expect_that!(input.is_empty(), eq(false));
}

#[gtest]
fn interim_answers_are_skipped() {
    let (reader, _, status) =
        answer(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
    expect_that!(status, eq(BodyStatus::Whole));
    expect_that!(reader.head().map(|head| head.status.code()), some(eq(204)));
}
