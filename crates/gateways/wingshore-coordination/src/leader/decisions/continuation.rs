//! Behind which events does a new attempt at an item begin?
//!
//! Inputs: the partial text that this leader knows from gateways, the one that the replicated log holds,
//! the oldest version that the job allows, whether the route wants all events from one version, and the
//! engine's version.
//!
//! Rule: behind the longer of the two texts. A text with events of a version that is too old counts as
//! none; where versions must not mix, so does one of another version than the engine's.
//!
//! Why: what was generated once need not be generated again. The log may hold more than this leader was
//! told: what it had from a gateway that is gone.
//!
//! Old or missing inputs: an engine may hold a newer version than known. A route with one version names
//! it to the engine, which then refuses.

use crate::text::ItemText;

/// The partial text of an item that a further attempt may continue.
pub(crate) fn usable_text(
    reported: &ItemText,
    durable: Option<&ItemText>,
    min_version: u64,
) -> ItemText {
    let longer = durable.filter(|durable| durable.events > reported.events);
    let text = longer.unwrap_or(reported);
    if text.all_versions_since(min_version) {
        text.clone()
    } else {
        ItemText::default()
    }
}

/// With which text an attempt begins on an engine at `version`.
pub(crate) fn starting_text(usable: &ItemText, single_version: bool, version: u64) -> ItemText {
    let last = usable.versions.last().copied();
    let would_mix = last.is_some_and(|last| last != version);
    if single_version && would_mix {
        return ItemText::default();
    }
    usable.clone()
}
