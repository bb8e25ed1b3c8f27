//! What signals ask of a process.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Flags that signal handlers set and an event loop reads.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    /// Set by a planned stop.
    pub stop: Arc<AtomicBool>,
    /// Set when the settings file has changed.
    pub reload: Arc<AtomicBool>,
}

impl Signals {
    /// Whether a planned stop was asked for.
    pub fn is_stopping(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Whether the settings were to be read again since the last call.
    pub fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}

/// Reads the addresses of seeds again from where the settings came from; says why it cannot.
pub type SeedSource = Box<dyn Fn() -> Result<Vec<IpAddr>, String>>;
