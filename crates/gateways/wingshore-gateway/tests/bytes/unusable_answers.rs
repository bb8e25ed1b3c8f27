//! Bytes of servers that are no answer, on every path on which a gateway reads answers: live
//! requests, streams, items and scorings. The gateway runs inside the test, which plays the servers.
//!
//! Guards against a caller that gets such bytes as an answer, and against a gateway that reads or
//! keeps them for as long as the server sends them.

use crate::bytes::site::{Server, Site, read_message};
use crate::bytes::view::{item, scorer, view, view_with_engine};
use googletest::prelude::*;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;
use wingshore_coordination::{
    AssignmentId, CoordinatorMessage, GatewayMessage, IncomingFrame, ItemOutcome, NotScoredReason,
    ScoringOutcome,
};
use wingshore_types::Epoch;

/// Length of a piece of bytes that go on without end.
const PIECE_BYTES: usize = 64 << 10;
/// Bytes that a gateway may take of an answer without end: the longest body (36 MiB), and as much as
/// the buffers of two sockets hold.
const MOST_BYTES: usize = (36 << 20) + (16 << 20);
/// Time after which a server that sends bytes without end is cut off at the latest; longer than any
/// route's timeout.
const CUT_OFF_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for a client to see that the rest of a stream does not come.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(4);

/// Time in which a connection that was closed shows it; shorter than any route's timeout.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Path on which a gateway reads an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Path {
    Request,
    Stream,
    Item,
    Scoring,
}

const PATHS: [Path; 4] = [Path::Request, Path::Stream, Path::Item, Path::Scoring];

/// What a caller got.
#[derive(Debug, PartialEq, Eq)]
enum Got {
    /// Neither an answer nor a result.
    Failure,
    /// Something that looks complete.
    Answer(String),
}

/// Request that waits for its answer at a server.
struct Waiting {
    site: Site,
    path: Path,
    client: Option<TcpStream>,
    upstream: TcpStream,
    /// Keeps the listeners open.
    _servers: [Server; 2],
}

impl Waiting {
    fn on(path: Path) -> Self {
        let servers = [Server::start(), Server::start()];
        let [one, engine] = &servers;
        match path {
            Path::Request => {
                let site = Site::with_view(view(one.address(), Vec::new()));
                let request = "POST /live/x HTTP/1.1\r\nHost: open.test\r\nId: id-1\r\n\
                               Content-Length: 0\r\n\r\n";
                let client = send(&site, request);
                let (upstream, _) = one.accept();
                Self::new(site, path, Some(client), upstream, servers)
            }
            Path::Stream => {
                let site = Site::with_view(view(one.address(), vec![engine.address()]));
                let request = "POST /stream/x HTTP/1.1\r\nHost: open.test\r\nId: id-1\r\n\
                               Content-Length: 0\r\n\r\n";
                let client = send(&site, request);
                let (upstream, _) = engine.accept();
                Self::new(site, path, Some(client), upstream, servers)
            }
            Path::Item => {
                let site = Site::with_view(view_with_engine(one.address(), engine.address()));
                assign_item(&site, engine);
                let (upstream, _) = engine.accept();
                Self::new(site, path, None, upstream, servers)
            }
            Path::Scoring => {
                let site = Site::with_view(view_with_engine(one.address(), engine.address()));
                assign_item(&site, engine);
                let (mut upstream, _) = engine.accept();
                let answer = "HTTP/1.1 200 OK\r\nId: item-1\r\nSignature: s\r\nVersion: 3\r\n\
                              Content-Length: 18\r\n\r\nid: 12\ndata: two\n\n";
                upstream.write_all(answer.as_bytes()).unwrap();
                let (upstream, _) = one.accept();
                Self::new(site, path, None, upstream, servers)
            }
        }
    }

    fn new(
        site: Site,
        path: Path,
        client: Option<TcpStream>,
        upstream: TcpStream,
        servers: [Server; 2],
    ) -> Self {
        Self {
            site,
            path,
            client,
            upstream,
            _servers: servers,
        }
    }

