//! Makes the calls of a stand-in's process over HTTP and gives their answers as they come.
//!
//! Owns the connections; relies on [`crate::http_client`] and, for streams, on
//! [`super::completion`].

use super::completion::{StreamEnd, read_completion};
use crate::hashing::hash_bytes;
use crate::http_client::{Answer as HttpAnswer, HttpClient, HttpError, is_connection_refused};
use crate::process::{Answer, Call, CompletionCall, LiveCall};
use crate::wiring::{failed, not_run};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::api::{DEADLINE_HEADER, IDEMPOTENCY_HEADER, NO_REPEAT_HEADER};
use wingshore_types::platform::{EngineStreamEvent, FinishReason, Usage};
use wingshore_types::{ErrorBody, PoolId, WeightVersion};

/// Header by which callers name their requests.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Longest call; the processes give theirs up before, but for fetches of weights.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Body of a charge: the same each time that it is sent, since its key stands for it.
const CHARGE: &[u8] = br#"{"cents":325}"#;
/// Status by which the weight store says that it sends to too many already.
const TOO_MANY: u16 = 429;

/// Makes calls.
pub struct CallClient {
    http: HttpClient,
    weight_bytes: usize,
}

impl CallClient {
    /// A client that stores weights of `weight_bytes` bytes.
    pub fn new(weight_bytes: usize) -> Self {
        Self {
            http: HttpClient::new(CALL_TIMEOUT),
            weight_bytes,
        }
    }

    /// Makes a call and delivers its answer, or the parts of it, in order.
    pub fn perform(&self, to: SocketAddr, call: Call, mut deliver: impl FnMut(Answer)) {
        let answer = match call {
            Call::FetchWeights { model, version } => self.fetch(to, &model, version),
            Call::StoreWeights { model, version } => self.store(to, &model, version),
            Call::Submit { pool, body } => {
                let answer = self.post(to, &pool, "samples", &body);
                answered(answer, |body| {
                    serde_json::from_slice(body).ok().map(Answer::Submitted)
                })
            }
            Call::Pull { pool, step, body } => {
                let answer = self.post(to, &pool, &format!("steps/{step}/pull"), &body);
                answered(answer, |bytes| {
                    Some(Answer::Batch {
                        body: serde_json::from_slice(bytes).ok()?,
                        body_hash: hash_bytes(bytes),
                    })
                })
            }
            Call::Acknowledge { pool, step, body } => {
                let answer = self.post(to, &pool, &format!("steps/{step}/ack"), &body);
                answered(answer, |_| Some(Answer::Done))
            }
            Call::Publish { pool, body } => {
                let answer = self.post(to, &pool, "versions", &body);
                answered(answer, |_| Some(Answer::Done))
            }
            Call::Live(call) => self.live(to, &call),
            Call::Complete(call) => self.complete(to, &call, &mut deliver),
            // No stand-in makes the other calls.
            _ => not_run("no_such_call", None),
        };
        deliver(answer);
    }

    fn fetch(&self, to: SocketAddr, model: &str, version: WeightVersion) -> Answer {
        match self.http.get(&weights_url(to, model, version), &[]) {
            Ok(answer) if answer.is_success() => Answer::Done,
            Ok(answer) if answer.status == TOO_MANY => {
                not_run("too_many_fetches", answer.retry_after)
            }
            Ok(_) => not_run("no_such_version", None),
            Err(error) => unanswered(&error),
        }
    }

    fn store(&self, to: SocketAddr, model: &str, version: WeightVersion) -> Answer {
        let bytes = vec![version.0 as u8; self.weight_bytes];
        match self.http.put(&weights_url(to, model, version), &bytes) {
            Ok(answer) if answer.is_success() => Answer::Done,
            Ok(_) => failed("not_stored"),
            Err(error) => unanswered(&error),
        }
    }

    fn post<T: Serialize>(
        &self,
        to: SocketAddr,
        pool: &PoolId,
        rest: &str,
        body: &T,
    ) -> Result<HttpAnswer, HttpError> {
        let bytes = serde_json::to_vec(body).unwrap_or_default();
        let url = format!("http://{to}/v1/pools/{pool}/{rest}");
        self.http.post(&url, &[], &bytes)
    }

