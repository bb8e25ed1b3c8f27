//! Answers with the ID of another request, over bytes: a server sends an answer once more, in the place
//! where the answer to the next request on the connection is due. The gateway runs inside the test, which plays the
//! servers.

use crate::bytes::second_attempts::{view_of_pair, view_with_suspect};
use crate::bytes::site::{Server, Site, read_message};
use crate::bytes::view::{item, view, view_with_engine};
use googletest::prelude::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use wingshore_coordination::{
    AssignmentId, BreakCause, CoordinatorMessage, GatewayMessage, IncomingFrame, ItemAssignment,
    ItemId, ItemOutcome, TrialAnswer, TrialEnd,
};
use wingshore_types::Epoch;

/// Pause between the parts of an answer that arrives in several reads.
const PAUSE: Duration = Duration::from_millis(20);

/// Heads of complete answers without a body, as far as the request ID.
const STATUSES: [&str; 7] = [
    "200 OK\r\nSignature: s",
    "404 -\r\nSignature: s",
    "422 -",
    "500 -",
    "503 -\r\nNot-Run: 1",
    "503 -",
    "421 -\r\nNot-Run: 1",
];

/// How the bytes of a mismatched answer and of the request's own one arrive.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    /// Both at once.
    Together,
    /// The mismatched answer first.
    Apart,
    /// The mismatched answer in two parts, the second together with the own answer.
    Split,
}

const ARRIVALS: [Arrival; 3] = [Arrival::Together, Arrival::Apart, Arrival::Split];

/// Returns a complete answer to a request, with some bytes as its body.
fn answer(status: &str, id: &str) -> String {
    format!("HTTP/1.1 {status}\r\nId: {id}\r\nContent-Length: 5\r\n\r\nbytes")
}

/// Sends a mismatched answer, and behind it the own answer of the request that waits.
fn send_both(server: &mut TcpStream, arrival: Arrival, mismatched: &str, own: &str) {
    let (first, second) = match arrival {
        Arrival::Together => (0, mismatched),
        Arrival::Apart => (mismatched.len(), ""),
        Arrival::Split => (mismatched.len() / 2, &mismatched[mismatched.len() / 2..]),
    };
    server.write_all(&mismatched.as_bytes()[..first]).unwrap();
    thread::sleep(PAUSE);
    server
        .write_all(format!("{second}{own}").as_bytes())
        .unwrap();
}

/// Returns an item whose first attempt has this number, as its ID has.
fn numbered_item(number: u64, engine: &Server) -> ItemAssignment {
    let id = AssignmentId {
        epoch: Epoch(1),
        number,
    };
    ItemAssignment {
        request: ItemId::from(format!("item-{number}").as_str()),
        ..item(id, engine.address(), None)
    }
}

/// Waits for the end of an attempt at an item.
fn item_outcome(site: &Site, number: u64) -> ItemOutcome {
    let is_end = |frame: &IncomingFrame| {
        matches!(frame, IncomingFrame::FromGateway(GatewayMessage::ItemEnded { assignment, .. })
            if assignment.number == number)
    };
    match site.expect(is_end) {
        IncomingFrame::FromGateway(GatewayMessage::ItemEnded { outcome, .. }) => outcome,
        _ => unreachable!("the frame is the end of an attempt"),
    }
}

/// Returns all statuses with all ways of arrival.
fn all_cases() -> impl Iterator<Item = (&'static str, Arrival)> {
    let ways = |status| ARRIVALS.map(|arrival| (status, arrival));
    STATUSES.into_iter().flat_map(ways)
}

