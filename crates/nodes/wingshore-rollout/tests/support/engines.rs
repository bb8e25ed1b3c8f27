//! Scripted engines, which write their true version into each token.

use super::Incident;
use std::collections::{BTreeMap, BTreeSet};
use wingshore_rollout::{AttemptId, StreamEnd};
use wingshore_types::configuration::{Admission, Server};
use wingshore_types::generator::{hash_tokens, token_at};
use wingshore_types::platform::{EngineCompletionRequest, EngineState, FinishReason, Usage};
use wingshore_types::{Instant, ServerId, Token, Verdict, WeightVersion};

/// Node, boot of the node, attempt.
pub type StreamId = (usize, u64, AttemptId);

/// Tokens that a stream yields in one step of simulated time; the first engine is slow.
const TOKENS_PER_STEP: u32 = 2;
const SLOW_TOKENS_PER_STEP: u32 = 1;
/// Events of an ended stream that still arrive.
const STRAYS: usize = 2;

/// One event of a stream.
#[derive(Clone, Debug)]
pub enum Event {
    Chunk(Vec<Token>, WeightVersion),
    Finished(FinishReason, Usage),
    Ended(StreamEnd),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Health {
    Well,
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

/// All engines of the site and their streams.
pub struct Engines {
    engines: BTreeMap<ServerId, Engine>,
    streams: BTreeMap<StreamId, Stream>,
    /// Late events of streams that were cancelled.
    strays: Vec<(StreamId, Event)>,
    /// Swaps that are due: when, which engine, to which version.
    swaps: BTreeSet<(Instant, ServerId, WeightVersion)>,
}

impl Engines {
    pub fn new(count: usize) -> Self {
        let engine = |index| Engine {
            version: WeightVersion(1),
            health: Health::Well,
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
            strays: Vec::new(),
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

    /// Own reports; none from engines that do not answer.
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

    /// A version is published: engines take it one after the other, streams going on.
    pub fn publish(&mut self, now: Instant, version: WeightVersion) {
        let pause = super::STEP * 15;
        let mut at = now;
        for id in self.engines.keys() {
            at = at + pause;
            self.swaps.insert((at, id.clone(), version));
        }
    }

    /// Opens a stream; an event when it ends at once.
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

    /// Closes a stream. Some of its events are on their way and arrive late.
    pub fn cancel(&mut self, id: StreamId) {
        if let Some(mut stream) = self.streams.remove(&id) {
            let engine = &self.engines[&stream.server];
            for _ in 0..STRAYS {
                self.strays.push((id, stream.chunk(engine)));
            }
            self.strays.push((id, stream.finished()));
        }
    }

    /// Open streams of a node's boot for the sample with this seed.
    pub fn streams_of(&self, boot: (usize, u64), seed: u64) -> usize {
        self.streams
            .iter()
            .filter(|((node, boot_id, _), stream)| {
                (*node, *boot_id) == boot && stream.request.seed == seed
            })
            .count()
    }

    pub fn cut_node(&mut self, node: usize) {
        self.streams.retain(|(owner, ..), _| *owner != node);
    }

    pub fn happen(&mut self, incident: Incident) -> Vec<(StreamId, Event)> {
        let (index, health) = match incident {
            Incident::Crash(index) => (index, Health::Crashed),
            Incident::Freeze(index) => (index, Health::Frozen),
            Incident::Refuse(index) => (index, Health::Refusing),
            Incident::LoseTokens(index) => (index, Health::LosingTokens),
            Incident::Recover(index) => (index, Health::Well),
            other => panic!("not an engine's incident: {other:?}"),
        };
        let id = Self::id(index);
        self.engines.get_mut(&id).expect("known engine").health = health;
        if health != Health::Crashed {
            return Vec::new();
        }
        let cut: Vec<StreamId> = self
            .streams
            .iter()
            .filter(|(_, stream)| stream.server == id)
            .map(|(stream, _)| *stream)
            .collect();
        cut.into_iter()
            .map(|stream| {
                self.streams.remove(&stream);
                let end = StreamEnd::Failed(Verdict::MayHaveRun);
                (stream, Event::Ended(end))
            })
            .collect()
    }

    /// Lets each engine generate for one step of time.
    pub fn advance(&mut self, now: Instant) -> Vec<(StreamId, Event)> {
        self.swap(now);
        let mut events = std::mem::take(&mut self.strays);
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

/// True length of a sample: every eighth one is a straggler.
fn length(request: &EngineCompletionRequest) -> u32 {
    let seed = request.seed as u32;
    let length = 20 + (seed * 37) % 60;
    let length = if seed % 8 == 3 { length + 300 } else { length };
    length.min(request.max_tokens)
}
