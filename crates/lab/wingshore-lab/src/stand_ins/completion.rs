//! Reads a streamed completion as a node sends it: the OpenAI shape with tokens and versions.

use serde::Deserialize;
use std::io::{BufRead, BufReader, Read};
use wingshore_types::{ErrorDetail, Token, WeightVersion};

/// The last event of a whole stream.
const DONE: &str = "[DONE]";

#[derive(Deserialize)]
struct StreamEvent {
    #[serde(default)]
    choices: Vec<Choice>,
    error: Option<ErrorDetail>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    tokens: Vec<Token>,
    weight_version: Option<WeightVersion>,
    finish_reason: Option<String>,
}

pub enum StreamEnd {
    /// With a reason to finish and its last event.
    Whole,
    /// Without one of them.
    Cut,
    /// With an error of the node.
    Error(ErrorDetail),
}

/// Reads a stream to its end, whole or not, and gives each run of tokens as it comes.
pub fn read_completion(
    body: impl Read,
    mut tokens: impl FnMut(Vec<Token>, WeightVersion),
) -> StreamEnd {
    let mut error = None;
    let (mut is_finished, mut is_done) = (false, false);
    for line in BufReader::new(body).lines().map_while(Result::ok) {
        let Some(data) = line.strip_prefix("data:").map(str::trim) else {
            continue;
        };
        is_done |= data == DONE;
        let Ok(event) = serde_json::from_str::<StreamEvent>(data) else {
            continue;
        };
        error = event.error.or(error);
        for choice in event.choices {
            is_finished |= choice.finish_reason.is_some();
            if let Some(version) = choice.weight_version {
                tokens(choice.tokens, version);
            }
        }
    }
    match error {
        Some(error) => StreamEnd::Error(error),
        None if is_done && is_finished => StreamEnd::Whole,
        None => StreamEnd::Cut,
    }
}
