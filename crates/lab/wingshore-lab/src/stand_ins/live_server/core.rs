//! The live server's decisions, without sockets and clocks.

use super::LiveServerSettings;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use wingshore_types::platform::LoadReport;

/// How old a load report may become.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Slots, service times and answers of one live server.
#[derive(Debug)]
pub struct LiveServerCore {
    name: String,
    boot_id: u64,
    settings: LiveServerSettings,
    generator: ChaCha8Rng,
    in_flight: u32,
    leaving: bool,
    executions: u64,
    load_read_at: Duration,
    load: u32,
}

impl LiveServerCore {
    /// A server without work. Its answers name its boot, so that no two answers are alike.
    pub fn new(name: &str, settings: LiveServerSettings, boot_id: u64) -> Self {
        Self {
            name: name.to_owned(),
            boot_id,
            generator: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            in_flight: 0,
            leaving: false,
            executions: 0,
            load_read_at: Duration::ZERO,
            load: 0,
        }
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Takes a slot; to be given back by [`LiveServerCore::release`].
    ///
    /// # Errors
    /// Says why the request is refused as not run.
    pub fn admit(&mut self) -> Result<(), &'static str> {
        if self.leaving {
            return Err("leaving");
        }
        if self.in_flight >= self.settings.slots {
            return Err("overloaded");
        }
        self.in_flight += 1;
        Ok(())
    }

    /// Gives a slot back.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Says that the server is leaving, or that it stays.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// How long the next request takes.
    pub fn service_time(&mut self) -> Duration {
        let uniform: f64 = self.generator.random_range(f64::EPSILON..1.0);
        self.settings.shortest_service + self.settings.mean_further_service.mul_f64(-uniform.ln())
    }

    /// The body of the answer to `request`; `asked` is the hash of the request's body.
    pub fn answer(&mut self, request: &str, path: &str, asked: u64) -> Vec<u8> {
        let body = serde_json::json!({
            "server": self.name,
            "boot": self.boot_id,
            "execution": self.executions,
            "request": request,
            "path": path,
            "asked": asked,
            "receipt": "r".repeat(self.settings.answer_bytes),
        });
        self.executions += 1;
        body.to_string().into_bytes()
    }

    /// The last load report and its age; `since_start` is the time since the server's start.
    pub fn load_report(&mut self, since_start: Duration) -> LoadReport {
        if since_start.saturating_sub(self.load_read_at) >= LOAD_REPORT_INTERVAL {
            self.load_read_at = since_start;
            self.load = self.in_flight;
        }
        let age = since_start.saturating_sub(self.load_read_at);
        LoadReport {
            in_flight: self.load,
            queue: 0,
            age_ms: age.as_millis() as u64,
        }
    }
}
