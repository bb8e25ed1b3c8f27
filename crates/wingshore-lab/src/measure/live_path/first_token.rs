//! Time to the first token of a stream, directly from an engine and through a node, in turns.
//! A server that buffered events would show here.

use super::quantiles::Comparison;
use crate::http_client::HttpClient;
use crate::measure::error::{MeasureError, StreamSnafu};
use crate::measure::quiet_site::Addresses;
use std::io::{BufRead, BufReader, Read};
use std::time::{Duration, Instant};
use wingshore_types::Token;
use wingshore_types::platform::EngineCompletionRequest;

/// Longest stream.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Pairs before the first that counts.
const WARM_UP: usize = 5;
/// Tokens of a prompt.
const PROMPT_TOKENS: u32 = 32;
/// Tokens of an answer; enough for several events.
const MAX_TOKENS: u32 = 64;

/// Compares both ways for `length`.
///
/// # Errors
/// When a stream brings no token.
pub fn compare(addresses: &Addresses, length: Duration) -> Result<Comparison, MeasureError> {
    let client = HttpClient::new(TIMEOUT);
    let engines = addresses.engines.iter().cycle();
    let (mut direct, mut through_node) = (Vec::new(), Vec::new());
    let mut end = None;
    for (pair, engine) in engines.enumerate() {
        if pair == WARM_UP {
            direct.clear();
            through_node.clear();
            end = Some(Instant::now() + length);
        }
        if end.is_some_and(|end| Instant::now() >= end) {
            break;
        }
        let number = pair as u32;
        let node_first = pair % 2 == 0;
        if node_first {
            through_node.push(node_stream(&client, addresses, number)?);
        }
        let url = format!("http://{engine}/v1/completions");
        direct.push(first_token(&client, &url, &engine_body(addresses, number))?);
        if !node_first {
            through_node.push(node_stream(&client, addresses, number)?);
        }
    }
    Ok(Comparison::new(
        "first token of a stream",
        direct,
        through_node,
    ))
}

fn node_stream(
    client: &HttpClient,
    addresses: &Addresses,
    number: u32,
) -> Result<Duration, MeasureError> {
    let url = format!("http://{}/v1/completions", addresses.node);
    let body = serde_json::json!({
        "model": addresses.model,
        "prompt": prompt(2 * number),
        "max_tokens": MAX_TOKENS,
        "stream": true,
        "seed": number,
    });
    first_token(client, &url, &body.to_string().into_bytes())
}

fn engine_body(addresses: &Addresses, number: u32) -> Vec<u8> {
    let request = EngineCompletionRequest {
        request_id: format!("measure-{number}"),
        model: addresses.model.clone(),
        adapter: None,
        prompt: prompt(2 * number + 1),
        resume: Vec::new(),
        max_tokens: MAX_TOKENS,
        priority: 0,
        stream: true,
        deadline_ms: TIMEOUT.as_millis() as u64,
        seed: u64::from(number),
    };
    serde_json::to_vec(&request).unwrap_or_default()
}

/// A prompt that no other request of the run has, so that no cache helps either side.
fn prompt(number: u32) -> Vec<Token> {
    (0..PROMPT_TOKENS)
        .map(|position| number.wrapping_mul(7919).wrapping_add(position) % 50_000)
        .collect()
}

/// Sends, and answers when the first event came; the stream is read to its end after that.
fn first_token(client: &HttpClient, url: &str, body: &[u8]) -> Result<Duration, MeasureError> {
    let started = Instant::now();
    let failed = |message: String| MeasureError::Stream {
        url: url.to_owned(),
        message,
    };
    let response = client
        .agent()
        .post(url)
        .header("content-type", "application/json")
        .send(body)
        .map_err(|error| failed(error.to_string()))?;
    let mut lines = BufReader::new(response.into_body().into_reader());
    let mut line = String::new();
    while !line.starts_with("data:") {
        line.clear();
        match lines.read_line(&mut line) {
            Ok(0) => return Err(failed("the stream ended".to_owned())),
            Ok(_) => {}
            Err(error) => return Err(failed(error.to_string())),
        }
    }
    let came_after = started.elapsed();
    if !line.contains("weight_version") {
        let message = line;
        return StreamSnafu { url, message }.fail();
    }
    let mut rest = Vec::new();
    lines
        .read_to_end(&mut rest)
        .map_err(|error| failed(error.to_string()))?;
    Ok(came_after)
}
