//! Hollow trainers: samples through the ledger groups as trainers and nodes send them, with
//! tokens drawn at random and no engine, scorer or training.

use super::error::{ControlSnafu, HollowError, ThreadSnafu};
use super::sizes::{SITE, Sizes};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use wingshore_client::GroupClient;
use wingshore_types::protocol::ledger::{LedgerReply, LedgerRequest, PullRequest};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{
    Generation, GroupId, NodeId, PoolId, Prompt, Revision, SampleNumber, StepId, Token, TrainerId,
    WeightVersion,
};

/// Samples of one step.
const STEP: u64 = 64;
/// Steps that are submitted before the first one is pulled.
const STEPS_AHEAD: u64 = 2;
/// Threads of one trainer that stand for the nodes that generate and score.
const LANES: u64 = 4;
/// Samples that a lane leases, or asks for to score, at once.
const LEASED_AT_ONCE: u32 = 16;
/// Tokens of a prompt.
const PROMPT_TOKENS: usize = 128;
/// Size of the vocabulary: most tokens then take three bytes.
const VOCABULARY: Token = 128_000;
/// Longest time for one request.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause of a lane that found nothing to do.
const IDLE_PAUSE: Duration = Duration::from_millis(10);

/// How much the trainers do.
#[derive(Clone, Copy, Debug)]
pub struct TrainerLoad {
    /// Trainers, one a pool.
    pub trainers: usize,
    /// Samples of all in a second.
    pub samples_per_second: f64,
    /// Generated tokens of a sample.
    pub tokens: usize,
    /// Ledger groups of the site.
    pub ledgers: usize,
}

/// What all trainers share.
#[derive(Debug, Default)]
struct Shared {
    acknowledged: AtomicU64,
    failed: AtomicU64,
    stop: AtomicBool,
}

/// Hollow trainers that run. Dropping it ends them.
pub struct Trainers {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Trainers {
    /// Starts them.
    ///
    /// # Errors
    /// When a ledger group does not answer, or a thread cannot be started.
    pub fn start(load: TrainerLoad, replicas: &[SocketAddr]) -> Result<Self, HollowError> {
        let mut trainers = Self {
            shared: Arc::default(),
            threads: Vec::new(),
        };
        for number in 0..load.trainers {
            let trainer = Trainer::new(number, load, replicas);
            trainer.configure()?;
            for lane in 0..LANES {
                let trainer = trainer.clone();
                trainers.spawn(move |shared| trainer.run_lane(lane, shared))?;
            }
            trainers.spawn(move |shared| trainer.run_steps(shared))?;
        }
        Ok(trainers)
    }

    /// Samples that were acknowledged so far.
    pub fn acknowledged(&self) -> u64 {
        self.shared.acknowledged.load(Ordering::Relaxed)
    }

    /// Requests that were not answered as they should.
    pub fn failed(&self) -> u64 {
        self.shared.failed.load(Ordering::Relaxed)
    }

    fn spawn(&mut self, work: impl FnOnce(&Shared) + Send + 'static) -> Result<(), HollowError> {
        let shared = Arc::clone(&self.shared);
        let thread = thread::Builder::new()
            .name("hollow-trainer".to_owned())
            .spawn(move || work(&shared))
            .context(ThreadSnafu)?;
        self.threads.push(thread);
        Ok(())
    }
}

impl Drop for Trainers {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A thread that panicked has said so itself.
            let _ended = thread.join();
        }
    }
}

/// One trainer and the nodes that work for it.
#[derive(Clone)]
struct Trainer {
    client: GroupClient,
    group: GroupId,
    pool: PoolId,
    name: TrainerId,
    number: usize,
    tokens: usize,
    /// Between two steps.
    interval: Duration,
}

impl Trainer {
    fn new(number: usize, load: TrainerLoad, replicas: &[SocketAddr]) -> Self {
        let per_trainer = load.samples_per_second / load.trainers as f64;
        Self {
            client: GroupClient::new(SITE, replicas.to_vec(), number as u64),
            group: GroupId::Ledger(1 + (number % load.ledgers) as u16),
            pool: Sizes::pool(number),
            name: TrainerId::new(&format!("trainer-{}", number + 1)),
            number,
            tokens: load.tokens,
            interval: Duration::from_secs_f64(STEP as f64 / per_trainer),
        }
    }

    fn configure(&self) -> Result<(), HollowError> {
        let request = LedgerRequest::Configure {
            pool: self.pool.clone(),
            revision: Revision(1),
            staleness_bound: 4,
            max_open_samples: 100_000,
            sample_lease_ms: 10_000,
            idle_weight: wingshore_types::configuration::Permille::WHOLE,
            trainer: self.name.clone(),
        };
        match self.call(request) {
            Some(LedgerReply::Done) => Ok(()),
            other => {
                let wanted = "take a pool into its ledger";
                let answer = format!("{other:?}");
                ControlSnafu { wanted, answer }.fail()
            }
        }
    }

