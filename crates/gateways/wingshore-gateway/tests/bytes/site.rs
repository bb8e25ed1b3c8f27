//! A real gateway on loopback, with a coordinator and servers that the test plays.

use std::collections::BTreeSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use slog::{Drain, Logger, Never, OwnedKVList, Record, o};
use wingshore_coordination::{
    CoordinatorMessage, GatewayMessage, GatewayStatus, IncomingFrame, ViewUpdate, WallTime,
    with_own_formats,
};
use wingshore_diagnostics::LogCounts;
use wingshore_gateway::{Gateway, GatewayPolicy, GatewaySettings};
use wingshore_net::callers::CallerBounds;
use wingshore_net::{Signals, frame};
use wingshore_types::{Epoch, LogIndex};

use crate::protocol::StubProtocol;

/// Timeout of every wait for the gateway.
const WAIT_TIMEOUT: Duration = Duration::from_secs(5);
const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
pub(crate) const ZONE: &str = "zone-a";

/// The keys of each log line, joined; lines of equal keys count once.
#[derive(Clone, Default)]
struct LogKeys(Arc<Mutex<BTreeSet<String>>>);

/// Collects the keys of one log line.
#[derive(Default)]
struct KeysOfLine(Vec<String>);

impl slog::Serializer for KeysOfLine {
    fn emit_arguments(&mut self, key: slog::Key, _value: &std::fmt::Arguments<'_>) -> slog::Result {
        self.0.push(key.to_string());
        Ok(())
    }
}

impl Drain for LogKeys {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _values: &OwnedKVList) -> Result<(), Never> {
        let mut keys = KeysOfLine::default();
        let serialized = slog::KV::serialize(&record.kv(), record, &mut keys);
        assert!(serialized.is_ok());
        keys.0.sort_unstable();
        self.0.lock().unwrap().insert(keys.0.join(" "));
        Ok(())
    }
}

/// A running gateway and the coordinator that the test plays.
pub(crate) struct Site {
    pub(crate) front: SocketAddr,
    pub(crate) ready: SocketAddr,
    coordinator: Arc<Mutex<TcpStream>>,
    received: Receiver<IncomingFrame>,
    log: LogKeys,
    stop: Arc<AtomicBool>,
    alive: Arc<AtomicBool>,
}

/// Port for clients of the first sites.
const FIRST_PORT: u16 = 6200;
/// Second octet of the first site's address.
const FIRST_OCTET: u16 = 128;
/// Number of sites that use the same ports, each at an address of its own.
const SITES_PER_PORT: u16 = 128;

/// Returns a loopback address and two ports that no other site uses together: for clients, and for
/// the readiness check. Ports of a shared address that had been
/// checked as free were sometimes taken by others before the gateway listened there: the gateway
/// ended, and the test waited forever (8 of 60 runs, with six in parallel).
fn unique_endpoints() -> (SocketAddr, SocketAddr) {
    static STARTED: AtomicU16 = AtomicU16::new(0);
    let number = STARTED.fetch_add(1, Ordering::Relaxed);
    let [_, network] = (FIRST_OCTET + number % SITES_PER_PORT).to_be_bytes();
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = IpAddr::from([127, network, high, low]);
    let port = FIRST_PORT + 2 * (number / SITES_PER_PORT);
    ((host, port).into(), (host, port + 1).into())
}

/// Time limits of a gateway's planned stop.
#[derive(Clone, Copy)]
pub(crate) struct StopTimes {
    /// Maximum duration of a planned stop.
    pub(crate) limit: Duration,
    /// How long clients may keep using an address from the directory.
    pub(crate) directory_ttl: Duration,
}

impl Default for StopTimes {
    fn default() -> Self {
        Self {
            limit: Duration::from_secs(1),
            directory_ttl: Duration::from_millis(10),
        }
    }
}

impl Site {
    /// Starts the gateway without a view and accepts its link to the coordinator.
    pub(crate) fn start() -> Self {
        Self::start_with(StopTimes::default(), GatewayPolicy::default())
    }

    fn start_with(stop_times: StopTimes, policy: GatewayPolicy) -> Self {
        let site = Self::start_without_heartbeats(stop_times, policy);
        site.send_heartbeats();
        site
    }

    /// Starts the gateway and accepts its link to the coordinator, which sends nothing yet.
    fn start_without_heartbeats(stop_times: StopTimes, policy: GatewayPolicy) -> Self {
        let listener = TcpListener::bind((LOOPBACK, 0)).unwrap();
        let (front, ready) = unique_endpoints();
        let log = LogKeys::default();
        let internal_port = listener.local_addr().unwrap().port();
        let settings = settings((front, ready), internal_port, stop_times, policy);
        let stop = start_gateway(settings, &log);
        let (stream, _) = listener.accept().unwrap();
        let (sender, received) = channel();
        let mut reading = stream.try_clone().unwrap();
        thread::spawn(move || {
            let mut input = bytes::BytesMut::new();
            let mut buffer = [0; 4096];
            while let Ok(length @ 1..) = reading.read(&mut buffer) {
                input.extend_from_slice(&buffer[..length]);
                while let Some(message) = frame::decode(&mut input).unwrap() {
                    if sender.send(message).is_err() {
                        return;
                    }
                }
            }
        });
        Self {
            front,
            ready,
            coordinator: Arc::new(Mutex::new(stream)),
            received,
            log,
            stop,
            alive: Arc::new(AtomicBool::new(true)),
        }
    }

