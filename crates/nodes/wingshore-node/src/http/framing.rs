//! How long a request's body is said to be.
//!
//! The HTTP library takes a length of `-1` for an empty body, the first of two differing lengths,
//! and a length together with a transfer encoding. None of these may reach a back end.

use crate::http::headers::HeaderList;
use snafu::Snafu;

/// The declared length of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// No body.
    Empty,
    /// This many bytes.
    Exact(u64),
    /// Chunks, with a declared end.
    Chunked,
}

/// Why a body's length cannot be relied on.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum FramingError {
    /// A length that is not a plain number.
    #[snafu(display("Content-Length is `{found}`; allowed are decimal digits only"))]
    BadLength {
        /// What it is.
        found: String,
    },
    /// Two lengths that differ.
    #[snafu(display("two Content-Length headers differ: `{first}` and `{second}`"))]
    DifferingLengths {
        /// One.
        first: String,
        /// The other.
        second: String,
    },
    /// A length beside a transfer encoding.
    #[snafu(display("Content-Length and Transfer-Encoding exclude each other"))]
    LengthWithEncoding,
    /// A transfer encoding that is not plain chunks.
    #[snafu(display("Transfer-Encoding is `{found}`; allowed is `chunked`, once"))]
    BadEncoding {
        /// What it is.
        found: String,
    },
    /// A request after one whose body had no reliable length.
    #[snafu(display("an earlier request on this connection had no reliable length; open another"))]
    Distrusted,
    /// A protocol switch.
    #[snafu(display("protocol upgrades are not supported"))]
    Upgrade,
}

/// Reads off the declared length of a body.
///
/// # Errors
/// Where two readers of the same headers could disagree about the length.
pub fn body_length(headers: &HeaderList) -> Result<BodyLength, FramingError> {
    let asks_upgrade = headers
        .all("connection")
        .any(|value| value.to_ascii_lowercase().contains("upgrade"));
    if asks_upgrade {
        return UpgradeSnafu.fail();
    }
    let encodings: Vec<&str> = headers.all("transfer-encoding").collect();
    let length = declared_length(headers)?;
    match (encodings.as_slice(), length) {
        ([], None | Some(0)) => Ok(BodyLength::Empty),
        ([], Some(length)) => Ok(BodyLength::Exact(length)),
        (_, Some(_)) => LengthWithEncodingSnafu.fail(),
        ([encoding], None) if encoding.trim().eq_ignore_ascii_case("chunked") => {
            Ok(BodyLength::Chunked)
        }
        (encodings, None) => BadEncodingSnafu {
            found: encodings.join(", "),
        }
        .fail(),
    }
}

fn declared_length(headers: &HeaderList) -> Result<Option<u64>, FramingError> {
    let mut lengths = headers.all("content-length");
    let Some(first) = lengths.next() else {
        return Ok(None);
    };
    if let Some(second) = lengths.find(|other| *other != first) {
        return DifferingLengthsSnafu { first, second }.fail();
    }
    let is_decimal = !first.is_empty() && first.bytes().all(|byte| byte.is_ascii_digit());
    match first.parse() {
        Ok(length) if is_decimal => Ok(Some(length)),
        _ => BadLengthSnafu { found: first }.fail(),
    }
}
