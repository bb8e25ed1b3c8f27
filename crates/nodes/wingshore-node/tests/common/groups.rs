//! A scripted replica: it holds only a configuration and claims, and can stop answering.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use wingshore_transport::{ConnectionHandle, FrameHandler, Server, ServerOptions};
use wingshore_types::configuration::ConfigurationChange;
use wingshore_types::protocol::claims::{ClaimKey, ClaimOutcome, ClaimsReply, ClaimsRequest};
use wingshore_types::protocol::control::{
    ConfigurationUpdate, ControlReply, ControlRequest, WatchRequest,
};
use wingshore_types::protocol::ledger::{LedgerReply, LedgerRequest};
use wingshore_types::protocol::wire::{Frame, GroupReply, GroupRequest};
use wingshore_types::{RequestId, Revision};

/// Time between two checks for a new configuration revision.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

type LedgerScript = Box<dyn Fn(LedgerRequest) -> LedgerReply + Send + Sync>;

/// One claimed key.
#[derive(Clone, Debug, PartialEq)]
pub enum Claimed {
    Open(u64),
    Ended(ClaimOutcome),
}

/// State of the scripted replica.
pub struct State {
    changes: Mutex<Vec<ConfigurationChange>>,
    claims: Mutex<BTreeMap<ClaimKey, Claimed>>,
    acknowledged: AtomicU64,
    published: Mutex<Vec<ControlRequest>>,
    lease_ms: AtomicU64,
    is_unresponsive: AtomicBool,
    watch_waits: Mutex<Vec<u64>>,
    watch_delay_ms: AtomicU64,
    ledger: Mutex<Option<LedgerScript>>,
}

/// A scripted replica.
pub struct ScriptedGroups {
    pub state: Arc<State>,
    server: Server,
}

struct Handler(Arc<State>);

impl ScriptedGroups {
    pub fn start(changes: Vec<ConfigurationChange>) -> Self {
        let state = Arc::new(State {
            changes: Mutex::new(changes),
            claims: Mutex::default(),
            acknowledged: AtomicU64::new(0),
            published: Mutex::default(),
            lease_ms: AtomicU64::new(60_000),
            is_unresponsive: AtomicBool::new(false),
            watch_waits: Mutex::default(),
            watch_delay_ms: AtomicU64::new(0),
            ledger: Mutex::new(None),
        });
        let options = ServerOptions {
            site: "test".to_owned(),
            replica: None,
            max_connections: 64,
        };
        let handler = Arc::new(Handler(Arc::clone(&state)));
        let address = ([127, 0, 0, 1], 0).into();
        let server = Server::bind(address, options, handler).expect("the replica must listen");
        Self { state, server }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// Commits a configuration change.
    pub fn commit(&self, change: ConfigurationChange) {
        self.state.changes.lock().unwrap().push(change);
    }

    /// Returns the highest revision that a node has acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.state.acknowledged.load(Ordering::SeqCst)
    }

    /// Stops answering requests.
    pub fn stop_answering(&self) {
        self.state.is_unresponsive.store(true, Ordering::SeqCst);
    }

    pub fn set_lease(&self, lease: Duration) {
        let lease_ms = lease.as_millis() as u64;
        self.state.lease_ms.store(lease_ms, Ordering::SeqCst);
    }

