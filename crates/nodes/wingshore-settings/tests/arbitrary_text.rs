//! Tests that no text makes the parser panic, and that a lease is accepted exactly if it is within
//! its range.

use proptest::prelude::*;
use wingshore_settings::{AnySettings, any_from_text};

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_text_never_panics(text in "\\PC{0,200}") {
        let _ = any_from_text("file.toml", &text);
    }

    #[test]
    fn arbitrary_values_never_panic(
        key in "(listen|replicas|stop_grace|http|routing|founding|timing|zone)",
        value in "(\"[a-z0-9 :.]{0,20}\"|-?[0-9]{1,25}|\\[\\]|\\[1, \"a\"\\]|\\{a = 1\\}|1.5|true)",
    ) {
        for role in ["replica", "node", "relay", "site"] {
            let text = format!("role = \"{role}\"\n{key} = {value}\n");
            let _ = any_from_text("file.toml", &text);
        }
    }

    #[test]
    fn an_accepted_lease_is_within_its_range(milliseconds in 0_u64..100_000) {
        let text = format!(
            "role = \"replica\"\nsite = \"s\"\nname = \"r\"\nzone = \"z\"\nlisten = \"127.0.0.1:1\"\n\
             data = \"d\"\nconfiguration_lease = \"{milliseconds}ms\"\n\
             [[founding]]\nid = 1\naddress = \"127.0.0.1:1\"\n"
        );
        let accepted = matches!(any_from_text("file.toml", &text), Ok(AnySettings::Replica(_)));
        prop_assert_eq!(accepted, (500..=30_000).contains(&milliseconds));
    }
}