/// Guards against an item that ends as its predecessor on the connection did: a mismatched 422 let an
/// item be abandoned that no engine had refused, a 500 counted as its failure, and a refusal let it
/// run at a second engine.
#[gtest]
fn an_item_never_ends_with_the_answer_to_another_item() {
    let (server, engine) = (Server::start(), Server::start());
    let site = Site::with_view(view_with_engine(server.address(), engine.address()));
    for (number, (status, arrival)) in (1..).step_by(2).zip(all_cases()) {
        let assign = |number| {
            let assignment = numbered_item(number, &engine);
            site.send(&CoordinatorMessage::Assign(Box::new(assignment)));
        };
        assign(number);
        let (mut upstream, _) = engine.accept();
        let first = answer(status, &format!("item-{number}"));
        upstream.write_all(first.as_bytes()).unwrap();
        item_outcome(&site, number);
        let next = number + 1;
        assign(next);
        let request = read_message(&mut upstream);
        expect_that!(
            request,
            contains_substring(format!("\r\nId: item-{next}\r\n"))
        );
        let own = format!(
            "HTTP/1.1 200 OK\r\nId: item-{next}\r\nSignature: s\r\nVersion: 3\r\n\
             Content-Length: 18\r\n\r\nid: 12\ndata: two\n\n"
        );
        send_both(&mut upstream, arrival, &first, &own);
        expect_that!(
            item_outcome(&site, next),
            matches_pattern!(ItemOutcome::Finished(_)),
            "{status:?} {arrival:?}"
        );
    }
}

/// Guards against an item that is sent to the same engine again and again without a pause, where the
/// engine's answers belong to no known request.
#[gtest]
fn an_answer_of_no_known_request_interrupts_an_item_by_a_fault_of_the_engine() {
    let (server, engine) = (Server::start(), Server::start());
    let site = Site::with_view(view(server.address(), Vec::new()));
    for (number, status) in (1..).zip(STATUSES) {
        let assignment = numbered_item(number, &engine);
        site.send(&CoordinatorMessage::Assign(Box::new(assignment)));
        let (mut upstream, _) = engine.accept();
        let anonymous = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        upstream.write_all(anonymous.as_bytes()).unwrap();
        expect_that!(
            item_outcome(&site, number),
            matches_pattern!(ItemOutcome::Interrupted {
                cause: eq(&BreakCause::Engine(None)),
                ..
            }),
            "{status:?}"
        );
    }
}

/// Guards against an item that ends with the repeated answer to its own earlier attempt: the item runs
/// again on the same engine, and the answer that comes once more carries its ID.
#[gtest]
fn an_item_that_runs_again_on_an_engine_gets_another_connection() {
    let (server, engine) = (Server::start(), Server::start());
    let site = Site::with_view(view(server.address(), Vec::new()));
    let assign = |attempt| {
        let assignment = ItemAssignment {
            request: ItemId::from("item"),
            ..numbered_item(attempt, &engine)
        };
        site.send(&CoordinatorMessage::Assign(Box::new(assignment)));
    };
    assign(1);
    let (mut earlier, _) = engine.accept();
    let failure = answer("500 -", "item");
    earlier.write_all(failure.as_bytes()).unwrap();
    expect_that!(item_outcome(&site, 1), eq(&ItemOutcome::Failed));
    assign(2);
    earlier.set_read_timeout(Some(PAUSE)).unwrap();
    let read = earlier.read(&mut [0; 1]);
    assert!(
        read.is_err(),
        "the second attempt uses the first one's connection"
    );
    let (mut upstream, _) = engine.accept();
    earlier.write_all(failure.as_bytes()).unwrap();
    thread::sleep(PAUSE);
    let own = "HTTP/1.1 200 OK\r\nId: item\r\nSignature: s\r\nVersion: 3\r\n\
               Content-Length: 18\r\n\r\nid: 12\ndata: two\n\n";
    upstream.write_all(own.as_bytes()).unwrap();
    expect_that!(
        item_outcome(&site, 2),
        matches_pattern!(ItemOutcome::Finished(_))
    );
}

/// Sends a request of a client.
fn ask(client: &mut TcpStream, path: &str, id: &str) {
    let request = format!("GET {path} HTTP/1.1\r\nHost: open.test\r\nId: {id}\r\n\r\n");
    client.write_all(request.as_bytes()).unwrap();
}

/// Guards against a request that is answered by what its server sent to another one.
#[gtest]
fn a_request_never_ends_with_the_answer_to_another_request() {
    let server = Server::start();
    let site = Site::with_view(view(server.address(), Vec::new()));
    let mut client = site.client();
    for (number, (status, arrival)) in all_cases().enumerate() {
        let (earlier, id) = (format!("a-{number}"), format!("b-{number}"));
        ask(&mut client, "/live/x", &earlier);
        let (mut upstream, _) = server.accept();
        let ok = answer("200 OK\r\nSignature: s", &earlier);
        upstream.write_all(ok.as_bytes()).unwrap();
        expect_that!(read_message(&mut client), eq(&ok));
        ask(&mut client, "/live/x", &id);
        let request = read_message(&mut upstream);
        expect_that!(request, contains_substring(format!("\r\nId: {id}\r\n")));
        let own = answer("200 OK\r\nSignature: s", &id);
        send_both(&mut upstream, arrival, &answer(status, &earlier), &own);
        expect_that!(
            read_message(&mut client),
            eq(&own),
            "{status:?} {arrival:?}"
        );
    }
}

