//! What routers ask of engines.

use super::{Event, PROBE_TICK, World};
use wingshore_routing::ProbeKind;
use wingshore_types::ServerId;
use wingshore_types::platform::{CacheEvents, EngineState, LoadReport};

/// What an engine answers.
pub(super) enum ProbeAnswer {
    State(Box<EngineState>),
    Load(LoadReport),
    CacheEvents(CacheEvents),
    None,
}

impl World {
    pub(super) fn on_probe_tick(&mut self, node: usize) {
        self.after(PROBE_TICK, Event::ProbeTick(node));
        if self.is_baseline() {
            return;
        }
        for target in self.nodes[node].router.probe_targets(self.now) {
            if let Some(engine) = self.engine_index.get(&target.server).copied() {
                let latency = self.latency(node, engine);
                self.after(latency, Event::ProbeRead(node, engine, target.kind));
            }
        }
    }

    pub(super) fn on_probe_read(&mut self, node: usize, engine: usize, kind: ProbeKind) {
        let now = self.now;
        let answer = match (self.engines[engine].core(), kind) {
            (None, _) => ProbeAnswer::None,
            (Some(core), ProbeKind::EngineState) => ProbeAnswer::State(Box::new(core.state())),
            (Some(core), ProbeKind::Load) => ProbeAnswer::Load(core.load(now)),
            (Some(core), ProbeKind::CacheEvents { after }) => {
                ProbeAnswer::CacheEvents(core.cache_events(now, after))
            }
        };
        let server = self.engines[engine].server.id.clone();
        let latency = self.latency(node, engine);
        self.after(latency, Event::ProbeAnswered(node, server, answer));
    }

    pub(super) fn on_probe_answered(
        &mut self,
        node: usize,
        server: &ServerId,
        answer: ProbeAnswer,
    ) {
        let router = &mut self.nodes[node].router;
        match answer {
            ProbeAnswer::State(state) => router.on_engine_state(self.now, server, &state),
            ProbeAnswer::Load(load) => router.on_load(self.now, server, &load),
            ProbeAnswer::CacheEvents(events) => router.on_cache_events(self.now, server, &events),
            ProbeAnswer::None => router.on_probe_failed(self.now, server),
        }
    }
}
