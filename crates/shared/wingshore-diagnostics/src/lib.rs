//! What every process of wingshore has: a log ring in memory that is written out when something
//! goes wrong, structured logs on standard output, and the signal of a planned stop.

mod ring;
mod stop;
mod structured;

pub use ring::{DumpError, LogRing};
pub use stop::StopSignal;
pub use structured::{LogBudget, LogCounts, RequestSampler, StructuredLog};

use slog::{Drain, Logger};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Logger, ring and the place the ring is written to.
#[derive(Clone)]
pub struct Diagnostics {
    logger: Logger,
    ring: Arc<LogRing>,
    folder: Option<PathBuf>,
}

impl Diagnostics {
    /// A logger into a ring of `capacity` lines. Dumps go to `folder`, or to standard error
    /// without one.
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

    /// The logger; everything logged goes to the ring only.
    pub fn logger(&self) -> &Logger {
        &self.logger
    }

    /// The ring.
    pub fn ring(&self) -> &LogRing {
        &self.ring
    }

    /// Writes the ring out, because of `reason`; gives its place.
    ///
    /// # Errors
    /// When the file cannot be written; the ring is then on standard error.
    pub fn dump(&self, reason: &str) -> Result<String, DumpError> {
        match &self.folder {
            Some(folder) => self.ring.write_to_folder(folder, reason),
            None => {
                self.ring.write_to_standard_error(reason);
                Ok("standard error".to_owned())
            }
        }
    }

    /// From now on a panic of any thread writes the ring out before the usual message.
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
