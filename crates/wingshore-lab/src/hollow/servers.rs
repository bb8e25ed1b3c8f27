//! Many hollow servers on a few threads: one listener each, swept without blocking.

use super::error::{HollowError, ListenSnafu, ThreadSnafu};
use super::http::{Asker, HttpConnection};
use super::server::{Fetches, HollowServer};
use snafu::ResultExt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use wingshore_types::WeightVersion;

/// Between two sweeps.
const SWEEP_PAUSE: Duration = Duration::from_millis(5);
/// Listeners on one address of loopback.
const LISTENERS_PER_ADDRESS: usize = 100;
/// First two parts of the addresses that hollow servers listen on.
const NETWORK: [u8; 2] = [127, 77];

/// Requests and bytes of one kind of asker.
#[derive(Debug, Default)]
pub struct HttpCounters {
    /// Requests.
    pub requests: AtomicU64,
    /// Bytes of requests and answers, heads included.
    pub bytes: AtomicU64,
}

/// What hollow servers were asked.
#[derive(Debug, Default)]
pub struct HttpTraffic {
    /// By the leader of the control group.
    pub replica: HttpCounters,
    /// By real nodes.
    pub node: HttpCounters,
}

impl HttpTraffic {
    fn of(&self, asker: Asker) -> &HttpCounters {
        match asker {
            Asker::Replica => &self.replica,
            Asker::Node => &self.node,
        }
    }
}

struct Slot {
    number: usize,
    listener: TcpListener,
    connections: Vec<HttpConnection>,
    server: HollowServer,
}

struct Shared {
    fetches: Fetches,
    traffic: HttpTraffic,
    versions: Vec<AtomicU64>,
    stop: AtomicBool,
}

/// Hollow servers that run. Dropping it ends them.
pub struct HollowServers {
    addresses: Vec<SocketAddr>,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl HollowServers {
    /// Starts `count` servers on `threads` threads; each fetch of weights takes `fetch_time`.
    ///
    /// # Errors
    /// When there are not enough sockets.
    pub fn start(count: usize, threads: usize, fetch_time: Duration) -> Result<Self, HollowError> {
        let shared = Arc::new(Shared {
            fetches: Fetches::new(fetch_time),
            traffic: HttpTraffic::default(),
            versions: (0..count).map(|_| AtomicU64::new(0)).collect(),
            stop: AtomicBool::new(false),
        });
        let mut addresses = Vec::with_capacity(count);
        let mut shares: Vec<Vec<Slot>> = (0..threads).map(|_| Vec::new()).collect();
        for number in 0..count {
            let slot = listen(number)?;
            let address = slot.listener.local_addr();
            addresses.push(address.context(ListenSnafu {
                address: address_of(number),
            })?);
            shares[number % threads].push(slot);
        }
        let threads = shares
            .into_iter()
            .map(|share| spawn(share, Arc::clone(&shared)))
            .collect::<Result<_, _>>()?;
        Ok(Self {
            addresses,
            shared,
            threads,
        })
    }

    /// Where they listen, by number.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// What they were asked.
    pub fn traffic(&self) -> &HttpTraffic {
        &self.shared.traffic
    }

    /// What they fetched.
    pub fn fetches(&self) -> &Fetches {
        &self.shared.fetches
    }

    /// How many of the servers that `is_meant` serve `version` or a later one.
    pub fn count_at(&self, version: WeightVersion, is_meant: impl Fn(usize) -> bool) -> usize {
        let versions = self.shared.versions.iter().enumerate();
        versions
            .filter(|(number, _)| is_meant(*number))
            .filter(|(_, serves)| serves.load(Ordering::Relaxed) >= version.0)
            .count()
    }
}

impl Drop for HollowServers {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A thread that panicked has said so itself.
            let _ended = thread.join();
        }
    }
}

fn address_of(number: usize) -> SocketAddr {
    let group = number / LISTENERS_PER_ADDRESS;
    let ip = Ipv4Addr::new(
        NETWORK[0],
        NETWORK[1],
        (group / 250) as u8,
        (1 + group % 250) as u8,
    );
    SocketAddr::new(IpAddr::V4(ip), 0)
}

fn listen(number: usize) -> Result<Slot, HollowError> {
    let address = address_of(number);
    let listener = TcpListener::bind(address).context(ListenSnafu { address })?;
    listener
        .set_nonblocking(true)
        .context(ListenSnafu { address })?;
    Ok(Slot {
        number,
        listener,
        connections: Vec::new(),
        server: HollowServer::new(1 + number as u64),
    })
}

fn spawn(mut share: Vec<Slot>, shared: Arc<Shared>) -> Result<JoinHandle<()>, HollowError> {
    thread::Builder::new()
        .name("hollow-servers".to_owned())
        .spawn(move || {
            while !shared.stop.load(Ordering::Relaxed) {
                for slot in &mut share {
                    slot.sweep(&shared);
                }
                thread::sleep(SWEEP_PAUSE);
            }
        })
        .context(ThreadSnafu)
}

impl Slot {
    fn sweep(&mut self, shared: &Shared) {
        let now = Instant::now();
        self.server.tick(now, &shared.fetches);
        let version = self.server.version().0;
        shared.versions[self.number].store(version, Ordering::Relaxed);
        while let Ok((stream, _)) = self.listener.accept() {
            // A caller that is gone already needs no answer.
            self.connections.extend(HttpConnection::new(stream).ok());
        }
        let server = &mut self.server;
        self.connections
            .retain_mut(|connection| serve(connection, server, now, shared).is_ok());
    }
}

fn serve(
    connection: &mut HttpConnection,
    server: &mut HollowServer,
    now: Instant,
    shared: &Shared,
) -> std::io::Result<()> {
    while let Some(request) = connection.receive()? {
        let (status, body) = server.answer(now, &request, &shared.fetches);
        let answered = connection.answer(status, &body)?;
        let counters = shared.traffic.of(request.asker);
        counters.requests.fetch_add(1, Ordering::Relaxed);
        let bytes = (request.length + answered) as u64;
        counters.bytes.fetch_add(bytes, Ordering::Relaxed);
    }
    Ok(())
}