    fn live(&self, to: SocketAddr, call: &LiveCall) -> Answer {
        let deadline = call.deadline.as_millis().to_string();
        let mut headers = vec![
            (REQUEST_ID_HEADER, call.request.as_str()),
            (DEADLINE_HEADER, deadline.as_str()),
        ];
        if call.no_repeat {
            headers.push((NO_REPEAT_HEADER, "true"));
        }
        headers.extend(call.key.as_deref().map(|key| (IDEMPOTENCY_HEADER, key)));
        let url = format!("http://{to}/{}{}", call.service, call.path);
        let answer = match call.charge {
            true => self.http.post(&url, &headers, CHARGE),
            false => self.http.get(&url, &headers),
        };
        match answer {
            Ok(answer) => whole(answer.status, answer.body),
            Err(error) => unanswered(&error),
        }
    }

    fn complete(
        &self,
        to: SocketAddr,
        call: &CompletionCall,
        deliver: &mut impl FnMut(Answer),
    ) -> Answer {
        let body = serde_json::json!({
            "model": call.model,
            "prompt": call.prompt,
            "max_tokens": call.max_tokens,
            "seed": call.seed,
            "stream": true,
        });
        let request = self
            .http
            .agent()
            .post(format!("http://{to}/v1/completions"));
        let sent = request
            .header("content-type", "application/json")
            .header(REQUEST_ID_HEADER, &call.request)
            .header(DEADLINE_HEADER, call.deadline.as_millis().to_string())
            .send(body.to_string().as_bytes());
        match sent {
            Ok(response) if response.status().is_success() => {
                let body = response.into_body().into_reader();
                let end = read_completion(body, |tokens, weight_version| {
                    let chunk = EngineStreamEvent::Chunk {
                        tokens,
                        weight_version,
                    };
                    deliver(Answer::Stream(chunk));
                });
                end_of_stream(end)
            }
            Ok(response) => {
                let status = response.status().as_u16();
                let body = response.into_body().read_to_vec();
                body.map_or(Answer::Broken, |body| whole(status, body))
            }
            Err(error) if is_connection_refused(&error) => Answer::Unreachable,
            Err(_) => Answer::Broken,
        }
    }
}

fn weights_url(to: SocketAddr, model: &str, version: WeightVersion) -> String {
    format!("http://{to}/weights/{model}/{version}")
}

/// An answer of a node to a trainer.
fn answered(
    answer: Result<HttpAnswer, HttpError>,
    read: impl FnOnce(&[u8]) -> Option<Answer>,
) -> Answer {
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => return unanswered(&error),
    };
    if answer.is_success() {
        return read(&answer.body).unwrap_or_else(|| failed("unknown_shape"));
    }
    let Ok(ErrorBody { error }) = serde_json::from_slice(&answer.body) else {
        return failed("unknown_shape");
    };
    Answer::Refused {
        verdict: error.verdict,
        code: error.code,
        retry_after: error.retry_after_ms.map(Duration::from_millis),
    }
}

fn whole(status: u16, body: Vec<u8>) -> Answer {
    let whole = true;
    Answer::Live {
        status,
        body,
        whole,
    }
}

/// Nobody listened: nothing was sent. Otherwise the call may have arrived.
fn unanswered(error: &HttpError) -> Answer {
    match error.is_connection_refused() {
        true => Answer::Unreachable,
        false => Answer::Broken,
    }
}

fn end_of_stream(end: StreamEnd) -> Answer {
    match end {
        StreamEnd::Whole => Answer::Stream(EngineStreamEvent::Finished {
            finish_reason: FinishReason::Stop,
            usage: Usage {
                prompt_tokens: 0,
                completion_tokens: 0,
                cached_tokens: 0,
            },
        }),
        StreamEnd::Cut => Answer::Broken,
        StreamEnd::Error(error) => Answer::Refused {
            verdict: error.verdict,
            code: error.code,
            retry_after: None,
        },
    }
}
