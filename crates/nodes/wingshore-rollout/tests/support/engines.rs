//! Scripted engines whose tokens are a function of the weight version that generated them.

use super::Incident;
use std::collections::{BTreeMap, BTreeSet};
use wingshore_rollout::{AttemptId, StreamEnd};
use wingshore_types::configuration::{Admission, Server};
use wingshore_types::generator::{hash_tokens, token_at};
use wingshore_types::platform::{EngineCompletionRequest, EngineState, FinishReason, Usage};
use wingshore_types::{Instant, ServerId, Token, Verdict, WeightVersion};

/// Identifies a stream: index of the node, boot ID of the node, attempt.
pub type StreamId = (usize, u64, AttemptId);

/// Tokens that a stream generates in one step of simulated time, on all engines but the first.
const TOKENS_PER_STEP: u32 = 2;
/// Tokens that a stream generates in one step on the first engine, which is slow.
const SLOW_TOKENS_PER_STEP: u32 = 1;
/// Number of chunks of a cancelled stream that still arrive.
const LATE_CHUNKS: usize = 2;

/// One event of a stream.
#[derive(Clone, Debug)]
pub enum Event {
    Chunk(Vec<Token>, WeightVersion),
    Finished(FinishReason, Usage),
    Ended(StreamEnd),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Health {
    Healthy,
    Crashed,
    Frozen,
    Refusing,
    LosingTokens,
}

struct Engine {
    version: WeightVersion,
    health: Health,
    tokens_per_step: u32,
}

struct Stream {
    server: ServerId,
    request: EngineCompletionRequest,
    generated: u32,
}

/// The engines of the site and their streams.
pub struct Engines {
    engines: BTreeMap<ServerId, Engine>,
    streams: BTreeMap<StreamId, Stream>,
    /// Events of cancelled streams that are still to be delivered.
    late_events: Vec<(StreamId, Event)>,
    /// Scheduled weight swaps: time, engine, new version.
    swaps: BTreeSet<(Instant, ServerId, WeightVersion)>,
}

impl Engines {
    pub fn new(count: usize) -> Self {
        let engine = |index| Engine {
            version: WeightVersion(1),
            health: Health::Healthy,
            tokens_per_step: match index {
                0 => SLOW_TOKENS_PER_STEP,
                _ => TOKENS_PER_STEP,
            },
        };
        Self {
            engines: (0..count)
                .map(|index| (Self::id(index), engine(index)))
                .collect(),
            streams: BTreeMap::new(),
            late_events: Vec::new(),
            swaps: BTreeSet::new(),
        }
    }

    pub fn id(index: usize) -> ServerId {
        ServerId::new(&format!("engine-{index}"))
    }

    pub fn servers(&self) -> impl Iterator<Item = Server> + '_ {
        self.engines.keys().map(|id| Server {
            id: id.clone(),
            service: "fare-lm".into(),
            address: "127.0.0.1:1".parse().expect("address"),
            zone: "a".into(),
            admission: Admission::Open,
        })
    }

    /// Returns the state report of each engine; `None` for engines that do not answer.
    pub fn states(&self) -> Vec<(ServerId, Option<EngineState>)> {
        let state = |engine: &Engine| EngineState {
            boot_id: 1,
            role: "rollout".to_owned(),
            models: vec!["small".to_owned()],
            weight_version: Some(engine.version),
            loading: None,
            last_order: None,
            draining: false,
            in_flight: 0,
            queue: 0,
            kv_free: 1 << 20,
        };
        let answers = |engine: &Engine| !matches!(engine.health, Health::Crashed | Health::Frozen);
        self.engines
            .iter()
            .map(|(id, engine)| (id.clone(), answers(engine).then(|| state(engine))))
            .collect()
    }

    /// Publishes a version: the engines swap to it one after the other, and their streams continue.
    pub fn publish(&mut self, now: Instant, version: WeightVersion) {
        let pause = super::STEP * 15;
        let mut at = now;
        for id in self.engines.keys() {
            at = at + pause;
            self.swaps.insert((at, id.clone(), version));
        }
    }

    /// Opens a stream; returns an event if the stream ends immediately.
    pub fn start(
        &mut self,
        id: StreamId,
        server: &ServerId,
        request: &EngineCompletionRequest,
    ) -> Option<Event> {
        match self.engines[server].health {
            Health::Crashed => return Some(Event::Ended(StreamEnd::Failed(Verdict::NotRun))),
            Health::Refusing => return Some(Event::Ended(StreamEnd::Refused)),
            _ => {}
        }
        let stream = Stream {
            server: server.clone(),
            generated: request.resume.len() as u32,
            request: request.clone(),
        };
        self.streams.insert(id, stream);
        None
    }

