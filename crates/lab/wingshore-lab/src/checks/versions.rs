//! Every sample names the weight versions that truly produced it: the tokens are generated again
//! from the versions named.

use super::{Limits, Promise, RunLog, Violation};
use crate::events::{DeliveredSample, Event, ReceivedCompletion};
use wingshore_types::generator::{hash_tokens, token_at};
use wingshore_types::{Segment, Token};

/// Judges all delivered samples and completions.
pub fn check(log: &RunLog, limits: &Limits) -> Vec<Violation> {
    let mut violations = Vec::new();
    for record in log.records() {
        let mut report = |detail: String| {
            violations.push(Violation {
                promise: Promise::VersionsTrue,
                at_us: record.at_us,
                detail,
            });
        };
        match &record.event {
            Event::BatchDelivered { pool, samples, .. } => {
                for sample in samples {
                    if let Some(fault) = fault_of_sample(sample, limits) {
                        report(format!("sample {pool}/{}: {fault}", sample.number));
                    }
                }
            }
            Event::Completed {
                request,
                completion,
            } => {
                if let Some(fault) = fault_of_completion(completion) {
                    report(format!("completion {request}: {fault}"));
                }
            }
            _ => {}
        }
    }
    violations
}

fn fault_of_sample(sample: &DeliveredSample, limits: &Limits) -> Option<String> {
    if sample.prompt_hash != sample.submitted_prompt_hash {
        return Some("not the prompt that was submitted".to_owned());
    }
    let whole = limits
        .lengths
        .whole_length(sample.prompt_hash, sample.seed, sample.max_tokens);
    if sample.token_count != whole {
        return Some(format!("{} tokens instead of {whole}", sample.token_count));
    }
    let named = Named {
        prompt_hash: sample.prompt_hash,
        seed: sample.seed,
        token_count: sample.token_count,
        segments: &sample.segments,
    };
    named.fault(sample.tokens_hash)
}

fn fault_of_completion(completion: &ReceivedCompletion) -> Option<String> {
    let named = Named {
        prompt_hash: completion.prompt_hash,
        seed: completion.seed,
        token_count: completion.token_count,
        segments: &completion.segments,
    };
    named.fault(completion.tokens_hash)
}

/// What an answer says of its tokens.
struct Named<'a> {
    prompt_hash: u64,
    seed: u64,
    token_count: u32,
    segments: &'a [Segment],
}

impl Named<'_> {
    fn fault(&self, tokens_hash: u64) -> Option<String> {
        if !self.covers_all() {
            return Some(format!(
                "segments {:?} do not cover the tokens",
                self.segments
            ));
        }
        if hash_tokens(&self.tokens()) != tokens_hash {
            return Some(format!(
                "segments {:?} did not make the tokens",
                self.segments
            ));
        }
        None
    }

    fn covers_all(&self) -> bool {
        let mut next = 0;
        for segment in self.segments {
            if segment.tokens.start != next || segment.tokens.end <= next {
                return false;
            }
            next = segment.tokens.end;
        }
        next == self.token_count
    }

    fn tokens(&self) -> Vec<Token> {
        let of_segment = |segment: &Segment| {
            let version = segment.version;
            let positions = segment.tokens.clone();
            positions.map(move |position| token_at(self.prompt_hash, self.seed, position, version))
        };
        self.segments.iter().flat_map(of_segment).collect()
    }
}
