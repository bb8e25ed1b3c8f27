//! Connections of callers of the reactor, with real sockets on the loopback interface.
//!
//! Guards against input that is read without bound, connections that are turned away while the process
//! could close others, and answers that a reset destroys on their way.

use googletest::prelude::*;
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use wingshore_net::account::Part;
use wingshore_net::{ConnectionId, NetEvent, Reactor};

const LIMIT: Duration = Duration::from_secs(5);
/// Callers that the reactor takes.
const CALLERS: usize = 3;
/// Bytes of one caller that may be held before they are handled, with what one read adds.
const MOST_READ_AHEAD: usize = 80 * 1024;

fn listening_reactor() -> (Reactor, SocketAddr) {
    let mut reactor = Reactor::new().expect("a reactor");
    let address = ([127, 0, 0, 1], 0).into();
    let listener = reactor.listen_for_callers(address, LIMIT, CALLERS);
    let listener = listener.expect("it listens");
    let address = reactor.local_address(listener).expect("an address");
    (reactor, address)
}

/// Polls until `wanted` returns a value for an event, and returns that value.
fn wait_for<T>(reactor: &mut Reactor, mut wanted: impl FnMut(NetEvent) -> Option<T>) -> T {
    let deadline = Instant::now() + LIMIT * 4;
    let mut events = Vec::new();
    loop {
        assert!(Instant::now() < deadline, "the event did not come");
        poll(reactor, &mut events);
        for event in events.drain(..) {
            if let Some(found) = wanted(event) {
                return found;
            }
        }
    }
}

fn poll(reactor: &mut Reactor, events: &mut Vec<NetEvent>) {
    reactor
        .poll(Duration::from_millis(20), events)
        .expect("the reactor polls");
    reactor.update_account();
}

fn next_accepted(reactor: &mut Reactor) -> ConnectionId {
    wait_for(reactor, |event| match event {
        NetEvent::Accepted { connection, .. } => Some(connection),
        _ => None,
    })
}

/// Writes until the peer takes nothing for a moment; returns the number of bytes.
fn write_until_blocked(peer: &mut TcpStream, reactor: &mut Reactor) -> usize {
    peer.set_nonblocking(true).expect("a mode");
    let (mut written, mut blocked) = (0, 0);
    let mut events = Vec::new();
    while blocked < 10 {
        match peer.write(&[b'x'; 16 * 1024]) {
            Ok(count) => {
                written += count;
                blocked = 0;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                blocked += 1;
                poll(reactor, &mut events);
            }
            Err(error) => panic!("the peer cannot write: {error}"),
        }
    }
    written
}

#[gtest]
fn bytes_that_are_not_handled_are_read_up_to_a_bound_and_all_of_them_later() {
    let (mut reactor, address) = listening_reactor();
    let mut peer = TcpStream::connect(address).expect("a connection");
    let connection = next_accepted(&mut reactor);
    let written = write_until_blocked(&mut peer, &mut reactor);
    expect_that!(reactor.input_bytes(connection), le(MOST_READ_AHEAD));
    expect_that!(reactor.account().used(Part::Input), le(2 * MOST_READ_AHEAD));
    expect_that!(reactor.account().used(Part::Kernel), gt(0));
    let mut read = 0;
    let deadline = Instant::now() + LIMIT;
    let mut events = Vec::new();
    while read < written && Instant::now() < deadline {
        let input = reactor.input(connection).expect("it is open");
        read += input.len();
        input.clear();
        poll(&mut reactor, &mut events);
    }
    expect_that!(read, eq(written));
    poll(&mut reactor, &mut events);
    expect_that!(reactor.account().total(), eq(0));
}

#[gtest]
fn a_caller_that_leaves_is_noticed_while_it_is_not_read() {
    let (mut reactor, address) = listening_reactor();
    let mut peer = TcpStream::connect(address).expect("a connection");
    let connection = next_accepted(&mut reactor);
    // More than is read, and less than the kernel takes: the end arrives behind it.
    peer.write_all(&[b'x'; 100 * 1024]).expect("bytes leave");
    drop(peer);
    wait_for(&mut reactor, |event| match event {
        NetEvent::EndOfInput(ended) | NetEvent::Broken(ended) => Some(ended),
        _ => None,
    });
    reactor.close(connection);
    expect_that!(reactor.account().total(), eq(0));
}

