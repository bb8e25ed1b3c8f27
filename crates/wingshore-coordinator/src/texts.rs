//! The store of texts of results: the newest in memory, within a budget; the others on disk.
//!
//! A thread of its own moves the oldest texts to disk when there are too many, so that a slow disk
//! holds up nobody. What it cannot move stays in memory and is tried again.

use slog::{Logger, info, warn};
use std::collections::VecDeque;
use std::fmt::{self, Debug, Formatter};
use std::io;
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant};
use wingshore_coordination::{PackedText, TextPlace, TextStore};
use wingshore_storage::{BlobFiles, BlobWriter, FileSystem, StorageError, StoredBlob};
use wingshore_types::blob::{Blob, BlobPlace};

/// Name of the folder of texts in the data folder.
const FOLDER: &str = "texts";
/// Bytes that are moved with one sync: long enough for a disk's speed, short beside the budget.
const MOVED_AT_ONCE: usize = 512 << 10;
/// Texts move once the budget is exceeded, until this part of it is free: so that not each text
/// brings on a sync.
const FREED_PART: usize = 8;
/// Beyond the budget by this part of it, whoever brings more waits.
const TOLERATED_PART: usize = 4;
/// Longest wait of one who brings a single text: the loop that it runs in has others to answer.
const WAIT_FOR_ONE: Duration = Duration::from_millis(20);
/// A batch that takes longer than this to be moved is on a disk that hangs: a hundred times what a
/// sync takes. Nobody waits for it then but a start.
const HANGING_AFTER: Duration = Duration::from_millis(100);
/// Between attempts to move texts after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// A text in memory, and its bytes.
struct HeldText {
    text: Weak<PackedText>,
    bytes: usize,
}

/// Texts in memory, oldest first.
#[derive(Default)]
struct Queue {
    texts: VecDeque<HeldText>,
    /// Sum of their bytes; those of texts that were let go count until they are at the front.
    bytes: usize,
    /// Whether the last attempt to move texts failed.
    is_stuck: bool,
    /// Since when a batch is being moved.
    moving_since: Option<Instant>,
    /// Whether a snapshot has become durable since files were last removed.
    may_remove: bool,
    is_closed: bool,
}

struct Shared {
    queue: Mutex<Queue>,
    changed: Condvar,
    budget: usize,
    files: BlobFiles,
    logger: Logger,
}

/// The store of texts of one member. Its thread ends with it.
pub struct TextArchive {
    shared: Arc<Shared>,
}

impl TextArchive {
    /// Bytes of the texts in memory, with those of texts that were let go and not yet noticed.
    pub fn bytes_in_memory(&self) -> usize {
        self.shared.queue().bytes
    }
}

impl Debug for TextArchive {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let queue = self.shared.queue();
        write!(
            formatter,
            "TextArchive({} of {} bytes)",
            queue.bytes, self.shared.budget
        )
    }
}

impl Shared {
    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_crowded(&self, queue: &Queue) -> bool {
        let most = self.budget + self.budget / TOLERATED_PART;
        queue.bytes > most && !queue.is_stuck && !queue.is_closed
    }

    /// Whether there is soon to be room.
    fn makes_room(&self, queue: &Queue) -> bool {
        let hangs = |since: Instant| since.elapsed() >= HANGING_AFTER;
        self.is_crowded(queue) && !queue.moving_since.is_some_and(hangs)
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
            queue: Mutex::default(),
            changed: Condvar::new(),
            budget,
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
        self.shared.queue().is_closed = true;
        self.shared.changed.notify_all();
    }
}

impl TextStore for TextArchive {
    fn hold(&self, text: &Arc<PackedText>) {
        let TextPlace::Memory(bytes) = text.place() else {
            return;
        };
        let mut queue = self.shared.queue();
        queue.bytes += bytes.len();
        queue.texts.push_back(HeldText {
            text: Arc::downgrade(text),
            bytes: bytes.len(),
        });
        if queue.bytes > self.shared.budget {
            self.shared.changed.notify_all();
        }
        if self.shared.makes_room(&queue) {
            let makes_room = |queue: &mut Queue| self.shared.makes_room(queue);
            let waited = self
                .shared
                .changed
                .wait_timeout_while(queue, WAIT_FOR_ONE, makes_room);
            drop(waited);
        }
    }

    fn wait_for_room(&self) {
        let is_crowded = |queue: &mut Queue| self.shared.is_crowded(queue);
        let queue = self.shared.queue();
        drop(self.shared.changed.wait_while(queue, is_crowded));
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
        self.shared.queue().may_remove = true;
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
                self.put_back(texts, &error);
                thread::sleep(RETRY_PAUSE);
            }
        }
    }

    /// Waits for texts to move; none of them when files may be removed. `None` at the end.
    fn next_batch(&self) -> Option<Vec<Arc<PackedText>>> {
        let budget = self.shared.budget;
        let mut queue = self.shared.queue();
        loop {
            if queue.is_closed {
                return None;
            }
            if std::mem::take(&mut queue.may_remove) {
                return Some(Vec::new());
            }
            if queue.bytes > budget {
                let texts = take_oldest(&mut queue, budget - budget / FREED_PART);
                if !texts.is_empty() {
                    queue.moving_since = Some(Instant::now());
                    return Some(texts);
                }
                self.shared.changed.notify_all();
                continue;
            }
            let woken = self.shared.changed.wait(queue);
            queue = woken.unwrap_or_else(PoisonError::into_inner);
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
        let mut queue = self.shared.queue();
        queue.bytes = queue.bytes.saturating_sub(moved);
        queue.is_stuck = false;
        queue.moving_since = None;
        drop(queue);
        self.shared.changed.notify_all();
        Ok(())
    }

    fn put_back(&self, texts: Vec<Arc<PackedText>>, error: &StorageError) {
        warn!(self.shared.logger, "texts stay in memory"; "error" => %error);
        let mut queue = self.shared.queue();
        queue.is_stuck = true;
        queue.moving_since = None;
        for text in texts.iter().rev() {
            if let TextPlace::Memory(bytes) = text.place() {
                queue.texts.push_front(HeldText {
                    text: Arc::downgrade(text),
                    bytes: bytes.len(),
                });
            }
        }
        drop(queue);
        self.shared.changed.notify_all();
    }

    fn remove_released(&self) {
        let logger = &self.shared.logger;
        if let Err(error) = self.shared.files.remove_released() {
            warn!(logger, "files of texts not removed"; "error" => %error);
        }
    }
}

/// The oldest texts, as many as bring the others down to `wanted` bytes and go with one sync. Their
/// bytes go on counting until they are moved.
fn take_oldest(queue: &mut Queue, wanted: usize) -> Vec<Arc<PackedText>> {
    let mut texts = Vec::new();
    let mut taken = 0;
    while queue.bytes - taken > wanted && taken < MOVED_AT_ONCE {
        let Some(held) = queue.texts.pop_front() else {
            break;
        };
        match held.text.upgrade() {
            Some(text) => {
                taken += held.bytes;
                texts.push(text);
            }
            None => queue.bytes -= held.bytes,
        }
    }
    texts
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
