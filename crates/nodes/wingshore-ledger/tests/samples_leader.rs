//! Scenarios of the leader of a ledger group.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::*;
use wingshore_ledger::samples::{Faults, LedgerLeader, LedgerState, NumberLookup};
use wingshore_types::machine::ReplicatedState;
use wingshore_types::protocol::ledger::{
    Batch, LedgerCounts, LedgerRefusal, LedgerReply, LedgerRequest,
};
use wingshore_types::{Generation, Instant, LeaseId, SampleNumber, TrainerId, WeightVersion};

fn counts(group: &Ledger) -> LedgerCounts {
    group.state.pool(&pool()).expect("configured").counts()
}

fn batch(reply: Option<LedgerReply>) -> Batch {
    match reply {
        Some(LedgerReply::Batch(batch)) => *batch,
        other => panic!("expected a batch, got {other:?}"),
    }
}

fn renew(leases: &[LeaseId]) -> LedgerRequest {
    LedgerRequest::Renew {
        pool: pool(),
        leases: leases.to_vec(),
    }
}

fn return_lease(lease: LeaseId, partial: Generation) -> LedgerRequest {
    LedgerRequest::Return {
        pool: pool(),
        lease,
        partial,
    }
}

#[gtest]
fn a_sample_passes_through_every_stage() {
    let mut group = ledger(Faults::default());
    submit_and_score(&mut group, 0..3, 5);
    let delivered = batch(group.call(pull(0, 5, 3, 0)));
    expect_that!(delivered.weight_version, eq(WeightVersion(5)));
    let numbers: Vec<u64> = delivered.samples.iter().map(|s| s.number.0).collect();
    expect_that!(numbers, eq(&vec![0, 1, 2]));
    expect_that!(group.call(acknowledge(0)), some(eq(&LedgerReply::Done)));
    expect_that!(counts(&group).acknowledged, eq(3));
    let again = group.call(submit(0..4));
    expect_that!(
        again,
        some(eq(&LedgerReply::Submitted { added: 1, known: 3 }))
    );
}

#[gtest]
fn a_repeated_pull_gets_the_same_bytes_whatever_happened_in_between() {
    let mut group = ledger(Faults::default());
    submit_and_score(&mut group, 0..8, 5);
    let first = postcard::to_stdvec(&batch(group.call(pull(0, 5, 3, 0)))).unwrap();
    let length = group.log.len();
    for version in [5, 4, 9] {
        group.change_leader(LedgerLeader::default(), Instant::from_millis(3));
        group.restore();
        let again = batch(group.call(pull(0, version, 3, 0)));
        expect_that!(postcard::to_stdvec(&again).unwrap(), eq(&first));
    }
    expect_that!(group.log.len(), eq(length));
}

#[gtest]
fn invalid_pulls_and_acknowledgements_are_refused() {
    let mut group = ledger(Faults::default());
    submit_and_score(&mut group, 0..12, 5);
    group.call(pull(3, 5, 2, 0));
    group.call(pull(4, 5, 2, 0));
    for (name, request) in [
        ("other count", pull(3, 5, 1, 0)),
        ("third open step", pull(5, 5, 2, 0)),
        ("gap", pull(6, 5, 2, 0)),
        ("older than the first", pull(2, 5, 2, 0)),
        ("acknowledged out of order", acknowledge(4)),
        ("never pulled", acknowledge(9)),
    ] {
        let reply = group.call(request);
        expect_that!(
            reply,
            some(matches_pattern!(LedgerReply::Refused(matches_pattern!(
                LedgerRefusal::WrongStep { .. }
            )))),
            "{name}"
        );
    }
    group.call(acknowledge(3));
    expect_that!(group.call(acknowledge(3)), some(eq(&LedgerReply::Done)));
    let acknowledged = group.call(pull(3, 5, 2, 0));
    expect_that!(
        acknowledged,
        some(matches_pattern!(LedgerReply::Refused(matches_pattern!(
            LedgerRefusal::WrongStep { .. }
        ))))
    );
    let mut other_trainer = pull_request(5, 5, 2, 0);
    other_trainer.trainer = TrainerId::new("other");
    let reply = group.call(LedgerRequest::Pull {
        pool: pool(),
        pull: other_trainer,
    });
    expect_that!(
        reply,
        some(matches_pattern!(LedgerReply::Refused(matches_pattern!(
            LedgerRefusal::WrongTrainer { .. }
        ))))
    );
}

