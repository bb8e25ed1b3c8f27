//! Live requests through a node: complete answers, at-most-once execution and HTTP framing.

mod common;

use common::back_end::{BackEnd, ReceivedRequest, write, write_response};
use common::caller::{exchange, exchange_and_close, get, post, post_bytes};
use common::groups::Claimed;
use common::{LIVE, TestNode, live_site, wait_until};
use googletest::prelude::*;
use std::net::TcpStream;
use wingshore_types::protocol::claims::ClaimOutcome;

/// Reads the request and closes the connection without an answer: the request may have run.
fn close_without_answer(_: &ReceivedRequest, _: &mut TcpStream) {}

/// Declares a longer body than it sends.
fn truncated_body(_: &ReceivedRequest, stream: &mut TcpStream) {
    write(
        stream,
        b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly this",
    );
}

#[gtest]
fn a_request_is_forwarded_as_it_is() {
    let server = BackEnd::start(|_, stream| {
        write_response(stream, 201, "X-Charge: 17\r\nX-Charge: 18\r\n", b"charged");
    });
    let groups = live_site(&[&server]);
    let node = TestNode::start(&groups, "node-a", "");
    let target = format!("/{LIVE}/charges/7?zone=a%20b&x=1");
    let headers = "X-Card: 4711\r\nConnection: keep-alive, x-hop\r\nX-Hop: 1\r\n";
    let answer = post(node.address(), &target, headers, "fare=3.25");
    expect_that!(answer.status, eq(201));
    expect_that!(answer.text(), eq("charged"));
    expect_that!(answer.header("x-charge"), some(eq("17")));
    expect_that!(answer.header("x-wingshore-server"), some(eq("api-0")));
    let arrived = server.arrived();
    assert_that!(arrived, len(eq(1)));
    expect_that!(arrived[0].method, eq("POST"));
    expect_that!(arrived[0].target, eq("/charges/7?zone=a%20b&x=1"));
    expect_that!(arrived[0].body, eq(b"fare=3.25"));
    expect_that!(arrived[0].header("x-card"), some(eq("4711")));
    expect_that!(arrived[0].header("x-hop"), none());
    node.finish();
}

#[gtest]
fn bodies_whose_length_cannot_be_relied_on_are_never_forwarded() {
    let server = BackEnd::answering("charged");
    let groups = live_site(&[&server]);
    let node = TestNode::start(&groups, "node-a", "");
    let head = format!("POST /{LIVE}/charges HTTP/1.1\r\nHost: node\r\n");
    let cases = [
        ("Content-Length: -1\r\n\r\n", "bad_length", 400),
        ("Content-Length: +4\r\n\r\nabcd", "bad_length", 400),
        ("Content-Length: 4, 4\r\n\r\nabcd", "bad_length", 400),
        (
            "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
            "bad_length",
            400,
        ),
        (
            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
            "bad_length",
            400,
        ),
        (
            "Transfer-Encoding: gzip\r\n\r\n0\r\n\r\n",
            "bad_length",
            400,
        ),
        ("Content-Length: 70000\r\n\r\n", "body_too_large", 413),
        (
            "Content-Length: 9000000000000000000\r\n\r\n",
            "body_too_large",
            413,
        ),
        ("Content-Length: 5000\r\n\r\nonly this", "body_cut", 400),
        (
            "Transfer-Encoding: chunked\r\n\r\n4\r\nab",
            "length_required",
            411,
        ),
        (
            "Connection: upgrade\r\nUpgrade: h2c\r\n\r\n",
            "bad_length",
            400,
        ),
    ];
    for (rest, code, status) in cases {
        let bytes = format!("{head}{rest}");
        let answer = exchange_and_close(node.address(), bytes.as_bytes());
        assert_that!(answer, some(anything()), "for {rest:?}");
        let answer = answer.expect("checked above");
        expect_that!(answer.status, eq(status), "for {rest:?}");
        let expected = (code.to_owned(), "not_run".to_owned());
        // The upgrade answer of the HTTP library has no body.
        if !answer.body.is_empty() {
            expect_that!(answer.error(), eq(&expected), "for {rest:?}");
        }
    }
    // The HTTP library drops bodies of up to 1 KiB together with the connection.
    let bytes = format!("{head}Content-Length: 20\r\n\r\nonly this");
    expect_that!(exchange_and_close(node.address(), bytes.as_bytes()), none());
    expect_that!(server.count(), eq(0));
    expect_that!(get(node.address(), "/healthz").status, eq(200));
    node.finish();
}

