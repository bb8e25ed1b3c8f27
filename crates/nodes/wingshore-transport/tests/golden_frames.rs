//! Golden bytes of frame headers and of the handshake.
//!
//! They never change, because processes of two releases communicate during an upgrade. The bodies
//! of frames after the handshake are checked in `wingshore-types`.

use googletest::prelude::*;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use wingshore_transport::{
    ConnectError, ConnectOptions, Connection, ConnectionHandle, FrameHandler, HEADER_BYTES, Server,
    ServerOptions, encode, read_frame,
};
use wingshore_types::protocol::wire::{ConnectionRefusal, Frame, Hello, WIRE_VERSION};
use wingshore_types::{GroupId, ReplicaId};

const TIMEOUT: Duration = Duration::from_secs(20);

const KEEP_ALIVE: &str = "57534852010001000000942b6fd504";
const CONSENSUS: &str = "575348520100080000002aa78ce10301ac0203010203";
const HELLO_OF_TOOL: &str = "575348520100040000002bb5862000010000";
const HELLO_OF_REPLICA: &str = "5753485201000c00000094c464a6000106736974652d6101ac02";
const HELLO_OF_OTHER_SITE: &str = "5753485201000b00000037b3d1e4000106736974652d620102";
const HELLO_OF_VERSION_2: &str = "5753485201000b0000006db6a00d000206736974652d610102";
const REFUSED_SITE: &str = "57534852010010000000a8504720050106736974652d6106736974652d62";
const REFUSED_VERSION: &str = "57534852010004000000437f8fe105000102";
const REFUSED_NO_HELLO: &str = "5753485201000200000000b7a7a50503";
const REFUSED_TOO_MANY: &str = "57534852010003000000ed49bbbc050201";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(digits: &str) -> Vec<u8> {
    let pairs = (0..digits.len()).step_by(2);
    pairs
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).unwrap())
        .collect()
}

fn hello(version: u16, site: &str, replica: Option<u64>) -> Frame {
    Frame::Hello(Hello {
        version,
        site: site.to_owned(),
        replica: replica.map(ReplicaId),
    })
}

#[gtest]
fn frame_encodings_match_the_golden_bytes() {
    let consensus = Frame::Consensus {
        group: GroupId::Ledger(300),
        message: vec![1, 2, 3],
    };
    let refused_version = ConnectionRefusal::WrongVersion { ours: 1, theirs: 2 };
    let refused_site = ConnectionRefusal::WrongSite {
        ours: "site-a".to_owned(),
        theirs: "site-b".to_owned(),
    };
    let examples = [
        (KEEP_ALIVE, Frame::KeepAlive),
        (CONSENSUS, consensus),
        (HELLO_OF_TOOL, hello(WIRE_VERSION, "", None)),
        (HELLO_OF_REPLICA, hello(WIRE_VERSION, "site-a", Some(300))),
        (HELLO_OF_OTHER_SITE, hello(WIRE_VERSION, "site-b", Some(2))),
        (HELLO_OF_VERSION_2, hello(2, "site-a", Some(2))),
        (REFUSED_SITE, Frame::Refused(refused_site)),
        (REFUSED_VERSION, Frame::Refused(refused_version)),
        (REFUSED_NO_HELLO, Frame::Refused(ConnectionRefusal::NoHello)),
        (
            REFUSED_TOO_MANY,
            Frame::Refused(ConnectionRefusal::TooManyConnections { limit: 1 }),
        ),
    ];
    for (golden, frame) in examples {
        let bytes = encode(&frame).unwrap();
        expect_that!(hex(&bytes), eq(golden), "{frame:?}");
        let read = read_frame(&mut from_hex(golden).as_slice(), u32::MAX);
        expect_that!(read.ok(), some(eq(&frame)), "{golden}");
    }
}

struct DiscardFrames;

impl FrameHandler for DiscardFrames {
    fn on_frame(&self, _connection: &ConnectionHandle, _frame: Frame) {}

    fn on_closed(&self, _connection: &ConnectionHandle) {}
}

fn server(max_connections: u32) -> Server {
    let options = ServerOptions {
        site: "site-a".to_owned(),
        replica: Some(ReplicaId(300)),
        max_connections,
    };
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Server::bind(any_port, options, Arc::new(DiscardFrames)).unwrap()
}

/// Reads one frame and returns its bytes in hexadecimal.
fn receive(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut bytes = vec![0; HEADER_BYTES];
    stream.read_exact(&mut bytes).unwrap();
    let length = u32::from_le_bytes(bytes[6..10].try_into().unwrap());
    bytes.resize(HEADER_BYTES + length as usize, 0);
    stream.read_exact(&mut bytes[HEADER_BYTES..]).unwrap();
    hex(&bytes)
}

/// Opens a connection, sends `first` and returns the connection and the server's answer.
fn answer(server: &Server, first: &str) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(server.local_address()).unwrap();
    stream.write_all(&from_hex(first)).unwrap();
    let answer = receive(&mut stream);
    (stream, answer)
}

#[gtest]
fn server_handshake_answers_match_the_golden_bytes() {
    let server = server(10);
    let cases = [
        (HELLO_OF_TOOL, HELLO_OF_REPLICA),
        (HELLO_OF_REPLICA, HELLO_OF_REPLICA),
        (HELLO_OF_OTHER_SITE, REFUSED_SITE),
        (HELLO_OF_VERSION_2, REFUSED_VERSION),
        (KEEP_ALIVE, REFUSED_NO_HELLO),
    ];
    for (first, expected) in cases {
        expect_that!(answer(&server, first).1, eq(expected), "{first}");
    }
}

#[gtest]
fn refusals_of_a_full_server_match_the_golden_bytes() {
    let server = server(1);
    let (_open, first) = answer(&server, HELLO_OF_TOOL);
    expect_that!(first, eq(HELLO_OF_REPLICA));
    let (_, second) = answer(&server, HELLO_OF_TOOL);
    expect_that!(second, eq(REFUSED_TOO_MANY));
}

/// Opens a connection to a listener that answers with `reply`; returns the error of the connection,
/// if any, and the first frame that the listener received.
fn open(reply: &'static str) -> (Option<ConnectError>, String) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let first = receive(&mut stream);
        stream.write_all(&from_hex(reply)).unwrap();
        first
    });
    let options = ConnectOptions {
        replica: Some(ReplicaId(300)),
        ..ConnectOptions::new("site-a", TIMEOUT)
    };
    let opened = Connection::open(address, &options, Arc::new(DiscardFrames));
    (opened.err(), accepting.join().unwrap())
}

#[gtest]
fn client_hellos_match_the_golden_bytes() {
    let (error, first) = open(HELLO_OF_REPLICA);
    expect_that!(error.map(|error| error.to_string()), none());
    expect_that!(first, eq(HELLO_OF_REPLICA));
    for refusal in [
        REFUSED_SITE,
        REFUSED_VERSION,
        REFUSED_TOO_MANY,
        REFUSED_NO_HELLO,
    ] {
        let (error, _) = open(refusal);
        expect_that!(error, some(pat!(ConnectError::Refused { .. })), "{refusal}");
    }
}
