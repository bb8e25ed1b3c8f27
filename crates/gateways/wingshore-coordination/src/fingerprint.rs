//! Naming requests by what they ask, so that one can be known again under another identity.

use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher24};
use std::fmt;
use std::hash::Hasher;

/// Key of a site's fingerprints; the same at all of its processes.
///
/// It is drawn once at each site: a caller that does not know it can neither make two requests
/// with one fingerprint nor guess the fingerprint of another caller's request.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FingerprintKey([u8; 16]);

impl FingerprintKey {
    /// A key of these bytes, which must be drawn at random.
    pub fn new(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }
}

impl fmt::Debug for FingerprintKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FingerprintKey")
    }
}

/// What a request asks, as a number: the same for each repeat of it, whatever its identity and
/// wherever it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint(u128);

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// What a request asks.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Its method.
    pub method: &'a str,
    /// The host that it names.
    pub host: &'a str,
    /// Its path and query.
    pub target: &'a str,
    /// What the caller names itself by; empty where callers do not.
    pub caller: &'a [u8],
    /// Its body.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// Its fingerprint under a site's key.
    pub fn fingerprint(&self, key: FingerprintKey) -> RequestFingerprint {
        let parts = [
            self.method.as_bytes(),
            self.host.as_bytes(),
            self.target.as_bytes(),
            self.caller,
            self.body,
        ];
        let mut hasher = SipHasher24::new_with_key(&key.0);
        for part in parts {
            // The length keeps neighbours apart: "ab" and "c" are not "a" and "bc".
            hasher.write_u64(part.len() as u64);
            hasher.write(part);
        }
        RequestFingerprint(hasher.finish128().as_u128())
    }
}
