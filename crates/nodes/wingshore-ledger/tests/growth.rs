//! The size of the state and of the leader's memory must not grow with the work that was done.

mod support;

use googletest::prelude::*;
use std::time::Duration;
use support::{
    Group, Ledger, acknowledge, configure, finish, lease_samples, ledger, pull, score, submit,
};
use wingshore_ledger::claims::{ClaimsLeader, ClaimsState, RETENTION};
use wingshore_ledger::samples::{Faults, NumberSet};
use wingshore_types::NodeId;
use wingshore_types::machine::ReplicatedState;
use wingshore_types::protocol::claims::{
    ClaimKey, ClaimOutcome, Claimant, ClaimsRequest, StoredAnswer,
};
use wingshore_types::protocol::ledger::LedgerReply;

const SAMPLES: u64 = 32;
/// Allowed growth in bytes: larger numbers take more bytes or digits, nothing else may grow.
const SIZE_TOLERANCE_BYTES: usize = 200;
/// Maximum size of a stored range in bytes: two variable-length numbers.
const RANGE_BYTES: usize = 20;

/// Returns the sizes of the replicated state and of the leader's memory.
fn sizes(group: &Ledger) -> (usize, usize) {
    let memory = format!("{:?}", group.leader).len();
    (group.state.snapshot().len(), memory)
}

/// Runs one step: two new nodes lease its samples and let the leases expire, then a third node
/// leases all of them.
fn run_step(group: &mut Ledger, step: u64, stride: u64) {
    let first = step * SAMPLES * stride;
    let numbers = (0..SAMPLES).map(|place| first + place * stride);
    group.call(submit(numbers));
    let first_leases = lease_samples(group, &format!("lost-{step}"), step, SAMPLES as u32 / 2);
    let mut other_leases = lease_samples(group, &format!("kept-{step}"), step, SAMPLES as u32);
    group.advance_time(Duration::from_secs(30));
    let again = format!("again-{step}");
    other_leases.extend(lease_samples(group, &again, step, SAMPLES as u32));
    for lease in first_leases.iter().chain(&other_leases) {
        // The first finish of a sample is accepted under any of its leases; later ones are
        // duplicates.
        group.call(finish(lease.prompt.number.0, lease.lease, &[step]));
    }
    for lease in &other_leases {
        group.call(score(lease.prompt.number.0, lease.lease));
        group.call(score(lease.prompt.number.0, lease.lease));
    }
    for lease in &first_leases {
        group.call(score(lease.prompt.number.0, lease.lease));
    }
    let pulled = group.call(pull(step, step, SAMPLES as u32, 0));
    assert!(matches!(pulled, Some(LedgerReply::Batch(_))), "{pulled:?}");
    group.call(acknowledge(step));
}

#[gtest]
fn ledger_size_is_independent_of_the_number_of_steps() -> Result<()> {
    let mut group = ledger(Faults::default());
    group.call(configure(1, 1_000_000, 1_000));
    (0..20).for_each(|number| run_step(&mut group, number, 1));
    let early = sizes(&group);
    (20..300).for_each(|number| run_step(&mut group, number, 1));
    let late = sizes(&group);
    println!("snapshot and memory after 20 and 300 steps: {early:?}, {late:?}");
    verify_that!(late.0, le(early.0 + SIZE_TOLERANCE_BYTES))?;
    verify_that!(late.1, le(early.1 + SIZE_TOLERANCE_BYTES))
}

/// Numbers with gaps between them are stored as one range each, up to a bound.
#[gtest]
fn scattered_numbers_take_bounded_space() -> Result<()> {
    let mut group = ledger(Faults::default());
    group.call(configure(1, 1_000_000, 1_000));
    let steps = NumberSet::MAX_RANGES as u64 / SAMPLES + 100;
    (0..steps).for_each(|number| run_step(&mut group, number, 3));
    let bound = NumberSet::MAX_RANGES * RANGE_BYTES + 1_000;
    verify_that!(group.state.snapshot().len(), le(bound))
}

type Claims = Group<ClaimsLeader>;

/// Runs an hour of claims: a third each is answered, left open, and settled as not run.
fn run_hour_of_claims(group: &mut Claims, hour: u64) {
    for number in 0..60 {
        let key = ClaimKey {
            service: "service".to_owned(),
            key: format!("{hour:05}-{number}"),
        };
        let claimant = Claimant {
            node: NodeId::new(&format!("node-{hour:05}")),
            boot_id: hour,
            attempt: number,
        };
        group.call(ClaimsRequest::Claim {
            key: key.clone(),
            fingerprint: number,
            claimant: claimant.clone(),
        });
        let outcome = match number % 3 {
            0 => continue,
            1 => ClaimOutcome::NotRun,
            _ => ClaimOutcome::Answered(Some(StoredAnswer {
                status: 200,
                content_type: "text/plain".to_owned(),
                body: vec![7; 100],
            })),
        };
        group.call(ClaimsRequest::Settle {
            key,
            claimant,
            outcome,
        });
    }
    group.advance_time(Duration::from_secs(3_600));
}

#[gtest]
fn claims_are_removed_after_their_retention() -> Result<()> {
    let mut group: Claims = Group::new(ClaimsState::default(), ClaimsLeader::default());
    let retention = RETENTION.as_secs() / 3_600;
    (0..retention + 2).for_each(|hour| run_hour_of_claims(&mut group, hour));
    let early = (
        group.state.snapshot().len(),
        format!("{:?}", group.leader).len(),
    );
    (retention + 2..3 * retention).for_each(|hour| run_hour_of_claims(&mut group, hour));
    let late = (
        group.state.snapshot().len(),
        format!("{:?}", group.leader).len(),
    );
    println!("snapshot and memory after 26 and 72 hours: {early:?}, {late:?}");
    // The last change of a claim may fall into one hour or the next.
    verify_that!(late.0, le(early.0 + early.0 / retention as usize))?;
    verify_that!(late.1, le(early.1 + SIZE_TOLERANCE_BYTES))
}
