//! Servers, outgoing connections and peers on the loopback interface.

use crossbeam_channel::{Receiver, Sender, unbounded};
use googletest::prelude::*;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use wingshore_transport::{
    ConnectError, ConnectOptions, Connection, ConnectionHandle, FrameHandler, MAX_HELLO_BYTES,
    Peer, PeerOptions, Server, ServerOptions, encode, read_frame,
};
use wingshore_types::protocol::wire::{
    ConnectionRefusal, Frame, GroupReply, GroupRequest, Hello, WIRE_VERSION,
};
use wingshore_types::{GroupId, ReplicaId, RequestId};

const SITE: &str = "regina";
const TIMEOUT: Duration = Duration::from_secs(20);

/// Replies to requests, and passes all other frames and closed connections to the test.
struct Recorder {
    frames: Sender<Frame>,
    closed: Sender<()>,
}

struct Recorded {
    frames: Receiver<Frame>,
    closed: Receiver<()>,
}

impl FrameHandler for Recorder {
    fn on_frame(&self, connection: &ConnectionHandle, frame: Frame) {
        if let Frame::Request { id, .. } = frame {
            connection.reply(id, GroupReply::Rejected("test".to_owned()));
        } else {
            let _ = self.frames.send(frame);
        }
    }

    fn on_closed(&self, _connection: &ConnectionHandle) {
        let _ = self.closed.send(());
    }
}

