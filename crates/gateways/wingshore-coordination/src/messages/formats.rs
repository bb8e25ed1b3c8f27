//! Decision: which message format do two processes of the site use, and are they compatible at all?
//!
//! No I/O. A format is a version number for the encoding of all frames on a link. Inputs: the range
//! of formats that this program supports, and the range of the peer, which follows the last field
//! of its hello.
//!
//! **Rule.** The newest format in both ranges is used; if there is none, the peer is refused.
//!
//! **Reason.** The codec stores neither names nor lengths of fields, so a frame of another format
//! fails to decode or is decoded as something else. It ignores bytes after the end of a message, so
//! a program that does not know format ranges can read a hello that carries one.
//!
//! **Old or missing inputs.** A hello without a range implies the first format. Bytes after a range
//! are ignored, so that later versions can append to it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Maximum number of refused peers to remember, far above the number of processes of a site. When
/// it is reached, all are forgotten and reported again.
const MAX_REMEMBERED_PEERS: usize = 16_384;

/// The first format with lists of gateways, reports of the load of scoring services, measured paces
/// of engines, and weights of gateways.
pub const LOAD_REPORTS_FORMAT: u16 = 2;

/// The first format with possible crashes, and with trials of suspect requests.
pub const TRIALS_FORMAT: u16 = 3;

/// The range of formats that a program supports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatRange {
    /// Oldest supported format.
    pub oldest: u16,
    /// Newest supported format.
    pub newest: u16,
}

impl FormatRange {
    /// Range of programs that announce none.
    pub const FIRST: Self = Self {
        oldest: 1,
        newest: 1,
    };
    /// Range of this program.
    pub const OWN: Self = Self {
        oldest: 1,
        newest: TRIALS_FORMAT,
    };

    /// Returns the newest format in both ranges; `None` if they do not overlap.
    pub fn common(self, other: Self) -> Option<u16> {
        let newest = self.newest.min(other.newest);
        (newest >= self.oldest.max(other.oldest)).then_some(newest)
    }

    /// Decodes the range that a peer announces after the end of its hello.
    ///
    /// # Errors
    /// Returns an error if there are bytes that do not encode a range.
    pub fn after_hello(rest: &[u8]) -> Result<Self, postcard::Error> {
        if rest.is_empty() {
            return Ok(Self::FIRST);
        }
        postcard::from_bytes(rest)
    }
}

impl fmt::Display for FormatRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} to {}", self.oldest, self.newest)
    }
}

/// Returns a hello in the form in which it is sent, followed by the format range of this program.
pub fn with_own_formats<M: Serialize>(hello: &M) -> (&M, FormatRange) {
    (hello, FormatRange::OWN)
}

/// Reason why a peer is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Formats that the peer supports; `None` if the bytes after its hello are not a range.
    pub formats: Option<FormatRange>,
    /// Whether this is the first refusal of the peer for this reason; only the first one is logged.
    pub is_first: bool,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.formats {
            Some(formats) => formats.fmt(f),
            None => f.write_str("unreadable"),
        }
    }
}

/// Refused peers, so that each is logged once per announced range.
#[derive(Debug, Default)]
pub struct RefusedPeers {
    by_address: BTreeMap<SocketAddr, Option<FormatRange>>,
}

impl RefusedPeers {
    /// Negotiates the format to use with a peer; `rest` are the bytes after its hello.
    ///
    /// # Errors
    /// Returns the refusal if there is no common format.
    pub fn negotiate(&mut self, peer: SocketAddr, rest: &[u8]) -> Result<u16, Refusal> {
        let formats = FormatRange::after_hello(rest).ok();
        if let Some(common) = formats.and_then(|formats| FormatRange::OWN.common(formats)) {
            self.by_address.remove(&peer);
            return Ok(common);
        }
        if self.by_address.len() >= MAX_REMEMBERED_PEERS {
            self.by_address.clear();
        }
        let is_first = self.by_address.insert(peer, formats) != Some(formats);
        Err(Refusal { formats, is_first })
    }
}