    /// Sends heartbeats, because the gateway disconnects silent coordinators.
    fn send_heartbeats(&self) {
        let (coordinator, alive) = (Arc::clone(&self.coordinator), Arc::clone(&self.alive));
        thread::spawn(move || {
            while alive.load(Ordering::Relaxed) {
                let bytes = frame::encode(&heartbeat()).unwrap();
                let _ = coordinator.lock().unwrap().write_all(&bytes);
                thread::sleep(Duration::from_millis(100));
            }
        });
    }

    /// Starts a gateway whose coordinator leads and has sent it `view`.
    pub(crate) fn with_view(view: ViewUpdate) -> Self {
        Self::with_view_and_stop(view, StopTimes::default())
    }

    /// Like [`Site::with_view`], with the time limits of a planned stop.
    pub(crate) fn with_view_and_stop(view: ViewUpdate, stop_times: StopTimes) -> Self {
        Self::start_with(stop_times, GatewayPolicy::default()).lead(view)
    }

    /// Like [`Site::with_view`], with the mechanisms that are enabled.
    pub(crate) fn with_view_and_policy(view: ViewUpdate, policy: GatewayPolicy) -> Self {
        Self::start_with(StopTimes::default(), policy).lead(view)
    }

    /// Like [`Site::with_view`], with a coordinator that speaks all formats of this build.
    pub(crate) fn with_view_and_own_formats(view: ViewUpdate) -> Self {
        let site = Self::start_without_heartbeats(StopTimes::default(), GatewayPolicy::default());
        let first = frame::encode(&with_own_formats(&heartbeat())).unwrap();
        let mut coordinator = site.coordinator.lock().unwrap();
        coordinator.write_all(&first).unwrap();
        drop(coordinator);
        site.send_heartbeats();
        site.lead(view)
    }

    /// Lets the coordinator lead and send the gateway `view`.
    fn lead(self, view: ViewUpdate) -> Self {
        let site = self;
        site.await_follower();
        site.send(&CoordinatorMessage::Leading { epoch: Epoch(1) });
        site.expect(|message| {
            matches!(
                message,
                IncomingFrame::FromGateway(GatewayMessage::Running { .. })
            )
        });
        site.send_view(view);
        site
    }

    /// Waits for the gateway's hello and its request for the view.
    pub(crate) fn await_follower(&self) {
        self.expect(|message| matches!(message, IncomingFrame::Gateway(_)));
        self.expect(|message| {
            matches!(
                message,
                IncomingFrame::FromGateway(GatewayMessage::FollowView { since: None })
            )
        });
    }

    /// Sends a view and waits until it is in force.
    pub(crate) fn send_view(&self, view: ViewUpdate) {
        self.send(&CoordinatorMessage::View(view));
        self.await_status(|status| status.configuration > 0);
    }

    /// Waits for a status report that `is_expected` accepts.
    pub(crate) fn await_status(&self, is_expected: impl Fn(&GatewayStatus) -> bool) {
        self.expect(|message| match message {
            IncomingFrame::FromGateway(GatewayMessage::Status(status)) => is_expected(status),
            _ => false,
        });
    }

    /// Begins the gateway's planned stop.
    pub(crate) fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    pub(crate) fn send(&self, message: &CoordinatorMessage) {
        let bytes = frame::encode(message).unwrap();
        self.coordinator.lock().unwrap().write_all(&bytes).unwrap();
    }

    /// Returns the next frame that `is_expected` accepts; skips the frames before it.
    pub(crate) fn expect(&self, is_expected: impl Fn(&IncomingFrame) -> bool) -> IncomingFrame {
        let end = std::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let left = end.saturating_duration_since(std::time::Instant::now());
            match self.received.recv_timeout(left) {
                Ok(message) if is_expected(&message) => return message,
                Ok(_) => {}
                Err(RecvTimeoutError::Timeout) => panic!("timed out waiting for a frame"),
                Err(RecvTimeoutError::Disconnected) => panic!("the gateway closed the link"),
            }
        }
    }

    /// Returns the next frame other than status and progress reports, as escaped bytes without the
    /// length prefix.
    pub(crate) fn next_message(&self) -> String {
        let is_report = |message: &IncomingFrame| {
            matches!(
                message,
                IncomingFrame::FromGateway(GatewayMessage::Status(_) | GatewayMessage::Progress(_))
            )
        };
        let bytes = frame::encode(&self.expect(|message| !is_report(message))).unwrap();
        bytes[4..].escape_ascii().to_string()
    }

    /// Returns the keys of the log lines so far.
    pub(crate) fn log_keys(&self) -> Vec<String> {
        self.log.0.lock().unwrap().iter().cloned().collect()
    }

    /// Opens a connection as a client.
    pub(crate) fn client(&self) -> TcpStream {
        connect(self.front)
    }

    /// Returns the answer to one request on a connection of its own.
    pub(crate) fn ask(&self, request: &str) -> String {
        let mut client = self.client();
        client.write_all(request.as_bytes()).unwrap();
        read_message(&mut client)
    }
}

