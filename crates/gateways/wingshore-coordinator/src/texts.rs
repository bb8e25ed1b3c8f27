//! Store of result texts: the newest in memory, within a budget, and the others on disk.
//!
//! Owns the text files of one member and the thread that moves the oldest texts to them, so that a
//! slow disk delays no other work. Relies on [`TextQueue`] for which texts are moved and who waits.
//! Relies on the log to hold each text until a snapshot that refers to the text's file is durable,
//! so that a text is lost neither with the memory nor with a file.

use crate::text_queue::TextQueue;
use slog::{Logger, info, warn};
use std::fmt::{self, Debug, Formatter};
use std::io;
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use wingshore_coordination::{PackedText, TextPlace, TextStore};
use wingshore_storage::{BlobFiles, BlobWriter, FileSystem, StorageError, StoredBlob};
use wingshore_types::blob::{Blob, BlobPlace};

/// Name of the folder of texts within the data folder.
const FOLDER: &str = "texts";
/// Longest time that a caller waits when it adds a single text: it runs in the event loop, which
/// serves others too.
const MAX_INSERT_WAIT: Duration = Duration::from_millis(20);
/// Time between attempts to move texts after a failure.
const MOVE_RETRY_BACKOFF: Duration = Duration::from_millis(500);

/// State that the moving thread shares with the callers that add texts.
struct State {
    queue: TextQueue,
    /// Whether a snapshot has become durable since files were last removed.
    may_remove: bool,
    is_closed: bool,
}

impl State {
    fn is_over_limit(&self) -> bool {
        self.queue.is_over_limit() && !self.is_closed
    }

    /// Returns whether memory is expected to be freed soon.
    fn should_wait(&self) -> bool {
        self.queue.should_wait(Instant::now()) && !self.is_closed
    }
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    files: BlobFiles,
    logger: Logger,
}

/// Store of the texts of one member. Dropping it ends its thread.
pub struct TextArchive {
    shared: Arc<Shared>,
}

impl TextArchive {
    /// Returns the size of the texts in memory, including released texts that were not noticed yet.
    pub fn bytes_in_memory(&self) -> usize {
        self.shared.state().queue.bytes()
    }
}

impl Debug for TextArchive {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let state = self.shared.state();
        let (bytes, budget) = (state.queue.bytes(), state.queue.budget());
        write!(formatter, "TextArchive({bytes} of {budget} bytes)")
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TextArchive {
    /// Opens the store in the data folder and starts its thread.
    ///
    /// # Errors
    /// When the disk fails, or the thread does not start.
    pub fn open(
        fs: Arc<dyn FileSystem>,
        data: &Path,
        budget: usize,
        logger: Logger,
    ) -> Result<Self, StorageError> {
        let (files, writer) = BlobFiles::open(fs, &data.join(FOLDER))?;
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                queue: TextQueue::new(budget),
                may_remove: false,
                is_closed: false,
            }),
            changed: Condvar::new(),
            files,
            logger,
        });
        let mover = Mover {
            shared: Arc::clone(&shared),
            writer,
        };
        let started = thread::Builder::new()
            .name("texts".to_owned())
            .spawn(move || mover.run());
        started.map_err(|source| StorageError::Io {
            operation: "start the thread of",
            path: data.join(FOLDER),
            source,
        })?;
        Ok(Self { shared })
    }

    /// Removes the files to which the snapshot on disk, which was just restored, does not refer.
    pub fn remove_unreferenced(&self) {
        let logger = &self.shared.logger;
        match self.shared.files.remove_unreferenced() {
            Ok(0) => {}
            Ok(count) => info!(logger, "unreferenced text files removed"; "files" => count),
            Err(error) => warn!(logger, "text files cannot be removed"; "error" => %error),
        }
    }
}

impl Drop for TextArchive {
    fn drop(&mut self) {
        self.shared.state().is_closed = true;
        self.shared.changed.notify_all();
    }
}

