//! The log ring keeps the newest lines and is written out completely; a stop signal wakes all
//! threads that wait for it.

use googletest::prelude::*;
use wingshore_diagnostics::{Diagnostics, StopSignal};

#[gtest]
fn the_ring_keeps_the_newest_lines() {
    let diagnostics = Diagnostics::new("test", 3, None);
    for number in 0..5 {
        slog::info!(diagnostics.logger(), "line"; "number" => number);
    }
    let lines = diagnostics.ring().lines();
    expect_that!(lines.len(), eq(3));
    expect_that!(lines[0], contains_substring("line number=2 process=test"));
    expect_that!(lines[2], contains_substring("number=4"));
}

#[gtest]
fn a_dump_holds_the_reason_and_the_lines() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let diagnostics = Diagnostics::new("test", 10, Some(folder.path()));
    slog::warn!(diagnostics.logger(), "disk is slow"; "milliseconds" => 250);
    let path = diagnostics.dump("asked for")?;
    let text = std::fs::read_to_string(path)?;
    expect_that!(text, contains_substring("written because of: asked for"));
    expect_that!(text, contains_substring("disk is slow milliseconds=250"));
    Ok(())
}

#[gtest]
fn a_stop_wakes_every_waiter() {
    let signal = StopSignal::new();
    let waiter = signal.clone();
    let thread = std::thread::spawn(move || waiter.wait());
    signal.stop();
    expect_that!(thread.join().is_ok(), eq(true));
    expect_that!(signal.is_stopping(), eq(true));
}
