//! Reads a streamed completion as the node sends it: the OpenAI shape with tokens and versions.

use serde::Deserialize;
use std::io::{BufRead, BufReader, Read};
use std::time::Instant;
use wingshore_types::{Generation, Token, WeightVersion};

/// The last event of a whole stream.
const DONE: &str = "[DONE]";

#[derive(Deserialize)]
struct StreamEvent {
    #[serde(default)]
    choices: Vec<Choice>,
    error: Option<wingshore_types::ErrorDetail>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    tokens: Vec<Token>,
    weight_version: Option<WeightVersion>,
    finish_reason: Option<String>,
}

/// What came of a stream.
#[derive(Debug, Default)]
pub struct StreamedCompletion {
    /// Tokens and versions.
    pub generation: Generation,
    /// When the first token came.
    pub first_token_at: Option<Instant>,
    /// The error that ended it, as the node says.
    pub error: Option<wingshore_types::ErrorDetail>,
    /// Whether a reason to finish came.
    pub finished: bool,
    /// Whether the last event came.
    pub done: bool,
}

impl StreamedCompletion {
    /// Reads until the end, whole or not.
    pub fn read(body: impl Read) -> Self {
        let mut completion = Self::default();
        for line in BufReader::new(body).lines() {
            let Ok(line) = line else {
                break;
            };
            if let Some(data) = line.strip_prefix("data:") {
                completion.take(data.trim());
            }
        }
        completion
    }

    fn take(&mut self, data: &str) {
        if data == DONE {
            self.done = true;
            return;
        }
        let Ok(event) = serde_json::from_str::<StreamEvent>(data) else {
            return;
        };
        self.error = event.error.or(self.error.take());
        for choice in event.choices {
            self.take_choice(&choice);
        }
    }

    fn take_choice(&mut self, choice: &Choice) {
        if let Some(version) = choice.weight_version {
            self.generation.append(version, &choice.tokens);
            if self.first_token_at.is_none() {
                self.first_token_at = Some(Instant::now());
            }
        }
        self.finished |= choice.finish_reason.is_some();
    }
}
