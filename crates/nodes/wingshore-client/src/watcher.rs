//! Keeps the long poll for configuration going.

use crate::call::GroupClient;
use crate::error::CallError;
use crate::lock::lock;
use std::io;
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use wingshore_clock::BootTime;
use wingshore_types::GroupId;
use wingshore_types::protocol::control::{
    ConfigurationUpdate, ControlReply, ControlRequest, WatchRequest,
};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};

/// Time for one watch beyond what it asks the other side to wait.
const CALL_MARGIN: Duration = Duration::from_millis(1500);

/// Backoff after a watch that failed or was refused.
const FAILURE_BACKOFF: Duration = Duration::from_millis(100);

/// What the watcher asks for and reports; called from the watcher's thread only.
pub trait WatchHandler: Send + 'static {
    /// The next watch: the revision held, and the acknowledgements to send. Called right before
    /// it is sent; may block for a moment to let acknowledgements gather.
    fn next_watch(&mut self) -> WatchRequest;

    /// An answer came. The lease counts from `sent_at`, which lies before any attempt to send the
    /// watch; it never shortens one that was granted before.
    fn on_update(&mut self, sent_at: BootTime, update: ConfigurationUpdate, lease_ms: u64);

    /// The watch failed; it is sent again after a short backoff.
    fn on_failure(&mut self, reason: &str) {
        let _ = reason;
    }
}

/// A thread that long-polls for configuration. Dropping it stops it.
#[derive(Debug)]
pub struct ConfigurationWatcher {
    client: GroupClient,
    stop: Arc<Stop>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Stop {
    stopping: Mutex<bool>,
    changed: Condvar,
}

impl ConfigurationWatcher {
    /// Starts polling through `client`, which must be the watcher's own: stopping closes it. Its
    /// addresses are those of the control group's replicas, or of relays.
    ///
    /// # Errors
    /// When no thread can be started.
    pub fn start(client: GroupClient, handler: Box<dyn WatchHandler>) -> io::Result<Self> {
        let stop = Arc::new(Stop::default());
        let running_client = client.clone();
        let running_stop = Arc::clone(&stop);
        let thread = thread::Builder::new()
            .name("configuration-watch".to_owned())
            .spawn(move || watch(&running_client, handler, &running_stop))?;
        Ok(Self {
            client,
            stop,
            thread: Some(thread),
        })
    }

    /// Ends the poll, closes the client and waits for the thread.
    pub fn stop(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        *lock(&self.stop.stopping) = true;
        self.stop.changed.notify_all();
        self.client.close();
        // A handler that panicked has ended the poll already.
        let _ = thread.join();
    }
}

impl Drop for ConfigurationWatcher {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Stop {
    fn is_stopping(&self) -> bool {
        *lock(&self.stopping)
    }

    fn back_off(&self) {
        let stopping = lock(&self.stopping);
        let waited = self
            .changed
            .wait_timeout_while(stopping, FAILURE_BACKOFF, |stopping| !*stopping);
        drop(waited);
    }
}

fn watch(client: &GroupClient, mut handler: Box<dyn WatchHandler>, stop: &Stop) {
    while !stop.is_stopping() {
        let request = handler.next_watch();
        let timeout = Duration::from_millis(request.wait_ms) + CALL_MARGIN;
        let body = GroupRequest::Control(ControlRequest::Watch(request));
        let sent_at = BootTime::now();
        let outcome = client.call(GroupId::Control, body, timeout);
        match update_of(outcome) {
            Ok((update, lease_ms)) => handler.on_update(sent_at, update, lease_ms),
            Err(reason) => {
                handler.on_failure(&reason);
                stop.back_off();
            }
        }
    }
}

fn update_of(outcome: Result<GroupReply, CallError>) -> Result<(ConfigurationUpdate, u64), String> {
    match outcome {
        Ok(GroupReply::Control(ControlReply::Update { update, lease_ms })) => {
            Ok((update, lease_ms))
        }
        Ok(GroupReply::Rejected(reason)) => Err(reason),
        Ok(other) => Err(format!("not an answer to a watch: {other:?}")),
        Err(error) => Err(error.to_string()),
    }
}