#[gtest]
fn what_follows_a_body_without_a_reliable_length_is_not_taken_for_a_request() {
    let server = BackEnd::answering("charged");
    let groups = live_site(&[&server]);
    let node = TestNode::start(&groups, "node-a", "");
    let hidden = String::from_utf8(post_bytes(&format!("/{LIVE}/charges"), "", "x"))
        .expect("the request is text");
    let heads = [
        "Content-Length: -1\r\n\r\n",
        "Content-Length: 0\r\nContent-Length: 90\r\n\r\n",
        "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ];
    for head in heads {
        let bytes = format!("POST /{LIVE}/notes HTTP/1.1\r\nHost: node\r\n{head}{hidden}");
        let mut stream = common::caller::connect(node.address());
        std::io::Write::write_all(&mut stream, bytes.as_bytes())
            .expect("the node takes the request");
        let mut reader = std::io::BufReader::new(&stream);
        for _ in 0..2 {
            let answer = common::caller::read_answer(&mut reader);
            expect_that!(answer.status, eq(400), "for {head:?}");
        }
    }
    expect_that!(server.count(), eq(0));
    node.finish();
}

#[gtest]
fn a_connection_goes_on_after_a_body_in_whole_chunks() {
    let server = BackEnd::answering("charged");
    let groups = live_site(&[&server]);
    let node = TestNode::start(&groups, "node-a", "");
    let chunked = "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n";
    let mut bytes = format!("POST /{LIVE}/notes HTTP/1.1\r\nHost: node\r\n{chunked}");
    let next = post_bytes(&format!("/{LIVE}/charges"), "", "x");
    bytes.push_str(std::str::from_utf8(&next).expect("the request is text"));
    let mut stream = common::caller::connect(node.address());
    std::io::Write::write_all(&mut stream, bytes.as_bytes()).expect("the node takes it");
    let mut reader = std::io::BufReader::new(&stream);
    for status in [411, 200] {
        let answer = common::caller::read_answer(&mut reader);
        expect_that!(answer.status, eq(status));
    }
    expect_that!(server.count(), eq(1));
    node.finish();
}

#[gtest]
fn invalid_headers_are_refused_as_not_run() {
    let server = BackEnd::answering("charged");
    let groups = live_site(&[&server]);
    let node = TestNode::start(&groups, "node-a", "");
    let cases = [
        "X-Wingshore-Deadline-Ms: soon\r\n",
        "X-Wingshore-Deadline-Ms: 0\r\n",
        "X-Wingshore-No-Repeat: maybe\r\n",
        "X-Wingshore-Priority: high\r\n",
        "Idempotency-Key: \r\n",
        "Idempotency-Key: a\r\nIdempotency-Key: b\r\n",
    ];
    for headers in cases {
        let answer = post(node.address(), &format!("/{LIVE}/charges"), headers, "x");
        expect_that!(answer.status, eq(400), "for {headers:?}");
        let expected = ("invalid_header".to_owned(), "not_run".to_owned());
        expect_that!(answer.error(), eq(&expected), "for {headers:?}");
    }
    expect_that!(server.count(), eq(0));
    node.finish();
}

#[gtest]
fn a_request_that_may_have_run_is_not_sent_again() {
    type Script = fn(&ReceivedRequest, &mut TcpStream);
    let scripts: [(Script, &str); 2] = [
        (close_without_answer, "connection_lost"),
        (truncated_body, "answer_cut"),
    ];
    for (script, code) in scripts {
        let servers = [BackEnd::start(script), BackEnd::start(script)];
        let groups = live_site(&[&servers[0], &servers[1]]);
        let node = TestNode::start(&groups, "node-a", "");
        let answer = post(node.address(), &format!("/{LIVE}/charges"), "", "x");
        expect_that!(answer.status, eq(502));
        let expected = (code.to_owned(), "may_have_run".to_owned());
        expect_that!(answer.error(), eq(&expected));
        expect_that!(servers[0].count() + servers[1].count(), eq(1), "for {code}");
        node.finish();
    }
}

#[gtest]
fn a_safe_request_is_sent_again_until_a_whole_answer_comes() {
    let servers = [
        BackEnd::start(truncated_body),
        BackEnd::answering("balance"),
    ];
    let groups = live_site(&[&servers[0], &servers[1]]);
    let node = TestNode::start(&groups, "node-a", "");
    for _ in 0..8 {
        let answer = get(node.address(), &format!("/{LIVE}/balance"));
        expect_that!(answer.status, eq(200));
        expect_that!(answer.text(), eq("balance"));
    }
    node.finish();
}

#[gtest]
fn a_request_that_a_server_reports_as_not_run_goes_to_another() {
    let refusing =
        BackEnd::start(|_, stream| write_response(stream, 503, "X-Not-Run: true\r\n", b""));
    let serving = BackEnd::answering("charged");
    let groups = live_site(&[&refusing, &serving]);
    let node = TestNode::start(&groups, "node-a", "");
    for _ in 0..4 {
        let answer = post(node.address(), &format!("/{LIVE}/charges"), "", "x");
        expect_that!(answer.text(), eq("charged"));
    }
    expect_that!(serving.count(), eq(4));
    node.finish();
}

#[gtest]
fn an_answer_without_a_declared_end_is_no_success() {
    let server = BackEnd::start(|_, stream| {
        write(
            stream,
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole or not?",
        );
    });
    let groups = live_site(&[&server]);
    let node = TestNode::start(&groups, "node-a", "");
    let answer = post(node.address(), &format!("/{LIVE}/charges"), "", "x");
    let expected = ("answer_cut".to_owned(), "may_have_run".to_owned());
    expect_that!(answer.error(), eq(&expected));
    node.finish();
}

#[gtest]
fn an_answer_beyond_the_limit_is_no_success() {
    let server = BackEnd::start(|_, stream| write_response(stream, 200, "", &vec![b'x'; 70_000]));
    let groups = live_site(&[&server]);
    let node = TestNode::start(&groups, "node-a", "");
    let answer = get(node.address(), &format!("/{LIVE}/all"));
    expect_that!(answer.status, eq(502));
    let expected = ("answer_too_large".to_owned(), "ran".to_owned());
    expect_that!(answer.error(), eq(&expected));
    expect_that!(server.count(), eq(1));
    node.finish();
}

#[gtest]
fn a_key_runs_once_through_two_nodes_and_its_answer_is_replayed() {
    let server = BackEnd::answering("charged once");
    let groups = live_site(&[&server]);
    let nodes = ["node-a", "node-b"].map(|name| TestNode::start(&groups, name, ""));
    let target = format!("/{LIVE}/charges");
    let first = post(
        nodes[0].address(),
        &target,
        "Idempotency-Key: ride-1\r\n",
        "x",
    );
    expect_that!(first.text(), eq("charged once"));
    expect_that!(first.header("x-wingshore-replayed"), none());
    wait_until("the claim is settled", || {
        let claimed = groups.claimed();
        matches!(
            claimed[..],
            [Claimed::Ended(ClaimOutcome::Answered(Some(_)))]
        )
    });
    let again = post(
        nodes[1].address(),
        &target,
        "Idempotency-Key: ride-1\r\n",
        "x",
    );
    expect_that!(again.status, eq(200));
    expect_that!(again.text(), eq("charged once"));
    expect_that!(again.header("x-wingshore-replayed"), some(eq("true")));
    expect_that!(server.count(), eq(1));
    nodes.into_iter().for_each(TestNode::finish);
}

#[gtest]
fn a_key_whose_request_may_have_run_stays_taken() {
    let server = BackEnd::start(close_without_answer);
    let groups = live_site(&[&server]);
    let nodes = ["node-a", "node-b"].map(|name| TestNode::start(&groups, name, ""));
    let target = format!("/{LIVE}/charges");
    let lost = post(
        nodes[0].address(),
        &target,
        "Idempotency-Key: ride-2\r\n",
        "x",
    );
    let expected = ("connection_lost".to_owned(), "may_have_run".to_owned());
    expect_that!(lost.error(), eq(&expected));
    let again = post(
        nodes[1].address(),
        &target,
        "Idempotency-Key: ride-2\r\n",
        "x",
    );
    expect_that!(again.status, eq(409));
    let expected = ("key_taken".to_owned(), "may_have_run".to_owned());
    expect_that!(again.error(), eq(&expected));
    expect_that!(again.header("retry-after"), some(anything()));
    expect_that!(server.count(), eq(1));
    nodes.into_iter().for_each(TestNode::finish);
}

#[gtest]
fn a_key_is_not_sent_while_the_claims_group_does_not_answer() {
    let server = BackEnd::answering("charged");
    let groups = live_site(&[&server]);
    let node = TestNode::start(&groups, "node-a", "");
    groups.stop_answering();
    let headers = "Idempotency-Key: ride-3\r\nX-Wingshore-Deadline-Ms: 300\r\n";
    let answer = post(node.address(), &format!("/{LIVE}/charges"), headers, "x");
    expect_that!(answer.status, eq(503));
    let expected = ("claims_unavailable".to_owned(), "not_run".to_owned());
    expect_that!(answer.error(), eq(&expected));
    expect_that!(server.count(), eq(0));
    // The background call that settles the claim keeps retrying; this test does not wait for
    // it.
    drop(node);
}

#[gtest]
fn requests_on_one_connection_get_their_own_answers_in_order() {
    let server = BackEnd::start(|arrived, stream| {
        write_response(stream, 200, "", arrived.target.as_bytes());
    });
    let groups = live_site(&[&server]);
    let node = TestNode::start(&groups, "node-a", "");
    let mut stream = common::caller::connect(node.address());
    for number in 0..8 {
        let target = format!("/{LIVE}/shift/{number}");
        let bytes = post_bytes(&target, "", "x");
        std::io::Write::write_all(&mut stream, &bytes).expect("the node takes the request");
    }
    let mut reader = std::io::BufReader::new(&stream);
    for number in 0..8 {
        let answer = common::caller::read_answer(&mut reader);
        expect_that!(answer.text(), eq(&format!("/shift/{number}")));
    }
    node.finish();
}

#[gtest]
fn unknown_paths_services_and_methods_are_refused_as_not_run() {
    let server = BackEnd::answering("charged");
    let groups = live_site(&[&server]);
    let node = TestNode::start(&groups, "node-a", "");
    let cases = [
        ("GET /nothing/here", 404, "unknown_service"),
        ("GET /v1/pools", 404, "not_found"),
        ("GET /v1/completions", 405, "method_not_allowed"),
        ("POST /healthz", 405, "method_not_allowed"),
        ("POST /v1/pools/p/steps/one/pull", 400, "invalid_request"),
        ("POST /v1/pools/p/samples", 404, "unknown_pool"),
    ];
    for (request, status, code) in cases {
        let body = r#"{"prompts":[]}"#;
        let bytes = format!(
            "{request} HTTP/1.1\r\nHost: node\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let answer = exchange(node.address(), bytes.as_bytes());
        expect_that!(answer.status, eq(status), "for {request}");
        let expected = (code.to_owned(), "not_run".to_owned());
        expect_that!(answer.error(), eq(&expected), "for {request}");
    }
    node.finish();
}