fn recorder() -> (Arc<Recorder>, Recorded) {
    let (frames, frames_out) = unbounded();
    let (closed, closed_out) = unbounded();
    let recorded = Recorded {
        frames: frames_out,
        closed: closed_out,
    };
    (Arc::new(Recorder { frames, closed }), recorded)
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn server_options(replica: u64, max_connections: u32) -> ServerOptions {
    ServerOptions {
        site: SITE.to_owned(),
        replica: Some(ReplicaId(replica)),
        max_connections,
    }
}

fn server(replica: u64, max_connections: u32) -> (Server, Recorded) {
    let (handler, recorded) = recorder();
    let server = Server::bind(
        any_port(),
        server_options(replica, max_connections),
        handler,
    );
    (server.unwrap(), recorded)
}

fn options() -> ConnectOptions {
    ConnectOptions::new(SITE, TIMEOUT)
}

fn open(address: SocketAddr) -> (Connection, Recorded) {
    let (handler, recorded) = recorder();
    let connection = Connection::open(address, &options(), handler);
    (connection.unwrap(), recorded)
}

fn request(id: u64) -> Frame {
    Frame::Request {
        id: RequestId(id),
        group: GroupId::Control,
        body: GroupRequest::DumpLog,
    }
}

fn consensus(message: Vec<u8>) -> Frame {
    Frame::Consensus {
        group: GroupId::Control,
        message,
    }
}

fn wait_until(condition: impl Fn() -> bool) -> bool {
    for _ in 0..4000 {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}

#[gtest]
fn frames_go_both_ways_in_order() {
    let (server, at_server) = server(1, 10);
    let (connection, at_client) = open(server.local_address());
    expect_that!(connection.peer_replica(), some(eq(ReplicaId(1))));
    for number in 0..100 {
        connection.send(&consensus(vec![number; 1000])).unwrap();
    }
    for number in 0..100 {
        let frame = at_server.frames.recv_timeout(TIMEOUT).unwrap();
        expect_that!(frame, eq(&consensus(vec![number; 1000])));
    }
    connection.send(&request(7)).unwrap();
    let reply = at_client.frames.recv_timeout(TIMEOUT).unwrap();
    expect_that!(
        reply,
        pat!(Frame::Reply {
            id: eq(&RequestId(7)),
            ..
        })
    );
}

#[gtest]
fn another_site_is_refused_with_both_names() {
    let (server, _recorded) = server(1, 10);
    let (handler, _at_client) = recorder();
    let other = ConnectOptions::new("zagreb", TIMEOUT);
    let error = Connection::open(server.local_address(), &other, handler).unwrap_err();
    expect_that!(error.to_string(), contains_substring("`regina`"));
    expect_that!(error.to_string(), contains_substring("`zagreb`"));
    expect_that!(
        error,
        pat!(ConnectError::Refused {
            refusal: pat!(ConnectionRefusal::WrongSite { .. }),
            ..
        })
    );
}

#[gtest]
fn a_tool_without_a_site_is_accepted() {
    let (server, _recorded) = server(1, 10);
    let tool = ConnectOptions::new("", TIMEOUT);
    let connected = Connection::open(server.local_address(), &tool, recorder().0);
    expect_that!(connected.is_ok(), eq(true));
}

#[gtest]
fn the_opening_side_checks_the_site_too() {
    let listener = TcpListener::bind(any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    let other = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_frame(&mut stream, MAX_HELLO_BYTES).unwrap();
        let hello = Frame::Hello(Hello {
            version: WIRE_VERSION,
            site: "zagreb".to_owned(),
            replica: None,
        });
        stream.write_all(&encode(&hello).unwrap()).unwrap();
    });
    let (handler, _recorded) = recorder();
    let error = Connection::open(address, &options(), handler).unwrap_err();
    expect_that!(error, pat!(ConnectError::Refused { .. }));
    other.join().unwrap();
}

#[gtest]
fn another_version_is_refused_with_both_numbers() {
    let (server, _recorded) = server(1, 10);
    let mut stream = TcpStream::connect(server.local_address()).unwrap();
    let mut hello = encode(&Frame::Hello(Hello {
        version: WIRE_VERSION + 1,
        site: SITE.to_owned(),
        replica: None,
    }))
    .unwrap();
    hello[4..6].copy_from_slice(&(WIRE_VERSION + 1).to_le_bytes());
    stream.write_all(&hello).unwrap();
    let answer = read_frame(&mut stream, MAX_HELLO_BYTES);
    let refusal = ConnectionRefusal::WrongVersion {
        ours: WIRE_VERSION,
        theirs: WIRE_VERSION + 1,
    };
    expect_that!(answer, ok(eq(&Frame::Refused(refusal))));
    // The connection is closed, by an end of stream or by a reset.
    expect_that!(stream.read(&mut [0]).unwrap_or(0), eq(0));
}

#[gtest]
fn a_first_frame_that_is_no_hello_is_refused() {
    let (server, _recorded) = server(1, 10);
    let mut stream = TcpStream::connect(server.local_address()).unwrap();
    stream.write_all(&encode(&request(1)).unwrap()).unwrap();
    let answer = read_frame(&mut stream, MAX_HELLO_BYTES);
    expect_that!(answer, ok(eq(&Frame::Refused(ConnectionRefusal::NoHello))));
}

#[gtest]
fn another_replica_than_expected_is_refused() {
    let (server, _recorded) = server(1, 10);
    let (handler, _at_client) = recorder();
    let mut options = options();
    options.expected = Some(ReplicaId(2));
    let error = Connection::open(server.local_address(), &options, handler).unwrap_err();
    expect_that!(
        error,
        pat!(ConnectError::WrongReplica {
            expected: eq(&ReplicaId(2)),
            found: eq(&Some(ReplicaId(1))),
            ..
        })
    );
}

#[gtest]
fn connections_beyond_the_limit_are_refused_until_one_closes() {
    let (server, _recorded) = server(1, 2);
    let address = server.local_address();
    let (first, _a) = open(address);
    let (_second, _b) = open(address);
    let (handler, _c) = recorder();
    let refused = Connection::open(address, &options(), handler).unwrap_err();
    expect_that!(
        refused,
        pat!(ConnectError::Refused {
            refusal: eq(&ConnectionRefusal::TooManyConnections { limit: 2 }),
            ..
        })
    );
    drop(first);
    expect_true!(wait_until(|| server.connection_count() < 2));
    open(address);
}

#[gtest]
fn invalid_bytes_after_the_handshake_close_only_that_connection() {
    let (server, at_server) = server(1, 10);
    let (good, at_client) = open(server.local_address());
    let mut stream = TcpStream::connect(server.local_address()).unwrap();
    let hello = Frame::Hello(Hello {
        version: WIRE_VERSION,
        site: SITE.to_owned(),
        replica: None,
    });
    stream.write_all(&encode(&hello).unwrap()).unwrap();
    read_frame(&mut stream, MAX_HELLO_BYTES).unwrap();
    stream.write_all(&[0xff; 64]).unwrap();
    expect_that!(at_server.closed.recv_timeout(TIMEOUT), ok(anything()));
    good.send(&request(1)).unwrap();
    expect_that!(at_client.frames.recv_timeout(TIMEOUT), ok(anything()));
}

#[gtest]
fn a_silent_peer_is_closed_and_an_idle_one_stays_open() {
    let (server, at_server) = server(1, 10);
    let (idle, at_client) = open(server.local_address());
    // Sends only a hello, like a process that hangs.
    let mut silent = TcpStream::connect(server.local_address()).unwrap();
    let hello = Frame::Hello(Hello {
        version: WIRE_VERSION,
        site: SITE.to_owned(),
        replica: None,
    });
    silent.write_all(&encode(&hello).unwrap()).unwrap();
    expect_that!(at_server.closed.recv_timeout(TIMEOUT), ok(anything()));
    expect_false!(idle.is_closed());
    idle.send(&request(1)).unwrap();
    expect_that!(at_client.frames.recv_timeout(TIMEOUT), ok(anything()));
    expect_that!(at_server.closed.try_recv(), err(anything()));
}

#[gtest]
fn a_peer_that_does_not_read_fills_the_queue_without_blocking_the_sender() {
    let (handler, _recorded) = recorder();
    let listener = TcpListener::bind(any_port()).unwrap();
    let address = listener.local_addr().unwrap();
    let silent = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        read_frame(&mut stream, MAX_HELLO_BYTES).unwrap();
        let hello = Frame::Hello(Hello {
            version: WIRE_VERSION,
            site: SITE.to_owned(),
            replica: None,
        });
        stream.write_all(&encode(&hello).unwrap()).unwrap();
        stream
    });
    let connection = Connection::open(address, &options(), handler).unwrap();
    let _unread = silent.join().unwrap();
    let frame = consensus(vec![0; 8 << 20]);
    let refused = (0..64).find_map(|_| connection.send(&frame).err());
    expect_that!(refused, some(anything()));
}

