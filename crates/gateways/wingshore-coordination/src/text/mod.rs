//! Texts of items: while they grow ([`ItemText`]), and whole and compressed as they are listed
//! ([`ResultText`]).
//!
//! A listed text is in memory or on this machine's disk; a [`TextStore`] moves it, and readers do not
//! notice.

mod finished;
mod item;
mod packed;
mod store;

pub use finished::FinishedText;
pub use item::{DurablePrefix, HeldPrefix, ItemText};
pub use packed::{PackedText, ResultText, TextError, TextPlace};
pub use store::TextStore;
pub(crate) use store::TextStoreHandle;
