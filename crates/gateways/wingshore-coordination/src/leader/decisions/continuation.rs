//! Decides from which event on a new attempt at an item continues.
//!
//! Inputs: the partial text that gateways reported to this leader, the partial text in the
//! replicated log, the oldest version that the job allows, whether the route requires all events to
//! come from one version, and the engine's version.
//!
//! Rule: the attempt continues the longer of the two texts. A text that contains events of a
//! version older than allowed is discarded. Where versions must not be mixed, a text of another
//! version than the engine's is discarded too.
//!
//! Rationale: text that was generated once need not be generated again. The log may hold more than
//! was reported to this leader, such as text from a gateway that is gone.
//!
//! Stale or missing inputs: an engine may hold a newer version than is known here. For a route that
//! requires a single version, the request to the engine names that version, and the engine refuses
//! it if it holds another one.

use crate::text::ItemText;

/// Returns the partial text of an item that a new attempt may continue; empty if there is none.
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

/// Returns the text that an attempt continues on an engine that holds `version`.
pub(crate) fn starting_text(usable: &ItemText, single_version: bool, version: u64) -> ItemText {
    let last = usable.versions.last().copied();
    let would_mix = last.is_some_and(|last| last != version);
    if single_version && would_mix {
        return ItemText::default();
    }
    usable.clone()
}