#[gtest]
fn a_pull_waits_without_filling_the_log() {
    let mut group = ledger(Faults::default());
    submit_and_score(&mut group, 0..2, 5);
    group.call(pull(0, 5, 2, 0));
    group.call(acknowledge(0));
    let length = group.log.len();
    let waiting = group.request(pull(1, 5, 2, 3_000));
    group.advance_time(Duration::from_millis(2_900));
    expect_that!(group.replies.contains_key(&waiting), eq(false));
    expect_that!(group.log.len(), eq(length));
    group.advance_time(Duration::from_millis(200));
    expect_that!(
        group.replies.remove(&waiting),
        some(matches_pattern!(LedgerReply::Refused(matches_pattern!(
            LedgerRefusal::NotReady { .. }
        ))))
    );
    let waiting = group.request(pull(1, 5, 2, 3_000));
    submit_and_score(&mut group, 10..12, 5);
    let delivered = batch(group.replies.remove(&waiting));
    expect_that!(delivered.samples.len(), eq(2));
}

#[gtest]
fn samples_that_are_too_old_are_generated_again() {
    let mut group = ledger(Faults::default());
    submit_and_score(&mut group, 0..2, 5);
    submit_and_score(&mut group, 2..4, 6);
    let waiting = group.request(pull(0, 8, 3, 60_000));
    group.commit_all();
    expect_that!(counts(&group).regenerated, eq(2));
    expect_that!(counts(&group).pending, eq(2));
    expect_that!(counts(&group).scored, eq(2));
    let granted = lease_samples(&mut group, "node", 1, 1).remove(0);
    expect_that!(granted.oldest_useful, eq(WeightVersion(6)));
    let too_old = group.call(finish(granted.prompt.number.0, granted.lease, &[7, 5]));
    expect_that!(too_old, some(eq(&LedgerReply::First(false))));
    submit_and_score(&mut group, [], 8);
    let delivered = batch(group.replies.remove(&waiting));
    let oldest = delivered
        .samples
        .iter()
        .filter_map(|sample| sample.generation.oldest_version())
        .min();
    expect_that!(oldest, some(ge(WeightVersion(6))));
}

#[gtest]
fn the_first_finish_wins_also_from_a_lost_lease() {
    let mut group = ledger(Faults::default());
    group.call(submit([1]));
    let first = lease_samples(&mut group, "a", 1, 1).remove(0).lease;
    group.advance_time(Duration::from_millis(LEASE_MS + 200));
    let second = lease_samples(&mut group, "b", 1, 1).remove(0).lease;
    let won = group.call(finish(1, first, &[5]));
    expect_that!(won, some(eq(&LedgerReply::First(true))));
    expect_that!(
        group.call(renew(&[second])),
        some(eq(&LedgerReply::Lost(vec![second])))
    );
    let late = group.call(finish(1, second, &[6]));
    expect_that!(late, some(eq(&LedgerReply::First(false))));
    expect_that!(counts(&group).duplicates_dropped, eq(1));
    let other_score = group.call(score(1, second));
    expect_that!(other_score, some(eq(&LedgerReply::First(false))));
    group.call(score(1, first));
    let delivered = batch(group.call(pull(0, 5, 1, 0)));
    expect_that!(delivered.samples[0].generation, eq(&generation(&[5])));
    group.call(acknowledge(0));
    let last = group.call(finish(1, second, &[6]));
    expect_that!(last, some(eq(&LedgerReply::First(false))));
    expect_that!(counts(&group).duplicates_dropped, eq(2));
}

#[gtest]
fn malformed_generations_are_refused() {
    let mut group = ledger(Faults::default());
    group.call(submit([1, 2]));
    let granted = lease_samples(&mut group, "a", 1, 2);
    let mut gap = generation(&[5, 6]);
    gap.segments.pop();
    let too_long = generation(&[5; MAX_TOKENS as usize + 1]);
    for (name, sample, lease, generation) in [
        ("gap", 1, granted[0].lease, gap),
        ("too long", 1, granted[0].lease, too_long),
        ("empty", 1, granted[0].lease, Generation::default()),
        ("lease never granted", 1, LeaseId(99), generation(&[5])),
        ("other's lease", 1, granted[1].lease, generation(&[5])),
        ("unknown sample", 9, granted[0].lease, generation(&[5])),
    ] {
        let reply = group.call(LedgerRequest::Finish {
            pool: pool(),
            sample: SampleNumber(sample),
            lease,
            generation,
        });
        expect_that!(
            reply,
            some(matches_pattern!(LedgerReply::Refused(matches_pattern!(
                LedgerRefusal::Invalid { .. }
            )))),
            "{name}"
        );
    }
}

