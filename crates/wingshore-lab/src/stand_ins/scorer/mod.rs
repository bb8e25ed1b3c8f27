//! Stand-in for a scoring service: slow at times, failing at times, and asked twice at times.

pub mod core;
pub mod process;

use self::core::ScorerCore;
use super::StandInError;
use super::settings::{ServerSettings, load};
use crate::durations;
use crate::event_log::EventLog;
use crate::events::Event;
use crate::http_server::{Incoming, serve};
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use wingshore_types::generator::hash_tokens;
use wingshore_types::platform::{ScoreReply, ScoreRequest};

/// How a scorer behaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ScorerSettings {
    /// Usual time of a score.
    #[serde(with = "durations")]
    pub usual_time: Duration,
    /// Time of a slow one.
    #[serde(with = "durations")]
    pub slow_time: Duration,
    /// Share of slow ones, in thousandths.
    pub slow_permille: u32,
    /// Share of failures, in thousandths.
    pub failing_permille: u32,
    /// Seed of both.
    pub seed: u64,
}

impl Default for ScorerSettings {
    fn default() -> Self {
        Self {
            usual_time: Duration::from_millis(5),
            slow_time: Duration::from_millis(200),
            slow_permille: 20,
            failing_permille: 10,
            seed: 0,
        }
    }
}

struct Scorer {
    core: Mutex<ScorerCore>,
    log: EventLog,
}

/// Serves until the process ends.
///
/// # Errors
/// When its settings, log or port cannot be used.
pub fn run(settings_file: &Path) -> Result<(), StandInError> {
    let settings: ServerSettings<ScorerSettings> = load(settings_file)?;
    let log = EventLog::open(&settings.process.log, &settings.process.name)?;
    log.write(Event::Started {
        boot_id: rand::random(),
    });
    let scorer = Arc::new(Scorer {
        core: Mutex::new(ScorerCore::new(settings.behaviour)),
        log,
    });
    let handler = Arc::new(move |incoming| scorer.handle(incoming));
    serve(
        settings.process.listen,
        settings.process.round_trip,
        handler,
    )?;
    Ok(())
}

/// The score of generated tokens: any fixed function will do, as long as a checker knows it.
pub fn score_of(tokens_hash: u64) -> f64 {
    const STEPS: u64 = 1000;
    (tokens_hash % STEPS) as f64 / STEPS as f64
}

impl Scorer {
    fn handle(&self, incoming: Incoming) {
        if (incoming.method.as_str(), incoming.path.as_str()) != ("POST", "/score") {
            incoming.respond_error(404, "no_such_path");
            return;
        }
        let request: ScoreRequest = match incoming.json() {
            Ok(request) => request,
            Err(error) => return incoming.respond_bad_request(&error),
        };
        let succeeded = self.work();
        self.log.write(Event::Scored {
            sample: request.sample_id,
            succeeded,
        });
        if succeeded {
            let score = score_of(hash_tokens(&request.tokens));
            incoming.respond_json(200, &ScoreReply { score });
        } else {
            incoming.respond_error(500, "scoring_failed");
        }
    }

    /// Takes its time; says whether it succeeds.
    fn work(&self) -> bool {
        let scoring = self
            .core
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .draw();
        thread::sleep(scoring.time);
        scoring.succeeds
    }
}
