//! Thread that makes the group's writes durable.
//!
//! Owns the log on disk. Writes become durable in the order of their requests. A full disk is
//! retried until there is space. Any other error is the last event, and the process ends: a member
//! that cannot write must not vote.

use crossbeam_channel::{Receiver, Sender, unbounded};
use slog::{Logger, warn};
use std::thread;
use std::time::{Duration, Instant};
use wingshore_net::ReactorWaker;
use wingshore_storage::{RetryingStore, StorageError};
use wingshore_types::log::WriteBatch;

/// Time between attempts to write to a full disk.
const FULL_DISK_BACKOFF: Duration = Duration::from_millis(200);

/// Logs that the disk is full, and waits until the next attempt.
pub(crate) fn wait_for_space(logger: &Logger, error: &StorageError) {
    warn!(logger, "the disk is full"; "error" => %error);
    thread::sleep(FULL_DISK_BACKOFF);
}

/// Requested write.
struct WriteJob {
    token: u64,
    batch: WriteBatch,
}

/// Outcome of writes.
pub(crate) enum WriteEvent {
    /// The write with this token, and all before it, are durable.
    Persisted {
        /// Token of the write.
        token: u64,
        /// Time from the start of the write to the end of its sync.
        took: Duration,
    },
    /// A write failed; no further write is attempted.
    Failed(StorageError),
}

/// Handle of the writer thread.
pub(crate) struct Writer {
    jobs: Sender<WriteJob>,
    events: Receiver<WriteEvent>,
}

impl Writer {
    /// Starts the thread.
    pub(crate) fn start(
        store: RetryingStore,
        waker: ReactorWaker,
        logger: Logger,
    ) -> std::io::Result<Self> {
        let (jobs, job_receiver) = unbounded();
        let (event_sender, events) = unbounded();
        thread::Builder::new()
            .name("writer".to_owned())
            .spawn(move || run(store, &job_receiver, &event_sender, &waker, &logger))?;
        Ok(Self { jobs, events })
    }

    /// Requests a write.
    pub(crate) fn write(&self, token: u64, batch: WriteBatch) {
        // A thread that has ended has already reported its error.
        let _ = self.jobs.send(WriteJob { token, batch });
    }

    /// Returns the outcomes of writes since the last call.
    pub(crate) fn events(&self) -> impl Iterator<Item = WriteEvent> + '_ {
        self.events.try_iter()
    }
}

fn run(
    mut store: RetryingStore,
    jobs: &Receiver<WriteJob>,
    events: &Sender<WriteEvent>,
    waker: &ReactorWaker,
    logger: &Logger,
) {
    for job in jobs {
        let started_at = Instant::now();
        let event = match store.write(&job.batch, &mut |error| wait_for_space(logger, error)) {
            Ok(()) => WriteEvent::Persisted {
                token: job.token,
                took: started_at.elapsed(),
            },
            Err(error) => WriteEvent::Failed(error),
        };
        let is_last = matches!(event, WriteEvent::Failed(_));
        if events.send(event).is_err() {
            return;
        }
        waker.wake();
        if is_last {
            return;
        }
    }
}
