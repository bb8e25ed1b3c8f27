//! Golden tests of the bytes that a gateway sends to clients, servers and engines, of its messages
//! to the leader, and of the keys of its log lines. All of these belong to the compatibility
//! contract of a release and must not change with the layout of the code.

mod bytes {
    mod crashed_items;
    mod mismatched_answers;
    mod planned_stop;
    pub mod protocol;
    mod second_attempts;
    pub mod site;
    mod unusable_answers;
    pub mod view;
}
use bytes::{protocol, site};

use bytes::site::{Server, Site, connect, read_message};
use bytes::view::{ENGINE, ONE, PAIR_1, PAIR_2, item, scorer, view};
use googletest::prelude::*;
use std::io::{Read, Write};
use wingshore_coordination::{AssignmentId, CallReply, CoordinatorMessage, JobPage, Reply};
use wingshore_types::Epoch;

/// A site in which `one` receives the requests for the service `one`, and `pair` those for `pair`.
fn site_with(one: &Server, pair: &[&Server]) -> Site {
    let pair = pair.iter().map(|server| server.address()).collect();
    Site::with_view(view(one.address(), pair))
}

fn has_log_line(site: &Site, keys: &str) -> bool {
    site.log_keys().iter().any(|line| line == keys)
}

#[gtest]
fn a_request_and_its_answer() {
    let server = Server::start();
    let site = site_with(&server, &[]);
    let mut client = site.client();
    let request = "POST /live/x?y=1 HTTP/1.1\r\nHost: open.test\r\nId: r-1\r\nDeadline: 1020\r\n\
                   Connection: keep-alive\r\nTe: trailers\r\nTenant: forged\r\n\
                   Expected-Instance: forged\r\nOther: a\r\nContent-Length: 2\r\n\r\nhi";
    client.write_all(request.as_bytes()).unwrap();
    let (mut upstream, forwarded) = server.accept();
    expect_that!(
        forwarded,
        eq(&format!(
            "POST /live/x?y=1 HTTP/1.1\r\nHost: open.test\r\nId: r-1\r\nOther: a\r\n\
             Deadline: 1000\r\nExpected-Instance: {ONE}\r\nContent-Length: 2\r\n\r\nhi"
        ))
    );
    let answer = "HTTP/1.1 200 OK\r\nId: r-1\r\nSignature: s\r\nLoad: 1,2,4\r\n\
                  Keep-Alive: timeout=5\r\nOther: b\r\nContent-Length: 2\r\n\r\nok";
    upstream.write_all(answer.as_bytes()).unwrap();
    expect_that!(
        read_message(&mut client),
        eq(
            "HTTP/1.1 200 OK\r\nId: r-1\r\nSignature: s\r\nLoad: 1,2,4\r\nOther: b\r\n\
            Content-Length: 2\r\n\r\nok"
        )
    );
    let keys = "after_ms attempts configuration epoch refusals request route server service status";
    expect_that!(has_log_line(&site, keys), eq(true));
}

#[gtest]
fn a_request_of_a_tenant_goes_on_without_its_key_and_is_counted() {
    let server = Server::start();
    let site = site_with(&server, &[]);
    let mut client = site.client();
    let request =
        "GET /live/x HTTP/1.1\r\nHost: keyed.test\r\nId: r-2\r\nAuthorization: key-1\r\n\r\n";
    client.write_all(request.as_bytes()).unwrap();
    let (mut upstream, forwarded) = server.accept();
    expect_that!(
        forwarded,
        eq(&format!(
            "GET /live/x HTTP/1.1\r\nHost: keyed.test\r\nId: r-2\r\nDeadline: 1500\r\n\
             Expected-Instance: {ONE}\r\nTenant: tenant-1\r\n\r\n"
        ))
    );
    let answer = "HTTP/1.1 500 -\r\nId: r-2\r\nContent-Length: 3\r\n\r\nbad";
    upstream.write_all(answer.as_bytes()).unwrap();
    expect_that!(
        read_message(&mut client),
        eq("HTTP/1.1 500 -\r\nId: r-2\r\nContent-Length: 3\r\n\r\nbad")
    );
    expect_that!(
        site.next_message(),
        eq("\\x01\\t\\x01\\x00\\x01\\x08tenant-1\\x01")
    );
    let keys = "after_ms fingerprint reason request server verdict";
    expect_that!(has_log_line(&site, keys), eq(true));
}

