//! Stand-in for the platform's machine list, which lags behind the truth.

pub mod core;
pub mod process;

use self::core::MachineListCore;
use super::StandInError;
use super::settings::{ServerSettings, load};
use crate::durations;
use crate::event_log::{EventLog, now_us};
use crate::events::Event;
use crate::http_server::{Incoming, serve};
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use wingshore_types::platform::{Machine, MachineList, MachineState};
use wingshore_types::{Instant, ServerId};

/// How the machine list behaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineListSettings {
    /// How far the list lags.
    #[serde(with = "durations")]
    pub lag: Duration,
    /// All machines, at the start.
    pub machines: Vec<Machine>,
}

/// Body of `POST /lab/leaving`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeavingRequest {
    /// Which machine.
    pub server: ServerId,
    /// Its state from now on; the list tells it after the lag.
    pub state: MachineState,
}

struct Machines {
    core: Mutex<MachineListCore>,
    started: std::time::Instant,
    log: EventLog,
}

/// Serves until the process ends.
///
/// # Errors
/// When its settings, log or port cannot be used.
pub fn run(settings_file: &Path) -> Result<(), StandInError> {
    let settings: ServerSettings<MachineListSettings> = load(settings_file)?;
    let log = EventLog::open(&settings.process.log, &settings.process.name)?;
    log.write(Event::Started {
        boot_id: rand::random(),
    });
    let machines = Arc::new(Machines {
        core: Mutex::new(MachineListCore::new(settings.behaviour)),
        started: std::time::Instant::now(),
        log,
    });
    let handler = Arc::new(move |incoming| machines.handle(incoming));
    serve(
        settings.process.listen,
        settings.process.round_trip,
        handler,
    )?;
    Ok(())
}

impl Machines {
    fn handle(&self, incoming: Incoming) {
        match (incoming.method.as_str(), incoming.path.as_str()) {
            ("GET", "/machines") => incoming.respond_json(200, &self.list()),
            ("POST", "/lab/leaving") => match incoming.json() {
                Ok(request) => {
                    self.change(request);
                    incoming.respond_json(200, &serde_json::json!({}));
                }
                Err(error) => incoming.respond_bad_request(&error),
            },
            _ => incoming.respond_error(404, "no_such_path"),
        }
    }

    fn change(&self, request: LeavingRequest) {
        let server = request.server.to_string();
        self.log.write(match request.state {
            MachineState::Leaving => Event::Leaving { server },
            MachineState::Live => Event::Staying { server },
        });
        let now = self.now();
        self.core().change(now, request.server, request.state);
    }

    fn list(&self) -> MachineList {
        let now = self.now();
        self.core().list(now, now_us() / 1000)
    }

    fn core(&self) -> MutexGuard<'_, MachineListCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Instant {
        Instant::ZERO + self.started.elapsed()
    }
}