#[gtest]
fn the_end_of_output_is_reported_once_it_is_asked_for() {
    let (mut reactor, address) = listening_reactor();
    let mut peer = TcpStream::connect(address).expect("a connection");
    let connection = next_accepted(&mut reactor);
    reactor.send(connection, &vec![7; 8 << 20]);
    reactor.report_sent(connection);
    let reading = std::thread::spawn(move || {
        let mut bytes = vec![0; 8 << 20];
        peer.read_exact(&mut bytes).expect("bytes arrive");
        peer
    });
    wait_for(&mut reactor, |event| {
        (event == NetEvent::Sent(connection)).then_some(())
    });
    expect_that!(reactor.queued(connection), eq(0));
    drop(reading.join().expect("no panic"));
}

/// What a caller does not read stays in the account, and does not fill the kernel.
#[gtest]
fn the_kernel_takes_little_of_an_answer_that_is_not_read() {
    const ANSWER: usize = 16 << 20;
    const MOST_IN_KERNELS: u64 = 1 << 20;
    let (mut reactor, address) = listening_reactor();
    let peer = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    peer.set_recv_buffer_size(64 * 1024).expect("a size");
    peer.connect(&address.into()).expect("a connection");
    let connection = next_accepted(&mut reactor);
    reactor.send(connection, &vec![7; ANSWER]);
    let mut events = Vec::new();
    for _ in 0..20 {
        poll(&mut reactor, &mut events);
    }
    expect_that!(reactor.sent(connection), le(MOST_IN_KERNELS));
    let queued = reactor.account().used(Part::Output);
    expect_that!(queued, eq(ANSWER - reactor.sent(connection) as usize));
}

#[gtest]
fn an_answer_reaches_a_caller_that_is_still_sending() {
    let (mut reactor, address) = listening_reactor();
    let mut peer = TcpStream::connect(address).expect("a connection");
    peer.write_all(&[b'x'; 1000]).expect("bytes leave");
    let connection = next_accepted(&mut reactor);
    reactor.send(connection, b"refused");
    reactor.close_when_answered(connection);
    let reading = std::thread::spawn(move || {
        // More than the buffers of both ends: what nobody reads would hold the caller up.
        peer.write_all(&vec![b'x'; 20 << 20]).expect("bytes leave");
        peer.shutdown(std::net::Shutdown::Write).expect("an end");
        let mut answer = String::new();
        peer.read_to_string(&mut answer).expect("an orderly end");
        answer
    });
    let mut events = Vec::new();
    while !reading.is_finished() {
        poll(&mut reactor, &mut events);
    }
    expect_that!(reading.join().expect("no panic").as_str(), eq("refused"));
    let deadline = Instant::now() + LIMIT;
    while reactor.is_open(connection) && Instant::now() < deadline {
        poll(&mut reactor, &mut events);
    }
    expect_that!(reactor.is_open(connection), eq(false));
    expect_that!(reactor.account().total(), eq(0));
}

#[gtest]
fn callers_over_the_limit_wait_until_others_are_closed() {
    let (mut reactor, address) = listening_reactor();
    let peers: Vec<TcpStream> = (0..60)
        .map(|_| TcpStream::connect(address).expect("a connection"))
        .collect();
    let mut accepted = Vec::new();
    let mut events = Vec::new();
    let deadline = Instant::now() + LIMIT;
    while accepted.len() < peers.len() && Instant::now() < deadline {
        poll(&mut reactor, &mut events);
        for event in events.drain(..) {
            if let NetEvent::Accepted { connection, .. } = event {
                accepted.push(connection);
            }
        }
        // A few more than allowed at most, until the process has had its turn.
        expect_that!(reactor.caller_count(), le(CALLERS + 16));
        while reactor.caller_count() > CALLERS {
            let oldest = accepted[accepted.len() - reactor.caller_count()];
            reactor.close(oldest);
        }
    }
    expect_that!(accepted.len(), eq(peers.len()));
}