#[gtest]
fn answers_generated_by_the_gateway() {
    let server = Server::start();
    let site = site_with(&server, &[]);
    let own = |head: &str| site.ask(&format!("GET {head}Id: r\r\n\r\n"));
    expect_that!(
        own("/elsewhere HTTP/1.1\r\nHost: open.test\r\n"),
        eq("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 8\r\n\r\nno_route")
    );
    expect_that!(
        site.ask("POST /live/x HTTP/1.1\r\nHost: keyed.test\r\nContent-Length: 5\r\n\r\n"),
        eq(
            "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 12\r\n\r\n\
            unauthorized"
        )
    );
    expect_that!(
        own("/none/x HTTP/1.1\r\nHost: open.test\r\n"),
        eq("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 11\r\n\r\nnot_run 150")
    );
    expect_that!(
        own("/empty/x HTTP/1.1\r\nHost: open.test\r\n"),
        eq("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 11\r\n\r\nnot_run 150")
    );
    expect_that!(
        site.ask("GET /live/x HTTP/1.1\r\nHost: open.test\r\nbroken\r\n\r\n"),
        starts_with("HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: ")
    );
    // An incomplete head times out after 300 ms.
    let mut slow = site.client();
    slow.write_all(b"GET /live/x HTT").unwrap();
    expect_that!(
        read_message(&mut slow),
        eq(
            "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 8\r\n\r\ntoo_slow"
        )
    );
    let keys = "answer configuration epoch host leader_heard_ms leader_known path reason request \
                stopping";
    expect_that!(has_log_line(&site, keys), eq(true));
    let mut check = connect(site.ready);
    check.write_all(b"GET /ready HTTP/1.1\r\n\r\n").unwrap();
    expect_that!(
        read_message(&mut check),
        eq("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n/ready true")
    );
}

#[gtest]
fn answers_where_servers_refuse_break_off_or_are_late() {
    let server = Server::start();
    let site = site_with(&server, &[]);
    let mut client = site.client();
    let mut ask = |path: &str| {
        let request = format!("GET {path} HTTP/1.1\r\nHost: open.test\r\nId: r-3\r\n\r\n");
        client.write_all(request.as_bytes()).unwrap();
    };
    ask("/live/x");
    let (mut upstream, _) = server.accept();
    let refusal =
        "HTTP/1.1 503 -\r\nId: r-3\r\nNot-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    upstream.write_all(refusal.as_bytes()).unwrap();
    let mut reading = client.try_clone().unwrap();
    expect_that!(
        read_message(&mut reading),
        eq("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 11\r\n\r\nnot_run 150")
    );
    let mut ask = |path: &str| {
        let request = format!("GET {path} HTTP/1.1\r\nHost: open.test\r\nId: r-3\r\n\r\n");
        client.write_all(request.as_bytes()).unwrap();
    };
    ask("/live/x");
    drop(server.accept());
    expect_that!(
        read_message(&mut reading),
        eq("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 6\r\n\r\nbroken")
    );
    // The timeout of the route is 300 ms.
    ask("/short/x");
    let (_upstream, _) = server.accept();
    expect_that!(
        read_message(&mut reading),
        eq("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 11\r\n\r\nout_of_time")
    );
    let keys = "after_ms answer attempts configuration epoch fingerprint refusals request route \
                servers service";
    expect_that!(has_log_line(&site, keys), eq(true));
}