    /// Submits steps at the wanted pace, pulls each and acknowledges it.
    fn run_steps(&self, shared: &Shared) {
        let began = Instant::now();
        let mut step = 0;
        while !shared.stop.load(Ordering::Relaxed) {
            let due = self.interval.mul_f64(step as f64);
            thread::sleep(due.saturating_sub(began.elapsed()));
            self.submit(step, shared);
            if step >= STEPS_AHEAD {
                self.take_step(step - STEPS_AHEAD, shared);
            }
            step += 1;
        }
    }

    fn submit(&self, step: u64, shared: &Shared) {
        let prompts = (0..STEP).map(|sample| Prompt {
            number: SampleNumber(step * STEP + sample),
            tokens: tokens(step * STEP + sample, PROMPT_TOKENS),
            max_tokens: self.tokens as u32,
            seed: sample,
        });
        let request = LedgerRequest::Submit {
            pool: self.pool.clone(),
            prompts: prompts.collect(),
        };
        let submitted = matches!(self.call(request), Some(LedgerReply::Submitted { .. }));
        shared.count_failure(!submitted);
    }

    fn take_step(&self, step: u64, shared: &Shared) {
        while !shared.stop.load(Ordering::Relaxed) {
            let pull = LedgerRequest::Pull {
                pool: self.pool.clone(),
                pull: PullRequest {
                    trainer: self.name.clone(),
                    step: StepId(step),
                    weight_version: WeightVersion(1),
                    count: STEP as u32,
                    wait_ms: 1000,
                },
            };
            if matches!(self.call(pull), Some(LedgerReply::Batch(_))) {
                break;
            }
        }
        let acknowledge = LedgerRequest::Acknowledge {
            pool: self.pool.clone(),
            trainer: self.name.clone(),
            step: StepId(step),
        };
        let done = matches!(self.call(acknowledge), Some(LedgerReply::Done));
        shared.count_failure(!done);
        if done {
            shared.acknowledged.fetch_add(STEP, Ordering::Relaxed);
        }
    }

    /// Generates and scores what there is.
    fn run_lane(&self, lane: u64, shared: &Shared) {
        let node = Sizes::node(self.number * LANES as usize + lane as usize);
        while !shared.stop.load(Ordering::Relaxed) {
            let generated = self.generate(&node, shared);
            let scored = self.score(shared);
            if generated + scored == 0 {
                thread::sleep(IDLE_PAUSE);
            }
        }
    }

    fn generate(&self, node: &NodeId, shared: &Shared) -> usize {
        let request = LedgerRequest::Lease {
            pool: self.pool.clone(),
            node: node.clone(),
            boot_id: 1,
            most: LEASED_AT_ONCE,
        };
        let Some(LedgerReply::Leases(leases)) = self.call(request) else {
            shared.count_failure(true);
            return 0;
        };
        for lease in &leases {
            let mut generation = Generation::default();
            let number = lease.prompt.number;
            generation.append(WeightVersion(1), &tokens(number.0, self.tokens));
            let finish = LedgerRequest::Finish {
                pool: self.pool.clone(),
                sample: number,
                lease: lease.lease,
                generation,
            };
            let first = matches!(self.call(finish), Some(LedgerReply::First(_)));
            shared.count_failure(!first);
        }
        leases.len()
    }

    fn score(&self, shared: &Shared) -> usize {
        let request = LedgerRequest::Unscored {
            pool: self.pool.clone(),
            most: LEASED_AT_ONCE,
        };
        let Some(LedgerReply::Unscored(samples)) = self.call(request) else {
            shared.count_failure(true);
            return 0;
        };
        for sample in &samples {
            let score = LedgerRequest::Score {
                pool: self.pool.clone(),
                sample: sample.number,
                lease: sample.lease,
                score: 1.0,
            };
            let first = matches!(self.call(score), Some(LedgerReply::First(_)));
            shared.count_failure(!first);
        }
        samples.len()
    }

    fn call(&self, request: LedgerRequest) -> Option<LedgerReply> {
        let body = GroupRequest::Ledger(request);
        match self.client.call(self.group, body, CALL_TIMEOUT) {
            Ok(GroupReply::Ledger(reply)) => Some(reply),
            _ => None,
        }
    }
}

impl Shared {
    fn count_failure(&self, failed: bool) {
        self.failed.fetch_add(u64::from(failed), Ordering::Relaxed);
    }
}

fn tokens(seed: u64, count: usize) -> Vec<Token> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    (0..count)
        .map(|_| random.random_range(0..VOCABULARY))
        .collect()
}
