//! Reads one table key by key, gathers what is wrong, and finds unknown keys at the end.

use crate::document::{Entries, Located, Value};
use crate::error::ErrorSink;
use crate::units::{
    DurationSetting, IntegerSetting, SizeSetting, parse_duration, parse_size, show_size,
};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

const NAME_RULE: &str = "1 to 64 of a-z, 0-9 and `-`, beginning with a letter";
const ADDRESS_RULE: &str = "an IP address and port such as \"127.0.0.1:7101\"";

/// Reads one table.
pub(crate) struct TableReader<'a> {
    sink: &'a ErrorSink,
    path: String,
    line: usize,
    entries: &'a Entries,
    known: RefCell<Vec<&'static str>>,
}

impl<'a> TableReader<'a> {
    pub(crate) fn new(
        sink: &'a ErrorSink,
        path: String,
        line: usize,
        entries: &'a Entries,
    ) -> Self {
        Self {
            sink,
            path,
            line,
            entries,
            known: RefCell::default(),
        }
    }

    /// A name of a thing, checked for its spelling.
    pub(crate) fn name<T: for<'t> From<&'t str>>(&self, key: &'static str) -> Option<T> {
        let located = self.required(key, NAME_RULE)?;
        self.parse_name(key, located)
    }

    /// A list of names without repeats; absent is empty.
    pub(crate) fn names<T: for<'t> From<&'t str>>(&self, key: &'static str) -> Vec<T> {
        let items = self.list(key);
        self.refuse_repeats(key, items);
        items
            .iter()
            .filter_map(|item| self.parse_name(key, item))
            .collect()
    }

    /// Free text that must be there and not be empty.
    pub(crate) fn text(&self, key: &'static str) -> Option<String> {
        const RULE: &str = "text that is not empty";
        let located = self.required(key, RULE)?;
        match &located.value {
            Value::Text(text) if !text.is_empty() => Some(text.clone()),
            other => self.refuse(located.line, key, other.describe(), RULE),
        }
    }

    /// Free text that may be absent.
    pub(crate) fn optional_text(&self, key: &'static str) -> Option<String> {
        self.get(key).and_then(|_| self.text(key))
    }

    /// An address that must be there.
    pub(crate) fn address(&self, key: &'static str) -> Option<SocketAddr> {
        let located = self.required(key, ADDRESS_RULE)?;
        self.parse_address(key, located)
    }

    /// An address that may be absent.
    pub(crate) fn optional_address(&self, key: &'static str) -> Option<SocketAddr> {
        let located = self.get(key)?;
        self.parse_address(key, located)
    }

    /// A list of addresses without repeats; absent is empty.
    pub(crate) fn addresses(&self, key: &'static str) -> Vec<SocketAddr> {
        let items = self.list(key);
        self.refuse_repeats(key, items);
        items
            .iter()
            .filter_map(|item| self.parse_address(key, item))
            .collect()
    }

    /// A duration; absent is the default.
    pub(crate) fn duration(&self, setting: &DurationSetting) -> Duration {
        let Some(located) = self.get(setting.key) else {
            return setting.default;
        };
        let rule = format!(
            "a duration with unit from \"{}\" to \"{}\"",
            humantime::format_duration(setting.minimum),
            humantime::format_duration(setting.maximum)
        );
        let parsed = match &located.value {
            Value::Text(text) => parse_duration(text),
            _ => None,
        };
        let valid = parsed.filter(|value| (setting.minimum..=setting.maximum).contains(value));
        self.or_refuse(setting.key, located, valid, &rule)
            .unwrap_or(setting.default)
    }

    /// A size in bytes; absent is the default.
    pub(crate) fn size(&self, setting: &SizeSetting) -> u64 {
        let Some(located) = self.get(setting.key) else {
            return setting.default;
        };
        let rule = format!(
            "a size with unit (KiB, MiB, GiB) from \"{}\" to \"{}\"",
            show_size(setting.minimum),
            show_size(setting.maximum)
        );
        let parsed = match &located.value {
            Value::Text(text) => parse_size(text),
            _ => None,
        };
        let valid = parsed.filter(|value| (setting.minimum..=setting.maximum).contains(value));
        self.or_refuse(setting.key, located, valid, &rule)
            .unwrap_or(setting.default)
    }

    /// A whole number; absent is the default.
    pub(crate) fn integer(&self, setting: &IntegerSetting) -> u64 {
        let Some(located) = self.get(setting.key) else {
            return setting.default;
        };
        self.parse_integer(setting, located)
            .unwrap_or(setting.default)
    }

    /// A whole number that must be there.
    pub(crate) fn required_integer(&self, setting: &IntegerSetting) -> Option<u64> {
        let located = self.required(setting.key, &integer_rule(setting))?;
        self.parse_integer(setting, located)
    }

    /// A whole number that fits the range of `setting` and a smaller type.
    pub(crate) fn small_integer<T: TryFrom<u64> + Default>(&self, setting: &IntegerSetting) -> T {
        T::try_from(self.integer(setting)).unwrap_or_default()
    }

    /// True or false; absent is the default.
    pub(crate) fn boolean(&self, key: &'static str, default: bool) -> bool {
        let Some(located) = self.get(key) else {
            return default;
        };
        match &located.value {
            Value::Boolean(boolean) => *boolean,
            other => self
                .refuse(located.line, key, other.describe(), "true or false")
                .unwrap_or(default),
        }
    }

    /// One of several words; absent is the default.
    pub(crate) fn choice<T: Copy>(
        &self,
        key: &'static str,
        default: T,
        choices: &[(&str, T)],
    ) -> T {
        match self.get(key) {
            Some(_) => self.required_choice(key, choices).unwrap_or(default),
            None => default,
        }
    }