#[gtest]
fn stopping_writes_queued_replies_and_joins_all_threads() {
    let (mut server, at_server) = server(1, 10);
    let (connection, at_client) = open(server.local_address());
    for id in 0..1000 {
        connection.send(&request(id)).unwrap();
    }
    connection.send(&consensus(vec![1])).unwrap();
    at_server.frames.recv_timeout(TIMEOUT).unwrap();
    server.stop();
    for id in 0..1000 {
        let reply = at_client.frames.recv_timeout(TIMEOUT).unwrap();
        expect_that!(
            reply,
            pat!(Frame::Reply {
                id: eq(&RequestId(id)),
                ..
            })
        );
    }
    expect_that!(at_client.closed.recv_timeout(TIMEOUT), ok(anything()));
    expect_that!(at_server.closed.recv_timeout(TIMEOUT), ok(anything()));
    expect_that!(server.connection_count(), eq(0));
}

#[gtest]
fn the_port_of_a_stopped_server_can_be_bound_at_once() {
    let (mut first, _a) = server(1, 10);
    let address = first.local_address();
    let (_connection, _b) = open(address);
    first.stop();
    let (handler, _c) = recorder();
    expect_that!(
        Server::bind(address, server_options(1, 10), handler),
        ok(anything())
    );
}

#[gtest]
fn a_peer_reconnects_and_drops_frames_while_disconnected() {
    let (mut first, at_first) = server(1, 10);
    let address = first.local_address();
    let (at_peer, _received) = recorder();
    let options = PeerOptions {
        address,
        expected: Some(ReplicaId(1)),
        site: SITE.to_owned(),
        replica: Some(ReplicaId(2)),
        seed: 1,
    };
    let peer = Peer::start(options, at_peer).unwrap();
    expect_true!(wait_until(|| peer.is_connected()));
    expect_true!(peer.send_consensus(GroupId::Control, vec![1]));
    expect_that!(
        at_first.frames.recv_timeout(TIMEOUT),
        ok(eq(&consensus(vec![1])))
    );
    first.stop();
    expect_true!(wait_until(|| !peer.is_connected()));
    expect_false!(peer.send_consensus(GroupId::Control, vec![2]));
    expect_true!(wait_until(|| peer.last_error().is_some()));

    let (handler, at_second) = recorder();
    let _second = Server::bind(address, server_options(1, 10), handler).unwrap();
    expect_true!(wait_until(|| peer.send_consensus(GroupId::Control, vec![3])));
    expect_that!(
        at_second.frames.recv_timeout(TIMEOUT),
        ok(eq(&consensus(vec![3])))
    );
}

#[gtest]
fn a_peer_does_not_send_to_another_identity_at_its_address() {
    let (server, at_server) = server(9, 10);
    let (at_peer, _received) = recorder();
    let options = PeerOptions {
        address: server.local_address(),
        expected: Some(ReplicaId(1)),
        site: SITE.to_owned(),
        replica: Some(ReplicaId(2)),
        seed: 1,
    };
    let peer = Peer::start(options, at_peer).unwrap();
    expect_true!(wait_until(|| peer
        .last_error()
        .is_some_and(|error| error.contains("expected replica 1"))));
    expect_false!(peer.send_consensus(GroupId::Control, vec![1]));
    expect_that!(at_server.frames.try_recv(), err(anything()));
}
