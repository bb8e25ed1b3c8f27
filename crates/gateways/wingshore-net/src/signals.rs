//! Stop and reload requests that a process gets by signals.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Flags that signal handlers set and an event loop reads.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    /// Set when a planned stop is requested.
    pub stop: Arc<AtomicBool>,
    /// Set when the settings file has changed and is to be reloaded.
    pub reload: Arc<AtomicBool>,
}

impl Signals {
    /// Returns whether a planned stop was requested.
    pub fn is_stopping(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Returns whether a reload was requested since the last call.
    pub fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}

/// Reloads the addresses of seeds from the source of the settings; returns the reason when it
/// fails.
pub type SeedSource = Box<dyn Fn() -> Result<Vec<IpAddr>, String>>;
