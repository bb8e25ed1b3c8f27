//! Stand-in for the weight store: keeps published versions and hands them out at a limited rate.

pub mod process;

use super::StandInError;
use super::settings::{ServerSettings, load};
use crate::event_log::EventLog;
use crate::events::Event;
use crate::http_server::{Incoming, serve};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use wingshore_types::WeightVersion;

/// Bytes written between two pauses.
const PIECE: usize = 64 * 1024;
/// `Retry-After` of a refusal, in seconds.
const RETRY_AFTER: &str = "1";

/// How the weight store behaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WeightStoreSettings {
    /// Bytes a second over all fetches.
    pub bytes_per_second: u64,
    /// Most fetches at once; more are answered 429.
    pub most_fetches: usize,
    /// Size of version 0 of any model, in bytes: it is there from the start.
    pub initial_bytes: usize,
}

impl Default for WeightStoreSettings {
    fn default() -> Self {
        Self {
            bytes_per_second: 32 * 1024 * 1024,
            most_fetches: 3,
            initial_bytes: 4 * 1024 * 1024,
        }
    }
}

/// A version of a model.
type Key = (String, WeightVersion);

struct WeightStore {
    settings: WeightStoreSettings,
    versions: Mutex<BTreeMap<Key, Arc<Vec<u8>>>>,
    fetches: AtomicUsize,
    log: EventLog,
}

/// Serves until the process ends.
///
/// # Errors
/// When its settings, log or port cannot be used.
pub fn run(settings_file: &Path) -> Result<(), StandInError> {
    let settings: ServerSettings<WeightStoreSettings> = load(settings_file)?;
    let log = EventLog::open(&settings.process.log, &settings.process.name)?;
    log.write(Event::Started {
        boot_id: rand::random(),
    });
    let store = Arc::new(WeightStore {
        settings: settings.behaviour,
        versions: Mutex::new(BTreeMap::new()),
        fetches: AtomicUsize::new(0),
        log,
    });
    let handler = Arc::new(move |incoming| store.handle(incoming));
    serve(
        settings.process.listen,
        settings.process.round_trip,
        handler,
    )?;
    Ok(())
}

impl WeightStore {
    fn handle(&self, incoming: Incoming) {
        let Some(key) = parse_path(&incoming.path) else {
            incoming.respond_error(404, "no_such_path");
            return;
        };
        match incoming.method.as_str() {
            "PUT" => self.put(key, incoming),
            "GET" => self.get(&key, incoming),
            _ => incoming.respond_error(405, "method_not_allowed"),
        }
    }

    fn put(&self, key: Key, mut incoming: Incoming) {
        let bytes = Arc::new(std::mem::take(&mut incoming.body));
        self.versions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(key.clone(), bytes);
        self.log.write(Event::WeightsStored {
            model: key.0,
            version: key.1,
        });
        incoming.respond_json(201, &serde_json::json!({}));
    }

    fn get(&self, key: &Key, incoming: Incoming) {
        let Some(bytes) = self.find(key) else {
            incoming.respond_error(404, "no_such_version");
            return;
        };
        if self.fetches.fetch_add(1, Ordering::SeqCst) < self.settings.most_fetches {
            self.send(key, &bytes, incoming);
        } else {
            let headers = [("retry-after", RETRY_AFTER)];
            incoming.respond(429, &headers, Vec::new());
        }
        self.fetches.fetch_sub(1, Ordering::SeqCst);
    }

    /// Sends the bytes at this fetch's share of the rate.
    fn send(&self, key: &Key, bytes: &[u8], incoming: Incoming) {
        let pause = |piece: usize| {
            let sharing = self.fetches.load(Ordering::SeqCst).max(1);
            let shared = sharing.min(self.settings.most_fetches) as f64;
            let seconds = piece as f64 * shared / self.settings.bytes_per_second as f64;
            thread::sleep(Duration::from_secs_f64(seconds));
        };
        if incoming.respond_paced(bytes, PIECE, pause).is_ok() {
            self.log.write(Event::WeightsSent {
                model: key.0.clone(),
                version: key.1,
            });
        }
    }

    fn find(&self, key: &Key) -> Option<Arc<Vec<u8>>> {
        let versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let stored = versions.get(key).cloned();
        let initial = || Arc::new(vec![0; self.settings.initial_bytes]);
        stored.or_else(|| (key.1 == WeightVersion(0)).then(initial))
    }
}

/// `/weights/{model}/{version}`.
fn parse_path(path: &str) -> Option<Key> {
    let (model, version) = path.strip_prefix("/weights/")?.split_once('/')?;
    let version = version.parse().ok()?;
    Some((model.to_owned(), WeightVersion(version)))
}
