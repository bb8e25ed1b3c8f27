//! Guards against bytes of a back end that are no answer and are taken for one, or are read without
//! end: a status that is none, unusable fields, a head that is cut short, interim answers, heads and
//! bodies that never end. A faulty back end sends them.

mod common;

use common::back_end::{BackEnd, write};
use common::caller::post;
use common::{LIVE, TestNode, live_site};
use googletest::prelude::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that a node may take of an answer without end: the longest body, and as much as the buffers
/// of two sockets hold.
const MOST_BYTES: usize = 16 << 20;
/// Length of a piece of bytes that go on without end.
const PIECE_BYTES: usize = 64 << 10;

/// Sends `bytes` in place of an answer and closes; returns the caller's status.
fn status_for(bytes: &'static [u8]) -> u16 {
    let server = BackEnd::start(move |_, stream| {
        write(stream, bytes);
    });
    let groups = live_site(&[&server]);
    let node = TestNode::start(&groups, "node-a", "");
    let answer = post(node.address(), &format!("/{LIVE}/charges"), "", "x");
    node.finish();
    answer.status
}

#[gtest]
fn bytes_that_are_no_answer_are_no_success() {
    let no_answers: [&[u8]; 12] = [
        b"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 999 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 101 OK\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nNa me: v\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nNa\x01me: v\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nName : v\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\n Name: v\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nName: v\x01\r\nContent-Length: 2\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\n: v\r\nContent-Length: 2\r\n\r\nok",
    ];
    for bytes in no_answers {
        expect_that!(status_for(bytes), eq(502), "{}", bytes.escape_ascii());
    }
}

#[gtest]
fn an_answer_that_ends_in_its_head_is_no_success() {
    let cut: [&[u8]; 6] = [
        b"HTTP/1.1 2",
        b"HTTP/1.1 200 OK",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
    ];
    for bytes in cut {
        expect_that!(status_for(bytes), eq(502), "{}", bytes.escape_ascii());
    }
}

/// Expects that a node closes the connection on which these bytes come without end, and that the
/// caller gets no answer.
fn expect_cut_off(begin: &'static str, unit: &'static str) {
    let taken = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&taken);
    let server = BackEnd::start(move |_, stream| {
        let piece = unit.repeat(PIECE_BYTES / unit.len());
        write(stream, begin.as_bytes());
        while counter.load(Ordering::Relaxed) <= MOST_BYTES && write(stream, piece.as_bytes()) {
            counter.fetch_add(piece.len(), Ordering::Relaxed);
        }
    });
    let groups = live_site(&[&server]);
    let node = TestNode::start(&groups, "node-a", "");
    let answer = post(node.address(), &format!("/{LIVE}/charges"), "", "x");
    let case = format!("{begin:?}, then {unit:?} without end");
    expect_that!(answer.status, eq(502), "{case}");
    expect_that!(taken.load(Ordering::Relaxed), le(MOST_BYTES), "{case}");
    node.finish();
}

#[gtest]
fn heads_and_bodies_without_end_are_cut_off() {
    expect_cut_off("HTTP/1.1 200 ", "a");
    expect_cut_off("HTTP/1.1 200 OK\r\n", "a");
    expect_cut_off("HTTP/1.1 200 OK\r\n", "Name: value\r\n");
    expect_cut_off("HTTP/1.1 200 OK\r\n\r\n", "a");
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    expect_cut_off(chunked, "1\r\na\r\n");
}

#[gtest]
fn interim_answers_and_trailers_without_end_are_cut_off() {
    expect_cut_off("", "HTTP/1.1 100 Continue\r\n\r\n");
    let last_chunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    expect_cut_off(last_chunk, "Name: value\r\n");
}