/// Guards against a request that runs twice: a mismatched refusal was taken for the word of the server
/// that it had not run the request, which then ran at a second server too.
#[gtest]
fn a_request_that_runs_behind_a_mismatched_refusal_goes_to_no_other_server() {
    for refusal in ["503 -\r\nNot-Run: 1", "421 -\r\nNot-Run: 1", "421 -"] {
        for arrival in ARRIVALS {
            let (first, second) = (Server::start(), Server::start());
            let site = Site::with_view(view_of_pair(&first, &second));
            let mut client = site.client();
            ask(&mut client, "/once/x", "r-0");
            let (mut upstream, _) = first.accept();
            let ok = answer("200 OK\r\nSignature: s", "r-0");
            upstream.write_all(ok.as_bytes()).unwrap();
            expect_that!(read_message(&mut client), eq(&ok));
            ask(&mut client, "/once/x", "r-1");
            let request = read_message(&mut upstream);
            expect_that!(request, contains_substring("\r\nId: r-1\r\n"));
            let mismatched = answer(refusal, "r-0");
            let own = answer("200 OK\r\nSignature: s", "r-1");
            send_both(&mut upstream, arrival, &mismatched, &own);
            thread::sleep(PAUSE);
            let context = format!("{refusal:?} {arrival:?}");
            expect_that!(second.has_connection(), eq(false), "{context}");
            expect_that!(read_message(&mut client), eq(&own), "{context}");
        }
    }
}

/// The bound of the class: what cannot be assigned to any request is no answer, whatever it says. A
/// request that must not be repeated then goes to no other server.
#[gtest]
fn a_refusal_of_no_known_request_does_not_count_as_not_run() {
    for status in ["503 -\r\nNot-Run: 1", "421 -", "500 -"] {
        let (first, second) = (Server::start(), Server::start());
        let site = Site::with_view(view_of_pair(&first, &second));
        let mut client = site.client();
        ask(&mut client, "/once/x", "r-0");
        let (mut upstream, _) = first.accept();
        let anonymous = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        upstream.write_all(anonymous.as_bytes()).unwrap();
        expect_that!(
            read_message(&mut client),
            ends_with("\r\n\r\nbroken"),
            "{status}"
        );
        expect_that!(second.has_connection(), eq(false), "{status}");
        expect_that!(site.log_keys(), contains(eq("reason server")));
    }
}

/// Grants the trial that the gateway asks for next.
fn grant_trial(site: &Site) {
    let is_question = |frame: &IncomingFrame| {
        matches!(
            frame,
            IncomingFrame::FromGateway(GatewayMessage::AskTrial(_))
        )
    };
    let IncomingFrame::FromGateway(GatewayMessage::AskTrial(asked)) = site.expect(is_question)
    else {
        unreachable!("the frame is a question");
    };
    site.send(&CoordinatorMessage::Trial {
        id: asked.id,
        answer: TrialAnswer::Granted,
    });
}

/// Waits for the end of a trial.
fn trial_end(site: &Site) -> TrialEnd {
    let is_end = |frame: &IncomingFrame| {
        matches!(
            frame,
            IncomingFrame::FromGateway(GatewayMessage::TrialEnded { .. })
        )
    };
    match site.expect(is_end) {
        IncomingFrame::FromGateway(GatewayMessage::TrialEnded { end, .. }) => end,
        _ => unreachable!("the frame is the end of a trial"),
    }
}

