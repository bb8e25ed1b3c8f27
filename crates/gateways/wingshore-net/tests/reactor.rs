//! The reactor with real sockets on the loopback interface.

use googletest::prelude::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use wingshore_net::{ConnectOptions, ConnectionId, NetEvent, Reactor};

const LIMIT: Duration = Duration::from_secs(5);
const OPTIONS: ConnectOptions = ConnectOptions {
    unacknowledged_limit: LIMIT,
};

/// Polls until `wanted` returns a value for an event, and returns that value.
fn wait_for<T>(reactor: &mut Reactor, mut wanted: impl FnMut(NetEvent) -> Option<T>) -> T {
    let deadline = Instant::now() + LIMIT * 4;
    let mut events = Vec::new();
    loop {
        assert!(Instant::now() < deadline, "the event did not come");
        reactor
            .poll(Duration::from_millis(50), &mut events)
            .expect("the reactor polls");
        for event in events.drain(..) {
            if let Some(found) = wanted(event) {
                return found;
            }
        }
    }
}

fn listening_reactor() -> (Reactor, SocketAddr) {
    let mut reactor = Reactor::new().expect("a reactor");
    let address = ([127, 0, 0, 1], 0).into();
    let listener = reactor.listen(address, LIMIT, 3).expect("it listens");
    let address = reactor.local_address(listener).expect("an address");
    (reactor, address)
}

fn next_accepted(reactor: &mut Reactor) -> ConnectionId {
    wait_for(reactor, |event| match event {
        NetEvent::Accepted { connection, .. } => Some(connection),
        _ => None,
    })
}

#[gtest]
fn bytes_are_received_and_sent() {
    let (mut reactor, address) = listening_reactor();
    let mut peer = TcpStream::connect(address).expect("a connection");
    let connection = next_accepted(&mut reactor);
    peer.write_all(b"question").expect("bytes leave");
    wait_for(&mut reactor, |event| {
        (event == NetEvent::Received(connection)).then_some(())
    });
    let input = reactor.input(connection).map(|input| input.to_vec());
    expect_that!(input, some(eq(&b"question".to_vec())));
    reactor.send(connection, b"answer");
    reactor.close_when_flushed(connection);
    let reading = std::thread::spawn(move || {
        let mut answer = String::new();
        peer.read_to_string(&mut answer).expect("an orderly end");
        answer
    });
    let mut events = Vec::new();
    while !reading.is_finished() {
        reactor
            .poll(Duration::from_millis(10), &mut events)
            .expect("the reactor polls");
    }
    expect_that!(reading.join().expect("no panic").as_str(), eq("answer"));
    expect_that!(reactor.is_open(connection), eq(false));
}

/// Guards against a lost end of input: when bytes and the end after them arrived before one poll,
/// only the bytes were reported, since no second event follows for the end.
#[gtest]
fn an_end_of_input_that_arrives_together_with_bytes_is_reported() {
    let (mut reactor, address) = listening_reactor();
    let mut peer = TcpStream::connect(address).expect("a connection");
    let connection = next_accepted(&mut reactor);
    peer.write_all(b"last words").expect("bytes leave");
    drop(peer);
    // The bytes and the end arrive before the reactor polls.
    std::thread::sleep(Duration::from_millis(100));
    let mut received = false;
    wait_for(&mut reactor, |event| {
        received |= event == NetEvent::Received(connection);
        (event == NetEvent::EndOfInput(connection)).then_some(())
    });
    expect_that!(received, eq(true));
    let input = reactor.input(connection).map(|input| input.to_vec());
    expect_that!(input, some(eq(&b"last words".to_vec())));
}

