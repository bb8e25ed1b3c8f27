//! Fingerprints of requests: which parts of a request they depend on.

use googletest::prelude::*;
use proptest::prelude::*;
use wingshore_coordination::{FingerprintKey, RequestContent, RequestFingerprint};

type Parts = (String, String, String, Vec<u8>, Vec<u8>);

fn fingerprint(key: [u8; 16], parts: &Parts) -> RequestFingerprint {
    let (method, host, target, caller, body) = parts;
    let content = RequestContent {
        method,
        host,
        target,
        caller,
        body,
    };
    content.fingerprint(FingerprintKey::new(key))
}

/// Short parts from a small alphabet, so that adjacent parts often concatenate to the same text.
fn parts() -> impl Strategy<Value = Parts> {
    let bytes = || prop::collection::vec(97..99_u8, 0..3);
    ("[ab]{0,2}", "[ab]{0,2}", "[ab]{0,2}", bytes(), bytes())
}

proptest! {
    #[test]
    fn requests_share_a_fingerprint_only_if_all_parts_are_equal(left in parts(), right in parts()) {
        let key = [7; 16];
        let same = fingerprint(key, &left) == fingerprint(key, &right);
        prop_assert_eq!(same, left == right);
    }

    #[test]
    fn another_site_has_other_fingerprints(parts in parts(), key in any::<[u8; 16]>()) {
        prop_assume!(key != [7; 16]);
        prop_assert_ne!(fingerprint(key, &parts), fingerprint([7; 16], &parts));
    }
}

#[gtest]
fn debug_output_hides_the_key() {
    let shown = format!("{:?}", FingerprintKey::new([0xab; 16]));
    expect_that!(shown, eq("FingerprintKey"));
}
