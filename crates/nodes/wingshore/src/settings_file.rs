//! Reading files named on the command line.

use crate::failure::{Failure, ReadFileSnafu};
use snafu::ResultExt;

/// Reads a whole text file.
///
/// # Errors
/// When it cannot be read.
pub fn read(path: &str) -> Result<String, Failure> {
    std::fs::read_to_string(path).context(ReadFileSnafu { path })
}
