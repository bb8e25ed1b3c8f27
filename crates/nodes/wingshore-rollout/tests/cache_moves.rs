//! Tests of moves with the KV cache: long attempts on a leaving engine move together with it.

mod harness;

use googletest::prelude::*;
use harness::{Harness, engine_state, sample_lease};
use std::time::Duration;
use wingshore_rollout::{AttemptId, CacheMoveCosts, RolloutInput, RolloutOutput};
use wingshore_types::ServerId;

/// Above the length from which copying the cache is cheaper than recomputing it.
const LONG_ATTEMPT_TOKENS: usize = 2000;

/// Starts an attempt with `tokens` tokens on an engine that has been leaving for longer than the
/// grace period. Returns the harness, the engine and the attempt.
fn attempt_on_leaving_engine(tokens: usize) -> (Harness, ServerId, AttemptId) {
    let mut harness = Harness::new(|_| {});
    harness.grant_leases(vec![sample_lease(1, 4000, 4)]);
    let (attempt, server, _) = harness.streams()[0].clone();
    harness.chunk(attempt, 5, &vec![7; tokens]);
    let mut leaving = engine_state(5);
    leaving.draining = true;
    harness
        .router
        .on_engine_state(harness.now, &server, &leaving);
    harness.take_outputs();
    harness.advance(Duration::from_millis(2_100));
    (harness, server, attempt)
}

fn copies(harness: &Harness) -> Vec<AttemptId> {
    let copies = harness.out.iter().filter_map(|output| match output {
        RolloutOutput::CopyCache { attempt, .. } => Some(*attempt),
        _ => None,
    });
    copies.collect()
}

#[gtest]
fn copying_is_cheaper_than_recomputing_above_the_break_even_length() {
    let costs = CacheMoveCosts::default();
    expect_that!(
        [0, 100, 799, 801, 5000].map(|tokens| costs.is_copying_cheaper(tokens)),
        eq([false, false, false, true, true])
    );
}

#[gtest]
fn long_attempt_continues_until_its_cache_is_copied_and_is_resumed_on_the_target() {
    let (mut harness, server, attempt) = attempt_on_leaving_engine(LONG_ATTEMPT_TOKENS);
    expect_that!(copies(&harness), eq(&vec![attempt]));
    expect_that!(harness.cancelled(), is_empty());
    // Tokens that arrive during the copy must not be lost.
    harness.chunk(attempt, 5, &[8, 8]);
    harness.input(RolloutInput::CacheCopied {
        attempt,
        is_copied: true,
    });
    expect_that!(harness.cancelled(), eq(&vec![attempt]));
    let streams = harness.streams();
    expect_that!(streams.len(), eq(1));
    expect_that!(streams[0].1, not(eq(&server)));
    expect_that!(streams[0].2.resume.len(), eq(LONG_ATTEMPT_TOKENS + 2));
    let status = harness.runner.status();
    expect_that!(
        [status.moved, status.moved_with_cache, status.wasted_tokens],
        eq([1, 1, 0])
    );
}

#[gtest]
fn attempt_is_resumed_without_its_cache_when_the_copy_fails() {
    let (mut harness, server, attempt) = attempt_on_leaving_engine(LONG_ATTEMPT_TOKENS);
    harness.input(RolloutInput::CacheCopied {
        attempt,
        is_copied: false,
    });
    harness.advance(Duration::from_millis(300));
    let streams = harness.streams();
    expect_that!(streams.len(), eq(1));
    expect_that!(streams[0].1, not(eq(&server)));
    expect_that!(streams[0].2.resume.len(), eq(LONG_ATTEMPT_TOKENS));
    expect_that!(harness.runner.status().moved_with_cache, eq(0));
}

#[gtest]
fn no_attempt_is_resumed_on_an_engine_that_starts_leaving_during_the_copy() {
    let (mut harness, server, attempt) = attempt_on_leaving_engine(LONG_ATTEMPT_TOKENS);
    let mut leaving = engine_state(5);
    leaving.draining = true;
    for engine in ["x", "y"].map(ServerId::new) {
        harness
            .router
            .on_engine_state(harness.now, &engine, &leaving);
    }
    harness.input(RolloutInput::CacheCopied {
        attempt,
        is_copied: true,
    });
    harness.advance(Duration::from_millis(300));
    expect_that!(
        harness.streams(),
        is_empty(),
        "both {server} and the other engine are leaving"
    );
}

#[gtest]
fn short_attempt_is_resumed_without_its_cache() {
    let (harness, server, attempt) = attempt_on_leaving_engine(100);
    expect_that!(copies(&harness), is_empty());
    expect_that!(harness.cancelled(), eq(&vec![attempt]));
    expect_that!(harness.streams()[0].1, not(eq(&server)));
}

#[gtest]
fn attempt_that_finishes_during_the_copy_releases_the_reserved_slot() {
    let (mut harness, server, attempt) = attempt_on_leaving_engine(LONG_ATTEMPT_TOKENS);
    harness.finished(attempt, LONG_ATTEMPT_TOKENS as u32);
    expect_that!(harness.finish_reports().len(), eq(1));
    harness.input(RolloutInput::CacheCopied {
        attempt,
        is_copied: true,
    });
    expect_that!(harness.streams(), is_empty());
    for engine in ["x", "y"].map(ServerId::new) {
        let view = harness
            .router
            .server_view(harness.now, &engine)
            .expect("the engine is configured");
        expect_that!(
            view.rollouts,
            eq(0),
            "{engine}; the attempt ran on {server}"
        );
    }
}
