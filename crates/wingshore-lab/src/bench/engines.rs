//! The engines of a run: the stand-in's core, its streams, its crashes.

use crate::stand_ins::engine::fence::OrderAnswer;
use crate::stand_ins::engine::{EngineCore, EngineInput, EngineOutput, EngineSettings};
use std::collections::HashMap;
use wingshore_rollout::{AttemptId, StreamEnd};
use wingshore_types::configuration::Server;
use wingshore_types::platform::{
    EngineCompletionRequest, EngineOrder, EngineStreamEvent, FinishReason, Usage,
};
use wingshore_types::{Instant, Token, Verdict, WeightVersion};

/// Whose stream it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamOwner {
    /// An attempt of the product's runner.
    Rollout(AttemptId),
    /// An attempt of the baseline at the sample with this number.
    Baseline {
        /// The sample.
        number: u64,
        /// Counts its attempts.
        attempt: u64,
    },
    /// A live call.
    Live {
        /// The call.
        call: u64,
        /// Counts its attempts.
        attempt: u32,
    },
}

/// What a stream brings.
#[derive(Clone, Debug)]
pub enum StreamNews {
    /// Tokens.
    Chunk(Vec<Token>, WeightVersion),
    /// The final event.
    Finished(FinishReason, Usage),
    /// It ended without one.
    Ended(StreamEnd),
}

/// What an engine wants done.
#[derive(Debug)]
pub enum EngineAction {
    /// Something for the owner of a stream.
    Stream(StreamOwner, StreamNews),
    /// Fetch a version.
    Fetch {
        /// The boot that asks.
        boot: u64,
        /// The version.
        version: WeightVersion,
    },
    /// An order was answered.
    Answered(EngineOrder, OrderAnswer),
    /// The version in force changed.
    InForce(Option<WeightVersion>),
}

struct Stream {
    owner: StreamOwner,
    seed: u64,
}

/// One engine.
pub struct Engine {
    /// Its entry in the configuration.
    pub server: Server,
    /// Counts its starts.
    pub boot: u64,
    /// When it next wants to be woken, as far as that was asked for.
    pub wake: Option<Instant>,
    core: Option<EngineCore>,
    settings: EngineSettings,
    streams: HashMap<String, Stream>,
}

/// Boots of different engines have different identities.
const BOOTS_PER_ENGINE: u64 = 1 << 20;

impl Engine {
    /// An engine that has just started.
    pub fn new(now: Instant, index: usize, server: Server, settings: EngineSettings) -> Self {
        let mut engine = Self {
            server,
            boot: (index as u64 + 1) * BOOTS_PER_ENGINE,
            wake: None,
            core: None,
            settings,
            streams: HashMap::new(),
        };
        engine.start(now);
        engine
    }

    /// Starts it, with the weights it had at the very first.
    pub fn start(&mut self, now: Instant) {
        self.boot += 1;
        self.core = Some(EngineCore::new(now, self.settings.clone(), self.boot));
        self.wake = None;
    }

    /// Ends it: all streams are cut.
    pub fn crash(&mut self) -> Vec<EngineAction> {
        self.core = None;
        let streams = std::mem::take(&mut self.streams);
        let mut owners: Vec<(String, Stream)> = streams.into_iter().collect();
        owners.sort_by(|left, right| left.0.cmp(&right.0));
        let cut = || StreamNews::Ended(StreamEnd::Failed(Verdict::MayHaveRun));
        owners
            .into_iter()
            .map(|(_, stream)| EngineAction::Stream(stream.owner, cut()))
            .collect()
    }

    /// The running process.
    pub fn core(&mut self) -> Option<&mut EngineCore> {
        self.core.as_mut()
    }

    /// When it wants to be woken.
    pub fn next_wake(&self) -> Option<Instant> {
        self.core.as_ref()?.next_wake()
    }

    /// Opens a stream.
    pub fn submit(
        &mut self,
        now: Instant,
        owner: StreamOwner,
        request: EngineCompletionRequest,
        counted: &mut HashMap<u64, u64>,
    ) -> Vec<EngineAction> {
        if self.core.is_none() {
            let refused = StreamNews::Ended(StreamEnd::Failed(Verdict::NotRun));
            return vec![EngineAction::Stream(owner, refused)];
        }
        let stream = Stream {
            owner,
            seed: request.seed,
        };
        self.streams.insert(request.request_id.clone(), stream);
        self.step(now, EngineInput::Submit(request), counted)
    }

    /// Closes a stream; nothing of it is heard any more.
    pub fn cancel(
        &mut self,
        now: Instant,
        request_id: String,
        counted: &mut HashMap<u64, u64>,
    ) -> Vec<EngineAction> {
        self.streams.remove(&request_id);
        self.step(now, EngineInput::Cancel { request_id }, counted)
    }

    /// Lets the core take an input; `counted` gets the tokens generated for each seed.
    pub fn step(
        &mut self,
        now: Instant,
        input: EngineInput,
        counted: &mut HashMap<u64, u64>,
    ) -> Vec<EngineAction> {
        let Some(core) = self.core.as_mut() else {
            return Vec::new();
        };
        let mut outputs = Vec::new();
        core.step(now, input, &mut outputs);
        outputs
            .into_iter()
            .filter_map(|output| self.action(output, counted))
            .collect()
    }

    fn action(
        &mut self,
        output: EngineOutput,
        counted: &mut HashMap<u64, u64>,
    ) -> Option<EngineAction> {
        match output {
            EngineOutput::RefusedNotRun { request_id, .. } => {
                let stream = self.streams.remove(&request_id)?;
                let news = StreamNews::Ended(StreamEnd::Refused);
                Some(EngineAction::Stream(stream.owner, news))
            }
            EngineOutput::Event { request_id, event } => self.event(&request_id, event, counted),
            EngineOutput::Dropped { request_id, .. } => {
                let stream = self.streams.remove(&request_id)?;
                let news = StreamNews::Ended(StreamEnd::Failed(Verdict::MayHaveRun));
                Some(EngineAction::Stream(stream.owner, news))
            }
            EngineOutput::OrderAnswered { order, judgement } => {
                Some(EngineAction::Answered(order, judgement.answer))
            }
            EngineOutput::FetchWeights { version, .. } => Some(EngineAction::Fetch {
                boot: self.boot,
                version,
            }),
            EngineOutput::VersionInForce(version) => Some(EngineAction::InForce(version)),
            EngineOutput::Started { .. } | EngineOutput::Finished { .. } => None,
        }
    }

    fn event(
        &mut self,
        request_id: &str,
        event: EngineStreamEvent,
        counted: &mut HashMap<u64, u64>,
    ) -> Option<EngineAction> {
        let stream = self.streams.get(request_id)?;
        let owner = stream.owner;
        let news = match event {
            EngineStreamEvent::Chunk {
                tokens,
                weight_version,
            } => {
                *counted.entry(stream.seed).or_default() += tokens.len() as u64;
                StreamNews::Chunk(tokens, weight_version)
            }
            EngineStreamEvent::Finished {
                finish_reason,
                usage,
            } => {
                self.streams.remove(request_id);
                StreamNews::Finished(finish_reason, usage)
            }
        };
        Some(EngineAction::Stream(owner, news))
    }
}
