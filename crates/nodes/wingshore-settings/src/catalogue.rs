//! The list of all settings, read off the parsers themselves: whatever key a parser asks for is
//! listed, with its default and what is allowed.

use crate::document::Document;
use crate::error::ErrorSink;
use crate::reader::TableReader;
use crate::{node, relay, replica, site};

/// One key of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyDescription {
    /// The key, with the tables it stands in; `[1]` stands for each table of a list.
    pub key: String,
    /// What holds when it is left out; `None` must be there.
    pub default: Option<String>,
    /// What is allowed, with unit and range.
    pub allowed: String,
}

/// The keys of one role's files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleDescription {
    /// The value of `role`.
    pub role: &'static str,
    /// Its keys, in the order in which they are read.
    pub keys: Vec<KeyDescription>,
}

/// The settings of every role.
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

/// Reads a file that holds little more than one table of each list, and notes what is asked for.
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
