//! Runs the engine core in real time: a thread that lets steps end, channels to the streams, and
//! fetches of weights.

use super::core::EngineCore;
use super::fence::OrderAnswer;
use super::messages::{DropReason, EngineInput, EngineOutput};
use crate::event_log::EventLog;
use crate::events::Event;
use crate::http_client::HttpClient;
use crossbeam_channel::{Receiver, Sender, unbounded};
use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;
use wingshore_types::generator::hash_tokens;
use wingshore_types::platform::{
    EngineCompletionRequest, EngineOrder, EngineStreamEvent, FencedReply,
};
use wingshore_types::{Instant, WeightVersion};

/// Longest sleep of the stepping thread while there is nothing to do.
const IDLE_SLEEP: Duration = Duration::from_millis(100);
/// How often a fetch is tried again.
const FETCH_ATTEMPTS: u32 = 40;
/// Pause before a fetch is tried again when the store names none.
const FETCH_RETRY: Duration = Duration::from_millis(250);
/// Longest fetch.
const FETCH_TIMEOUT: Duration = Duration::from_secs(60);

/// What a stream receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// The engine did not take the attempt.
    RefusedNotRun(&'static str),
    /// The engine took it.
    Started,
    /// An event.
    Event(EngineStreamEvent),
    /// It ended without a whole answer.
    Dropped(DropReason),
}

/// What one step of the core leaves for the driver to do outside the lock.
struct Fetch {
    version: WeightVersion,
    source: String,
}

/// The engine in real time.
pub struct EngineDriver {
    core: Mutex<EngineCore>,
    wake: Condvar,
    streams: Mutex<BTreeMap<String, Sender<StreamItem>>>,
    weight_bytes: Mutex<usize>,
    started: std::time::Instant,
    model: String,
    log: EventLog,
}

impl EngineDriver {
    /// Takes a core that was made at [`Instant::ZERO`] and begins to step it.
    pub fn start(core: EngineCore, model: &str, log: EventLog) -> Arc<Self> {
        let driver = Arc::new(Self {
            core: Mutex::new(core),
            wake: Condvar::new(),
            streams: Mutex::new(BTreeMap::new()),
            weight_bytes: Mutex::new(0),
            started: std::time::Instant::now(),
            model: model.to_owned(),
            log,
        });
        let stepping = Arc::clone(&driver);
        thread::spawn(move || stepping.run());
        driver
    }

    /// Reads something off the core.
    pub fn read<T>(&self, read: impl FnOnce(&mut EngineCore, Instant) -> T) -> T {
        let mut core = lock(&self.core);
        read(&mut core, self.now())
    }

    /// Gives the core an input.
    pub fn input(self: &Arc<Self>, input: EngineInput) {
        self.input_with(input, |_| {});
    }

    /// Asks for a completion; the receiver gets what becomes of it.
    pub fn submit(self: &Arc<Self>, request: EngineCompletionRequest) -> Receiver<StreamItem> {
        let (sender, receiver) = unbounded();
        lock(&self.streams).insert(request.request_id.clone(), sender);
        self.input(EngineInput::Submit(request));
        receiver
    }

    /// Gives an order; an error names what fenced it.
    ///
    /// # Errors
    /// When it is not above the highest order seen.
    pub fn order(self: &Arc<Self>, order: EngineOrder) -> Result<(), FencedReply> {
        let mut answer = Ok(());
        self.input_with(EngineInput::Order(order), |output| {
            if let EngineOutput::OrderAnswered { judgement, .. } = output
                && let OrderAnswer::Fenced(reply) = judgement.answer
            {
                answer = Err(reply);
            }
        });
        answer
    }

    /// The weights, for another engine: `None` when this one does not hold the version whole.
    pub fn weights(&self, version: WeightVersion) -> Option<Vec<u8>> {
        let holds = self.read(|core, _| core.holds_version(version));
        let bytes = *lock(&self.weight_bytes);
        (holds && bytes > 0).then(|| vec![0; bytes])
    }