    /// Returns the ID that the answer has to carry.
    fn id(&self) -> &'static str {
        match self.path {
            Path::Request | Path::Stream => "id-1",
            Path::Item => "item-1",
            Path::Scoring => "score-1",
        }
    }

    /// Returns lines for the head of an answer to the request.
    fn own_lines(&self) -> String {
        format!("Id: {}\r\nSignature: s\r\nVersion: 3\r\n", self.id())
    }

    /// Sends `begin` and then `unit` again and again until the gateway closes the connection;
    /// returns the number of bytes that were sent, or `None` if it still takes them.
    fn send_without_end(&mut self, begin: &str, unit: &str) -> Option<usize> {
        let upstream = &mut self.upstream;
        upstream.set_write_timeout(Some(CUT_OFF_TIMEOUT)).unwrap();
        upstream.write_all(begin.as_bytes()).unwrap();
        let piece = unit.repeat(PIECE_BYTES / unit.len());
        let mut sent = begin.len();
        while sent <= MOST_BYTES {
            match upstream.write(piece.as_bytes()) {
                Ok(length) => sent += length,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return None,
                Err(_) => return Some(sent),
            }
        }
        None
    }

    /// Returns what the caller gets in the end.
    fn outcome(mut self) -> Got {
        match self.path {
            Path::Request | Path::Stream => client_outcome(self.client.take().unwrap()),
            Path::Item => match self.site.expect(is_item_end) {
                IncomingFrame::FromGateway(GatewayMessage::ItemEnded {
                    outcome: ItemOutcome::Interrupted { text, .. },
                    ..
                }) if text.text == "one" => Got::Failure,
                other => Got::Answer(format!("{other:?}")),
            },
            Path::Scoring => match self.site.expect(is_scoring_end) {
                IncomingFrame::FromGateway(GatewayMessage::ScoringEnded {
                    outcome: ScoringOutcome::NotScored(NotScoredReason::NoAnswer),
                    ..
                }) => Got::Failure,
                other => Got::Answer(format!("{other:?}")),
            },
        }
    }
}

fn send(site: &Site, request: &str) -> TcpStream {
    let mut client = site.client();
    client.write_all(request.as_bytes()).unwrap();
    client
}

fn assign_item(site: &Site, engine: &Server) {
    let id = AssignmentId {
        epoch: Epoch(1),
        number: 1,
    };
    let scorer = scorer("open.test", "/live/score");
    let assignment = item(id, engine.address(), Some(scorer));
    site.send(&CoordinatorMessage::Assign(Box::new(assignment)));
}

fn is_item_end(frame: &IncomingFrame) -> bool {
    matches!(
        frame,
        IncomingFrame::FromGateway(GatewayMessage::ItemEnded { .. })
    )
}

fn is_scoring_end(frame: &IncomingFrame) -> bool {
    matches!(
        frame,
        IncomingFrame::FromGateway(GatewayMessage::ScoringEnded { .. })
    )
}

/// Bodies of the gateway's own answers where a request may have run and brought nothing, and where
/// its time is over.
const OWN_FAILURES: [&str; 2] = ["broken", "out_of_time"];

fn is_own_failure(text: &str) -> bool {
    let is_own = !text.contains("Signature") && text.starts_with("HTTP/1.1 503 ");
    is_own && OWN_FAILURES.iter().any(|body| text.ends_with(body))
}

/// Reads to the end of an answer, or of its connection. The gateway's own failures, and a stream
/// without its last chunk, are failures.
fn client_outcome(mut client: TcpStream) -> Got {
    client.set_read_timeout(Some(CLIENT_TIMEOUT)).unwrap();
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if is_own_failure(&text) {
            return Got::Failure;
        }
        if text.ends_with("0\r\n\r\n") {
            return Got::Answer(text);
        }
        match client.read(&mut buffer) {
            Ok(0) if text.contains("chunked") => return Got::Failure,
            Ok(0) | Err(_) => return Got::Answer(text),
            Ok(length) => bytes.extend_from_slice(&buffer[..length]),
        }
    }
}

