//! Callers of the admin listeners that announce a body and do not send it.
//!
//! Failure: one such caller held the only thread of the listener, so that no health check, readiness
//! check or metrics of a replica or a relay were answered for as long as it stayed.

mod support;

use googletest::prelude::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use support::{Process, Site, free_address, wait_for};

/// Time for an answer to a health check.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
/// Callers that stay.
const STALLED: usize = 20;

/// Returns the answer to `GET /healthz`; `None` without one in time.
fn health(address: SocketAddr) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(ANSWER_LIMIT)).ok()?;
    write!(stream, "GET /healthz HTTP/1.0\r\n\r\n").ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

/// Announces a body and sends the beginning of it.
fn stalled(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the listener takes connections");
    let head = "POST /healthz HTTP/1.1\r\nHost: admin\r\nContent-Length: 50000\r\n\r\nbeginning";
    stream.write_all(head.as_bytes()).expect("bytes leave");
    stream
}

#[gtest]
fn bodies_that_stop_short_do_not_hold_up_admin_listeners() {
    let site = Site::start();
    let (relay, relay_admin) = (free_address(), free_address());
    let replica = site.listen[0];
    let text = format!(
        "role = \"relay\"\nsite = \"test\"\nname = \"relay-1\"\nzone = \"hall\"\n\
         listen = \"{relay}\"\nadmin = \"{relay_admin}\"\nupstream = [\"{replica}\"]\n"
    );
    let file = site.write("relay.toml", &text);
    let stderr_file = site.path("relay.errors");
    let _relay = Process::start(&["relay", "--settings", &file], &stderr_file);
    for address in [site.admin[0], relay_admin] {
        wait_for("the listener", || health(address));
        let callers: Vec<TcpStream> = (0..STALLED).map(|_| stalled(address)).collect();
        std::thread::sleep(Duration::from_millis(200));
        let answer = health(address);
        expect_that!(answer, some(contains_substring("200 OK")), "{address}");
        drop(callers);
    }
}