    fn now(&self) -> Instant {
        let elapsed = self.started.elapsed().as_nanos();
        Instant(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    fn run(self: &Arc<Self>) {
        loop {
            self.input(EngineInput::Tick);
            let core = lock(&self.core);
            let now = self.now();
            let sleep = core
                .next_wake()
                .map_or(IDLE_SLEEP, |wake| wake.since(now).min(IDLE_SLEEP));
            if sleep > Duration::ZERO {
                let _woken = self.wake.wait_timeout(core, sleep);
            }
        }
    }

    fn input_with(self: &Arc<Self>, input: EngineInput, mut observe: impl FnMut(&EngineOutput)) {
        let mut outputs = Vec::new();
        let mut fetches = Vec::new();
        {
            let mut core = lock(&self.core);
            core.step(self.now(), input, &mut outputs);
            for output in outputs {
                observe(&output);
                fetches.extend(self.dispatch(output));
            }
        }
        self.wake.notify_one();
        for fetch in fetches {
            let driver = Arc::clone(self);
            thread::spawn(move || driver.fetch(&fetch));
        }
    }

    /// Passes one output on, in the order of the core.
    fn dispatch(&self, output: EngineOutput) -> Option<Fetch> {
        match output {
            EngineOutput::Started { request_id } => {
                self.send(&request_id, StreamItem::Started);
            }
            EngineOutput::RefusedNotRun { request_id, reason } => {
                self.send(&request_id, StreamItem::RefusedNotRun(reason));
                self.end(&request_id);
                self.log.write(Event::RefusedNotRun {
                    request: request_id,
                });
            }
            EngineOutput::Event { request_id, event } => {
                self.send(&request_id, StreamItem::Event(event));
            }
            EngineOutput::Finished { sequence } => {
                self.end(&sequence.request_id);
                self.log.write(Event::AttemptFinished {
                    prompt_hash: sequence.prompt_hash,
                    seed: sequence.seed,
                    tokens_hash: hash_tokens(&sequence.tokens),
                    token_count: sequence.tokens.len() as u32,
                    request: sequence.request_id,
                });
            }
            EngineOutput::Dropped { request_id, reason } => {
                self.send(&request_id, StreamItem::Dropped(reason));
                self.end(&request_id);
                self.log.write(Event::AttemptDropped {
                    request: request_id,
                    reason: reason.as_str().to_owned(),
                });
            }
            EngineOutput::OrderAnswered { order, judgement } => {
                self.log.write(Event::OrderAnswered {
                    epoch: order.fence.epoch.0,
                    sequence: order.fence.sequence.0,
                    accepted: judgement.answer == OrderAnswer::Accepted,
                    repeated: judgement.repeated,
                });
            }
            EngineOutput::VersionInForce(version) => {
                self.log.write(Event::VersionInForce { version });
            }
            EngineOutput::FetchWeights { version, source } => {
                return Some(Fetch { version, source });
            }
        }
        None
    }

    fn send(&self, request_id: &str, item: StreamItem) {
        if let Some(sender) = lock(&self.streams).get(request_id) {
            let _gone = sender.send(item);
        }
    }

    fn end(&self, request_id: &str) {
        lock(&self.streams).remove(request_id);
    }

    fn fetch(self: &Arc<Self>, fetch: &Fetch) {
        let url = weights_url(&fetch.source, &self.model, fetch.version);
        let bytes = fetch_weights(&url);
        if let Some(bytes) = bytes {
            *lock(&self.weight_bytes) = bytes;
        }
        self.input(EngineInput::WeightsFetched {
            version: fetch.version,
            succeeded: bytes.is_some(),
        });
    }
}

/// The source of an order names a store or engine, or the weights themselves.
fn weights_url(source: &str, model: &str, version: WeightVersion) -> String {
    if source.contains("/weights/") {
        return source.to_owned();
    }
    let base = source.trim_end_matches('/');
    format!("{base}/weights/{model}/{version}")
}

/// Fetches weights, waiting as often as the store asks for it; answers their size.
fn fetch_weights(url: &str) -> Option<usize> {
    let client = HttpClient::new(FETCH_TIMEOUT);
    for _ in 0..FETCH_ATTEMPTS {
        let answer = client.get(url, &[]);
        match answer {
            Ok(answer) if answer.is_success() => return Some(answer.body.len()),
            Ok(answer) if answer.status == 429 => {
                thread::sleep(answer.retry_after.unwrap_or(FETCH_RETRY));
            }
            Ok(_) => return None,
            Err(_) => thread::sleep(FETCH_RETRY),
        }
    }
    None
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