/// Guards against a trial that ends as not run while its server runs the request, so that the leader
/// grants the next one beside it: a refusal of another request was taken for its end. A refusal of no
/// known request leaves the result unknown.
#[gtest]
fn a_trial_never_ends_as_not_run_by_a_refusal_that_is_not_its_own() {
    let refusal = "503 -\r\nNot-Run: 1";
    let anonymous = format!("HTTP/1.1 {refusal}\r\nContent-Length: 0\r\n\r\n");
    let own = answer("200 OK\r\nSignature: s", "r-1");
    let behind_other = format!("{}{own}", answer(refusal, "r-0"));
    let table = [
        (anonymous, TrialEnd::Unknown),
        (behind_other, TrialEnd::Survived),
        (answer(refusal, "r-1"), TrialEnd::NotRun),
    ];
    for (bytes, end) in table {
        let (first, second) = (Server::start(), Server::start());
        let site = Site::with_view_and_own_formats(view_with_suspect(&first, &second));
        let mut client = site.client();
        ask(&mut client, "/safe/x", "r-1");
        grant_trial(&site);
        let (mut upstream, _) = first.accept();
        upstream.write_all(bytes.as_bytes()).unwrap();
        expect_that!(trial_end(&site), eq(end), "{bytes}");
    }
}

/// Head of an answer to a stream whose body follows in chunks.
fn stream_head(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nId: {id}\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n")
}

/// Returns the chunk with one event.
fn event_chunk(number: u64) -> String {
    let event = format!("id: {number}\ndata: x\n\n");
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// Sends a request for a stream.
fn ask_for_stream(client: &mut TcpStream, id: &str) {
    let request = format!(
        "POST /stream/x HTTP/1.1\r\nHost: open.test\r\nId: {id}\r\nContent-Length: 0\r\n\r\n"
    );
    client.write_all(request.as_bytes()).unwrap();
}

/// Runs a stream to its end at the server that gets it first, and returns the connection of that
/// server.
fn run_stream(client: &mut TcpStream, server: &Server, id: &str) -> TcpStream {
    ask_for_stream(client, id);
    let (mut upstream, _) = server.accept();
    let whole = format!("{}{}0\r\n\r\n", stream_head(id), event_chunk(1));
    upstream.write_all(whole.as_bytes()).unwrap();
    expect_that!(read_message(client), eq(&whole));
    upstream
}

/// A stream of two events that breaks off behind the first one, and goes on at a server that has
/// answered another stream on the same connection before.
struct ResumedStream {
    /// Keeps the gateway and its servers running.
    _site: (Site, Vec<Server>),
    client: TcpStream,
    /// The connection on which the stream goes on.
    resuming: TcpStream,
}

impl ResumedStream {
    fn start() -> Self {
        let (one, first, second) = (Server::start(), Server::start(), Server::start());
        let pair = vec![first.address(), second.address()];
        let site = Site::with_view(view(one.address(), pair));
        let (mut client, mut other) = (site.client(), site.client());
        ask_for_stream(&mut client, "s-1");
        let (mut breaking, _) = first.accept();
        // The first server is busy, so that the second one gets this stream.
        let mut resuming = run_stream(&mut other, &second, "s-0");
        let begin = format!("{}{}", stream_head("s-1"), event_chunk(1));
        breaking.write_all(begin.as_bytes()).unwrap();
        thread::sleep(PAUSE);
        drop(breaking);
        let request = read_message(&mut resuming);
        expect_that!(request, contains_substring("\r\nLast-Event: 1\r\n"));
        Self {
            _site: (site, vec![one, first, second]),
            client,
            resuming,
        }
    }
}

/// Guards against a stream that ends as complete before its last event: the end of a mismatched answer
/// was taken for the end of a stream that waited for the answer of its resumed attempt.
#[gtest]
fn a_resumed_stream_never_ends_with_the_answer_to_another_request() {
    let whole_stream = format!("{}{}0\r\n\r\n", stream_head("s-0"), event_chunk(1));
    let refusal = answer("503 -\r\nNot-Run: 1", "s-0");
    let failure = answer("500 -", "s-0");
    for mismatched in [whole_stream, refusal, failure] {
        for arrival in ARRIVALS {
            let mut stream = ResumedStream::start();
            let own = format!("{}{}0\r\n\r\n", stream_head("s-1"), event_chunk(2));
            send_both(&mut stream.resuming, arrival, &mismatched, &own);
            let events = format!("{}{}", event_chunk(1), event_chunk(2));
            expect_that!(
                read_message(&mut stream.client),
                eq(&format!("{}{events}0\r\n\r\n", stream_head("s-1"))),
                "{mismatched} {arrival:?}"
            );
        }
    }
}
