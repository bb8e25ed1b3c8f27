//! A caller receives the whole answer to its own request: what it received is what a back end
//! says it has sent for that request.

use super::{Limits, Promise, RunLog, Violation};
use crate::events::{CallKind, Event, ReceivedCompletion};
use std::collections::{BTreeMap, BTreeSet};

/// Status of an answer that a back end gave.
const OK: u16 = 200;

/// Judges all successful answers.
pub fn check(log: &RunLog, limits: &Limits) -> Vec<Violation> {
    let sent = Sent::read(log);
    let mut violations = Vec::new();
    for record in log.records() {
        let fault = match &record.event {
            Event::Answered {
                request,
                key,
                kind: CallKind::Charge | CallKind::Lookup,
                status: OK,
                answer_hash,
                ..
            } => (!sent.answered(request, key.as_deref(), *answer_hash))
                .then(|| format!("{request}: no back end sent this answer to it")),
            Event::Completed {
                request,
                completion,
            } => fault_of(completion, &sent, limits).map(|fault| format!("{request}: {fault}")),
            _ => None,
        };
        violations.extend(fault.map(|detail| Violation {
            promise: Promise::WholeAnswers,
            at_us: record.at_us,
            detail,
        }));
    }
    violations
}

fn fault_of(completion: &ReceivedCompletion, sent: &Sent, limits: &Limits) -> Option<String> {
    let whole = limits.lengths.whole_length(
        completion.prompt_hash,
        completion.seed,
        completion.max_tokens,
    );
    if completion.token_count != whole {
        let found = completion.token_count;
        return Some(format!("{found} tokens instead of {whole}"));
    }
    let generated = (
        completion.prompt_hash,
        completion.seed,
        completion.tokens_hash,
    );
    (!sent.generations.contains(&generated)).then(|| "no engine generated these tokens".to_owned())
}

/// What back ends say they have sent.
#[derive(Default)]
struct Sent<'a> {
    by_request: BTreeMap<&'a str, BTreeSet<u64>>,
    by_key: BTreeMap<&'a str, BTreeSet<u64>>,
    generations: BTreeSet<(u64, u64, u64)>,
}

impl<'a> Sent<'a> {
    fn read(log: &'a RunLog) -> Self {
        let mut sent = Self::default();
        for record in log.records() {
            match &record.event {
                Event::Executed {
                    request,
                    key,
                    answer_hash,
                    ..
                } => {
                    let answers = sent.by_request.entry(request).or_default();
                    answers.insert(*answer_hash);
                    if let Some(key) = key {
                        let answers = sent.by_key.entry(key).or_default();
                        answers.insert(*answer_hash);
                    }
                }
                Event::AttemptFinished {
                    prompt_hash,
                    seed,
                    tokens_hash,
                    ..
                } => {
                    sent.generations.insert((*prompt_hash, *seed, *tokens_hash));
                }
                _ => {}
            }
        }
        sent
    }

    fn answered(&self, request: &str, key: Option<&str>, answer_hash: u64) -> bool {
        let of_key = key.and_then(|key| self.by_key.get(key));
        let answers = of_key.or_else(|| self.by_request.get(request));
        answers.is_some_and(|answers| answers.contains(&answer_hash))
    }
}
