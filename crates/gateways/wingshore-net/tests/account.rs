//! The account of callers' memory, and the bodies that it counts.
//!
//! Guards against memory that is held and not counted, or counted and not held: requests arrive in any
//! pieces, end, are dropped or refused in any order, and their bodies are shared and dropped.

use bytes::{Bytes, BytesMut};
use googletest::prelude::*;
use proptest::prelude::*;
use wingshore_net::account::{Account, Part, SMALL_BODY_BYTES};
use wingshore_net::http::{RequestReader, WholeRequest};

/// Limits of a request in these tests, in bytes.
const MAX_HEAD: usize = 4096;
const MAX_BODY: usize = 300_000;
/// Readers of connections.
const CONNECTIONS: usize = 4;

/// One step of a test.
#[derive(Clone, Debug)]
enum Step {
    /// A head arrives on a connection, with this length of its body, or none for a chunked one.
    Head(usize, Option<usize>),
    /// Bytes of a body arrive on a connection.
    Bytes(usize, usize),
    /// A chunk arrives on a connection.
    Chunk(usize, usize),
    /// A connection closes.
    Close(usize),
    /// A connection's incomplete request is refused.
    Refuse(usize),
    /// A complete request is shared with a server.
    Share,
    /// The oldest complete request, or share of one, is dropped.
    Drop,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let connection = || 0..CONNECTIONS;
    let step = prop_oneof![
        (connection(), proptest::option::of(0..MAX_BODY))
            .prop_map(|(on, length)| Step::Head(on, length)),
        (connection(), 1..100_000_usize).prop_map(|(on, count)| Step::Bytes(on, count)),
        (connection(), 1..70_000_usize).prop_map(|(on, count)| Step::Chunk(on, count)),
        connection().prop_map(Step::Close),
        connection().prop_map(Step::Refuse),
        Just(Step::Share),
        Just(Step::Drop),
    ];
    proptest::collection::vec(step, 0..60)
}

/// Connections and the requests that they have brought.
struct Model {
    account: Account,
    connections: Vec<(RequestReader, BytesMut)>,
    complete: Vec<WholeRequest>,
    shares: Vec<Bytes>,
}

impl Model {
    fn new() -> Self {
        let account = Account::default();
        let connections = (0..CONNECTIONS)
            .map(|_| (RequestReader::new(&account), BytesMut::new()))
            .collect();
        Self {
            account,
            connections,
            complete: Vec::new(),
            shares: Vec::new(),
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Head(on, Some(length)) => {
                let head = format!("POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
                self.receive(on, head.as_bytes());
            }
            Step::Head(on, None) => {
                self.receive(on, b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
            }
            Step::Bytes(on, count) => self.receive(on, &vec![b'x'; count]),
            Step::Chunk(on, count) => {
                let mut chunk = format!("{count:x}\r\n").into_bytes();
                chunk.extend(vec![b'x'; count]);
                chunk.extend_from_slice(b"\r\n");
                self.receive(on, &chunk);
            }
            Step::Close(on) => self.reset(on),
            Step::Refuse(on) => self.connections[on].0.drop_body(),
            Step::Share => {
                let pieces = self.complete.last().map(|request| request.body.pieces());
                self.shares.extend_from_slice(pieces.unwrap_or_default());
            }
            Step::Drop if !self.complete.is_empty() => {
                self.complete.remove(0);
            }
            Step::Drop => self.shares.truncate(self.shares.len() / 2),
        }
    }

    fn receive(&mut self, on: usize, bytes: &[u8]) {
        let (reader, input) = &mut self.connections[on];
        input.extend_from_slice(bytes);
        loop {
            match reader.next(input, MAX_HEAD, MAX_BODY) {
                Ok(Some(request)) => self.complete.push(request),
                Ok(None) => return,
                Err(_) => return self.reset(on),
            }
        }
    }

    fn reset(&mut self, on: usize) {
        self.connections[on] = (RequestReader::new(&self.account), BytesMut::new());
    }

    /// Returns the bytes of all bodies that are held in readers and complete requests.
    fn body_bytes(&self) -> usize {
        let arriving = self.connections.iter();
        let arriving: usize = arriving.map(|(reader, _)| reader.body_bytes()).sum();
        let complete = self.complete.iter();
        arriving + complete.map(|request| request.body.len()).sum::<usize>()
    }

    /// Returns the bytes counted as bodies.
    fn counted(&self) -> usize {
        self.account.used(Part::Bodies) + self.account.used(Part::LargeBodies)
    }

    /// Returns the number of bodies that are held.
    fn bodies(&self) -> usize {
        CONNECTIONS + self.complete.len() + self.shares.len()
    }
}

proptest! {
    #[test]
    fn what_is_held_is_counted_and_nothing_stays(steps in steps()) {
        let mut model = Model::new();
        for step in steps {
            model.run(step);
            prop_assert!(model.counted() >= model.body_bytes());
            // A piece that is being filled is at most twice as large as what is in it, or full.
            let slack = model.bodies() * SMALL_BODY_BYTES + model.shares.iter().map(Bytes::len).sum::<usize>();
            prop_assert!(model.counted() <= model.body_bytes() + slack);
            prop_assert!(model.account.used(Part::Bodies) <= model.bodies() * SMALL_BODY_BYTES);
        }
        let account = model.account.clone();
        drop(model);
        prop_assert_eq!(account.total(), 0);
    }

    #[test]
    fn a_body_in_pieces_has_the_bytes_that_arrived(
        lengths in proptest::collection::vec(1..90_000_usize, 1..6),
        is_chunked in any::<bool>(),
    ) {
        let total: usize = lengths.iter().sum();
        let body: Vec<u8> = (0..total).map(|at| (at % 251) as u8).collect();
        let mut wire = if is_chunked {
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec()
        } else {
            format!("POST / HTTP/1.1\r\nContent-Length: {total}\r\n\r\n").into_bytes()
        };
        let mut at = 0;
        for length in lengths {
            let part = &body[at..at + length];
            at += length;
            if is_chunked {
                wire.extend(format!("{length:x}\r\n").into_bytes());
            }
            wire.extend_from_slice(part);
            if is_chunked {
                wire.extend_from_slice(b"\r\n");
            }
        }
        if is_chunked {
            wire.extend_from_slice(b"0\r\n\r\n");
        }
        let account = Account::default();
        let mut reader = RequestReader::new(&account);
        let mut input = BytesMut::from(&wire[..]);
        let request = reader.next(&mut input, MAX_HEAD, usize::MAX).unwrap().unwrap();
        prop_assert_eq!(request.body.len(), total);
        let mut read = Vec::new();
        std::io::Read::read_to_end(&mut request.body.clone().into_reader(), &mut read).unwrap();
        prop_assert!(read == body);
        prop_assert!(request.body.contiguous() == body);
        prop_assert!(request.body.pieces().concat() == body);
    }
}

#[gtest]
fn a_charge_counts_until_it_is_dropped() {
    let account = Account::default();
    let mut charge = account.charge(Part::Output, 100);
    charge.set(40);
    expect_that!(account.used(Part::Output), eq(40));
    expect_that!(account.total(), eq(40));
    drop(charge);
    expect_that!(account.total(), eq(0));
}