#[gtest]
fn a_new_leader_gives_every_lease_its_full_duration() {
    let cases = [("clock far ahead", 9_000_000), ("clock behind", 5)];
    for (name, origin) in cases {
        let mut group = ledger(Faults::default());
        group.call(submit([1]));
        let lease = lease_samples(&mut group, "a", 1, 1).remove(0).lease;
        group.advance_time(Duration::from_millis(LEASE_MS - 500));
        group.change_leader(LedgerLeader::default(), Instant::from_millis(origin));
        group.advance_time(Duration::from_millis(LEASE_MS - 500));
        expect_that!(counts(&group).leased, eq(1), "{name}");
        let renewed = group.call(renew(&[lease]));
        expect_that!(renewed, some(eq(&LedgerReply::Lost(vec![]))), "{name}");
        group.advance_time(Duration::from_millis(LEASE_MS + 200));
        expect_that!(counts(&group).leased, eq(0), "{name}");
        expect_that!(
            group.call(renew(&[lease])),
            some(eq(&LedgerReply::Lost(vec![lease]))),
            "{name}"
        );
    }
}

#[gtest]
fn renewals_add_no_log_entry() {
    let mut group = ledger(Faults::default());
    group.call(submit([1]));
    let lease = lease_samples(&mut group, "a", 1, 1).remove(0).lease;
    let length = group.log.len();
    for _ in 0..20 {
        group.advance_time(Duration::from_millis(LEASE_MS / 3));
        group.call(renew(&[lease]));
    }
    expect_that!(group.log.len(), eq(length));
    expect_that!(counts(&group).leased, eq(1));
}

#[gtest]
fn another_boot_of_a_node_ends_its_leases_and_no_others() {
    let mut group = ledger(Faults::default());
    group.call(submit(0..4));
    let old = lease_samples(&mut group, "a", 1, 1).remove(0).lease;
    let other = lease_samples(&mut group, "b", 1, 1).remove(0).lease;
    let next: Vec<u64> = lease_samples(&mut group, "a", 2, 1)
        .iter()
        .map(|granted| granted.prompt.number.0)
        .collect();
    expect_that!(next, eq(&vec![0]));
    let lost = group.call(renew(&[old, other]));
    expect_that!(lost, some(eq(&LedgerReply::Lost(vec![old]))));
}

#[gtest]
fn partial_generations_are_kept_while_they_are_useful() {
    let mut group = ledger(Faults::default());
    group.call(submit([1]));
    let first = lease_samples(&mut group, "a", 1, 1).remove(0).lease;
    group.call(return_lease(first, generation(&[5, 6])));
    let second = lease_samples(&mut group, "b", 1, 1).remove(0);
    expect_that!(second.partial, eq(&generation(&[5, 6])));
    group.call(return_lease(second.lease, Generation::default()));
    let third = lease_samples(&mut group, "c", 1, 1).remove(0);
    expect_that!(third.partial, eq(&generation(&[5, 6])));
    group.request(pull(0, 8, 1, 0));
    group.commit_all();
    group.call(return_lease(third.lease, generation(&[5, 6, 7])));
    let fourth = lease_samples(&mut group, "d", 1, 1).remove(0);
    expect_that!(fourth.partial, eq(&Generation::default()));
}

#[gtest]
fn submissions_are_refused_when_too_many_samples_are_open() {
    let mut group = ledger(Faults::default());
    let most = u64::from(MAX_OPEN);
    group.call(submit(0..most));
    let length = group.log.len();
    let full = group.call(submit([0, most]));
    expect_that!(
        full,
        some(matches_pattern!(LedgerReply::Refused(matches_pattern!(
            LedgerRefusal::Full {
                retry_after_ms: gt(&0)
            }
        ))))
    );
    let known = group.call(submit([0, 1]));
    expect_that!(
        known,
        some(eq(&LedgerReply::Submitted { added: 0, known: 2 }))
    );
    expect_that!(group.log.len(), eq(length));
    submit_and_score(&mut group, [], 5);
    group.call(pull(0, 5, 1, 0));
    group.call(acknowledge(0));
    let room = group.call(submit([most]));
    expect_that!(
        room,
        some(eq(&LedgerReply::Submitted { added: 1, known: 0 }))
    );
}

#[gtest]
fn concurrent_operations_share_log_entries() {
    let mut group = ledger(Faults::default());
    group.call(submit(0..60));
    let granted = lease_samples(&mut group, "a", 1, 60);
    let length = group.log.len();
    let tags: Vec<_> = granted
        .iter()
        .map(|granted| group.request(finish(granted.prompt.number.0, granted.lease, &[5])))
        .collect();
    group.commit_all();
    expect_that!(group.log.len() - length, le(5));
    let first = |tag| group.replies.get(tag) == Some(&LedgerReply::First(true));
    expect_that!(tags.iter().filter(|tag| first(tag)).count(), eq(60));
}

