//! The running hash of a simulation's history: the same seed must give the same one.

use crate::process::Message;
use fnv::FnvHasher;
use std::fmt::{self, Write};
use std::hash::Hasher;

/// FNV-1a over all that happened, in its order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistoryHash(u64);

impl Default for HistoryHash {
    fn default() -> Self {
        Self(FnvHasher::default().finish())
    }
}

impl HistoryHash {
    /// The hash so far.
    pub fn value(self) -> u64 {
        self.0
    }

    /// Adds bytes.
    pub fn bytes(&mut self, bytes: &[u8]) {
        let mut hasher = FnvHasher::with_key(self.0);
        hasher.write(bytes);
        self.0 = hasher.finish();
    }

    /// Adds a number.
    pub fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    /// Adds how a value prints.
    pub fn value_of(&mut self, value: &impl fmt::Debug) {
        // Writing to the hash never fails.
        let _ = write!(self, "{value:?}");
    }

    /// Adds a message.
    pub fn message(&mut self, message: &Message) {
        match message {
            Message::Consensus { message, .. } => self.bytes(message),
            Message::GroupRequest { id, body, .. } => {
                self.number(id.0);
                self.bytes(&postcard::to_stdvec(body).unwrap_or_default());
            }
            Message::GroupReply { id, body } => {
                self.number(id.0);
                self.bytes(&postcard::to_stdvec(body).unwrap_or_default());
            }
            other => self.value_of(other),
        }
    }
}

impl Write for HistoryHash {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.bytes(text.as_bytes());
        Ok(())
    }
}
