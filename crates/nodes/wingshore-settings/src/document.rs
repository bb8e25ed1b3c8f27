//! A parsed TOML document that records the line of every value.

use crate::Overrides;
use crate::error::{ErrorSink, SettingsErrors};
use crate::reader::TableReader;
use std::collections::BTreeMap;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Entries of a table by key.
pub(crate) type Entries = BTreeMap<String, Located>;

/// A value and its line number in the file; line 0 is a command-line flag.
#[derive(Clone, Debug)]
pub(crate) struct Located {
    pub(crate) line: usize,
    pub(crate) value: Value,
}

/// A TOML value, reduced to the types that settings use.
#[derive(Clone, Debug)]
pub(crate) enum Value {
    Text(String),
    Integer(i64),
    Boolean(bool),
    List(Vec<Located>),
    Table(Entries),
    /// The text of a value that no setting accepts: a float, a date-time or an integer beyond 64
    /// bits.
    Other(String),
}

impl Value {
    /// Formats the value for an error message.
    pub(crate) fn describe(&self) -> String {
        match self {
            Self::Text(text) => format!("\"{text}\""),
            Self::Integer(integer) => integer.to_string(),
            Self::Boolean(boolean) => boolean.to_string(),
            Self::List(_) => "a list".to_owned(),
            Self::Table(_) => "a table".to_owned(),
            Self::Other(text) => text.clone(),
        }
    }
}

/// The root table of a file.
pub(crate) struct Document {
    entries: Entries,
}

impl Document {
    /// Parses `text`; a syntax error is added to `sink`.
    pub(crate) fn parse(text: &str, sink: &ErrorSink) -> Option<Self> {
        match DeTable::parse(text) {
            Ok(table) => Some(Self {
                entries: convert_table(text, table.get_ref()),
            }),
            Err(error) => {
                let offset = error.span().map_or(0, |span| span.start);
                let found = error.message().to_owned();
                sink.add(line_of(text, offset), "(syntax)", found, "TOML 1.0");
                None
            }
        }
    }

    /// Replaces values of the file by those of command-line flags.
    pub(crate) fn override_with(&mut self, overrides: &Overrides) {
        let pairs = [
            ("name", &overrides.name),
            ("zone", &overrides.zone),
            ("listen", &overrides.listen),
            ("data", &overrides.data),
        ];
        for (key, text) in pairs {
            let Some(text) = text else { continue };
            let value = Value::Text(text.clone());
            let located = Located { line: 0, value };
            self.entries.insert(key.to_owned(), located);
        }
    }

    /// Returns a reader of the root table.
    pub(crate) fn reader<'a>(&'a self, sink: &'a ErrorSink) -> TableReader<'a> {
        TableReader::new(sink, String::new(), 1, &self.entries)
    }
}

/// Parses a file of one role: applies the flags, then calls `read`, which requests every key.
///
/// # Errors
/// Returns every error in the file.
pub(crate) fn parse_role<T>(
    file: &str,
    text: &str,
    overrides: &Overrides,
    read: impl FnOnce(TableReader<'_>) -> Option<T>,
) -> Result<T, SettingsErrors> {
    let sink = ErrorSink::new(file);
    let settings = Document::parse(text, &sink).and_then(|mut document| {
        document.override_with(overrides);
        read(document.reader(&sink))
    });
    sink.finish(settings)
}

fn convert_table(text: &str, table: &DeTable<'_>) -> Entries {
    table
        .iter()
        .map(|(key, value)| (key.get_ref().to_string(), convert(text, value)))
        .collect()
}

fn convert(text: &str, value: &Spanned<DeValue<'_>>) -> Located {
    let converted = match value.get_ref() {
        DeValue::String(string) => Value::Text(string.to_string()),
        DeValue::Integer(integer) => i64::from_str_radix(integer.as_str(), integer.radix())
            .map_or_else(|_| Value::Other(integer.to_string()), Value::Integer),
        DeValue::Float(float) => Value::Other(float.to_string()),
        DeValue::Boolean(boolean) => Value::Boolean(*boolean),
        DeValue::Datetime(datetime) => Value::Other(datetime.to_string()),
        DeValue::Array(array) => {
            Value::List(array.iter().map(|item| convert(text, item)).collect())
        }
        DeValue::Table(table) => Value::Table(convert_table(text, table)),
    };
    Located {
        line: line_of(text, value.span().start),
        value: converted,
    }
}

/// Returns the line number, from 1, of a byte offset in `text`.
fn line_of(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().iter().take(offset);
    1 + before.filter(|byte| **byte == b'\n').count()
}
