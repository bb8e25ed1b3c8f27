//! Pipelined requests that arrive in one piece are all answered.

#[path = "bytes/protocol.rs"]
mod protocol;

use googletest::prelude::*;
use protocol::StubProtocol;
use slog::{Discard, Logger, o};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};
use wingshore_diagnostics::LogCounts;
use wingshore_gateway::{Gateway, GatewayPolicy, GatewaySettings};
use wingshore_net::Signals;
use wingshore_net::callers::CallerBounds;

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Maximum time to wait for the gateway.
const TIMEOUT: Duration = Duration::from_secs(3);

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((LOOPBACK, 0)).unwrap();
    listener.local_addr().unwrap()
}

/// Starts a gateway without a configuration, which answers each request at once.
fn start_gateway() -> SocketAddr {
    let front = free_address();
    let settings = GatewaySettings {
        node: "node-1".to_owned(),
        zone: "zone".to_owned(),
        region: "region".to_owned(),
        front,
        ready: None,
        directory: None,
        metrics: None,
        internal_port: free_address().port(),
        seeds: Vec::new(),
        callers: CallerBounds::new(64 << 20, 64),
        directory_ttl: Duration::from_secs(1),
        stop_limit: Duration::from_secs(1),
        usage_window: None,
        policy: GatewayPolicy::default(),
    };
    thread::spawn(move || {
        let gateway = Gateway::start(
            settings,
            Box::new(StubProtocol),
            Signals::default(),
            Box::new(|| Ok(Vec::new())),
            Logger::root(Discard, o!()),
            LogCounts::default(),
        );
        gateway.unwrap().run().unwrap();
    });
    front
}

fn connect(address: SocketAddr) -> TcpStream {
    let end = Instant::now() + TIMEOUT;
    loop {
        match TcpStream::connect(address) {
            Ok(stream) => return stream,
            Err(error) => assert!(Instant::now() < end, "{error}"),
        }
        thread::sleep(Duration::from_millis(5));
    }
}

#[gtest]
fn all_requests_that_arrive_in_one_piece_are_answered() {
    const REQUESTS: usize = 5;
    let mut client = connect(start_gateway());
    client.set_read_timeout(Some(TIMEOUT)).unwrap();
    let request = "GET /x HTTP/1.1\r\nHost: open.test\r\n\r\n";
    let part = "GET /x HTT";
    let bytes = request.repeat(REQUESTS) + part;
    client.write_all(bytes.as_bytes()).unwrap();
    let mut answers = String::new();
    let mut buffer = [0; 4096];
    while answers.matches("not_run").count() < REQUESTS {
        match client.read(&mut buffer) {
            Ok(length @ 1..) => answers.push_str(&String::from_utf8_lossy(&buffer[..length])),
            _ => break,
        }
    }
    expect_that!(answers.matches("not_run").count(), eq(REQUESTS));
}
