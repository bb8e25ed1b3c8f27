//! Descriptions of allowed values. Errors and the list of settings share one text for each rule, so
//! that they agree.

/// Rule for names of sites, processes, zones, services, servers, pools and trainers.
pub(crate) const NAME_RULE: &str = "1 to 64 of a-z, 0-9 and `-`, beginning with a letter";
/// Rule for addresses.
pub(crate) const ADDRESS_RULE: &str = "an IP address and port such as \"127.0.0.1:7101\"";
/// Rule for free text.
pub(crate) const TEXT_RULE: &str = "text that is not empty";
/// Default shown for an optional key that has no default value.
pub(crate) const ABSENT: &str = "none";

/// Returns whether `text` follows [`NAME_RULE`].
pub(crate) fn is_valid_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    (1..=64).contains(&text.len())
        && text.starts_with(|c: char| c.is_ascii_lowercase())
        && text.chars().all(allowed)
}

/// Describes a choice between several words.
pub(crate) fn choice_rule<T>(choices: &[(&str, T)]) -> String {
    let words: Vec<String> = choices.iter().map(|(w, _)| format!("\"{w}\"")).collect();
    format!("one of {}", words.join(", "))
}
