//! Tests of the settings: defaults, units and ranges.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_routing::RouterSettings;

#[gtest]
fn defaults_are_within_their_ranges_and_an_empty_table_is_valid() {
    let errors = RouterSettings::default().check();
    expect_that!(errors, is_empty());
    let read: RouterSettings = toml::from_str("").expect("the settings are valid");
    // Compared here, because `RouterSettings::check` shadows the `check` that `expect_that!` calls.
    expect_that!(read == RouterSettings::default(), eq(true));
}

#[gtest]
fn durations_are_parsed_with_units() {
    let text = "probe_interval = \"250ms\"\neject_time_most = \"1m 30s\"";
    let read: RouterSettings = toml::from_str(text).expect("the settings are valid");
    expect_that!(read.probe_interval, eq(Duration::from_millis(250)));
    expect_that!(read.eject_time_most, eq(Duration::from_secs(90)));
}

#[gtest]
fn invalid_settings_are_rejected() {
    for text in [
        "probe_interval = 250",
        "probe_interval = \"250\"",
        "probe_intervall = \"250ms\"",
        "choices = -1",
        "choices = \"two\"",
    ] {
        let read = toml::from_str::<RouterSettings>(text);
        expect_that!(read, err(anything()), "{text}");
    }
}

#[gtest]
fn all_out_of_range_values_are_reported_together() {
    let text = "choices = 0\nmost_ejected = 1000\nprobe_interval = \"10ms\"";
    let read: RouterSettings = toml::from_str(text).expect("the text parses");
    let errors: Vec<String> = read.check().iter().map(ToString::to_string).collect();
    expect_that!(
        errors,
        unordered_elements_are![
            eq("`choices` is 0; allowed is 1 to 8"),
            eq("`most_ejected` is 1000; allowed is 0 to 900"),
            eq("`probe_interval` is 10ms; allowed is 50ms to 1m"),
        ]
    );
}
