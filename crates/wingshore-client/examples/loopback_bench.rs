//! Frames, calls and idle connections over loopback, measured by hand:
//! `cargo run --release -p wingshore-client --example loopback_bench`.
//!
//! Both sides run in this process, so each figure holds the work and memory of both.

use hdrhistogram::Histogram;
use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use wingshore_client::GroupClient;
use wingshore_transport::{
    ConnectOptions, Connection, ConnectionHandle, FrameHandler, SendError, Server, ServerOptions,
};
use wingshore_types::protocol::control::NodeAcknowledgement;
use wingshore_types::protocol::wire::{Frame, GroupReply, GroupRequest};
use wingshore_types::{GroupId, NodeId, Revision};

const SITE: &str = "bench";
/// Time for which calls are counted: thousands of them on loopback.
const MEASURED_FOR: Duration = Duration::from_secs(3);
/// Connections that are held open without calls, to see what one costs.
const IDLE_CONNECTIONS: usize = 1000;
/// Longest wait for one call; a call on loopback takes less than a millisecond.
const PATIENCE: Duration = Duration::from_secs(10);

type BenchResult<T> = Result<T, Box<dyn Error + Send + Sync>>;

/// Counts frames and answers requests at once.
#[derive(Default)]
struct Sink {
    frames: AtomicU64,
}

impl FrameHandler for Sink {
    fn on_frame(&self, connection: &ConnectionHandle, frame: Frame) {
        self.frames.fetch_add(1, Ordering::Relaxed);
        if let Frame::Request { id, .. } = frame {
            connection.reply(id, GroupReply::Unknown);
        }
    }
}

/// Answers requests so that the client takes it for the leader.
struct Leader;

impl FrameHandler for Leader {
    fn on_frame(&self, connection: &ConnectionHandle, frame: Frame) {
        if let Frame::Request { id, .. } = frame {
            connection.reply(id, GroupReply::LogDumped(String::new()));
        }
    }
}

fn main() -> BenchResult<()> {
    for size in [64, 1024, 65_536] {
        one_way(size)?;
    }
    for callers in [1, 16, 64] {
        calls(callers)?;
    }
    idle_connections()?;
    acknowledgement_bytes()
}

fn serve(handler: Arc<dyn FrameHandler>) -> BenchResult<Server> {
    let options = ServerOptions {
        site: SITE.to_owned(),
        replica: None,
        max_connections: 2 * IDLE_CONNECTIONS as u32,
    };
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Ok(Server::bind(address, options, handler)?)
}

fn connect(address: SocketAddr) -> BenchResult<Connection> {
    let options = ConnectOptions::new(SITE, PATIENCE);
    Ok(Connection::open(
        address,
        &options,
        Arc::new(Sink::default()),
    )?)
}

fn one_way(size: usize) -> BenchResult<()> {
    let sink = Arc::new(Sink::default());
    let server = serve(Arc::clone(&sink) as Arc<dyn FrameHandler>)?;
    let connection = connect(server.local_address())?;
    let frame = Frame::Consensus {
        group: GroupId::Control,
        message: vec![7; size],
    };
    let start = Instant::now();
    while start.elapsed() < MEASURED_FOR {
        match connection.send(&frame) {
            Ok(()) => {}
            Err(SendError::QueueFull) => thread::sleep(Duration::from_micros(100)),
            Err(error) => return Err(error.into()),
        }
    }
    let received = sink.frames.load(Ordering::Relaxed);
    let per_second = received as f64 / start.elapsed().as_secs_f64();
    let megabytes = per_second * size as f64 / 1e6;
    println!("one way, {size} B: {per_second:.0} frames/s, {megabytes:.0} MB/s");
    Ok(())
}

fn calls(callers: usize) -> BenchResult<()> {
    let server = serve(Arc::new(Leader))?;
    let client = GroupClient::new(SITE, vec![server.local_address()], 1);
    let start = Instant::now();
    let calling: Vec<_> = (0..callers)
        .map(|_| {
            let client = client.clone();
            thread::spawn(move || call_until(&client, start + MEASURED_FOR))
        })
        .collect();
    let mut latencies = Histogram::<u64>::new(3)?;
    for caller in calling {
        let own = caller.join().map_err(|_| "a caller panicked")??;
        latencies.add(own)?;
    }
    let per_second = latencies.len() as f64 / start.elapsed().as_secs_f64();
    let microseconds = |quantile| latencies.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "calls, {callers} callers on one connection: {per_second:.0} calls/s, p50 {:.1} us, p99 {:.1} us",
        microseconds(0.5),
        microseconds(0.99),
    );
    Ok(())
}

fn call_until(client: &GroupClient, end: Instant) -> BenchResult<Histogram<u64>> {
    let mut latencies = Histogram::new(3)?;
    while Instant::now() < end {
        let start = Instant::now();
        client.call(GroupId::Control, GroupRequest::DumpLog, PATIENCE)?;
        latencies.record(start.elapsed().as_nanos() as u64)?;
    }
    Ok(latencies)
}

fn idle_connections() -> BenchResult<()> {
    let server = serve(Arc::new(Leader))?;
    let before = resident_kilobytes()?;
    let connections: Vec<_> = (0..IDLE_CONNECTIONS)
        .map(|_| connect(server.local_address()))
        .collect::<BenchResult<_>>()?;
    // Some keep-alives each way.
    thread::sleep(Duration::from_secs(5));
    let after = resident_kilobytes()?;
    let open = server.connection_count();
    let each = (after - before) as f64 / IDLE_CONNECTIONS as f64;
    println!("{open} idle connections: {each:.1} kB each for both sides together");
    drop(connections);
    Ok(())
}

fn acknowledgement_bytes() -> BenchResult<()> {
    let acknowledgement = NodeAcknowledgement {
        node: NodeId::new("regina-hall-node-17"),
        boot_id: u64::MAX / 3,
        in_force: Revision(25_000),
    };
    let bytes = postcard::to_stdvec(&acknowledgement)?.len();
    println!("acknowledgement of a node with a name of 19 letters: {bytes} B");
    Ok(())
}

fn resident_kilobytes() -> BenchResult<i64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(number.ok_or("no VmRSS in /proc/self/status")?.parse()?)
}