    /// One of several words, which must be there.
    pub(crate) fn required_choice<T: Copy>(
        &self,
        key: &'static str,
        choices: &[(&str, T)],
    ) -> Option<T> {
        let words: Vec<String> = choices.iter().map(|(w, _)| format!("\"{w}\"")).collect();
        let rule = format!("one of {}", words.join(", "));
        let located = self.required(key, &rule)?;
        let chosen = match &located.value {
            Value::Text(text) => choices.iter().find(|(word, _)| word == text),
            _ => None,
        };
        self.or_refuse(key, located, chosen.map(|(_, choice)| *choice), &rule)
    }

    /// A table below this one; where it is absent every key of it takes its default.
    pub(crate) fn table(&self, key: &'static str) -> TableReader<'a> {
        static EMPTY: Entries = Entries::new();
        let path = self.path_of(key);
        let Some(located) = self.get(key) else {
            return TableReader::new(self.sink, path, self.line, &EMPTY);
        };
        match &located.value {
            Value::Table(entries) => TableReader::new(self.sink, path, located.line, entries),
            other => {
                self.sink
                    .add(located.line, &path, other.describe(), "a table");
                TableReader::new(self.sink, path, located.line, &EMPTY)
            }
        }
    }

    /// The tables of a `[[key]]` list.
    pub(crate) fn tables(&self, key: &'static str) -> Vec<TableReader<'a>> {
        let mut readers = Vec::new();
        for (position, item) in self.list(key).iter().enumerate() {
            let path = format!("{}[{}]", self.path_of(key), position + 1);
            match &item.value {
                Value::Table(entries) => {
                    readers.push(TableReader::new(self.sink, path, item.line, entries));
                }
                other => self.sink.add(item.line, &path, other.describe(), "a table"),
            }
        }
        readers
    }

    /// Refuses what the caller found wrong with the value of `key`.
    pub(crate) fn reject(&self, key: &'static str, found: &str, allowed: &str) {
        let line = self.entries.get(key).map_or(self.line, |entry| entry.line);
        self.sink
            .add(line, &self.path_of(key), found.to_owned(), allowed);
    }

    /// Refuses keys that were not asked for.
    pub(crate) fn finish(self) {
        let known = self.known.borrow();
        let allowed = known.join(", ");
        for (key, entry) in self.entries {
            if !known.contains(&key.as_str()) {
                let found = "an unknown key".to_owned();
                self.sink
                    .add(entry.line, &self.path_of(key), found, &allowed);
            }
        }
    }

    fn get(&self, key: &'static str) -> Option<&'a Located> {
        let mut known = self.known.borrow_mut();
        if !known.contains(&key) {
            known.push(key);
        }
        self.entries.get(key)
    }

    fn required(&self, key: &'static str, rule: &str) -> Option<&'a Located> {
        let located = self.get(key);
        if located.is_none() {
            self.sink
                .add(self.line, &self.path_of(key), "nothing".to_owned(), rule);
        }
        located
    }

    fn list(&self, key: &'static str) -> &'a [Located] {
        let Some(located) = self.get(key) else {
            return &[];
        };
        match &located.value {
            Value::List(items) => items,
            other => {
                let path = self.path_of(key);
                self.sink
                    .add(located.line, &path, other.describe(), "a list");
                &[]
            }
        }
    }

    fn refuse_repeats(&self, key: &'static str, items: &[Located]) {
        let mut seen = std::collections::BTreeSet::new();
        for item in items {
            let shown = item.value.describe();
            if !seen.insert(shown.clone()) {
                let found = format!("{shown} twice");
                let path = self.path_of(key);
                self.sink.add(item.line, &path, found, "each item once");
            }
        }
    }

    fn parse_name<T: for<'t> From<&'t str>>(
        &self,
        key: &'static str,
        located: &Located,
    ) -> Option<T> {
        let valid = match &located.value {
            Value::Text(text) if is_name(text) => Some(T::from(text)),
            _ => None,
        };
        self.or_refuse(key, located, valid, NAME_RULE)
    }

    fn parse_integer(&self, setting: &IntegerSetting, located: &Located) -> Option<u64> {
        let parsed = match &located.value {
            Value::Integer(integer) => u64::try_from(*integer).ok(),
            _ => None,
        };
        let valid = parsed.filter(|value| (setting.minimum..=setting.maximum).contains(value));
        self.or_refuse(setting.key, located, valid, &integer_rule(setting))
    }

    fn parse_address(&self, key: &'static str, located: &Located) -> Option<SocketAddr> {
        let valid = match &located.value {
            Value::Text(text) => text.parse().ok(),
            _ => None,
        };
        self.or_refuse(key, located, valid, ADDRESS_RULE)
    }

    fn or_refuse<T>(
        &self,
        key: &'static str,
        located: &Located,
        valid: Option<T>,
        rule: &str,
    ) -> Option<T> {
        match valid {
            Some(value) => Some(value),
            None => self.refuse(located.line, key, located.value.describe(), rule),
        }
    }

    fn refuse<T>(&self, line: usize, key: &'static str, found: String, rule: &str) -> Option<T> {
        self.sink.add(line, &self.path_of(key), found, rule);
        None
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}

fn integer_rule(setting: &IntegerSetting) -> String {
    format!(
        "a whole number from {} to {}",
        setting.minimum, setting.maximum
    )
}

fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    (1..=64).contains(&text.len())
        && text.starts_with(|c: char| c.is_ascii_lowercase())
        && text.chars().all(allowed)
}
