//! Diagnostics of all wingshore processes: an in-memory log ring that is written out after a
//! failure, structured logs on standard output, and the signal of a planned stop.

mod ring;
mod stop;
mod structured;

pub use ring::{DumpError, LogRing};
pub use stop::StopSignal;
pub use structured::{LogBudget, LogCounts, RequestSampler, StructuredLog};

use slog::{Drain, Logger};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Logger, log ring and the folder that the ring is written to.
#[derive(Clone)]
pub struct Diagnostics {
    logger: Logger,
    ring: Arc<LogRing>,
    folder: Option<PathBuf>,
}

impl Diagnostics {
    /// Creates a logger that writes to a ring of `capacity` lines. Dumps go to `folder`, or to
    /// standard error if there is none.
    pub fn new(process: &str, capacity: usize, folder: Option<&Path>) -> Self {
        let ring = Arc::new(LogRing::new(capacity));
        let drain = ring::RingDrain::new(Arc::clone(&ring)).ignore_res();
        let logger = Logger::root(drain, slog::o!("process" => process.to_owned()));
        Self {
            logger,
            ring,
            folder: folder.map(Path::to_path_buf),
        }
    }

    /// Returns the logger; its lines go to the ring only.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Returns the log ring.
    pub fn ring(&self) -> &LogRing {
        &self.ring
    }

    /// Writes the ring out with `reason` and returns where it was written: a file path or `standard
    /// error`.
    ///
    /// # Errors
    /// If the file cannot be written; the ring is then written to standard error.
    pub fn dump(&self, reason: &str) -> Result<String, DumpError> {
        match &self.folder {
            Some(folder) => self.ring.write_to_folder(folder, reason),
            None => {
                self.ring.write_to_standard_error(reason);
                Ok("standard error".to_owned())
            }
        }
    }

    /// Installs a panic hook that writes the ring out before the usual panic message, on any
    /// thread.
    pub fn dump_on_panic(&self) {
        let diagnostics = self.clone();
        let previous = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            let reason = format!("panic: {panic}");
            if let Err(error) = diagnostics.dump(&reason) {
                eprintln!("cannot write the log ring: {error}");
            }
            previous(panic);
        }));
    }
}
