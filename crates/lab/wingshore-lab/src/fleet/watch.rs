//! Watches a running site: which revision is committed, and which each node has in force.

use super::operator::Operator;
use crate::event_log::EventLog;
use crate::events::Event;
use crate::http_client::HttpClient;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

/// Between two polls.
const INTERVAL: Duration = Duration::from_millis(250);
/// Longest poll of one node.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// The gauge of a node that tells the revision in force.
const REVISION_METRIC: &str = "wingshore_configuration_revision";

#[derive(Clone, Debug)]
pub struct WatchedNode {
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Watches in the background until dropped or stopped.
pub struct Watch {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Watch {
    /// Begins to watch.
    pub fn start(operator: Operator, nodes: Vec<WatchedNode>, log: &EventLog) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let watch_nodes = {
            let (stop, log) = (Arc::clone(&stop), log.clone());
            thread::spawn(move || repeat(&stop, || poll_nodes(&nodes, &log)))
        };
        let watch_control = {
            let (stop, log) = (Arc::clone(&stop), log.clone());
            let mut newest = Newest::default();
            thread::spawn(move || repeat(&stop, || newest.poll_control(&operator, &log)))
        };
        Self {
            stop,
            threads: vec![watch_nodes, watch_control],
        }
    }

    /// Ends the watch.
    pub fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ended = thread.join();
        }
    }
}

fn repeat(stop: &AtomicBool, mut poll: impl FnMut()) {
    while !stop.load(Ordering::SeqCst) {
        poll();
        thread::sleep(INTERVAL);
    }
}

fn poll_nodes(nodes: &[WatchedNode], log: &EventLog) {
    let client = HttpClient::new(POLL_TIMEOUT);
    for node in nodes {
        let url = format!("http://{}/metrics", node.address);
        let answer = client.get(&url, &[]).ok();
        let text = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
        if let Some(revision) = text.as_deref().and_then(revision_of) {
            log.write(Event::RevisionSeen {
                observed: node.name.clone(),
                revision,
            });
        }
    }
}

/// The revision in the metrics of a node; none before it has a configuration.
fn revision_of(metrics: &str) -> Option<u64> {
    let line = metrics
        .lines()
        .find_map(|line| line.strip_prefix(REVISION_METRIC))?;
    line.trim().parse().ok()
}

/// The revisions that the control group was last seen to hold.
#[derive(Default)]
struct Newest {
    committed: u64,
    in_force: u64,
}

impl Newest {
    /// Logs each newly committed revision, and each that the control group newly holds to be in
    /// force everywhere.
    fn poll_control(&mut self, operator: &Operator, log: &EventLog) {
        let Ok(status) = operator.status() else {
            return;
        };
        let revision = status.in_force.committed.0;
        if revision != self.committed {
            log.write(Event::RevisionCommitted { revision });
            self.committed = revision;
        }
        let revision = status.in_force.everywhere.0;
        if revision != self.in_force {
            log.write(Event::RevisionInForce { revision });
            self.in_force = revision;
        }
    }
}