#[gtest]
fn a_stream_that_breaks_off_goes_on_at_another_server() {
    let (one, first, second) = (Server::start(), Server::start(), Server::start());
    let site = site_with(&one, &[&first, &second]);
    let mut client = site.client();
    let request =
        "POST /stream/x HTTP/1.1\r\nHost: open.test\r\nId: r-4\r\nContent-Length: 0\r\n\r\n";
    client.write_all(request.as_bytes()).unwrap();
    let (mut upstream, _) = first.accept();
    let head = "HTTP/1.1 200 OK\r\nId: r-4\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    upstream.write_all(head.as_bytes()).unwrap();
    upstream
        .write_all(b"15\r\nid: 7\ndata: a\n\nid: 8\n\r\n")
        .unwrap();
    std::thread::sleep(std::time::Duration::from_millis(50));
    drop(upstream);
    let (mut upstream, resumed) = second.accept();
    let deadline = resumed
        .lines()
        .find(|line| line.starts_with("Deadline: "))
        .unwrap_or_default()
        .to_owned();
    expect_that!(
        resumed.replace(&deadline, "Deadline: *"),
        eq(&format!(
            "POST /stream/x HTTP/1.1\r\nHost: open.test\r\nId: r-4\r\nDeadline: *\r\n\
             Expected-Instance: {PAIR_2}\r\nLast-Event: 7\r\nContent-Length: 0\r\n\r\n"
        ))
    );
    upstream.write_all(head.as_bytes()).unwrap();
    upstream
        .write_all(b"f\r\nid: 8\ndata: b\n\n\r\n0\r\n\r\n")
        .unwrap();
    expect_that!(
        read_message(&mut client),
        eq(
            "HTTP/1.1 200 OK\r\nId: r-4\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n\
            f\r\nid: 7\ndata: a\n\n\r\nf\r\nid: 8\ndata: b\n\n\r\n0\r\n\r\n"
        )
    );
    expect_that!(PAIR_1, lt(PAIR_2));
}

#[gtest]
fn a_stream_that_no_server_goes_on_with_does_not_look_complete() {
    let server = Server::start();
    let site = site_with(&server, &[&server]);
    let mut client = site.client();
    let request =
        "POST /stream/x HTTP/1.1\r\nHost: open.test\r\nId: r-5\r\nContent-Length: 0\r\n\r\n";
    client.write_all(request.as_bytes()).unwrap();
    let (mut upstream, _) = server.accept();
    let head = "HTTP/1.1 200 OK\r\nId: r-5\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    upstream.write_all(head.as_bytes()).unwrap();
    upstream.write_all(b"9\r\ndata: a\n\n\r\n").unwrap();
    std::thread::sleep(std::time::Duration::from_millis(50));
    drop(upstream);
    let mut rest = String::new();
    client.read_to_string(&mut rest).unwrap();
    expect_that!(
        rest,
        eq(
            "HTTP/1.1 200 OK\r\nId: r-5\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n\
            9\r\ndata: a\n\n\r\n"
        )
    );
    expect_that!(has_log_line(&site, "last_event request route"), eq(true));
}

#[gtest]
fn an_item_and_its_scoring() {
    let (server, engine) = (Server::start(), Server::start());
    let site = site_with(&server, &[]);
    let id = AssignmentId {
        epoch: Epoch(1),
        number: 9,
    };
    let assignment = item(
        id,
        engine.address(),
        Some(scorer("open.test", "/live/score")),
    );
    site.send(&CoordinatorMessage::Assign(Box::new(assignment)));
    let (mut upstream, request) = engine.accept();
    expect_that!(
        request,
        eq(&format!(
            "POST /generate HTTP/1.1\r\nHost: items.test\r\nId: item-1\r\nOther: c\r\n\
             Tenant: tenant-1\r\nExpected-Instance: {ENGINE}\r\nPriority: 4\r\nLast-Event: 11\r\n\
             Expected-Version: 3\r\nContent-Length: 4\r\n\r\nbody"
        ))
    );
    let head = "HTTP/1.1 200 OK\r\nId: item-1\r\nSignature: s\r\nVersion: 3\r\n\
                Content-Length: 18\r\n\r\nid: 12\ndata: two\n\n";
    upstream.write_all(head.as_bytes()).unwrap();
    expect_that!(
        site.next_message(),
        eq(
            "\\x01\\x06\\x01\\t\\nj\\ntenant-1\\x00\\x00\\x07\\t\\xcb\\xcfK\\xe5*)\\xcf\\x07\\x00\
            \\x02\\x02\\x03"
        )
    );
    let (mut upstream, request) = server.accept();
    expect_that!(
        request,
        eq(&format!(
            "POST /live/score HTTP/1.1\r\nHost: open.test\r\nId: score-1\r\nDeadline: 1500\r\n\
             Expected-Instance: {ONE}\r\nTenant: tenant-1\r\nContent-Length: 4\r\n\r\ntext"
        ))
    );
    let answer = "HTTP/1.1 200 OK\r\nId: score-1\r\nSignature: 0.5\r\nContent-Length: 0\r\n\r\n";
    upstream.write_all(answer.as_bytes()).unwrap();
    expect_that!(site.next_message(), eq("\\x01\\x07\\x01\\t\\x00\\x030.5"));
    let item_keys = "after_ms engine epoch events item job outcome try";
    expect_that!(has_log_line(&site, item_keys), eq(true));
    let scoring_keys = "after_ms configuration epoch item job outcome queued request scoring";
    expect_that!(has_log_line(&site, scoring_keys), eq(true));
}

