//! A thread that long-polls for configuration.

use crate::call::GroupClient;
use crate::lock::lock;
use std::io;
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use wingshore_clock::BootTime;
use wingshore_types::protocol::control::{ConfigurationUpdate, WatchRequest};

/// Backoff after a watch that failed or was rejected.
const FAILURE_BACKOFF: Duration = Duration::from_millis(100);

/// Supplies the watches of a [`ConfigurationWatcher`] and receives their results. Called only from
/// the watcher's thread.
pub trait WatchHandler: Send + 'static {
    /// Returns the next watch: the current revision and the acknowledgements to send. Called right
    /// before it is sent; may block briefly to batch acknowledgements.
    fn next_watch(&mut self) -> WatchRequest;

    /// Receives an answer. The lease of `lease_ms` milliseconds starts at `sent_at`, which precedes
    /// the answered attempt; it never shortens a lease granted earlier.
    fn on_update(&mut self, sent_at: BootTime, update: ConfigurationUpdate, lease_ms: u64);

    /// Called after a failed watch; the next one is sent after a short backoff.
    fn on_failure(&mut self, reason: &str) {
        let _ = reason;
    }
}

/// Long-polls for configuration on a thread. Dropping the watcher stops the thread.
#[derive(Debug)]
pub struct ConfigurationWatcher {
    client: GroupClient,
    stop: Arc<StopSignal>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct StopSignal {
    stopping: Mutex<bool>,
    changed: Condvar,
}

impl ConfigurationWatcher {
    /// Starts polling through `client`, which must not be shared, because stopping the watcher
    /// closes it. Its addresses are those of the control group's replicas, or of relays.
    ///
    /// # Errors
    /// When the thread cannot be started.
    pub fn start(client: GroupClient, handler: Box<dyn WatchHandler>) -> io::Result<Self> {
        let stop = Arc::new(StopSignal::default());
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

    /// Stops polling, closes the client and waits for the thread.
    pub fn stop(&mut self) {
        let Some(thread) = self.thread.take() else {
            return;
        };
        *lock(&self.stop.stopping) = true;
        self.stop.changed.notify_all();
        self.client.close();
        // If the handler panicked, the thread has already stopped polling.
        let _ = thread.join();
    }
}

impl Drop for ConfigurationWatcher {
    fn drop(&mut self) {
        self.stop();
    }
}

impl StopSignal {
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

fn watch(client: &GroupClient, mut handler: Box<dyn WatchHandler>, stop: &StopSignal) {
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
