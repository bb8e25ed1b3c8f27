//! Errors of settings files, gathered so that all are shown at once.

use crate::KeyDescription;
use std::cell::RefCell;
use std::fmt;

/// One thing that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The file.
    pub file: String,
    /// The line, from 1; 0 is a flag.
    pub line: usize,
    /// The key, with the tables it stands in.
    pub key: String,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            key,
            found,
            allowed,
        } = self;
        write!(
            formatter,
            "{file}:{line}: `{key}`: found {found}; allowed: {allowed}"
        )
    }
}

/// All that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl fmt::Display for SettingsErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, error) in self.0.iter().enumerate() {
            if position > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}

/// Gathers errors while a file is read.
pub(crate) struct ErrorSink {
    file: String,
    errors: RefCell<Vec<SettingsError>>,
    keys: RefCell<Vec<KeyDescription>>,
}

impl ErrorSink {
    pub(crate) fn new(file: &str) -> Self {
        Self {
            file: file.to_owned(),
            errors: RefCell::default(),
            keys: RefCell::default(),
        }
    }

    /// Notes a key that was asked for; asked twice it counts once.
    pub(crate) fn record_key(&self, key: String, default: Option<String>, allowed: &str) {
        let mut keys = self.keys.borrow_mut();
        if keys.iter().all(|known| known.key != key) {
            let allowed = allowed.to_owned();
            keys.push(KeyDescription {
                key,
                default,
                allowed,
            });
        }
    }

    /// All keys that were asked for, in that order.
    pub(crate) fn into_keys(self) -> Vec<KeyDescription> {
        self.keys.into_inner()
    }

    pub(crate) fn add(&self, line: usize, key: &str, found: String, allowed: &str) {
        self.errors.borrow_mut().push(SettingsError {
            file: self.file.clone(),
            line,
            key: key.to_owned(),
            found,
            allowed: allowed.to_owned(),
        });
    }

    pub(crate) fn into_errors(self) -> SettingsErrors {
        let mut errors = self.errors.into_inner();
        errors.sort_by_key(|error| error.line);
        SettingsErrors(errors)
    }

    /// The settings, when nothing was wrong.
    pub(crate) fn finish<T>(self, settings: Option<T>) -> Result<T, SettingsErrors> {
        match settings {
            Some(settings) if self.errors.borrow().is_empty() => Ok(settings),
            _ => Err(self.into_errors()),
        }
    }
}
