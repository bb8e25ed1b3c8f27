//! Figures of `measure state`.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_lab::measure::state::figures::Spread;

#[gtest]
fn a_spread_names_the_samples_themselves() -> Result<()> {
    let hundred: Vec<u64> = (1..=100).rev().collect();
    let cases = [
        (vec![], [0.0, 0.0, 0.0, 0.0]),
        (vec![7], [7.0, 7.0, 7.0, 7.0]),
        (vec![3, 1, 2], [1.0, 2.0, 3.0, 3.0]),
        (hundred, [1.0, 50.0, 99.0, 100.0]),
    ];
    for (samples, expected) in cases {
        let count = samples.len();
        let samples = samples.into_iter().map(Duration::from_millis).collect();
        let spread = Spread::of(samples);
        verify_that!(spread.count, eq(count))?;
        let found = [
            spread.least_ms,
            spread.p50_ms,
            spread.p99_ms,
            spread.most_ms,
        ];
        verify_that!(found, eq(expected))?;
    }
    Ok(())
}
