//! Keeps the long poll for configuration going.

use crate::call::GroupClient;
use crate::lock::lock;
use std::io;
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use wingshore_clock::BootTime;
use wingshore_types::protocol::control::{ConfigurationUpdate, WatchRequest};

/// Backoff after a watch that failed or was refused.
const FAILURE_BACKOFF: Duration = Duration::from_millis(100);

/// What the watcher asks for and reports; called from the watcher's thread only.
pub trait WatchHandler: Send + 'static {
    /// The next watch: the revision held, and the acknowledgements to send. Called right before
    /// it is sent; may block for a moment to let acknowledgements gather.
    fn next_watch(&mut self) -> WatchRequest;

    /// An answer came. The lease counts from `sent_at`, which lies before the attempt that was
    /// answered; it never shortens one that was granted before.
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
        match client.watch(request) {
            Ok(answer) => handler.on_update(answer.sent_at, answer.update, answer.lease_ms),
            Err(error) => {
                handler.on_failure(&error.to_string());
                stop.back_off();
            }
        }
    }
}
