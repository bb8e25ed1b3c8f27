//! Fetches of weights from the store or engine that an order names, again while that is full or away.
//!
//! Owns the open fetches and their time limits.

use crate::process::{Answer, Call, CallId, ProcessOutput};
use crate::wiring::{CallNumbers, Timers, hang_up, send_call};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::{Instant, Verdict, WeightVersion};

/// Attempts of a fetch.
const MAX_ATTEMPTS: u32 = 40;
/// Backoff when the store names no retry-after.
const BACKOFF: Duration = Duration::from_millis(250);
/// Longest attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(60);

/// A fetch that goes on.
#[derive(Clone, Copy, Debug)]
struct Fetch {
    version: WeightVersion,
    store: SocketAddr,
    attempts_left: u32,
}

/// A fetch that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fetched {
    pub version: WeightVersion,
    /// Whether the version is whole.
    pub succeeded: bool,
}

/// The fetches of one engine.
pub struct Fetches {
    model: String,
    numbers: CallNumbers,
    open: BTreeMap<CallId, Fetch>,
    /// The next attempt of a fetch, or the time limit of the attempt that was sent as this call.
    timers: Timers<(Fetch, Option<CallId>)>,
}

impl Fetches {
    /// No fetches of `model` yet.
    pub fn new(model: &str, boot_id: u64) -> Self {
        Self {
            model: model.to_owned(),
            numbers: CallNumbers::new(boot_id),
            open: BTreeMap::new(),
            timers: Timers::default(),
        }
    }

    /// Begins a fetch; gives it back when it has ended at once.
    pub fn begin(
        &mut self,
        now: Instant,
        version: WeightVersion,
        source: &str,
        out: &mut Vec<ProcessOutput>,
    ) -> Option<Fetched> {
        let Some(store) = address_of(source) else {
            return failed(version);
        };
        let fetch = Fetch {
            version,
            store,
            attempts_left: MAX_ATTEMPTS,
        };
        self.attempt(now, fetch, out)
    }

    /// Takes the answer to an attempt; gives the fetch back when it has ended.
    pub fn on_answer(&mut self, now: Instant, id: CallId, answer: &Answer) -> Option<Fetched> {
        let fetch = self.open.remove(&id)?;
        let backoff = match answer {
            Answer::Done => {
                return Some(Fetched {
                    version: fetch.version,
                    succeeded: true,
                });
            }
            Answer::Refused {
                retry_after: Some(retry_after),
                verdict: Verdict::NotRun,
                ..
            } => *retry_after,
            Answer::Broken | Answer::Unreachable => BACKOFF,
            _ => return failed(fetch.version),
        };
        self.timers.set(now + backoff, (fetch, None));
        None
    }

    /// Makes the attempts that are due; gives the fetches that have ended.
    pub fn on_wake(&mut self, now: Instant, out: &mut Vec<ProcessOutput>) -> Vec<Fetched> {
        let mut ended = Vec::new();
        while let Some((fetch, sent_as)) = self.timers.take_due(now) {
            if let Some(id) = sent_as {
                if self.open.remove(&id).is_none() {
                    continue;
                }
                hang_up(fetch.store, id, out);
            }
            ended.extend(self.attempt(now, fetch, out));
        }
        ended
    }

    /// When [`Fetches::on_wake`] is wanted.
    pub fn next_wake(&self) -> Option<Instant> {
        self.timers.next()
    }

    fn attempt(
        &mut self,
        now: Instant,
        fetch: Fetch,
        out: &mut Vec<ProcessOutput>,
    ) -> Option<Fetched> {
        let Some(attempts_left) = fetch.attempts_left.checked_sub(1) else {
            return failed(fetch.version);
        };
        let fetch = Fetch {
            attempts_left,
            ..fetch
        };
        let id = self.numbers.draw();
        let (model, version) = (self.model.clone(), fetch.version);
        send_call(fetch.store, id, Call::FetchWeights { model, version }, out);
        self.open.insert(id, fetch);
        self.timers.set(now + ATTEMPT_TIMEOUT, (fetch, Some(id)));
        None
    }
}

fn failed(version: WeightVersion) -> Option<Fetched> {
    Some(Fetched {
        version,
        succeeded: false,
    })
}

/// The source of an order names a store by its URL.
fn address_of(source: &str) -> Option<SocketAddr> {
    let address = source.trim_start_matches("http://");
    address.split('/').next()?.parse().ok()
}
