//! Reads the files that the command line names.

use crate::failure::{Failure, ReadFileSnafu};
use snafu::ResultExt;

/// Reads a text file completely.
///
/// # Errors
/// When the file cannot be read or is not UTF-8.
pub fn read(path: &str) -> Result<String, Failure> {
    std::fs::read_to_string(path).context(ReadFileSnafu { path })
}
