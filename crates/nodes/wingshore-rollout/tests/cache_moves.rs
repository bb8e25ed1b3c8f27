//! Long attempts on a leaving engine move with their KV cache.

mod hand;

use googletest::prelude::*;
use hand::{Hand, granted, state};
use std::time::Duration;
use wingshore_rollout::{AttemptId, CacheMoveCosts, RolloutInput, RolloutOutput};
use wingshore_types::ServerId;

/// More tokens than it takes for copying to pay.
const LONG: usize = 2000;

/// A sample of `tokens` tokens on an engine that has been leaving for longer than the grace time;
/// the engine that it runs on, and its attempt.
fn on_leaving_engine(tokens: usize) -> (Hand, ServerId, AttemptId) {
    let mut hand = Hand::new(|_| {});
    hand.grant(vec![granted(1, 4000, 4)]);
    let (attempt, server, _) = hand.streams()[0].clone();
    hand.chunk(attempt, 5, &vec![7; tokens]);
    let mut leaving = state(5);
    leaving.draining = true;
    hand.router.on_engine_state(hand.now, &server, &leaving);
    hand.take();
    hand.pass(Duration::from_millis(2_100));
    (hand, server, attempt)
}

fn copies(hand: &Hand) -> Vec<AttemptId> {
    let copies = hand.out.iter().filter_map(|output| match output {
        RolloutOutput::CopyCache { attempt, .. } => Some(*attempt),
        _ => None,
    });
    copies.collect()
}

#[gtest]
fn copying_pays_from_the_length_on_at_which_it_is_cheaper_than_computing() {
    let costs = CacheMoveCosts::default();
    expect_that!(
        [0, 100, 799, 801, 5000].map(|tokens| costs.favour_copying(tokens)),
        eq([false, false, false, true, true])
    );
}

#[gtest]
fn a_long_attempt_goes_on_until_its_cache_is_copied_and_is_resumed_there() {
    let (mut hand, server, attempt) = on_leaving_engine(LONG);
    expect_that!(copies(&hand), eq(&vec![attempt]));
    expect_that!(hand.cancelled(), is_empty());
    // More tokens come meanwhile; none is lost.
    hand.chunk(attempt, 5, &[8, 8]);
    hand.input(RolloutInput::CacheCopied {
        attempt,
        is_copied: true,
    });
    expect_that!(hand.cancelled(), eq(&vec![attempt]));
    let streams = hand.streams();
    expect_that!(streams.len(), eq(1));
    expect_that!(streams[0].1, not(eq(&server)));
    expect_that!(streams[0].2.resume.len(), eq(LONG + 2));
    let status = hand.runner.status();
    expect_that!(
        [status.moved, status.moved_with_cache, status.wasted_tokens],
        eq([1, 1, 0])
    );
}

#[gtest]
fn without_its_cache_an_attempt_is_resumed_all_the_same() {
    let (mut hand, server, attempt) = on_leaving_engine(LONG);
    hand.input(RolloutInput::CacheCopied {
        attempt,
        is_copied: false,
    });
    hand.pass(Duration::from_millis(300));
    let streams = hand.streams();
    expect_that!(streams.len(), eq(1));
    expect_that!(streams[0].1, not(eq(&server)));
    expect_that!(streams[0].2.resume.len(), eq(LONG));
    expect_that!(hand.runner.status().moved_with_cache, eq(0));
}

#[gtest]
fn nothing_is_resumed_on_an_engine_that_began_to_leave_while_the_cache_was_copied() {
    let (mut hand, server, attempt) = on_leaving_engine(LONG);
    let mut leaving = state(5);
    leaving.draining = true;
    for engine in ["x", "y"].map(ServerId::new) {
        hand.router.on_engine_state(hand.now, &engine, &leaving);
    }
    hand.input(RolloutInput::CacheCopied {
        attempt,
        is_copied: true,
    });
    hand.pass(Duration::from_millis(300));
    expect_that!(
        hand.streams(),
        is_empty(),
        "{server} and the other one leave"
    );
}

#[gtest]
fn a_short_attempt_is_resumed_without_its_cache() {
    let (hand, server, attempt) = on_leaving_engine(100);
    expect_that!(copies(&hand), is_empty());
    expect_that!(hand.cancelled(), eq(&vec![attempt]));
    expect_that!(hand.streams()[0].1, not(eq(&server)));
}

#[gtest]
fn an_attempt_that_ends_while_its_cache_is_copied_gives_the_other_slot_back() {
    let (mut hand, server, attempt) = on_leaving_engine(LONG);
    hand.finished(attempt, LONG as u32);
    expect_that!(hand.finishes().len(), eq(1));
    hand.input(RolloutInput::CacheCopied {
        attempt,
        is_copied: true,
    });
    expect_that!(hand.streams(), is_empty());
    for engine in ["x", "y"].map(ServerId::new) {
        let view = hand
            .router
            .server_view(hand.now, &engine)
            .expect("it is configured");
        expect_that!(view.rollouts, eq(0), "{engine}, {server} was left");
    }
}