#[gtest]
fn an_item_that_breaks_off_keeps_its_text() {
    let (server, engine) = (Server::start(), Server::start());
    let site = site_with(&server, &[]);
    let id = AssignmentId {
        epoch: Epoch(1),
        number: 10,
    };
    let assignment = item(id, engine.address(), None);
    site.send(&CoordinatorMessage::Assign(Box::new(assignment)));
    let (mut upstream, _) = engine.accept();
    let head = "HTTP/1.1 200 OK\r\nId: item-1\r\nSignature: s\r\nVersion: 3\r\n\
                Content-Length: 99\r\n\r\nid: 12\ndata: two\n\nid: 13\n";
    upstream.write_all(head.as_bytes()).unwrap();
    std::thread::sleep(std::time::Duration::from_millis(50));
    drop(upstream);
    expect_that!(
        site.next_message(),
        eq(
            "\\x01\\x06\\x01\\n\\nj\\ntenant-1\\x00\\x01\\x07one\\ntwo\\x02\\x01\\x0c\\x02\\x02\\x03\
            \\x01\\x01\\x85\\xb8\\xfa\\xbb\\xf4\\x80\\xbe\\xd6\\xde\\xea\\xb4\\x86\\xf2\\xec\\x83\
            \\xec\\xd2\\x80\\x03"
        )
    );
}

#[gtest]
fn calls_about_jobs() {
    let server = Server::start();
    let site = site_with(&server, &[]);
    let mut client = site.client();
    let calls = [
        (
            "read",
            "\\x01\\x05\\x00\\x06\\nj\\ntenant-1\\x03\\x00\\x80\\xb4\\x89\\x13",
            Reply::Page(JobPage {
                total: 5,
                from: 3,
                results: Vec::new(),
            }),
            "page 5 3",
        ),
        (
            "item",
            "\\x01\\x05\\x01\\x07\\nj\\ntenant-1\\x04item",
            Reply::Item(vec![1]),
            "item [1]",
        ),
        (
            "end",
            "\\x01\\x05\\x02\\x08\\nj\\ntenant-1",
            Reply::Done,
            "answered",
        ),
    ];
    for (number, (kind, message, reply, answer)) in calls.into_iter().enumerate() {
        let request = format!(
            "GET /jobs/{kind}/j HTTP/1.1\r\nHost: open.test\r\nAuthorization: key-1\r\n\r\n"
        );
        client.write_all(request.as_bytes()).unwrap();
        expect_that!(site.next_message(), eq(message));
        site.send(&CoordinatorMessage::Reply {
            id: number as u64,
            reply: CallReply::Reply(reply),
        });
        let length = answer.len();
        expect_that!(
            read_message(&mut client),
            eq(&format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{answer}"
            ))
        );
    }
    expect_that!(
        site.ask(
            "POST /batch/x HTTP/1.1\r\nHost: open.test\r\nAuthorization: key-1\r\n\
            Content-Length: 2\r\n\r\n{}"
        ),
        eq("HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nrefused 2 bytes")
    );
    expect_that!(has_log_line(&site, "answer call epoch subject"), eq(true));
}

#[gtest]
fn keys_of_the_other_log_lines() {
    let server = Server::start();
    let site = site_with(&server, &[]);
    for keys in [
        "front node",
        "address",
        "address revision",
        "address configuration epoch",
        "before version",
    ] {
        expect_that!(has_log_line(&site, keys), eq(true), "{keys}");
    }
}