#[gtest]
fn output_larger_than_the_socket_buffer_is_sent_completely() {
    const LENGTH: usize = 8 << 20;
    let (mut reactor, address) = listening_reactor();
    let mut peer = TcpStream::connect(address).expect("a connection");
    let connection = next_accepted(&mut reactor);
    reactor.send(connection, &vec![7; LENGTH]);
    reactor.close_when_flushed(connection);
    let reading = std::thread::spawn(move || {
        let mut bytes = Vec::new();
        peer.read_to_end(&mut bytes).expect("an orderly end");
        bytes.len()
    });
    let mut events = Vec::new();
    while !reading.is_finished() {
        reactor
            .poll(Duration::from_millis(10), &mut events)
            .expect("the reactor polls");
    }
    expect_that!(reading.join().expect("no panic"), eq(LENGTH));
}

#[gtest]
fn an_outgoing_connection_is_established_or_refused() {
    let mut reactor = Reactor::new().expect("a reactor");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let connection = reactor.connect(address, OPTIONS).expect("it begins");
    reactor.send(connection, b"early");
    wait_for(&mut reactor, |event| {
        (event == NetEvent::Connected(connection)).then_some(())
    });
    drop(listener);
    let refused = reactor.connect(address, OPTIONS).expect("it begins");
    wait_for(&mut reactor, |event| {
        (event == NetEvent::Refused(refused)).then_some(())
    });
    expect_that!(reactor.is_open(refused), eq(false));
}

#[gtest]
fn connections_over_the_limit_are_closed() {
    let (mut reactor, address) = listening_reactor();
    let peers: Vec<TcpStream> = (0..3)
        .map(|_| TcpStream::connect(address).expect("a connection"))
        .collect();
    let mut count = 0;
    wait_for(&mut reactor, |event| {
        count += u32::from(matches!(event, NetEvent::Accepted { .. }));
        (count == 3).then_some(())
    });
    let mut surplus = TcpStream::connect(address).expect("a connection");
    let mut events = Vec::new();
    for _ in 0..5 {
        reactor
            .poll(Duration::from_millis(20), &mut events)
            .expect("the reactor polls");
    }
    surplus
        .set_read_timeout(Some(LIMIT))
        .expect("a timeout is set");
    let end = surplus.read(&mut [0; 8]);
    expect_that!(matches!(end, Ok(0) | Err(_)), eq(true));
    drop(peers);
}

#[gtest]
fn a_waker_ends_the_wait_of_another_thread() {
    let mut reactor = Reactor::new().expect("a reactor");
    let waker = reactor.waker();
    let started_at = Instant::now();
    std::thread::spawn(move || waker.wake());
    reactor
        .poll(LIMIT, &mut Vec::new())
        .expect("the reactor polls");
    expect_that!(started_at.elapsed(), lt(LIMIT));
}

/// Copied and shared bytes are sent in the order in which they were queued, even when the peer
/// reads slowly.
#[gtest]
fn shared_and_copied_bytes_are_sent_in_order() {
    let (mut reactor, address) = listening_reactor();
    let peer = TcpStream::connect(address).expect("a connection");
    let connection = next_accepted(&mut reactor);
    let long = bytes::Bytes::from(vec![b'l'; 600_000]);
    let short = bytes::Bytes::from_static(b"short");
    let mut expected = Vec::new();
    for _ in 0..3 {
        reactor.send(connection, b"copied");
        reactor.send_shared(connection, &short);
        reactor.send_shared(connection, &long);
        expected.extend_from_slice(b"copiedshort");
        expected.extend_from_slice(&long);
    }
    expect_that!(reactor.queued(connection), eq(expected.len()));
    reactor.close_when_flushed(connection);
    let reading = std::thread::spawn(move || {
        let mut peer = peer;
        let mut received = Vec::new();
        std::thread::sleep(Duration::from_millis(50));
        peer.read_to_end(&mut received).expect("bytes arrive");
        received
    });
    let deadline = Instant::now() + LIMIT;
    let mut events = Vec::new();
    while reactor.is_open(connection) && Instant::now() < deadline {
        reactor
            .poll(Duration::from_millis(20), &mut events)
            .expect("the reactor polls");
    }
    let received = reading.join().expect("the peer reads");
    expect_that!(received == expected, eq(true));
}