#[gtest]
fn a_finished_sample_is_offered_to_one_scorer_at_a_time() {
    let mut group = ledger(Faults::default());
    group.call(submit([1]));
    let lease = lease_samples(&mut group, "a", 1, 1).remove(0).lease;
    group.call(finish(1, lease, &[5]));
    let offered = |group: &mut Ledger| {
        let request = LedgerRequest::Unscored {
            pool: pool(),
            most: 8,
        };
        match group.call(request) {
            Some(LedgerReply::Unscored(samples)) => samples.len(),
            other => panic!("expected samples, got {other:?}"),
        }
    };
    for seconds in [2, 4, 8] {
        expect_that!(offered(&mut group), eq(1));
        group.advance_time(Duration::from_millis(seconds * 1_000 - 100));
        expect_that!(offered(&mut group), eq(0));
        group.advance_time(Duration::from_millis(200));
    }
    group.call(score(1, lease));
    group.advance_time(Duration::from_secs(60));
    expect_that!(offered(&mut group), eq(0));
}

#[gtest]
fn unknown_pools_and_damaged_snapshots_are_refused() {
    let mut group = ledger(Faults::default());
    let reply = group.call(LedgerRequest::Counts {
        pool: "other".into(),
    });
    expect_that!(
        reply,
        some(eq(&LedgerReply::Refused(LedgerRefusal::UnknownPool)))
    );
    let snapshot = group.state.snapshot();
    for length in 0..snapshot.len() {
        expect_that!(LedgerState::restore(&snapshot[..length]), err(anything()));
    }
}

#[gtest]
fn a_batch_beyond_the_limit_is_refused_and_a_smaller_one_is_not() {
    const TOKENS: usize = 1 << 20;
    /// One sample takes 5 MiB, and a batch may take 128 MiB.
    const TOO_MANY: u32 = 26;
    let mut group = ledger(Faults::default());
    let prompts = (0..u64::from(TOO_MANY)).map(|number| {
        let mut prompt = prompt(number);
        prompt.max_tokens = TOKENS as u32;
        prompt
    });
    group.call(LedgerRequest::Submit {
        pool: pool(),
        prompts: prompts.collect(),
    });
    for granted in lease_samples(&mut group, "a", 1, TOO_MANY) {
        let mut generation = Generation::default();
        generation.append(WeightVersion(5), &vec![u32::MAX; TOKENS]);
        let number = granted.prompt.number;
        group.call(LedgerRequest::Finish {
            pool: pool(),
            sample: number,
            lease: granted.lease,
            generation,
        });
        group.call(score(number.0, granted.lease));
        group.log.clear();
    }
    let refused = group.call(pull(0, 5, TOO_MANY, 60_000));
    expect_that!(
        refused,
        some(matches_pattern!(LedgerReply::Refused(matches_pattern!(
            LedgerRefusal::Invalid { .. }
        ))))
    );
    let smaller = batch(group.call(pull(0, 5, TOO_MANY - 1, 0)));
    expect_that!(smaller.total, eq(TOO_MANY - 1));
}

#[gtest]
fn numbers_are_stored_as_ranges() {
    let mut numbers = wingshore_ledger::samples::NumberSet::default();
    for number in (0..1_000).rev().chain([u64::MAX]) {
        numbers.insert(number);
    }
    expect_that!(numbers.ranges(), eq(2));
    expect_that!(numbers.lookup(999), eq(NumberLookup::Present));
    expect_that!(numbers.lookup(1_000), eq(NumberLookup::Absent));
    let most = wingshore_ledger::samples::NumberSet::MAX_RANGES as u64;
    for number in 0..most {
        numbers.insert(2_000 + 2 * number);
    }
    expect_that!(numbers.ranges() as u64, eq(most));
    expect_that!(numbers.lookup(5), eq(NumberLookup::Forgotten));
}

/// More operations than may be queued and in flight together.
const TOO_MANY: u64 = 70_000;

#[gtest]
fn leases_that_expire_while_the_queue_is_full_end_later() {
    let mut group = ledger(Faults::default());
    group.call(submit(0..2));
    lease_samples(&mut group, "node", 1, 2);
    let mut refused = 0;
    for number in 2..TOO_MANY {
        let tag = group.request(submit([number]));
        refused += usize::from(group.replies.contains_key(&tag));
    }
    expect_that!(refused, gt(0));
    // The leases expire by the next tick, before any queued operation is committed.
    group.now = group.now + Duration::from_millis(LEASE_MS);
    group.advance_time(Duration::from_secs(1));
    expect_that!(counts(&group).leased, eq(0));
}
