//! Many hollow nodes on a few threads.

use super::error::{HollowError, ThreadSnafu};
use super::link::LinkTraffic;
use super::node::HollowNode;
use snafu::ResultExt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Between two looks at all sockets of a thread.
const SWEEP_PAUSE: Duration = Duration::from_millis(5);

/// A clock whose origin is the start of the run.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Now.
    pub fn now(self) -> wingshore_types::Instant {
        wingshore_types::Instant::ZERO + self.0.elapsed()
    }
}

/// What the outside sees of one node.
#[derive(Debug, Default)]
struct Seen {
    revision: AtomicU64,
    holds_lease: AtomicBool,
}

/// Hollow nodes that run. Dropping it ends them.
pub struct Crowd {
    seen: Arc<Vec<Seen>>,
    traffic: Arc<LinkTraffic>,
    stop: Arc<AtomicBool>,
    /// Nodes below this number do nothing.
    frozen: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Starts `nodes` on `threads` threads.
    ///
    /// # Errors
    /// When a thread cannot be started.
    pub fn start(
        nodes: Vec<HollowNode>,
        threads: usize,
        clock: Clock,
    ) -> Result<Self, HollowError> {
        let mut crowd = Self {
            seen: Arc::new(nodes.iter().map(|_| Seen::default()).collect()),
            traffic: Arc::default(),
            stop: Arc::default(),
            frozen: Arc::default(),
            threads: Vec::new(),
        };
        let mut shares: Vec<Vec<(usize, HollowNode)>> = (0..threads).map(|_| Vec::new()).collect();
        for (number, node) in nodes.into_iter().enumerate() {
            shares[number % threads].push((number, node));
        }
        for share in shares {
            crowd.spawn(share, clock)?;
        }
        Ok(crowd)
    }

    fn spawn(
        &mut self,
        mut share: Vec<(usize, HollowNode)>,
        clock: Clock,
    ) -> Result<(), HollowError> {
        let seen = Arc::clone(&self.seen);
        let traffic = Arc::clone(&self.traffic);
        let stop = Arc::clone(&self.stop);
        let frozen = Arc::clone(&self.frozen);
        let thread = thread::Builder::new()
            .name("hollow-nodes".to_owned())
            .spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let frozen = frozen.load(Ordering::Relaxed);
                    for (number, node) in &mut share {
                        if *number >= frozen {
                            node.step(clock.now(), &traffic);
                        }
                        seen[*number].take(node, clock);
                    }
                    thread::sleep(SWEEP_PAUSE);
                }
            })
            .context(ThreadSnafu)?;
        self.threads.push(thread);
        Ok(())
    }

    /// How many nodes there are.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    /// Lets the nodes below this number do nothing, and all others go on.
    pub fn freeze(&self, count: usize) {
        self.frozen.store(count, Ordering::Relaxed);
    }

    /// The lowest revision that any node has in force.
    pub fn lowest_revision(&self) -> u64 {
        let revisions = self.seen.iter();
        let revisions = revisions.map(|seen| seen.revision.load(Ordering::Relaxed));
        revisions.min().unwrap_or(u64::MAX)
    }

    /// How many nodes hold a configuration lease.
    pub fn leases(&self) -> usize {
        let holders = self.seen.iter();
        holders
            .filter(|seen| seen.holds_lease.load(Ordering::Relaxed))
            .count()
    }

    /// What they sent and received.
    pub fn traffic(&self) -> &LinkTraffic {
        &self.traffic
    }
}

impl Seen {
    fn take(&self, node: &HollowNode, clock: Clock) {
        self.revision.store(node.revision().0, Ordering::Relaxed);
        let holds_lease = node.holds_lease(clock.now());
        self.holds_lease.store(holds_lease, Ordering::Relaxed);
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A thread that panicked has said so itself.
            let _ended = thread.join();
        }
    }
}