/// Expects that a gateway closes the connection on which these bytes come without end, and that the
/// caller gets no answer.
fn expect_cut_off(path: Path, begin: &str, unit: &str) -> Result<()> {
    let mut waiting = Waiting::on(path);
    let begin = begin.replace("{own}", &waiting.own_lines());
    let case = format!("{path:?}: {begin:?}, then {unit:.40?} without end");
    let sent = waiting.send_without_end(&begin, unit);
    verify_that!(sent, some(le(MOST_BYTES))).with_failure_message(|| case.clone())?;
    verify_that!(waiting.outcome(), eq(&Got::Failure)).with_failure_message(|| case)
}

#[gtest]
fn heads_without_end_are_cut_off() -> Result<()> {
    for path in PATHS {
        expect_cut_off(path, "", "HTTP/1.1 100 Continue\r\n\r\n")?;
        expect_cut_off(path, "HTTP/1.1 200 ", "a")?;
        expect_cut_off(path, "HTTP/1.1 200 OK\r\n{own}", "a")?;
        expect_cut_off(path, "HTTP/1.1 200 OK\r\n{own}", "Name: value\r\n")?;
    }
    Ok(())
}

#[gtest]
fn bodies_without_end_are_cut_off() -> Result<()> {
    for path in PATHS {
        expect_cut_off(path, "HTTP/1.1 200 OK\r\n{own}\r\n", "a")?;
        expect_cut_off(path, "HTTP/1.1 404 -\r\n{own}\r\n", "a\n")?;
        let chunked = "HTTP/1.1 200 OK\r\n{own}Transfer-Encoding: chunked\r\n\r\n";
        let chunk = format!("1000\r\n{}\r\n", "a".repeat(0x1000));
        expect_cut_off(path, chunked, &chunk)?;
        expect_cut_off(path, &format!("{chunked}0\r\n"), "Name: value\r\n")?;
        let long = "HTTP/1.1 200 OK\r\n{own}Content-Length: 1000000000000\r\n\r\n";
        expect_cut_off(path, long, "a")?;
    }
    Ok(())
}

#[gtest]
fn events_without_end_are_cut_off() -> Result<()> {
    for path in [Path::Stream, Path::Item] {
        let head = "HTTP/1.1 200 OK\r\n{own}\r\n";
        expect_cut_off(path, &format!("{head}id: 12\ndata: "), "a")?;
        expect_cut_off(path, &format!("{head}id: 12\n"), "data: a\n")?;
        expect_cut_off(path, &format!("{head}id: 12\n"), ": no field\n")?;
    }
    Ok(())
}

/// An engine that sends lines of events, of which none holds data, held its item for as long as it
/// went on, since it was never silent.
#[gtest]
fn an_item_does_not_wait_for_events_without_data() -> Result<()> {
    expect_cut_off(Path::Item, "HTTP/1.1 200 OK\r\n{own}\r\n", ": x\n\n")
}

/// Sends `bytes`, in two pieces with a pause where `split` says so, closes, and expects that the
/// caller gets no answer.
fn expect_no_answer(path: Path, bytes: &str, split: Option<usize>) -> Result<()> {
    let mut waiting = Waiting::on(path);
    let bytes = bytes.replace("{own}", &waiting.own_lines());
    let (first, second) = bytes.split_at(split.unwrap_or(bytes.len()));
    waiting.upstream.write_all(first.as_bytes()).unwrap();
    if split.is_some() {
        std::thread::sleep(SHORT_TIMEOUT);
    }
    // The gateway may have closed the connection behind the first piece.
    let _ = waiting.upstream.write_all(second.as_bytes());
    let _ = waiting.upstream.shutdown(Shutdown::Write);
    let case = format!("{path:?}: {bytes:?}, split at {split:?}");
    verify_that!(waiting.outcome(), eq(&Got::Failure)).with_failure_message(|| case)
}

/// A client got such a status, with the body, as the answer of its server.
#[gtest]
fn a_number_that_is_no_status_is_no_answer() -> Result<()> {
    for path in PATHS {
        for code in ["000", "099", "101", "600", "999"] {
            let head = format!("HTTP/1.1 {code} OK\r\n{{own}}");
            expect_no_answer(path, &format!("{head}Content-Length: 2\r\n\r\nok"), None)?;
            expect_no_answer(path, &format!("{head}\r\nid: 12\ndata: two\n\n"), None)?;
        }
    }
    Ok(())
}