    /// Closes a stream. Some of its events are still delivered later.
    pub fn cancel(&mut self, id: StreamId) {
        if let Some(mut stream) = self.streams.remove(&id) {
            let engine = &self.engines[&stream.server];
            for _ in 0..LATE_CHUNKS {
                self.late_events.push((id, stream.chunk(engine)));
            }
            self.late_events.push((id, stream.finished()));
        }
    }

    /// Returns the number of open streams of a node's boot for the sample with this seed.
    pub fn streams_of(&self, boot: (usize, u64), seed: u64) -> usize {
        self.streams
            .iter()
            .filter(|((node, boot_id, _), stream)| {
                (*node, *boot_id) == boot && stream.request.seed == seed
            })
            .count()
    }

    pub fn close_node_streams(&mut self, node: usize) {
        self.streams.retain(|(owner, ..), _| *owner != node);
    }

    pub fn apply_incident(&mut self, incident: Incident) -> Vec<(StreamId, Event)> {
        let (index, health) = match incident {
            Incident::Crash(index) => (index, Health::Crashed),
            Incident::Freeze(index) => (index, Health::Frozen),
            Incident::Refuse(index) => (index, Health::Refusing),
            Incident::LoseTokens(index) => (index, Health::LosingTokens),
            Incident::Recover(index) => (index, Health::Healthy),
            other => panic!("the incident does not concern an engine: {other:?}"),
        };
        let id = Self::id(index);
        self.engines.get_mut(&id).expect("known engine").health = health;
        if health != Health::Crashed {
            return Vec::new();
        }
        let ended: Vec<StreamId> = self
            .streams
            .iter()
            .filter(|(_, stream)| stream.server == id)
            .map(|(stream, _)| *stream)
            .collect();
        ended
            .into_iter()
            .map(|stream| {
                self.streams.remove(&stream);
                let end = StreamEnd::Failed(Verdict::MayHaveRun);
                (stream, Event::Ended(end))
            })
            .collect()
    }

    /// Advances each engine by one step of simulated time and returns the resulting events.
    pub fn advance(&mut self, now: Instant) -> Vec<(StreamId, Event)> {
        self.swap(now);
        let mut events = std::mem::take(&mut self.late_events);
        let mut ended = Vec::new();
        for (id, stream) in &mut self.streams {
            let engine = &self.engines[&stream.server];
            if engine.health == Health::Frozen {
                continue;
            }
            if stream.generated < length(&stream.request) {
                let chunk = stream.chunk(engine);
                let is_lost = engine.health == Health::LosingTokens;
                events.extend((!is_lost).then_some((*id, chunk)));
            } else {
                events.push((*id, stream.finished()));
                ended.push(*id);
            }
        }
        for id in ended {
            self.streams.remove(&id);
        }
        events
    }

    fn swap(&mut self, now: Instant) {
        while let Some((at, ..)) = self.swaps.first() {
            if *at > now {
                return;
            }
            if let Some((_, id, version)) = self.swaps.pop_first() {
                let engine = self.engines.get_mut(&id).expect("known engine");
                engine.version = engine.version.max(version);
            }
        }
    }
}

impl Stream {
    fn chunk(&mut self, engine: &Engine) -> Event {
        let version = engine.version;
        let end = (self.generated + engine.tokens_per_step).min(length(&self.request));
        let prompt = hash_tokens(&self.request.prompt);
        let tokens = (self.generated..end)
            .map(|position| token_at(prompt, self.request.seed, position, version))
            .collect();
        self.generated = end;
        Event::Chunk(tokens, version)
    }

    fn finished(&self) -> Event {
        let usage = Usage {
            completion_tokens: self.generated,
            ..Usage::default()
        };
        Event::Finished(FinishReason::Stop, usage)
    }
}

/// Returns the number of tokens of a sample; every eighth sample is a straggler.
fn length(request: &EngineCompletionRequest) -> u32 {
    let seed = request.seed as u32;
    let length = 20 + (seed * 37) % 60;
    let length = if seed % 8 == 3 { length + 300 } else { length };
    length.min(request.max_tokens)
}
