//! Time from an accepted change to its being in force on every node, also with a frozen one.
//!
//! The frozen node has requests waiting at its socket when it wakes. A live server's address was
//! changed meanwhile: none of them may reach the old one.

use super::configuration::{
    SERVICE, accept, await_done, confirm, propose, server, service, status,
};
use super::error::{IoSnafu, StateError};
use super::figures::Spread;
use super::site::{SiteShape, StateSite, wait_until};
use super::switched_server::{COUNTED_PATH, SwitchedServer};
use crate::fleet::process::ManagedProcess;
use serde::Serialize;
use snafu::ResultExt;
use std::fmt;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

/// A change is in force everywhere within this time.
const LIMIT: Duration = Duration::from_secs(8);
/// Nodes of the site.
const NODES: usize = 3;
/// Changes with all nodes awake.
const CHANGES: usize = 50;
/// Changes with one node frozen.
const FREEZES: usize = 5;
/// Requests that wait at the frozen node.
const WAITING_REQUESTS: usize = 8;
/// Longest wait for the answer of the node that woke.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);

/// What was measured.
#[derive(Debug, Serialize)]
pub struct InForceReport {
    /// Nodes.
    pub nodes: usize,
    /// From the sending of the confirmation to in force everywhere, all nodes awake.
    pub all_awake: Spread,
    /// The same with one node frozen.
    pub one_frozen: Spread,
    /// The limit, in milliseconds.
    pub limit_ms: f64,
    /// Requests that waited at the frozen node, and what it did with them after it woke.
    pub woken: Woken,
    /// From waking until the node serves by the new configuration.
    pub back_in_service: Spread,
}

/// What a node did after it woke with the requests that waited.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Woken {
    /// Refused: its lease had run out.
    pub refused: u64,
    /// Served by the new configuration.
    pub by_new_configuration: u64,
    /// Served by the old one, after the new one was in force everywhere.
    pub by_old_configuration: u64,
}

impl InForceReport {
    /// Whether every change came in time and nothing went by an old configuration.
    pub fn holds(&self) -> bool {
        let slowest = self.all_awake.most_ms.max(self.one_frozen.most_ms);
        slowest <= self.limit_ms && self.woken.by_old_configuration == 0
    }
}

impl fmt::Display for InForceReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "in force on {} nodes, all awake: {}",
            self.nodes, self.all_awake
        )?;
        writeln!(
            formatter,
            "in force with one node frozen: {}; limit {} ms",
            self.one_frozen, self.limit_ms
        )?;
        let woken = self.woken;
        writeln!(
            formatter,
            "requests that waited at the frozen node: {} refused, {} by the new configuration, {} \
             by the old one; serves by the new one again: {}",
            woken.refused,
            woken.by_new_configuration,
            woken.by_old_configuration,
            self.back_in_service
        )
    }
}

/// Measures on a site of its own.
///
/// # Errors
/// When the site cannot be run or does not answer.
pub fn measure(root: &Path) -> Result<InForceReport, StateError> {
    let shape = SiteShape {
        replicas: 3,
        claims_groups: 1,
        nodes: NODES,
    };
    let site = StateSite::start(root, shape)?;
    let servers = [SwitchedServer::start()?, SwitchedServer::start()?];
    let first = vec![service(), server("server", servers[0].address())];
    await_done(&site, accept(&site, first)?)?;
    wait_until("all nodes hold leases", || {
        Ok(status(&site)?.nodes.len() == NODES)
    })?;
    let mut awake = Vec::new();
    for change in 0..CHANGES {
        awake.push(change_once(&site, servers[change % 2].address())?);
    }
    let mut frozen = Frozen::default();
    for round in 0..FREEZES {
        let (old, new) = (&servers[(round + 1) % 2], &servers[round % 2]);
        frozen.change(&site, &site.nodes[round % NODES], old, new)?;
    }
    site.stop()?;
    Ok(InForceReport {
        nodes: NODES,
        all_awake: Spread::of(awake),
        one_frozen: Spread::of(frozen.in_force),
        limit_ms: LIMIT.as_secs_f64() * 1e3,
        woken: frozen.woken,
        back_in_service: Spread::of(frozen.back_in_service),
    })
}

/// What was found with a node frozen.
#[derive(Default)]
struct Frozen {
    in_force: Vec<Duration>,
    woken: Woken,
    back_in_service: Vec<Duration>,
}

impl Frozen {
    fn change(
        &mut self,
        site: &StateSite,
        node: &ManagedProcess,
        old: &SwitchedServer,
        new: &SwitchedServer,
    ) -> Result<(), StateError> {
        let kind = "address of a node";
        let address = node.listen().ok_or(StateError::Missing { kind })?;
        node.freeze()?;
        self.in_force.push(change_once(site, new.address())?);
        let (old_before, new_before) = (old.asked(), new.asked());
        let waiting: Result<Vec<_>, _> = (0..WAITING_REQUESTS).map(|_| ask(address)).collect();
        node.wake()?;
        let woken = Instant::now();
        waiting?.into_iter().for_each(await_answer);
        let by_old_configuration = old.asked() - old_before;
        let by_new_configuration = new.asked() - new_before;
        let served = by_old_configuration + by_new_configuration;
        self.woken.by_old_configuration += by_old_configuration;
        self.woken.by_new_configuration += by_new_configuration;
        self.woken.refused += (WAITING_REQUESTS as u64).saturating_sub(served);
        wait_until("the node that woke serves again", || {
            ask(address).map(await_answer)?;
            Ok(new.asked() > new_before)
        })?;
        self.back_in_service.push(woken.elapsed());
        self.woken.by_old_configuration += old.asked() - old_before - by_old_configuration;
        wait_until("the node that woke holds a lease again", || {
            Ok(status(site)?.nodes.len() == NODES)
        })
    }
}

/// From the sending of the confirmation until the control group knows the change in force
/// everywhere.
fn change_once(site: &StateSite, address: SocketAddr) -> Result<Duration, StateError> {
    let before = status(site)?.in_force.committed;
    let plan = propose(site, vec![server("server", address)])?;
    let started = Instant::now();
    confirm(site, plan)?;
    wait_until("the change is in force everywhere", || {
        let in_force = status(site)?.in_force;
        Ok(in_force.committed > before && in_force.everywhere == in_force.committed)
    })?;
    Ok(started.elapsed())
}

/// Leaves a request at the node's socket.
fn ask(node: SocketAddr) -> Result<TcpStream, StateError> {
    let path = "request to a node";
    let mut stream = TcpStream::connect(node).context(IoSnafu { path })?;
    let request = format!(
        "GET /{SERVICE}{COUNTED_PATH} HTTP/1.1\r\nHost: {node}\r\nConnection: close\r\n\r\n"
    );
    stream
        .set_read_timeout(Some(ANSWER_LIMIT))
        .and_then(|()| stream.write_all(request.as_bytes()))
        .context(IoSnafu { path })?;
    Ok(stream)
}

/// A node may also refuse by closing; what counts is what reached the servers.
fn await_answer(mut stream: TcpStream) {
    let _ = stream.read_to_end(&mut Vec::new());
}
