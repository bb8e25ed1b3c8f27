//! Errors in settings files, collected so that all are reported together.

use crate::KeyDescription;
use std::cell::RefCell;
use std::fmt;

/// One error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the file.
    pub file: String,
    /// Line number from 1; 0 if the value comes from a command-line flag.
    pub line: usize,
    /// The key, qualified with the tables that contain it.
    pub key: String,
    /// Description of the value found.
    pub found: String,
    /// Description of the allowed values.
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

/// All errors in a settings file.
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

/// Collects errors and descriptions of the requested keys while a file is read.
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

    /// Records a requested key, unless it is recorded already.
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

    /// Returns all requested keys in the order of the first request.
    pub(crate) fn into_keys(self) -> Vec<KeyDescription> {
        self.keys.into_inner()
    }

    /// Records an error.
    pub(crate) fn add(&self, line: usize, key: &str, found: String, allowed: &str) {
        self.errors.borrow_mut().push(SettingsError {
            file: self.file.clone(),
            line,
            key: key.to_owned(),
            found,
            allowed: allowed.to_owned(),
        });
    }

    /// Returns the errors sorted by line.
    pub(crate) fn into_errors(self) -> SettingsErrors {
        let mut errors = self.errors.into_inner();
        errors.sort_by_key(|error| error.line);
        SettingsErrors(errors)
    }

    /// Returns the settings, or the errors if any were recorded.
    pub(crate) fn finish<T>(self, settings: Option<T>) -> Result<T, SettingsErrors> {
        match settings {
            Some(settings) if self.errors.borrow().is_empty() => Ok(settings),
            _ => Err(self.into_errors()),
        }
    }
}
