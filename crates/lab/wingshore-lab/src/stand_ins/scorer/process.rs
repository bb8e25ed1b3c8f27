//! A scoring service as a process: slow at times, failing at times.

use super::ScorerSettings;
use crate::events::Event;
use crate::process::{Answer, Call, Message, Process, ProcessFault, ProcessInput, ProcessOutput};
use crate::wiring::{InboundCall, Start, Timers, failed, not_run, record};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use wingshore_types::Instant;
use wingshore_types::generator::hash_tokens;
use wingshore_types::platform::{ScoreReply, ScoreRequest};

/// A score under way.
struct UnderWay {
    caller: InboundCall,
    request: ScoreRequest,
    succeeds: bool,
}

/// The process.
pub struct ScorerProcess {
    settings: ScorerSettings,
    random: ChaCha8Rng,
    start: Start,
    under_way: Timers<UnderWay>,
    answers_to_lose: u32,
}

impl ScorerProcess {
    /// A scorer that starts at `now`.
    pub fn new(now: Instant, settings: ScorerSettings, boot_id: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            start: Start::new(now, boot_id),
            under_way: Timers::default(),
            answers_to_lose: 0,
        }
    }

    /// How long the next scoring takes, and whether it ends with a score.
    fn draw(&mut self) -> (Duration, bool) {
        let settings = &self.settings;
        let slow = self.random.random_range(0..1000) < settings.slow_permille;
        let failing = self.random.random_range(0..1000) < settings.failing_permille;
        let time = match slow {
            true => settings.slow_time,
            false => settings.usual_time,
        };
        (time, !failing)
    }

    fn end(&mut self, scoring: &UnderWay, out: &mut Vec<ProcessOutput>) {
        let event = Event::Scored {
            sample: scoring.request.sample_id,
            succeeded: scoring.succeeds,
        };
        record(event, out);
        if self.answers_to_lose > 0 {
            self.answers_to_lose -= 1;
        } else if scoring.succeeds {
            let score = score_of(hash_tokens(&scoring.request.tokens));
            let answer = Answer::Score(ScoreReply { score });
            scoring.caller.answer(answer, out);
        } else {
            scoring.caller.answer(failed("scoring_failed"), out);
        }
    }
}

impl Process for ScorerProcess {
    fn step(&mut self, now: Instant, input: ProcessInput, out: &mut Vec<ProcessOutput>) {
        self.start.record_once(out);
        while let Some(scoring) = self.under_way.take_due(now) {
            self.end(&scoring, out);
        }
        match input {
            ProcessInput::Message {
                from,
                message: Message::Call { id, call },
            } => {
                let caller = InboundCall { from, id };
                let Call::Score(request) = call else {
                    return caller.answer(not_run("no_such_path", None), out);
                };
                let (time, succeeds) = self.draw();
                let scoring = UnderWay {
                    caller,
                    request,
                    succeeds,
                };
                self.under_way.set(now + time, scoring);
            }
            ProcessInput::Fault(ProcessFault::LoseAnswers { count }) => {
                self.answers_to_lose = count;
            }
            ProcessInput::Stop => out.push(ProcessOutput::Exit),
            ProcessInput::Message { .. } | ProcessInput::Fault(_) | ProcessInput::Wake => {}
        }
    }

    fn next_wake(&self) -> Option<Instant> {
        self.start.next_wake().or(self.under_way.next())
    }
}

/// The score of generated tokens: any fixed function will do, as long as a checker knows it.
fn score_of(tokens_hash: u64) -> f64 {
    /// Scores that differ.
    const STEPS: u64 = 1000;
    (tokens_hash % STEPS) as f64 / STEPS as f64
}
