//! The list of all settings, derived from the parsers: every key that a parser requests is listed
//! with its default and its allowed values.

use crate::document::Document;
use crate::error::ErrorSink;
use crate::reader::TableReader;
use crate::{node, relay, replica, site};

/// One key of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyDescription {
    /// The key, qualified with the tables that contain it; `[1]` stands for each table of a list.
    pub key: String,
    /// Default if the key is absent; `None` if the key is required.
    pub default: Option<String>,
    /// Description of the allowed values, with unit and range.
    pub allowed: String,
}

/// The keys of the settings files of one role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleDescription {
    /// The value of the `role` key.
    pub role: &'static str,
    /// The keys, in the order in which the parser reads them.
    pub keys: Vec<KeyDescription>,
}

/// Returns the settings of every role.
pub fn catalogue() -> Vec<RoleDescription> {
    vec![
        describe("replica", "[[founding]]", |keys| {
            replica::read(keys);
        }),
        describe("relay", "", |keys| {
            relay::read(keys);
        }),
        describe("node", "", |keys| {
            node::read(keys);
        }),
        describe(
            "site",
            "[[service]]\nkind = \"engines\"\n[[server]]\n[[pool]]",
            |keys| {
                site::read(keys);
            },
        ),
    ]
}

/// Lists the keys that `read` requests. `tables` holds one table of each list, without which the
/// keys of that list would not be requested.
fn describe(
    role: &'static str,
    tables: &str,
    read: impl FnOnce(TableReader<'_>),
) -> RoleDescription {
    let sink = ErrorSink::new(role);
    if let Some(document) = Document::parse(&format!("role = \"{role}\"\n{tables}"), &sink) {
        read(document.reader(&sink));
    }
    RoleDescription {
        role,
        keys: sink.into_keys(),
    }
}
