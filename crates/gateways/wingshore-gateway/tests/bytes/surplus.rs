//! Surplus answers, over bytes: a server sends an answer once more, in the place where the answer to
//! the next request on the connection is due. The gateway runs inside the test, which plays the
//! servers.

use crate::bytes::site::{Server, Site, read_message};
use crate::bytes::view::{item, view};
use googletest::prelude::*;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use wingshore_coordination::{
    AssignmentId, CoordinatorMessage, GatewayMessage, IncomingFrame, ItemAssignment, ItemId,
    ItemOutcome,
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

/// How the bytes of a surplus answer and of the request's own one arrive.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    /// Both at once.
    Together,
    /// The surplus answer first.
    Apart,
    /// The surplus answer in two parts, the second together with the own answer.
    Split,
}

const ARRIVALS: [Arrival; 3] = [Arrival::Together, Arrival::Apart, Arrival::Split];

/// Returns a complete answer to a request, with some bytes as its body.
fn answer(status: &str, id: &str) -> String {
    format!("HTTP/1.1 {status}\r\nId: {id}\r\nContent-Length: 5\r\n\r\nbytes")
}

/// Sends a surplus answer, and behind it the own answer of the request that waits.
fn send_both(server: &mut TcpStream, arrival: Arrival, surplus: &str, own: &str) {
    let (first, second) = match arrival {
        Arrival::Together => (0, surplus),
        Arrival::Apart => (surplus.len(), ""),
        Arrival::Split => (surplus.len() / 2, &surplus[surplus.len() / 2..]),
    };
    server.write_all(&surplus.as_bytes()[..first]).unwrap();
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

/// Guards against an item that ends as its predecessor on the connection did: a surplus 422 let an
/// item be abandoned that no engine had refused, a 500 counted as its failure, and a refusal let it
/// run at a second engine.
#[gtest]
fn an_item_never_ends_with_the_surplus_answer_to_another_item() {
    for status in STATUSES {
        for arrival in ARRIVALS {
            let (server, engine) = (Server::start(), Server::start());
            let site = Site::with_view(view(server.address(), Vec::new()));
            let assign = |number| {
                let assignment = numbered_item(number, &engine);
                site.send(&CoordinatorMessage::Assign(Box::new(assignment)));
            };
            assign(1);
            let (mut upstream, _) = engine.accept();
            let first = answer(status, "item-1");
            upstream.write_all(first.as_bytes()).unwrap();
            item_outcome(&site, 1);
            assign(2);
            let request = read_message(&mut upstream);
            expect_that!(request, contains_substring("\r\nId: item-2\r\n"));
            let own = "HTTP/1.1 200 OK\r\nId: item-2\r\nSignature: s\r\nVersion: 3\r\n\
                       Content-Length: 18\r\n\r\nid: 12\ndata: two\n\n";
            send_both(&mut upstream, arrival, &first, own);
            let outcome = item_outcome(&site, 2);
            expect_that!(
                outcome,
                matches_pattern!(ItemOutcome::Finished(_)),
                "{status:?} {arrival:?}"
            );
        }
    }
}
