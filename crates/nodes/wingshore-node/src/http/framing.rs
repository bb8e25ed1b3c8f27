//! Validates the declared length of a request body.
//!
//! The HTTP library accepts a length of `-1` as an empty body, uses the first of two differing
//! lengths, and accepts a length together with a transfer encoding. None of these may reach a
//! backend.

use crate::http::headers::HeaderList;
use snafu::Snafu;

/// The declared length of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// No body.
    Empty,
    /// Exactly this many bytes.
    Exact(u64),
    /// Chunked encoding, which marks the end of the body.
    Chunked,
}

/// Reason why the declared length of a body is not reliable.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum FramingError {
    /// The `Content-Length` is not a decimal number.
    #[snafu(display("Content-Length is `{found}`; allowed are decimal digits only"))]
    BadLength {
        /// The value of the header.
        found: String,
    },
    /// Two `Content-Length` headers differ.
    #[snafu(display("two Content-Length headers differ: `{first}` and `{second}`"))]
    DifferingLengths {
        /// The first value.
        first: String,
        /// The first value that differs from it.
        second: String,
    },
    /// Both `Content-Length` and `Transfer-Encoding` are present.
    #[snafu(display("Content-Length and Transfer-Encoding exclude each other"))]
    LengthWithEncoding,
    /// The transfer encoding is not exactly `chunked`.
    #[snafu(display("Transfer-Encoding is `{found}`; allowed is `chunked`, once"))]
    BadEncoding {
        /// The value of the header; several values are joined by commas.
        found: String,
    },
    /// An earlier request on the same connection had a body without a reliable length.
    #[snafu(display("an earlier request on this connection had no reliable length; open another"))]
    Distrusted,
    /// The request asks for a protocol upgrade.
    #[snafu(display("protocol upgrades are not supported"))]
    Upgrade,
}

/// Returns the declared length of a body.
///
/// # Errors
/// Fails when two parsers of the same headers could disagree about the length, or when the request
/// asks for a protocol upgrade.
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
