//! Reads one table key by key, collects its errors, and reports unknown keys at the end.

use crate::document::{Entries, Located, Value};
use crate::error::ErrorSink;
use crate::rules::{ABSENT, ADDRESS_RULE, NAME_RULE, TEXT_RULE, choice_rule, is_valid_name};
use crate::units::{IntegerSetting, RangedSetting, RangedValue};
use std::cell::RefCell;
use std::net::SocketAddr;

/// Reads one table and records every key that is requested from it.
pub(crate) struct TableReader<'a> {
    sink: &'a ErrorSink,
    path: String,
    line: usize,
    entries: &'a Entries,
    requested_keys: RefCell<Vec<&'static str>>,
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
            requested_keys: RefCell::default(),
        }
    }

    /// Reads a required name that follows [`NAME_RULE`].
    pub(crate) fn name<T: for<'t> From<&'t str>>(&self, key: &'static str) -> Option<T> {
        self.describe_key(key, None, NAME_RULE);
        let located = self.required(key, NAME_RULE)?;
        self.parse_name(key, located)
    }

    /// Reads a list of distinct names; empty if the key is absent.
    pub(crate) fn names<T: for<'t> From<&'t str>>(&self, key: &'static str) -> Vec<T> {
        self.describe_key(
            key,
            Some("[]".to_owned()),
            &format!("a list of names, each {NAME_RULE}"),
        );
        let items = self.list(key);
        self.reject_duplicates(key, items);
        items
            .iter()
            .filter_map(|item| self.parse_name(key, item))
            .collect()
    }

    /// Reads required, non-empty text.
    pub(crate) fn text(&self, key: &'static str) -> Option<String> {
        self.describe_key(key, None, TEXT_RULE);
        let located = self.required(key, TEXT_RULE)?;
        self.parse_text(key, located)
    }

    /// Reads optional, non-empty text.
    pub(crate) fn optional_text(&self, key: &'static str) -> Option<String> {
        self.describe_key(key, Some(ABSENT.to_owned()), TEXT_RULE);
        let located = self.get(key)?;
        self.parse_text(key, located)
    }

    /// Reads a required address.
    pub(crate) fn address(&self, key: &'static str) -> Option<SocketAddr> {
        self.describe_key(key, None, ADDRESS_RULE);
        let located = self.required(key, ADDRESS_RULE)?;
        self.parse_address(key, located)
    }

    /// Reads an optional address.
    pub(crate) fn optional_address(&self, key: &'static str) -> Option<SocketAddr> {
        self.describe_key(key, Some(ABSENT.to_owned()), ADDRESS_RULE);
        let located = self.get(key)?;
        self.parse_address(key, located)
    }

    /// Reads a list of distinct addresses; empty if the key is absent.
    pub(crate) fn addresses(&self, key: &'static str) -> Vec<SocketAddr> {
        self.describe_key(
            key,
            Some("[]".to_owned()),
            &format!("a list, each {ADDRESS_RULE}"),
        );
        self.parse_addresses(key)
    }

    /// Reads a required list of distinct addresses that holds at least one.
    pub(crate) fn non_empty_addresses(&self, key: &'static str) -> Vec<SocketAddr> {
        let rule = format!("a list of at least one, each {ADDRESS_RULE}");
        self.describe_key(key, None, &rule);
        let addresses = self.parse_addresses(key);
        if addresses.is_empty() {
            self.reject(key, "no address", &rule);
        }
        addresses
    }

    /// Reads a value within a range; the default if the key is absent or its value is invalid.
    pub(crate) fn ranged<T: RangedValue>(&self, setting: &RangedSetting<T>) -> T {
        self.describe_key(setting.key, Some(setting.default.show()), &setting.rule());
        let located = self.get(setting.key);
        let valid = located.and_then(|located| self.parse_ranged(setting, located));
        valid.unwrap_or(setting.default)
    }

    /// Reads a required value within a range.
    pub(crate) fn required_ranged<T: RangedValue>(&self, setting: &RangedSetting<T>) -> Option<T> {
        let rule = setting.rule();
        self.describe_key(setting.key, None, &rule);
        let located = self.required(setting.key, &rule)?;
        self.parse_ranged(setting, located)
    }

    /// Reads a whole number within the range of `setting`, which must fit `T`.
    pub(crate) fn ranged_integer<T: TryFrom<u64> + Default>(&self, setting: &IntegerSetting) -> T {
        T::try_from(self.ranged(setting)).unwrap_or_default()
    }

    /// Reads a boolean; the default if the key is absent or its value is invalid.
    pub(crate) fn boolean(&self, key: &'static str, default: bool) -> bool {
        self.describe_key(key, Some(default.to_string()), "true or false");
        let Some(located) = self.get(key) else {
            return default;
        };
        match &located.value {
            Value::Boolean(boolean) => *boolean,
            other => self
                .report_invalid(located.line, key, other.describe(), "true or false")
                .unwrap_or(default),
        }
    }

    /// Reads one of several words; the default, which must be one of `choices`, if the key is
    /// absent or its value is invalid.
    pub(crate) fn choice<T: Copy + PartialEq>(
        &self,
        key: &'static str,
        default: T,
        choices: &[(&str, T)],
    ) -> T {
        let rule = choice_rule(choices);
        let mut words = choices.iter();
        let word = words.find(|(_, choice)| *choice == default);
        self.describe_key(key, word.map(|(word, _)| (*word).to_owned()), &rule);
        match self.get(key) {
            Some(located) => self
                .parse_choice(key, located, choices, &rule)
                .unwrap_or(default),
            None => default,
        }
    }

    /// Reads a required key whose value is one of several words.
    pub(crate) fn required_choice<T: Copy>(
        &self,
        key: &'static str,
        choices: &[(&str, T)],
    ) -> Option<T> {
        let rule = choice_rule(choices);
        self.describe_key(key, None, &rule);
        let located = self.required(key, &rule)?;
        self.parse_choice(key, located, choices, &rule)
    }

    /// Returns a reader of a nested table; if the table is absent, its keys have their defaults.
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

    /// Returns a reader of each table of a `[[key]]` list.
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

    /// Reports an error that the caller found in the value of `key`.
    pub(crate) fn reject(&self, key: &'static str, found: &str, allowed: &str) {
        let line = self.entries.get(key).map_or(self.line, |entry| entry.line);
        self.sink
            .add(line, &self.path_of(key), found.to_owned(), allowed);
    }

    /// Reports every key of the table that was not requested.
    pub(crate) fn finish(self) {
        let requested_keys = self.requested_keys.borrow();
        let allowed = requested_keys.join(", ");
        for (key, entry) in self.entries {
            if !requested_keys.contains(&key.as_str()) {
                let found = "an unknown key".to_owned();
                self.sink
                    .add(entry.line, &self.path_of(key), found, &allowed);
            }
        }
    }

    /// Records a key for the list of settings; a key without a default is required.
    fn describe_key(&self, key: &'static str, default: Option<String>, allowed: &str) {
        self.sink.record_key(self.path_of(key), default, allowed);
    }

    /// Returns the value of a key, and marks the key as requested.
    fn get(&self, key: &'static str) -> Option<&'a Located> {
        let mut requested_keys = self.requested_keys.borrow_mut();
        if !requested_keys.contains(&key) {
            requested_keys.push(key);
        }
        self.entries.get(key)
    }

    /// Returns the value of a key, and reports an error if it is absent.
    fn required(&self, key: &'static str, rule: &str) -> Option<&'a Located> {
        let located = self.get(key);
        if located.is_none() {
            self.sink
                .add(self.line, &self.path_of(key), "nothing".to_owned(), rule);
        }
        located
    }

    /// Returns the items of a list; none if the key is absent or its value is not a list.
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

    fn reject_duplicates(&self, key: &'static str, items: &[Located]) {
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

    fn parse_text(&self, key: &'static str, located: &Located) -> Option<String> {
        let valid = match &located.value {
            Value::Text(text) if !text.is_empty() => Some(text.clone()),
            _ => None,
        };
        self.or_report_invalid(key, located, valid, TEXT_RULE)
    }

    fn parse_choice<T: Copy>(
        &self,
        key: &'static str,
        located: &Located,
        choices: &[(&str, T)],
        rule: &str,
    ) -> Option<T> {
        let chosen = match &located.value {
            Value::Text(text) => choices.iter().find(|(word, _)| word == text),
            _ => None,
        };
        self.or_report_invalid(key, located, chosen.map(|(_, choice)| *choice), rule)
    }

    fn parse_name<T: for<'t> From<&'t str>>(
        &self,
        key: &'static str,
        located: &Located,
    ) -> Option<T> {
        let valid = match &located.value {
            Value::Text(text) if is_valid_name(text) => Some(T::from(text)),
            _ => None,
        };
        self.or_report_invalid(key, located, valid, NAME_RULE)
    }

    fn parse_ranged<T: RangedValue>(
        &self,
        setting: &RangedSetting<T>,
        located: &Located,
    ) -> Option<T> {
        let valid = setting.parse(&located.value);
        self.or_report_invalid(setting.key, located, valid, &setting.rule())
    }

    fn parse_addresses(&self, key: &'static str) -> Vec<SocketAddr> {
        let items = self.list(key);
        self.reject_duplicates(key, items);
        items
            .iter()
            .filter_map(|item| self.parse_address(key, item))
            .collect()
    }

    fn parse_address(&self, key: &'static str, located: &Located) -> Option<SocketAddr> {
        let valid = match &located.value {
            Value::Text(text) => text.parse().ok(),
            _ => None,
        };
        self.or_report_invalid(key, located, valid, ADDRESS_RULE)
    }

    /// Returns `valid`, or reports the value as invalid if it is `None`.
    fn or_report_invalid<T>(
        &self,
        key: &'static str,
        located: &Located,
        valid: Option<T>,
        rule: &str,
    ) -> Option<T> {
        match valid {
            Some(value) => Some(value),
            None => self.report_invalid(located.line, key, located.value.describe(), rule),
        }
    }

    /// Reports an invalid value; always returns `None`.
    fn report_invalid<T>(
        &self,
        line: usize,
        key: &'static str,
        found: String,
        rule: &str,
    ) -> Option<T> {
        self.sink.add(line, &self.path_of(key), found, rule);
        None
    }

    /// Returns `key` qualified with the path of this table.
    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }
}
