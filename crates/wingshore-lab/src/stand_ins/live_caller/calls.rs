//! Sends one request and says what came of it.

use super::completion::StreamedCompletion;
use super::plan::PlannedCall;
use super::settings::LiveCallerSettings;
use crate::events::{CallKind, ReceivedCompletion};
use crate::hashing::hash_bytes;
use crate::http_client::{Answer, HttpClient, HttpError, is_connection_refused};
use crate::stand_ins::live_server::REQUEST_ID_HEADER;
use std::time::{Duration, Instant};
use wingshore_types::api::{DEADLINE_HEADER, IDEMPOTENCY_HEADER, NO_REPEAT_HEADER};
use wingshore_types::generator::hash_tokens;
use wingshore_types::{ErrorBody, Verdict};

/// How much longer than the stated deadline the HTTP client waits.
const PATIENCE: Duration = Duration::from_secs(5);

/// What came of one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallResult {
    /// HTTP status; 0 when there was no whole answer.
    pub status: u16,
    /// The verdict of an error.
    pub verdict: Option<Verdict>,
    /// Hash of the body, or of a completion's tokens.
    pub answer_hash: u64,
    /// Whether the answer, good or bad, was whole.
    pub whole: bool,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// A whole completion.
    pub completion: Option<ReceivedCompletion>,
}

/// Sends requests of one caller.
pub struct Calls<'a> {
    settings: &'a LiveCallerSettings,
    client: HttpClient,
}

impl<'a> Calls<'a> {
    /// Sends to the node of `settings`.
    pub fn new(settings: &'a LiveCallerSettings) -> Self {
        Self {
            client: HttpClient::new(settings.load.deadline + PATIENCE),
            settings,
        }
    }

    /// Sends `call` under the id `request`.
    pub fn send(&self, call: &PlannedCall, request: &str, key: Option<&str>) -> CallResult {
        match call.kind {
            CallKind::Charge => self.charge(call, request, key),
            CallKind::Lookup => self.look_up(call, request),
            CallKind::Completion => self.complete(call, request),
        }
    }

    fn charge(&self, call: &PlannedCall, request: &str, key: Option<&str>) -> CallResult {
        let deadline = self.deadline();
        let mut headers = vec![
            (REQUEST_ID_HEADER, request),
            (DEADLINE_HEADER, deadline.as_str()),
            (NO_REPEAT_HEADER, "true"),
        ];
        headers.extend(key.map(|key| (IDEMPOTENCY_HEADER, key)));
        let body = serde_json::json!({ "ride": call.number, "cents": 325 });
        let url = self.url("charge");
        result_of(
            self.client
                .post(&url, &headers, body.to_string().as_bytes()),
        )
    }

    fn look_up(&self, call: &PlannedCall, request: &str) -> CallResult {
        let deadline = self.deadline();
        let headers = [
            (REQUEST_ID_HEADER, request),
            (DEADLINE_HEADER, deadline.as_str()),
        ];
        let url = self.url(&format!("lookup/{}", call.number));
        result_of(self.client.get(&url, &headers))
    }

    fn complete(&self, call: &PlannedCall, request: &str) -> CallResult {
        let load = &self.settings.load;
        let body = serde_json::json!({
            "model": self.settings.model,
            "prompt": call.prompt,
            "max_tokens": load.max_tokens,
            "seed": call.seed,
            "stream": true,
        });
        let sent_at = Instant::now();
        let sent = self
            .client
            .agent()
            .post(format!("http://{}/v1/completions", self.settings.node))
            .header("content-type", "application/json")
            .header(REQUEST_ID_HEADER, request)
            .header(DEADLINE_HEADER, self.deadline())
            .send(body.to_string().as_bytes());
        match sent {
            Ok(response) if response.status().is_success() => {
                let streamed = StreamedCompletion::read(response.into_body().into_reader());
                self.completed(call, sent_at, &streamed)
            }
            Ok(response) => refused_completion(response),
            Err(error) => no_answer(is_connection_refused(&error)),
        }
    }

    fn completed(
        &self,
        call: &PlannedCall,
        sent_at: Instant,
        streamed: &StreamedCompletion,
    ) -> CallResult {
        let first_token = streamed.first_token_at.map(|at| at - sent_at);
        if let Some(error) = &streamed.error {
            return CallResult {
                status: 500,
                verdict: Some(error.verdict),
                whole: true,
                first_token,
                ..CallResult::default()
            };
        }
        let whole = streamed.done && streamed.finished;
        let tokens = &streamed.generation.tokens;
        let completion = ReceivedCompletion {
            prompt_hash: hash_tokens(&call.prompt),
            seed: call.seed,
            max_tokens: self.settings.load.max_tokens,
            token_count: tokens.len() as u32,
            tokens_hash: hash_tokens(tokens),
            segments: streamed.generation.segments.clone(),
        };
        CallResult {
            status: if whole { 200 } else { 0 },
            verdict: None,
            answer_hash: completion.tokens_hash,
            whole,
            first_token,
            completion: whole.then_some(completion),
        }
    }

    fn url(&self, rest: &str) -> String {
        format!(
            "http://{}/{}/{rest}",
            self.settings.node, self.settings.service
        )
    }

    fn deadline(&self) -> String {
        self.settings.load.deadline.as_millis().to_string()
    }
}

fn result_of(answer: Result<Answer, HttpError>) -> CallResult {
    match answer {
        Ok(answer) => CallResult {
            status: answer.status,
            verdict: verdict_of(&answer.body),
            answer_hash: hash_bytes(&answer.body),
            whole: true,
            ..CallResult::default()
        },
        Err(error) => no_answer(error.is_connection_refused()),
    }
}

fn refused_completion(response: ureq::http::Response<ureq::Body>) -> CallResult {
    let status = response.status().as_u16();
    let body = response.into_body().read_to_vec();
    match body {
        Ok(body) => CallResult {
            status,
            verdict: verdict_of(&body),
            answer_hash: hash_bytes(&body),
            whole: true,
            ..CallResult::default()
        },
        Err(_) => no_answer(false),
    }
}

/// Nobody listened: not run. Otherwise the caller cannot know.
fn no_answer(refused: bool) -> CallResult {
    let verdict = if refused {
        Verdict::NotRun
    } else {
        Verdict::MayHaveRun
    };
    CallResult {
        verdict: Some(verdict),
        ..CallResult::default()
    }
}

fn verdict_of(body: &[u8]) -> Option<Verdict> {
    serde_json::from_slice::<ErrorBody>(body)
        .ok()
        .map(|body| body.error.verdict)
}
