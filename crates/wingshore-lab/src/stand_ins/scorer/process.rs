//! A scoring service as a process: slow at times, failing at times.

use crate::events::Event;
use crate::process::{
    Answer, Call, Process, ProcessFault, ProcessInput, ProcessOutput, SimMessage,
};
use crate::stand_ins::scorer::core::{ScorerCore, Scoring};
use crate::stand_ins::scorer::{ScorerSettings, score_of};
use crate::wiring::{InboundCall, Timers, failed, not_run, record};
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
    core: ScorerCore,
    boot_id: u64,
    started_at: Option<Instant>,
    under_way: Timers<UnderWay>,
    answers_to_lose: u32,
}

impl ScorerProcess {
    /// A scorer that starts at `now`.
    pub fn new(now: Instant, settings: ScorerSettings, boot_id: u64) -> Self {
        Self {
            core: ScorerCore::new(settings),
            boot_id,
            started_at: Some(now),
            under_way: Timers::default(),
            answers_to_lose: 0,
        }
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
        if self.started_at.take().is_some() {
            let boot_id = self.boot_id;
            record(Event::Started { boot_id }, out);
        }
        while let Some(scoring) = self.under_way.take_due(now) {
            self.end(&scoring, out);
        }
        match input {
            ProcessInput::Message {
                from,
                message: SimMessage::Call { id, call },
            } => {
                let caller = InboundCall { from, id };
                let Call::Score(request) = call else {
                    return caller.answer(not_run("no_such_path", None), out);
                };
                let Scoring { time, succeeds } = self.core.draw();
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
        self.started_at.or(self.under_way.next())
    }
}
