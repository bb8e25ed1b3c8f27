//! Decision: which format do two processes of the site speak, and do they speak at all?
//!
//! No I/O. A format numbers the forms of all frames on a link. Inputs: the range of formats that this
//! program speaks, and the one that the peer says in its hello, after the hello's last field.
//!
//! **Rule.** The newest format that both ranges hold; without one the peer is refused.
//!
//! **Why.** The codec knows neither names nor lengths of fields, so that a frame of another form fails
//! to decode, or is read as something else. It ignores what comes after the end of a message, so that
//! a program that knows no ranges reads a hello with one as it reads a hello without.
//!
//! **Old or missing inputs.** A hello without a range is one of the first format. What follows a range
//! is ignored: later programs may say more there.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Refused peers that are remembered; with more, all are forgotten, and named again. Far above the
/// processes of a site.
const MAX_REMEMBERED_PEERS: usize = 16_384;

/// The formats that a program speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatRange {
    /// The oldest one.
    pub oldest: u16,
    /// The newest one.
    pub newest: u16,
}

impl FormatRange {
    /// That of programs that say none.
    pub const FIRST: Self = Self {
        oldest: 1,
        newest: 1,
    };
    /// That of this program.
    pub const OWN: Self = Self::FIRST;

    /// The newest format of both ranges; `None` if they have none in common.
    pub fn common(self, other: Self) -> Option<u16> {
        let newest = self.newest.min(other.newest);
        (newest >= self.oldest.max(other.oldest)).then_some(newest)
    }

    /// What a peer says after the end of its hello.
    ///
    /// # Errors
    /// When there are bytes that are no range.
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

/// A hello as it is sent: with the formats of this program after its end.
pub fn with_own_formats<M: Serialize>(hello: &M) -> (&M, FormatRange) {
    (hello, FormatRange::OWN)
}

/// Why a peer is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The formats that it speaks; `None` where what came after its hello is no range.
    pub formats: Option<FormatRange>,
    /// Whether it was not refused for the same before: only then is it worth a line of the log.
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

/// Peers that were refused, so that each is named once for what it says.
#[derive(Debug, Default)]
pub struct RefusedPeers {
    by_address: BTreeMap<SocketAddr, Option<FormatRange>>,
}

impl RefusedPeers {
    /// The format to speak with a peer; `rest` is what came after its hello.
    ///
    /// # Errors
    /// When there is none.
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
