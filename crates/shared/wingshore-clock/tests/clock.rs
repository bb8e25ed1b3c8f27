//! Compares the clock of processes with the kernel's uptime, which counts suspensions.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_clock::{BootTime, Clock};

/// The kernel reports its uptime in hundredths of a second, and the readings are some time apart.
const TOLERANCE: Duration = Duration::from_secs(2);

#[cfg(target_os = "linux")]
#[gtest]
fn the_clock_counts_the_time_since_boot() {
    let uptime = std::fs::read_to_string("/proc/uptime").expect("/proc/uptime is readable");
    let seconds = uptime
        .split(' ')
        .next()
        .expect("/proc/uptime has a first field");
    let uptime = Duration::from_secs_f64(seconds.parse().expect("seconds"));
    let clock = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME)
        .expect("CLOCK_BOOTTIME is readable");
    expect_that!(uptime.abs_diff(Duration::from(clock)), lt(TOLERANCE));
    // `BootTime` reads this clock.
    let before = BootTime::now();
    let after = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME)
        .expect("CLOCK_BOOTTIME is readable");
    let elapsed = Duration::from(after).saturating_sub(Duration::from(clock));
    expect_that!(before.elapsed(), lt(elapsed + TOLERANCE));
}

#[gtest]
fn times_before_the_origin_become_the_origin() {
    let before = BootTime::now();
    let clock = Clock::start();
    expect_that!(clock.at(before), eq(wingshore_types::Instant::ZERO));
    expect_that!(clock.at(BootTime::now()), le(clock.now()));
}