#[gtest]
fn a_field_whose_name_is_none_makes_no_answer() -> Result<()> {
    for path in PATHS {
        for line in ["Na me: v", "Na\u{1}me: v", "Name : v", " Name: v", ": v"] {
            let bytes = format!("HTTP/1.1 200 OK\r\n{{own}}{line}\r\nContent-Length: 2\r\n\r\nok");
            expect_no_answer(path, &bytes, None)?;
        }
    }
    Ok(())
}

/// A server that stops in the middle of its answer's head and closes: a client may not get a whole
/// answer with an empty or short body. The same behind an interim answer.
#[gtest]
fn an_answer_that_ends_in_its_head_is_no_answer() -> Result<()> {
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    for path in PATHS {
        for cut in [
            "HTTP/1.1 2",
            "HTTP/1.1 200 OK\r\n{own}",
            "HTTP/1.1 200 OK\r\n{own}Cont",
        ] {
            expect_no_answer(path, cut, None)?;
            expect_no_answer(path, cut, Some(9))?;
            let behind = format!("{interim}{cut}");
            expect_no_answer(path, &behind, None)?;
            expect_no_answer(path, &behind, Some(interim.len() + 5))?;
        }
    }
    Ok(())
}

/// The rest of a head may never come although the connection stays open.
#[gtest]
fn an_answer_that_stops_in_its_head_ends_with_the_attempt() -> Result<()> {
    for path in PATHS {
        let mut waiting = Waiting::on(path);
        let cut = format!("HTTP/1.1 200 OK\r\n{}", waiting.own_lines());
        waiting.upstream.write_all(cut.as_bytes()).unwrap();
        verify_that!(waiting.outcome(), eq(&Got::Failure))
            .with_failure_message(|| format!("{path:?}"))?;
    }
    Ok(())
}

/// Several answers at once, each below the limit of one: together they fill the memory of a gateway.
#[gtest]
fn incomplete_answers_together_are_bounded() -> Result<()> {
    let server = Server::start();
    let site = Site::with_view(view(server.address(), Vec::new()));
    let head = "Signature: s\r\nContent-Length: 33000000\r\n\r\n";
    let part = vec![b'a'; 24 << 20];
    let mut connections = Vec::new();
    for number in 1..=4 {
        let request = format!(
            "POST /live/x HTTP/1.1\r\nHost: open.test\r\nId: id-{number}\r\n\
             Content-Length: 0\r\n\r\n"
        );
        let client = send(&site, &request);
        let (mut upstream, _) = server.accept();
        let head = format!("HTTP/1.1 200 OK\r\nId: id-{number}\r\n{head}");
        upstream.write_all(head.as_bytes()).unwrap();
        let is_taken = upstream.write_all(&part).is_ok();
        connections.push((client, upstream, is_taken));
    }
    let is_closed = |upstream: &mut TcpStream| {
        upstream.set_read_timeout(Some(SHORT_TIMEOUT)).unwrap();
        match upstream.read(&mut [0; 16]) {
            Ok(length) => length == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    };
    let closed = connections
        .iter_mut()
        .map(|(_, upstream, is_taken)| !*is_taken || is_closed(upstream));
    let closed = closed.filter(|is_closed| *is_closed).count();
    verify_that!(closed, all!(ge(1), le(2)))
}

/// The checks above would pass in a gateway that refuses every answer.
#[gtest]
fn a_usable_answer_is_no_failure() -> Result<()> {
    let mut waiting = Waiting::on(Path::Request);
    let answer = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Length: 2\r\n\r\nok",
        waiting.own_lines()
    );
    waiting.upstream.write_all(answer.as_bytes()).unwrap();
    let mut client = waiting.client.take().unwrap();
    verify_that!(read_message(&mut client), ends_with("\r\n\r\nok"))?;
    let _ = waiting.upstream.shutdown(Shutdown::Both);
    Ok(())
}
