//! What is allowed, as errors and the list of settings say it. One text a rule, so that both agree.

/// Names of things.
pub(crate) const NAME_RULE: &str = "1 to 64 of a-z, 0-9 and `-`, beginning with a letter";
/// Addresses.
pub(crate) const ADDRESS_RULE: &str = "an IP address and port such as \"127.0.0.1:7101\"";
/// Free text.
pub(crate) const TEXT_RULE: &str = "text that is not empty";
/// Default of what may be left out.
pub(crate) const ABSENT: &str = "none";

/// Whether a name is spelled as [`NAME_RULE`] says.
pub(crate) fn is_valid_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    (1..=64).contains(&text.len())
        && text.starts_with(|c: char| c.is_ascii_lowercase())
        && text.chars().all(allowed)
}

/// One of several words.
pub(crate) fn choice_rule<T>(choices: &[(&str, T)]) -> String {
    let words: Vec<String> = choices.iter().map(|(w, _)| format!("\"{w}\"")).collect();
    format!("one of {}", words.join(", "))
}
