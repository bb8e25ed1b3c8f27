//! Texts of items: partial texts that still grow ([`ItemText`]), and complete, compressed texts as
//! they are listed ([`ResultText`]).
//!
//! A listed text is in memory or on the local disk; a [`TextStore`] moves it transparently to
//! readers.

mod finished;
mod item;
mod packed;
mod store;

pub use finished::FinishedText;
pub use item::{DurablePrefix, ItemText, LoggedPrefix};
pub use packed::{PackedText, ResultText, TextError, TextPlace};
pub use store::TextStore;
pub(crate) use store::TextStoreHandle;
