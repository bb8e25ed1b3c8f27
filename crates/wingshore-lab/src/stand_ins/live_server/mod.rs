//! Stand-in for a live server: runs charges and look-ups, logs each execution, and refuses by its
//! own word when it is full or leaving.

pub mod core;
pub mod process;

use self::core::LiveServerCore;
use super::StandInError;
use super::settings::{ServerSettings, load};
use crate::durations;
use crate::event_log::EventLog;
use crate::events::Event;
use crate::hashing::hash_bytes;
use crate::http_server::{Incoming, serve};
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use wingshore_types::platform::NOT_RUN_HEADER;

/// Header by which callers name their requests.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// How a live server behaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LiveServerSettings {
    /// Most requests at once; more are refused as not run.
    pub slots: u32,
    /// Shortest time that a request takes.
    #[serde(with = "durations")]
    pub shortest_service: Duration,
    /// Mean of the further, exponentially distributed time.
    #[serde(with = "durations")]
    pub mean_further_service: Duration,
    /// Size of an answer, in bytes.
    pub answer_bytes: usize,
    /// Seed of the service times.
    pub seed: u64,
}

impl Default for LiveServerSettings {
    fn default() -> Self {
        Self {
            slots: 32,
            shortest_service: Duration::from_millis(1),
            mean_further_service: Duration::from_millis(2),
            answer_bytes: 512,
            seed: 0,
        }
    }
}

/// The server.
struct LiveServer {
    core: Mutex<LiveServerCore>,
    started: Instant,
    log: EventLog,
}

/// Serves until the process ends.
///
/// # Errors
/// When its settings, log or port cannot be used.
pub fn run(settings_file: &Path) -> Result<(), StandInError> {
    let settings: ServerSettings<LiveServerSettings> = load(settings_file)?;
    let log = EventLog::open(&settings.process.log, &settings.process.name)?;
    let boot_id: u64 = rand::random();
    log.write(Event::Started { boot_id });
    let server = Arc::new(LiveServer {
        core: Mutex::new(LiveServerCore::new(
            &settings.process.name,
            settings.behaviour,
            boot_id,
        )),
        started: Instant::now(),
        log,
    });
    let handler = Arc::new(move |incoming| server.handle(incoming));
    serve(
        settings.process.listen,
        settings.process.round_trip,
        handler,
    )?;
    Ok(())
}

impl LiveServer {
    fn handle(&self, incoming: Incoming) {
        match (incoming.method.as_str(), incoming.path.as_str()) {
            ("GET", "/load") => {
                let report = lock(&self.core).load_report(self.started.elapsed());
                incoming.respond_json(200, &report);
            }
            (_, "/lab/faults") => incoming.respond_error(404, "no_such_path"),
            _ => self.admit(incoming),
        }
    }

    fn admit(&self, incoming: Incoming) {
        let admitted = lock(&self.core).admit();
        match admitted {
            Err(code) => self.refuse(incoming, code),
            Ok(()) => {
                self.execute(incoming);
                lock(&self.core).release();
            }
        }
    }

    fn refuse(&self, incoming: Incoming, code: &str) {
        self.log.write(Event::RefusedNotRun {
            request: request_id(&incoming),
        });
        let headers = [
            (NOT_RUN_HEADER, "true"),
            ("content-type", "application/json"),
            ("retry-after", "1"),
        ];
        let body = serde_json::json!({ "error": { "code": code } });
        incoming.respond(503, &headers, body.to_string().into_bytes());
    }

    fn execute(&self, incoming: Incoming) {
        let time = lock(&self.core).service_time();
        thread::sleep(time);
        let asked = hash_bytes(&incoming.body);
        let answer = lock(&self.core).answer(&request_id(&incoming), &incoming.path, asked);
        self.log.write(Event::Executed {
            request: request_id(&incoming),
            key: incoming.header(KEY_HEADER),
            charge: incoming.method == "POST",
            status: 200,
            answer_hash: hash_bytes(&answer),
        });
        incoming.respond(200, &[("content-type", "application/json")], answer);
    }
}

fn request_id(incoming: &Incoming) -> String {
    incoming.header(REQUEST_ID_HEADER).unwrap_or_default()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
