//! HTTP surface of the stand-in engine.

use super::driver::{EngineDriver, StreamItem};
use super::faults::FaultRequest;
use super::messages::EngineInput;
use crate::event_log::EventLog;
use crate::events::Event;
use crate::http_server::Incoming;
use crossbeam_channel::Receiver;
use std::sync::Arc;
use wingshore_types::WeightVersion;
use wingshore_types::generator::hash_tokens;
use wingshore_types::platform::{
    CancelRequest, EngineCompletionRequest, EngineOrder, NOT_RUN_HEADER,
};

/// Serves one request.
pub fn handle(driver: &Arc<EngineDriver>, log: &EventLog, incoming: Incoming) {
    if incoming.path == "/lab/faults" {
        inject(driver, log, incoming);
        return;
    }
    match (incoming.method.as_str(), incoming.path.as_str()) {
        ("POST", "/v1/completions") => complete(driver, log, incoming),
        ("POST", "/v1/cancel") => cancel(driver, incoming),
        ("POST", "/orders") => order(driver, incoming),
        ("GET", "/state") => {
            let state = driver.read(|core, _| core.state());
            incoming.respond_json(200, &state);
        }
        ("GET", "/load") => {
            let load = driver.read(|core, now| core.load(now));
            incoming.respond_json(200, &load);
        }
        ("GET", "/cache_events") => cache_events(driver, incoming),
        ("GET", path) if path.starts_with("/weights/") => weights(driver, incoming),
        _ => incoming.respond_error(404, "no_such_path"),
    }
}

fn complete(driver: &Arc<EngineDriver>, log: &EventLog, incoming: Incoming) {
    let request: EngineCompletionRequest = match incoming.json() {
        Ok(request) => request,
        Err(error) => return incoming.respond_bad_request(&error),
    };
    let started = Event::AttemptStarted {
        request: request.request_id.clone(),
        prompt_hash: hash_tokens(&request.prompt),
        seed: request.seed,
        resumed_tokens: request.resume.len() as u32,
    };
    let request_id = request.request_id.clone();
    let items = driver.submit(request);
    match items.recv() {
        Ok(StreamItem::Started) => {}
        Ok(StreamItem::RefusedNotRun(reason)) => return refuse(incoming, reason),
        _ => return incoming.respond_error(500, "engine_stopped"),
    }
    log.write(started);
    if stream_events(&items, incoming).is_err() {
        driver.input(EngineInput::Cancel { request_id });
    }
}

fn refuse(incoming: Incoming, reason: &str) {
    let body = serde_json::json!({ "error": { "code": reason } });
    let headers = [
        (NOT_RUN_HEADER, "true"),
        ("content-type", "application/json"),
        ("retry-after", "1"),
    ];
    incoming.respond(503, &headers, body.to_string().into_bytes());
}

/// Forwards events until the end; an attempt that was dropped ends without its final event.
fn stream_events(items: &Receiver<StreamItem>, incoming: Incoming) -> std::io::Result<()> {
    let mut stream = incoming.into_event_stream()?;
    for item in items {
        match item {
            StreamItem::Event(event) => stream.send(&event)?,
            StreamItem::Dropped(reason) => {
                stream.send(&serde_json::json!({ "error": { "code": reason.as_str() } }))?;
            }
            StreamItem::Started | StreamItem::RefusedNotRun(_) => {}
        }
    }
    stream.finish()
}

fn cancel(driver: &Arc<EngineDriver>, incoming: Incoming) {
    match incoming.json::<CancelRequest>() {
        Ok(request) => {
            driver.input(EngineInput::Cancel {
                request_id: request.request_id,
            });
            incoming.respond_json(200, &serde_json::json!({}));
        }
        Err(error) => incoming.respond_bad_request(&error),
    }
}

fn order(driver: &Arc<EngineDriver>, incoming: Incoming) {
    let order: EngineOrder = match incoming.json() {
        Ok(order) => order,
        Err(error) => return incoming.respond_bad_request(&error),
    };
    match driver.order(order) {
        Ok(()) => incoming.respond_json(202, &serde_json::json!({})),
        Err(reply) => incoming.respond_json(409, &reply),
    }
}

fn weights(driver: &EngineDriver, incoming: Incoming) {
    let version = incoming
        .path
        .rsplit('/')
        .next()
        .and_then(|text| text.parse().ok());
    match version.and_then(|version| driver.weights(WeightVersion(version))) {
        Some(bytes) => incoming.respond(200, &[], bytes),
        None => incoming.respond_error(404, "version_not_held"),
    }
}

fn cache_events(driver: &EngineDriver, incoming: Incoming) {
    let after = incoming
        .query_value("after")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let events = driver.read(|core, now| core.cache_events(now, after));
    incoming.respond_json(200, &events);
}

fn inject(driver: &Arc<EngineDriver>, log: &EventLog, incoming: Incoming) {
    let request: FaultRequest = match incoming.json() {
        Ok(request) => request,
        Err(error) => return incoming.respond_bad_request(&error),
    };
    log.write(Event::FaultInjected {
        fault: request.name().to_owned(),
    });
    driver.input(EngineInput::Fault(request.core_fault()));
    incoming.respond_json(200, &serde_json::json!({}));
}