/// Returns a heartbeat of the coordinator.
fn heartbeat() -> CoordinatorMessage {
    CoordinatorMessage::Alive {
        coordinators: Some(Vec::new()),
        zone: ZONE.to_owned(),
        copy: Some(LogIndex(1)),
        wall: WallTime(0),
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop();
        self.alive.store(false, Ordering::Relaxed);
    }
}

fn settings(
    (front, ready): (SocketAddr, SocketAddr),
    internal_port: u16,
    stop_times: StopTimes,
    policy: GatewayPolicy,
) -> GatewaySettings {
    GatewaySettings {
        node: "node-1".to_owned(),
        zone: ZONE.to_owned(),
        region: "region".to_owned(),
        front,
        ready: Some(ready),
        directory: None,
        metrics: None,
        internal_port,
        seeds: vec![LOOPBACK],
        callers: CallerBounds::new(64 << 20, 64),
        directory_ttl: stop_times.directory_ttl,
        stop_limit: stop_times.limit,
        usage_window: Some(Duration::from_secs(60)),
        policy,
    }
}

fn start_gateway(settings: GatewaySettings, log: &LogKeys) -> Arc<AtomicBool> {
    let signals = Signals::default();
    let stop = Arc::clone(&signals.stop);
    let logger = Logger::root(log.clone(), o!());
    thread::spawn(move || {
        let seeds = Box::new(|| Ok(vec![LOOPBACK]));
        let protocol = Box::new(StubProtocol);
        let counts = LogCounts::default();
        let gateway = Gateway::start(settings, protocol, signals, seeds, logger, counts).unwrap();
        gateway.run().unwrap();
    });
    stop
}

pub(crate) fn connect(address: SocketAddr) -> TcpStream {
    let end = std::time::Instant::now() + WAIT_TIMEOUT;
    loop {
        match TcpStream::connect(address) {
            Ok(stream) => {
                stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
                return stream;
            }
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                assert!(
                    std::time::Instant::now() < end,
                    "no listener at the address"
                );
                thread::sleep(Duration::from_millis(5));
            }
            Err(error) => panic!("{error}"),
        }
    }
}

/// A server that the test plays.
pub(crate) struct Server(TcpListener);

impl Server {
    pub(crate) fn start() -> Self {
        Self(TcpListener::bind((LOOPBACK, 0)).unwrap())
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    /// Whether the gateway has opened a connection that was not accepted yet.
    pub(crate) fn has_connection(&self) -> bool {
        self.0.set_nonblocking(true).unwrap();
        let accepted = self.0.accept();
        self.0.set_nonblocking(false).unwrap();
        accepted.is_ok()
    }

    /// Accepts the gateway's next connection and reads the request on it.
    pub(crate) fn accept(&self) -> (TcpStream, String) {
        let (mut stream, _) = self.0.accept().unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let request = read_message(&mut stream);
        (stream, request)
    }

    /// As [`Server::accept`]; panics if the gateway opens no connection in time. It answers some
    /// milliseconds later, so that a gateway may prefer another server for the next request.
    pub(crate) fn accept_in_time(&self) -> (TcpStream, String) {
        let end = std::time::Instant::now() + WAIT_TIMEOUT;
        self.0.set_nonblocking(true).unwrap();
        let mut stream = loop {
            match self.0.accept() {
                Ok((stream, _)) => break stream,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    let is_over = std::time::Instant::now() >= end;
                    assert!(!is_over, "the gateway opens no connection");
                    thread::sleep(Duration::from_millis(5));
                }
                Err(error) => panic!("{error}"),
            }
        };
        self.0.set_nonblocking(false).unwrap();
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let request = read_message(&mut stream);
        (stream, request)
    }
}

/// Reads one message with a head; the body has the length that the head gives, or ends with the
/// last chunk or the connection.
pub(crate) fn read_message(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while !is_whole(&bytes) {
        match stream.read(&mut buffer).unwrap() {
            0 => break,
            length => bytes.extend_from_slice(&buffer[..length]),
        }
    }
    String::from_utf8(bytes).unwrap()
}

fn is_whole(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("Content-Length: "));
    match length {
        Some(length) => body.len() >= length.parse().unwrap(),
        None if head.contains("Transfer-Encoding: chunked") => body.ends_with("0\r\n\r\n"),
        None => true,
    }
}
