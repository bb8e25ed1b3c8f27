//! The store of texts of results: the newest in memory, within a budget; the others on disk.
//!
//! Owns the files of texts of one member and the thread that moves the oldest texts there, so that
//! a slow disk holds up nobody. Relies on [`TextQueue`] for which texts move and who waits, and on
//! the log: it holds each text until a snapshot that names the text's file is durable, so that a
//! text is lost neither with memory nor with a file.

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

/// Name of the folder of texts in the data folder.
const FOLDER: &str = "texts";
/// Longest wait of one who brings a single text: the loop that it runs in has others to answer.
const WAIT_FOR_ONE: Duration = Duration::from_millis(20);
/// Between attempts to move texts after a failure.
const MOVE_RETRY_BACKOFF: Duration = Duration::from_millis(500);

/// What the thread that moves texts and those who bring them share.
struct State {
    queue: TextQueue,
    /// Whether a snapshot has become durable since files were last removed.
    may_remove: bool,
    is_closed: bool,
}

impl State {
    fn is_crowded(&self) -> bool {
        self.queue.is_crowded() && !self.is_closed
    }

    /// Whether there is soon to be room.
    fn makes_room(&self) -> bool {
        self.queue.makes_room(Instant::now()) && !self.is_closed
    }
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    files: BlobFiles,
    logger: Logger,
}

/// The store of texts of one member. Its thread ends with it.
pub struct TextArchive {
    shared: Arc<Shared>,
}

impl TextArchive {
    /// Bytes of the texts in memory, with those of texts that were released and not yet noticed.
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

    /// Removes files that the snapshot on disk, which was just restored, does not refer to.
    pub fn remove_unreferenced(&self) {
        let logger = &self.shared.logger;
        match self.shared.files.remove_unreferenced() {
            Ok(0) => {}
            Ok(count) => info!(logger, "files of texts removed"; "files" => count),
            Err(error) => warn!(logger, "files of texts not removed"; "error" => %error),
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
        if state.makes_room() {
            let makes_room = |state: &mut State| state.makes_room();
            let changed = &self.shared.changed;
            drop(changed.wait_timeout_while(state, WAIT_FOR_ONE, makes_room));
        }
    }

    fn wait_for_memory(&self) {
        let is_crowded = |state: &mut State| state.is_crowded();
        let state = self.shared.state();
        drop(self.shared.changed.wait_while(state, is_crowded));
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

/// The thread that moves texts to disk.
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

    /// Waits for texts to move; none of them when files may be removed. `None` at the end.
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
            warn!(logger, "files of texts not removed"; "error" => %error);
        }
    }
}

/// A text on disk that logs when it cannot be read: not all who read it can.
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
            warn!(self.shared.logger, "a text cannot be read"; "error" => %error);
        }
        read
    }
}
