//! Encodings of requests to ledger groups and their replies, and the JSON that trainers read.

mod golden;

use golden::examples::pool_id;
use golden::{check, check_json};
use googletest::prelude::*;
use wingshore_types::configuration::Permille;
use wingshore_types::protocol::ledger::{
    Batch, LedgerCounts, LedgerRefusal, LedgerReply, LedgerRequest, PullRequest, SampleLease,
    UnscoredSample,
};
use wingshore_types::{
    Generation, LeaseId, NodeId, Prompt, Revision, Sample, SampleNumber, StepId, TrainerId,
    WeightVersion,
};

fn prompt() -> Prompt {
    Prompt {
        number: SampleNumber(1000),
        tokens: vec![1, 2, 70_000],
        max_tokens: 512,
        seed: 42,
    }
}

fn generation() -> Generation {
    let mut generation = Generation::default();
    generation.append(WeightVersion(130), &[5, 6]);
    generation.append(WeightVersion(131), &[7]);
    generation
}

fn ledger_requests() -> Vec<LedgerRequest> {
    let (pool, trainer) = (pool_id(), TrainerId::new("trainer-1"));
    let (sample, lease, step) = (SampleNumber(1000), LeaseId(77), StepId(5));
    vec![
        LedgerRequest::Configure {
            pool: pool.clone(),
            revision: Revision(300),
            staleness_bound: 2,
            max_open_samples: 4000,
            sample_lease_ms: 20_000,
            idle_weight: Permille(500),
            trainer: trainer.clone(),
        },
        LedgerRequest::Submit {
            pool: pool.clone(),
            prompts: vec![prompt()],
        },
        LedgerRequest::Lease {
            pool: pool.clone(),
            node: NodeId::new("node-1"),
            boot_id: 0x0123_4567_89ab_cdef,
            most: 16,
        },
        LedgerRequest::Renew {
            pool: pool.clone(),
            leases: vec![lease],
        },
        LedgerRequest::Return {
            pool: pool.clone(),
            lease,
            partial: generation(),
        },
        LedgerRequest::Finish {
            pool: pool.clone(),
            sample,
            lease,
            generation: generation(),
        },
        LedgerRequest::Unscored {
            pool: pool.clone(),
            most: 16,
        },
        LedgerRequest::Score {
            pool: pool.clone(),
            sample,
            lease,
            score: 0.5,
        },
        LedgerRequest::Pull {
            pool: pool.clone(),
            pull: PullRequest {
                trainer: trainer.clone(),
                step,
                weight_version: WeightVersion(131),
                count: 32,
                wait_ms: 5000,
            },
        },
        LedgerRequest::BatchPart {
            pool: pool.clone(),
            trainer: trainer.clone(),
            step,
            from: 16,
        },
        LedgerRequest::Acknowledge {
            pool: pool.clone(),
            trainer,
            step,
        },
        LedgerRequest::Counts { pool },
    ]
}

fn name_of_ledger_request(request: &LedgerRequest) -> &'static str {
    match request {
        LedgerRequest::Configure { .. } => "configure",
        LedgerRequest::Submit { .. } => "submit",
        LedgerRequest::Lease { .. } => "lease",
        LedgerRequest::Renew { .. } => "renew",
        LedgerRequest::Return { .. } => "return",
        LedgerRequest::Finish { .. } => "finish",
        LedgerRequest::Unscored { .. } => "unscored",
        LedgerRequest::Score { .. } => "score",
        LedgerRequest::Pull { .. } => "pull",
        LedgerRequest::BatchPart { .. } => "batch_part",
        LedgerRequest::Acknowledge { .. } => "acknowledge",
        LedgerRequest::Counts { .. } => "counts",
    }
}

fn ledger_counts() -> LedgerCounts {
    LedgerCounts {
        pending: 1,
        leased: 2,
        finished: 3,
        scored: 4,
        handed_over: 5,
        acknowledged: 600,
        duplicates_dropped: 7,
        regenerated: 8,
    }
}

fn ledger_replies() -> Vec<LedgerReply> {
    vec![
        LedgerReply::Done,
        LedgerReply::Submitted { added: 3, known: 4 },
        LedgerReply::Leases(vec![SampleLease {
            lease: LeaseId(77),
            prompt: prompt(),
            partial: generation(),
            oldest_useful: WeightVersion(129),
            duration_ms: 20_000,
        }]),
        LedgerReply::Lost(vec![LeaseId(77)]),
        LedgerReply::First(true),
        LedgerReply::Unscored(vec![UnscoredSample {
            number: SampleNumber(1000),
            lease: LeaseId(77),
            prompt: vec![1, 2],
            tokens: vec![5, 6],
        }]),
        LedgerReply::Batch(Box::new(Batch {
            step: StepId(5),
            weight_version: WeightVersion(131),
            total: 32,
            samples: vec![Sample {
                number: SampleNumber(1000),
                prompt: vec![1, 2],
                generation: generation(),
                score: 0.5,
            }],
        })),
        LedgerReply::Counts(ledger_counts()),
        LedgerReply::Refused(LedgerRefusal::UnknownPool),
    ]
}

fn name_of_ledger_reply(reply: &LedgerReply) -> &'static str {
    match reply {
        LedgerReply::Done => "done",
        LedgerReply::Submitted { .. } => "submitted",
        LedgerReply::Leases(_) => "leases",
        LedgerReply::Lost(_) => "lost",
        LedgerReply::First(_) => "first",
        LedgerReply::Unscored(_) => "unscored",
        LedgerReply::Batch(_) => "batch",
        LedgerReply::Counts(_) => "counts",
        LedgerReply::Refused(_) => "refused",
    }
}

#[gtest]
fn ledger_encodings_are_stable() {
    let golden = include_str!("golden/ledger_requests.txt");
    check(golden, &ledger_requests(), name_of_ledger_request);
    let golden = include_str!("golden/ledger_replies.txt");
    check(golden, &ledger_replies(), name_of_ledger_reply);
    let golden = include_str!("golden/ledger_counts.json.txt");
    check_json(golden, &[ledger_counts()], |_| "counts");
}

fn ledger_refusals() -> Vec<LedgerRefusal> {
    vec![
        LedgerRefusal::UnknownPool,
        LedgerRefusal::Full {
            retry_after_ms: 1000,
        },
        LedgerRefusal::NotReady {
            ready: 16,
            retry_after_ms: 1000,
        },
        LedgerRefusal::WrongStep {
            message: "the reason".to_owned(),
        },
        LedgerRefusal::WrongTrainer {
            expected: TrainerId::new("trainer-1"),
        },
        LedgerRefusal::Invalid {
            message: "the reason".to_owned(),
        },
    ]
}

fn name_of_ledger_refusal(refusal: &LedgerRefusal) -> &'static str {
    match refusal {
        LedgerRefusal::UnknownPool => "unknown_pool",
        LedgerRefusal::Full { .. } => "full",
        LedgerRefusal::NotReady { .. } => "not_ready",
        LedgerRefusal::WrongStep { .. } => "wrong_step",
        LedgerRefusal::WrongTrainer { .. } => "wrong_trainer",
        LedgerRefusal::Invalid { .. } => "invalid",
    }
}

#[gtest]
fn ledger_refusal_encodings_and_json_are_stable() {
    let golden = include_str!("golden/ledger_refusals.txt");
    check(golden, &ledger_refusals(), name_of_ledger_refusal);
    let golden = include_str!("golden/ledger_refusals.json.txt");
    check_json(golden, &ledger_refusals(), name_of_ledger_refusal);
}
