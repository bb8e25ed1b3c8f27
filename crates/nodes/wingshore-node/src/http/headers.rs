//! Headers of callers' requests, parsed into typed values.

use snafu::Snafu;
use std::time::Duration;
use wingshore_types::api::{
    DEADLINE_HEADER, IDEMPOTENCY_HEADER, NO_REPEAT_HEADER, PRIORITY_HEADER,
};

/// Longest idempotency key in bytes. Part of the public API.
const MAX_KEY_LENGTH: usize = 255;
/// Longest deadline that a caller may set, in milliseconds: one day. Part of the public API.
const MAX_DEADLINE_MS: u64 = 24 * 3600 * 1000;

/// Headers that apply to a single connection and are never forwarded.
const HOP_BY_HOP_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers in order of arrival, with lower-case names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeaderList {
    entries: Vec<(String, String)>,
}

impl HeaderList {
    /// Creates a list from pairs of name and value.
    pub fn new<N: AsRef<str>, V: Into<String>>(pairs: impl IntoIterator<Item = (N, V)>) -> Self {
        let entries = pairs
            .into_iter()
            .map(|(name, value)| (name.as_ref().to_ascii_lowercase(), value.into()))
            .collect();
        Self { entries }
    }

    /// Returns all values of a header in order; `name` must be in lower case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.entries
            .iter()
            .filter(move |(found, _)| found == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the first value of a header; `name` must be in lower case.
    pub fn first<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.all(name).next()
    }

    /// Returns a copy in which the header has only this value; `name` must be in lower case.
    #[must_use]
    pub fn with(&self, name: &str, value: &str) -> Self {
        let others = self.iter().filter(|(found, _)| *found != name);
        Self::new(others.chain([(name, value)]))
    }

    /// Returns the pairs of name and value in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.entries
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }
}

/// Returns the headers without hop-by-hop headers and without those listed in `Connection`.
pub fn without_hop_by_hop(headers: &HeaderList) -> HeaderList {
    let named: Vec<String> = headers
        .all("connection")
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let kept = headers.iter().filter(|(name, _)| {
        !HOP_BY_HOP_HEADERS.contains(name) && !named.iter().any(|other| other == name)
    });
    HeaderList::new(kept)
}

/// Wingshore's own request headers, and `Idempotency-Key`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// `x-wingshore-no-repeat`; `None` where absent.
    pub no_repeat: Option<bool>,
    /// `Idempotency-Key`; `None` where absent.
    pub idempotency_key: Option<String>,
    /// `x-wingshore-deadline-ms`; `None` where absent.
    pub deadline: Option<Duration>,
    /// `x-wingshore-priority`; 0 where absent.
    pub priority: i32,
}

/// A header with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("header `{name}` is `{found}`; allowed is {allowed}"))]
pub struct HeaderError {
    name: &'static str,
    found: String,
    allowed: &'static str,
}

impl CallerHeaders {
    /// Parses wingshore's headers.
    ///
    /// # Errors
    /// Names the header, its value and the allowed values.
    pub fn parse(headers: &HeaderList) -> Result<Self, HeaderError> {
        Ok(Self {
            no_repeat: parse_no_repeat(headers)?,
            idempotency_key: parse_key(headers)?,
            deadline: parse_deadline(headers)?,
            priority: parse_priority(headers)?,
        })
    }
}

fn parse_no_repeat(headers: &HeaderList) -> Result<Option<bool>, HeaderError> {
    match single_value(headers, NO_REPEAT_HEADER)? {
        None => Ok(None),
        Some("false") => Ok(Some(false)),
        Some("true") => Ok(Some(true)),
        Some(found) => reject(NO_REPEAT_HEADER, found, "`true` or `false`"),
    }
}

fn parse_key(headers: &HeaderList) -> Result<Option<String>, HeaderError> {
    const ALLOWED: &str = "1 to 255 printable ASCII characters, once";
    let Some(key) = single_value(headers, IDEMPOTENCY_HEADER)? else {
        return Ok(None);
    };
    let printable = key.bytes().all(|byte| (0x20..0x7f).contains(&byte));
    if key.is_empty() || key.len() > MAX_KEY_LENGTH || !printable {
        return reject(IDEMPOTENCY_HEADER, key, ALLOWED);
    }
    Ok(Some(key.to_owned()))
}

fn parse_deadline(headers: &HeaderList) -> Result<Option<Duration>, HeaderError> {
    let Some(found) = single_value(headers, DEADLINE_HEADER)? else {
        return Ok(None);
    };
    match found.parse::<u64>() {
        Ok(milliseconds @ 1..=MAX_DEADLINE_MS) => Ok(Some(Duration::from_millis(milliseconds))),
        _ => reject(DEADLINE_HEADER, found, "a number from 1 to 86400000"),
    }
}

fn parse_priority(headers: &HeaderList) -> Result<i32, HeaderError> {
    let Some(found) = single_value(headers, PRIORITY_HEADER)? else {
        return Ok(0);
    };
    found
        .parse()
        .or_else(|_| reject(PRIORITY_HEADER, found, "a whole number of 32 bits"))
}

/// Returns the value of a header that may occur once, or several times with the same value.
fn single_value<'a>(
    headers: &'a HeaderList,
    name: &'static str,
) -> Result<Option<&'a str>, HeaderError> {
    let mut values = headers.all(name);
    let Some(first) = values.next() else {
        return Ok(None);
    };
    match values.find(|other| *other != first) {
        Some(other) => reject(name, &format!("{first}` and `{other}"), "one value"),
        None => Ok(Some(first)),
    }
}

fn reject<T>(name: &'static str, found: &str, allowed: &'static str) -> Result<T, HeaderError> {
    HeaderSnafu {
        name,
        found,
        allowed,
    }
    .fail()
}
