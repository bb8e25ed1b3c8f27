//! Asks back ends how they are, as the router wants it, and reads the machine list.

use super::core::{NodeContext, UpstreamPurpose};
use super::upstream::News;
use crate::process::{Answer, Call};
use std::time::Duration;
use wingshore_routing::{ProbeKind, ProbeTarget};
use wingshore_types::{Instant, ServerId};

/// Between two checks which probes are due.
const POLL: Duration = Duration::from_millis(50);
/// One probe is given up after this time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Between two readings of the machine list.
const MACHINES_INTERVAL: Duration = Duration::from_secs(1);
/// One reading of the machine list is given up after this time.
const MACHINES_TIMEOUT: Duration = Duration::from_secs(2);

/// Probes and readings of the machine list.
pub struct Probes {
    next_check: Instant,
    next_reading: Option<Instant>,
}

impl Probes {
    /// Probes that begin at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            next_check: now,
            next_reading: Some(now),
        }
    }

    /// When [`Probes::on_wake`] is wanted.
    pub fn next_wake(&self) -> Option<Instant> {
        let reading = self.next_reading.unwrap_or(self.next_check);
        Some(self.next_check.min(reading))
    }

    /// Sends what is due.
    pub fn on_wake(&mut self, context: &mut NodeContext<'_>) {
        if self.next_check <= context.now {
            self.next_check = context.now + POLL;
            for target in context.core.router.probe_targets(context.now) {
                probe(context, target);
            }
        }
        if self.next_reading.is_some_and(|at| at <= context.now) {
            self.next_reading = None;
            read_machines(context);
        }
    }

    /// Takes what came of a reading of the machine list.
    pub fn on_machines(&mut self, context: &mut NodeContext<'_>, news: News) {
        self.next_reading = Some(context.now + MACHINES_INTERVAL);
        if let News::Answer(Answer::Machines(list)) = news {
            context.core.router.on_machine_list(context.now, &list);
        }
    }
}

/// Tells the router what came of a probe.
pub fn on_probe(context: &mut NodeContext<'_>, server: &ServerId, kind: ProbeKind, news: News) {
    let (now, router) = (context.now, &mut context.core.router);
    match (kind, news) {
        (ProbeKind::EngineState, News::Answer(Answer::State(state))) => {
            router.on_engine_state(now, server, &state);
        }
        (ProbeKind::Load, News::Answer(Answer::Load(report))) => {
            router.on_load(now, server, &report);
        }
        (ProbeKind::CacheEvents { .. }, News::Answer(Answer::CacheEvents(events))) => {
            router.on_cache_events(now, server, &events);
        }
        _ => router.on_probe_failed(now, server),
    }
}

fn probe(context: &mut NodeContext<'_>, target: ProbeTarget) {
    let call = match target.kind {
        ProbeKind::EngineState => Call::State,
        ProbeKind::Load => Call::Load,
        ProbeKind::CacheEvents { after } => Call::CacheEvents { after },
    };
    let purpose = UpstreamPurpose::Probe(target.server, target.kind);
    context.call(target.address, call, PROBE_TIMEOUT, purpose);
}

fn read_machines(context: &mut NodeContext<'_>) {
    if let Some(address) = context.core.settings.machine_list {
        let purpose = UpstreamPurpose::Machines;
        context.call(address, Call::Machines, MACHINES_TIMEOUT, purpose);
    }
}