impl TextStore for TextArchive {
    fn track(&self, text: &Arc<PackedText>) {
        let TextPlace::Memory(bytes) = text.place() else {
            return;
        };
        let mut state = self.shared.state();
        state.queue.push(text, bytes.len());
        if state.queue.is_over_budget() {
            self.shared.changed.notify_all();
        }
        if state.should_wait() {
            let should_wait = |state: &mut State| state.should_wait();
            let changed = &self.shared.changed;
            drop(changed.wait_timeout_while(state, MAX_INSERT_WAIT, should_wait));
        }
    }

    fn wait_for_memory(&self) {
        let is_over_limit = |state: &mut State| state.is_over_limit();
        let state = self.shared.state();
        drop(self.shared.changed.wait_while(state, is_over_limit));
    }

    fn find(&self, place: BlobPlace) -> io::Result<Arc<dyn Blob>> {
        let blob = self.shared.files.find(place)?;
        let shared = Arc::clone(&self.shared);
        Ok(Arc::new(LoggedBlob { blob, shared }))
    }

    fn begin_snapshot(&self) -> u64 {
        self.shared.files.begin_snapshot()
    }

    fn snapshot_durable(&self, number: u64) {
        self.shared.files.snapshot_durable(number);
        self.shared.state().may_remove = true;
        self.shared.changed.notify_all();
    }
}

/// Thread that moves texts to disk.
struct Mover {
    shared: Arc<Shared>,
    writer: BlobWriter,
}

impl Mover {
    fn run(mut self) {
        while let Some(texts) = self.next_batch() {
            if texts.is_empty() {
                self.remove_released();
            } else if let Err(error) = self.move_batch(&texts) {
                self.put_back(&texts, &error);
                thread::sleep(MOVE_RETRY_BACKOFF);
            }
        }
    }

    /// Waits for texts to move. Returns an empty batch when files may be removed, and `None` when
    /// the store is closed.
    fn next_batch(&self) -> Option<Vec<Arc<PackedText>>> {
        let mut state = self.shared.state();
        loop {
            if state.is_closed {
                return None;
            }
            if std::mem::take(&mut state.may_remove) {
                return Some(Vec::new());
            }
            if state.queue.is_over_budget() {
                let texts = state.queue.take_batch(Instant::now());
                if !texts.is_empty() {
                    return Some(texts);
                }
                self.shared.changed.notify_all();
                continue;
            }
            let woken = self.shared.changed.wait(state);
            state = woken.unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn move_batch(&mut self, texts: &[Arc<PackedText>]) -> Result<(), StorageError> {
        let in_memory = |text: &Arc<PackedText>| match text.place() {
            TextPlace::Memory(bytes) => Some((Arc::clone(text), bytes)),
            TextPlace::Disk(_) => None,
        };
        let (texts, bytes): (Vec<_>, Vec<_>) = texts.iter().filter_map(in_memory).unzip();
        let blobs = self.writer.append(&bytes)?;
        for (text, blob) in texts.iter().zip(blobs) {
            let shared = Arc::clone(&self.shared);
            text.move_to(Arc::new(LoggedBlob { blob, shared }));
        }
        let moved: usize = bytes.iter().map(|bytes| bytes.len()).sum();
        self.shared.state().queue.moved(moved);
        self.shared.changed.notify_all();
        Ok(())
    }

    fn put_back(&self, texts: &[Arc<PackedText>], error: &StorageError) {
        warn!(self.shared.logger, "texts stay in memory"; "error" => %error);
        self.shared.state().queue.put_back(texts);
        self.shared.changed.notify_all();
    }

    fn remove_released(&self) {
        let logger = &self.shared.logger;
        if let Err(error) = self.shared.files.remove_released() {
            warn!(logger, "text files cannot be removed"; "error" => %error);
        }
    }
}

/// Text on disk that logs read errors, since not all of its readers can.
struct LoggedBlob {
    blob: StoredBlob,
    shared: Arc<Shared>,
}

impl Blob for LoggedBlob {
    fn place(&self) -> BlobPlace {
        self.blob.place()
    }

    fn read(&self) -> io::Result<Vec<u8>> {
        let read = self.blob.read();
        if let Err(error) = &read {
            warn!(self.shared.logger, "cannot read result text"; "error" => %error);
        }
        read
    }
}
