//! The clock of processes against the kernel's own account of the time since the boot, which
//! counts suspensions.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_clock::{BootTime, Clock};

/// The kernel's account has hundredths of a second, and the readings are some time apart.
const TOLERANCE: Duration = Duration::from_secs(2);

#[cfg(target_os = "linux")]
#[gtest]
fn it_counts_the_time_since_the_boot() {
    let uptime = std::fs::read_to_string("/proc/uptime").expect("the kernel's account");
    let seconds = uptime.split(' ').next().expect("a figure");
    let uptime = Duration::from_secs_f64(seconds.parse().expect("seconds"));
    let clock = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME).expect("a clock");
    expect_that!(uptime.abs_diff(Duration::from(clock)), lt(TOLERANCE));
    // And it is this clock that is read.
    let before = BootTime::now();
    let after = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME).expect("a clock");
    let apart = Duration::from(after).saturating_sub(Duration::from(clock));
    expect_that!(before.elapsed(), lt(apart + TOLERANCE));
}

#[gtest]
fn moments_before_its_origin_are_its_origin() {
    let before = BootTime::now();
    let clock = Clock::start();
    expect_that!(clock.at(before), eq(wingshore_types::Instant::ZERO));
    expect_that!(clock.at(BootTime::now()), le(clock.now()));
}
