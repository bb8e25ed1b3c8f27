//! A hollow server: the state and the fence of an engine, without tokens.

use super::http::HttpRequest;
use super::sizes::FIRST_VERSION;
use crate::stand_ins::engine::fence::{Fence, OrderAnswer};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use wingshore_types::WeightVersion;
use wingshore_types::platform::{CacheEvents, EngineOrder, EngineState, LoadReport, OrderBody};

/// Free cache that a hollow server tells of, in tokens.
const FREE_CACHE: u64 = 65_536;

/// What all hollow servers share: how weights are fetched.
#[derive(Debug)]
pub struct Fetches {
    /// How long a fetch takes, from the store as from another engine.
    pub time: Duration,
    under_way: Mutex<BTreeMap<String, u32>>,
    /// Most fetches from one source at once.
    pub most_at_once: AtomicU64,
    /// Fetches that were begun.
    pub begun: AtomicU64,
}

impl Fetches {
    /// Fetches that take `time` each.
    pub fn new(time: Duration) -> Self {
        Self {
            time,
            under_way: Mutex::default(),
            most_at_once: AtomicU64::new(0),
            begun: AtomicU64::new(0),
        }
    }

    fn begin(&self, source: &str) {
        let mut under_way = self
            .under_way
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let count = under_way.entry(source.to_owned()).or_default();
        *count += 1;
        self.most_at_once
            .fetch_max(u64::from(*count), Ordering::Relaxed);
        self.begun.fetch_add(1, Ordering::Relaxed);
    }

    fn end(&self, source: &str) {
        let mut under_way = self
            .under_way
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = under_way.get_mut(source) {
            *count -= 1;
            if *count == 0 {
                under_way.remove(source);
            }
        }
    }
}

/// A fetch under way.
#[derive(Debug)]
struct Loading {
    version: WeightVersion,
    source: String,
    until: Instant,
}

/// An engine or live server.
#[derive(Debug)]
pub struct HollowServer {
    boot_id: u64,
    fence: Fence,
    version: WeightVersion,
    loading: Option<Loading>,
}

impl HollowServer {
    /// A server that serves the first version.
    pub fn new(boot_id: u64) -> Self {
        Self {
            boot_id,
            fence: Fence::default(),
            version: FIRST_VERSION,
            loading: None,
        }
    }

    /// The version it serves.
    pub fn version(&self) -> WeightVersion {
        self.version
    }

    /// Ends a fetch whose time is over.
    pub fn tick(&mut self, now: Instant, fetches: &Fetches) {
        if let Some(loading) = self.loading.take_if(|loading| now >= loading.until) {
            fetches.end(&loading.source);
            self.version = loading.version;
        }
    }

    /// Answers a request: status and body.
    pub fn answer(
        &mut self,
        now: Instant,
        request: &HttpRequest,
        fetches: &Fetches,
    ) -> (&'static str, Vec<u8>) {
        let path = request.target.split('?').next().unwrap_or_default();
        match path {
            "/state" => ("200 OK", json(&self.state())),
            "/load" => ("200 OK", json(&load())),
            "/cache_events" => ("200 OK", json(&self.cache_events())),
            "/orders" => match serde_json::from_slice(&request.body) {
                Ok(order) => self.on_order(now, order, fetches),
                Err(_) => ("400 Bad Request", Vec::new()),
            },
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn on_order(
        &mut self,
        now: Instant,
        order: EngineOrder,
        fetches: &Fetches,
    ) -> (&'static str, Vec<u8>) {
        let judgement = self.fence.judge(order.fence);
        if let OrderAnswer::Fenced(reply) = judgement.answer {
            return ("409 Conflict", json(&reply));
        }
        if let (false, OrderBody::LoadWeights { version, source }) =
            (judgement.repeated, order.order)
        {
            if let Some(superseded) = self.loading.take() {
                fetches.end(&superseded.source);
            }
            fetches.begin(&source);
            let until = now + fetches.time;
            self.loading = Some(Loading {
                version,
                source,
                until,
            });
        }
        ("202 Accepted", b"{}".to_vec())
    }

    fn state(&self) -> EngineState {
        EngineState {
            boot_id: self.boot_id,
            role: "rollout".to_owned(),
            models: Vec::new(),
            weight_version: Some(self.version),
            loading: self.loading.as_ref().map(|loading| loading.version),
            last_order: self.fence.last_accepted(),
            draining: false,
            in_flight: 0,
            queue: 0,
            kv_free: FREE_CACHE,
        }
    }

    fn cache_events(&self) -> CacheEvents {
        CacheEvents {
            boot_id: self.boot_id,
            events: Vec::new(),
        }
    }
}

fn load() -> LoadReport {
    LoadReport {
        in_flight: 0,
        queue: 0,
        age_ms: 0,
    }
}

fn json<T: Serialize>(value: &T) -> Vec<u8> {
    // These types have no maps with odd keys: writing them cannot fail.
    serde_json::to_vec(value).unwrap_or_default()
}
