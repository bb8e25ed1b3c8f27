//! Fingerprints of requests by their content, to recognize a request under another identity.

use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher24};
use std::fmt;
use std::hash::Hasher;

/// Key of a site's fingerprints, shared by all of its processes.
///
/// The key is drawn at random once per site: a caller that does not know the key can neither craft
/// two requests with the same fingerprint nor guess the fingerprint of another caller's request.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FingerprintKey([u8; 16]);

impl FingerprintKey {
    /// Creates a key from these bytes, which must be drawn at random.
    pub fn new(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }
}

impl fmt::Debug for FingerprintKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FingerprintKey")
    }
}

/// Fingerprint of a request's content: the same for each repetition of the request, whatever its
/// identity and wherever it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint(u128);

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// Content of a request that its fingerprint covers.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Request method.
    pub method: &'a str,
    /// Host that the request names.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Identification that the caller sends; empty if callers send none.
    pub caller: &'a [u8],
    /// Request body.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// Computes the fingerprint with a site's key.
    pub fn fingerprint(&self, key: FingerprintKey) -> RequestFingerprint {
        self.fingerprint_with_body(key, self.body.len(), [self.body])
    }

    /// Computes the same fingerprint for a request whose body of `length` bytes is held in pieces,
    /// which stand in the place of `body`.
    pub fn fingerprint_with_body<'b>(
        &self,
        key: FingerprintKey,
        length: usize,
        pieces: impl IntoIterator<Item = &'b [u8]>,
    ) -> RequestFingerprint {
        let parts = [
            self.method.as_bytes(),
            self.host.as_bytes(),
            self.target.as_bytes(),
            self.caller,
        ];
        let mut hasher = SipHasher24::new_with_key(&key.0);
        for part in parts {
            // The length prefix separates adjacent parts: "ab", "c" must differ from "a", "bc".
            hasher.write_u64(part.len() as u64);
            hasher.write(part);
        }
        hasher.write_u64(length as u64);
        for piece in pieces {
            hasher.write(piece);
        }
        RequestFingerprint(hasher.finish128().as_u128())
    }
}