    /// Delays the following answers to watches by `delay`.
    pub fn delay_watches(&self, delay: Duration) {
        let delay_ms = delay.as_millis() as u64;
        self.state.watch_delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    /// Returns the wait that each watch so far requested, in milliseconds.
    pub fn watch_waits(&self) -> Vec<u64> {
        self.state.watch_waits.lock().unwrap().clone()
    }

    pub fn script_ledger(
        &self,
        script: impl Fn(LedgerRequest) -> LedgerReply + Send + Sync + 'static,
    ) {
        *self.state.ledger.lock().unwrap() = Some(Box::new(script));
    }

    pub fn published(&self) -> Vec<ControlRequest> {
        self.state.published.lock().unwrap().clone()
    }

    pub fn claimed(&self) -> Vec<Claimed> {
        self.state
            .claims
            .lock()
            .unwrap()
            .values()
            .cloned()
            .collect()
    }
}

impl FrameHandler for Handler {
    fn on_frame(&self, connection: &ConnectionHandle, frame: Frame) {
        let Frame::Request { id, body, .. } = frame else {
            return;
        };
        let (state, connection) = (Arc::clone(&self.0), connection.clone());
        thread::spawn(move || state.serve(&connection, id, body));
    }
}

impl State {
    fn serve(&self, connection: &ConnectionHandle, id: RequestId, body: GroupRequest) {
        if self.is_unresponsive.load(Ordering::SeqCst) {
            return;
        }
        let body = match body {
            GroupRequest::Control(ControlRequest::Watch(watch)) => match self.watch(&watch) {
                Some(reply) => GroupReply::Control(reply),
                None => return,
            },
            GroupRequest::Control(request) => {
                self.published.lock().unwrap().push(request);
                GroupReply::Control(ControlReply::Published(Revision(self.revision())))
            }
            GroupRequest::Claims(request) => GroupReply::Claims(self.claims(request)),
            GroupRequest::Ledger(request) => GroupReply::Ledger(self.ask_ledger(request)),
            other => GroupReply::Rejected(format!("not in the script: {other:?}")),
        };
        // The node may have disconnected in the meantime.
        let _ = connection.send(&Frame::Reply { id, body });
    }

    fn revision(&self) -> u64 {
        self.changes.lock().unwrap().len() as u64
    }

    fn watch(&self, watch: &WatchRequest) -> Option<ControlReply> {
        self.watch_waits.lock().unwrap().push(watch.wait_ms);
        for acknowledgement in &watch.acknowledgements {
            let revision = acknowledgement.in_force.0;
            self.acknowledged.fetch_max(revision, Ordering::SeqCst);
        }
        let give_up = Instant::now() + Duration::from_millis(watch.wait_ms);
        while self.revision() <= watch.have.0 && Instant::now() < give_up {
            thread::sleep(POLL_INTERVAL);
        }
        if self.is_unresponsive.load(Ordering::SeqCst) {
            return None;
        }
        let delay_ms = self.watch_delay_ms.load(Ordering::SeqCst);
        thread::sleep(Duration::from_millis(delay_ms));
        let changes = self.changes.lock().unwrap();
        let news = changes.get(watch.have.0 as usize..).unwrap_or_default();
        let update = if news.is_empty() {
            ConfigurationUpdate::Unchanged
        } else {
            ConfigurationUpdate::Delta {
                from: watch.have,
                changes: news.to_vec(),
            }
        };
        Some(ControlReply::Update {
            update,
            lease_ms: self.lease_ms.load(Ordering::SeqCst),
        })
    }

    fn claims(&self, request: ClaimsRequest) -> ClaimsReply {
        let mut claims = self.claims.lock().unwrap();
        match request {
            ClaimsRequest::Claim {
                key, fingerprint, ..
            } => match claims.get(&key) {
                None => {
                    claims.insert(key, Claimed::Open(fingerprint));
                    ClaimsReply::Granted
                }
                Some(Claimed::Open(known)) if *known != fingerprint => ClaimsReply::Mismatch,
                Some(Claimed::Ended(ClaimOutcome::Answered(kept))) => {
                    ClaimsReply::Answered(kept.clone())
                }
                Some(_) => ClaimsReply::Taken { retry_after_ms: 50 },
            },
            ClaimsRequest::Settle { key, outcome, .. } => {
                match outcome {
                    ClaimOutcome::NotRun => claims.remove(&key),
                    outcome => claims.insert(key, Claimed::Ended(outcome)),
                };
                ClaimsReply::Settled
            }
        }
    }

    fn ask_ledger(&self, request: LedgerRequest) -> LedgerReply {
        match self.ledger.lock().unwrap().as_ref() {
            Some(script) => script(request),
            None => LedgerReply::Done,
        }
    }
}
