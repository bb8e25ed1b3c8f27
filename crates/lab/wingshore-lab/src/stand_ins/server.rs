//! Serves a stand-in's process over HTTP: requests become calls, answers become responses.
//!
//! Owns nothing; relies on [`super::runtime`] for the process and on [`crate::http_server`].

use super::StandInError;
use super::client::CallClient;
use super::runtime::{Clock, Runtime};
use super::settings::{ServerSettings, load};
use crate::event_log::EventLog;
use crate::http_server::{Incoming, serve};
use crate::process::{Answer, Call, Process, ProcessFault, ProcessInput};
use crossbeam_channel::Receiver;
use serde::de::DeserializeOwned;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::Duration;
use wingshore_types::platform::{EngineStreamEvent, NOT_RUN_HEADER};
use wingshore_types::{Instant, Verdict};

/// What a request is to the process.
pub enum Request {
    /// A call, to be answered.
    Call(Call),
    /// A switch of the stand-in.
    Fault(ProcessFault),
}

/// Why a request does not reach the process.
pub enum NotServed {
    NoSuchPath,
    /// The body is not of the documented shape.
    BadBody(serde_json::Error),
}

/// What a request is, by its method, path and body.
pub type Decode = fn(&Incoming) -> Result<Request, NotServed>;

/// The body of a request.
pub fn body<T: DeserializeOwned>(incoming: &Incoming) -> Result<T, NotServed> {
    incoming.json().map_err(NotServed::BadBody)
}

/// Reads a stand-in's settings and serves the process that `make` makes of them until it ends.
/// `make` gets the time, the name, the behaviour and the boot id.
pub fn run<T: DeserializeOwned, P: Process + Send + 'static>(
    settings_file: &Path,
    decode: Decode,
    make: impl FnOnce(Instant, &str, T, u64) -> P,
) -> Result<(), StandInError> {
    let settings: ServerSettings<T> = load(settings_file)?;
    let ServerSettings { process, behaviour } = settings;
    let log = EventLog::open(&process.log, &process.name)?;
    let clock = Clock::start();
    let served = make(clock.now(), &process.name, behaviour, rand::random());
    let runtime = Runtime::new(served, clock, CallClient::new(0), log);
    let waking = Arc::clone(&runtime);
    // Only trainers fail, and they serve nobody.
    thread::spawn(move || waking.run(&AtomicBool::new(false)));
    let handler = Arc::new(move |incoming: Incoming| match decode(&incoming) {
        Ok(Request::Call(call)) => answer(&runtime, call, incoming),
        Ok(Request::Fault(fault)) => {
            runtime.give(ProcessInput::Fault(fault));
            incoming.respond_json(200, &serde_json::json!({}));
        }
        Err(NotServed::NoSuchPath) => incoming.respond_error(404, "no_such_path"),
        Err(NotServed::BadBody(error)) => incoming.respond_bad_request(&error),
    });
    serve(process.listen, process.round_trip, handler)?;
    Ok(())
}

fn answer(runtime: &Arc<Runtime>, call: Call, incoming: Incoming) {
    let is_stream = matches!(call, Call::Generate(_));
    let (id, answers) = runtime.receive(call);
    if is_stream {
        if stream(&answers, incoming).is_err() {
            runtime.hang_up(id);
        }
        return;
    }
    match answers.recv() {
        Ok(answer) => respond(answer, incoming),
        Err(_) => incoming.respond_error(500, "no_answer"),
    }
}

/// A process refuses an attempt before it says anything else, in the very step that takes the call;
/// an attempt that is not refused gets its head at once, its events as they come, and, when it is
/// dropped, an error in the place of its final event.
fn stream(answers: &Receiver<Answer>, incoming: Incoming) -> std::io::Result<()> {
    let first = match answers.try_recv() {
        Ok(refusal @ Answer::Refused { .. }) => {
            respond(refusal, incoming);
            return Ok(());
        }
        first => first.ok(),
    };
    let mut stream = incoming.into_event_stream()?;
    for answer in first.into_iter().chain(answers) {
        match answer {
            Answer::Stream(event) => {
                stream.send(&event)?;
                if let EngineStreamEvent::Finished { .. } = event {
                    break;
                }
            }
            Answer::Refused { code, .. } => {
                stream.send(&serde_json::json!({ "error": { "code": code } }))?;
                break;
            }
            _ => break,
        }
    }
    stream.finish()
}

fn respond(answer: Answer, incoming: Incoming) {
    let nothing = serde_json::json!({});
    match answer {
        Answer::OrderAccepted => incoming.respond_json(202, &nothing),
        Answer::OrderFenced(reply) => incoming.respond_json(409, &reply),
        Answer::State(state) => incoming.respond_json(200, &state),
        Answer::Load(load) => incoming.respond_json(200, &load),
        Answer::CacheEvents(events) => incoming.respond_json(200, &events),
        Answer::Machines(list) => incoming.respond_json(200, &list),
        Answer::Score(score) => incoming.respond_json(200, &score),
        Answer::Live { status, body, .. } => {
            incoming.respond(status, &[("content-type", "application/json")], body);
        }
        Answer::Done => incoming.respond_json(200, &nothing),
        Answer::Refused {
            verdict,
            code,
            retry_after,
        } => refuse(verdict, &code, retry_after, incoming),
        // Answers of nodes, and what only the simulated network says.
        Answer::Stream(_)
        | Answer::Submitted(_)
        | Answer::Batch { .. }
        | Answer::Unreachable
        | Answer::Broken => incoming.respond_error(500, "no_answer"),
    }
}

fn refuse(verdict: Verdict, code: &str, retry_after: Option<Duration>, incoming: Incoming) {
    let status = match code {
        "no_such_path" | "no_such_version" | "version_not_held" => 404,
        "too_many_fetches" => 429,
        _ if verdict == Verdict::NotRun => 503,
        _ => 500,
    };
    let seconds = retry_after.map(|time| time.as_secs().to_string());
    let mut headers = vec![("content-type", "application/json")];
    if status == 503 {
        headers.push((NOT_RUN_HEADER, "true"));
    }
    if let Some(seconds) = &seconds {
        headers.push(("retry-after", seconds));
    }
    let body = serde_json::json!({ "error": { "code": code } });
    incoming.respond(status, &headers, body.to_string().into_bytes());
}
