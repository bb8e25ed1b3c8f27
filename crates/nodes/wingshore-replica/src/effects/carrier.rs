//! Threads that carry the control group's effects.

use super::engine::EngineClient;
use super::lease::LeaseView;
use crate::error::{ReplicaError, ThreadSnafu};
use crate::group::{EffectRunner, GroupEvent, Inbox};
use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use wingshore_clock::Clock;
use wingshore_control::{ControlEffect, ControlEvent, ControlLeader, LeaderSettings, OrderAnswer};
use wingshore_settings::OrderSettings;
use wingshore_types::platform::EngineOrder;
use wingshore_types::{Epoch, Instant, ReplicaId, ServerId, Verdict};

/// Effects of one kind that may wait for a thread; beyond that they fail as not run.
const WAITING_EFFECTS: usize = 1024;
/// One thread of this many carries orders; a server that does not answer readings of its state
/// then holds up no order.
const ORDER_SHARE: usize = 4;

/// What the carrying of effects needs to know.
pub(crate) struct EffectSettings {
    pub(crate) replica: ReplicaId,
    pub(crate) leader: LeaderSettings,
    pub(crate) orders: OrderSettings,
}

/// Hands effects of the control group to threads.
pub(crate) struct ControlEffects {
    replica: ReplicaId,
    leader: LeaderSettings,
    lease: Arc<LeaseView>,
    clock: Clock,
    orders: Sender<ControlEffect>,
    readings: Sender<ControlEffect>,
}

impl ControlEffects {
    /// Starts the threads; they end when the group does.
    pub(crate) fn start(
        settings: EffectSettings,
        lease: Arc<LeaseView>,
        clock: Clock,
        inbox: &Inbox<ControlLeader>,
    ) -> Result<Self, ReplicaError> {
        let workers = settings.orders.workers;
        let order_workers = (workers / ORDER_SHARE).max(1);
        let reading_workers = workers.saturating_sub(order_workers).max(1);
        let carrier = Carrier {
            client: EngineClient::new(settings.orders.timeout),
            lease: Arc::clone(&lease),
            clock,
            inbox: inbox.clone(),
        };
        Ok(Self {
            replica: settings.replica,
            leader: settings.leader,
            lease,
            clock,
            orders: carrier.start_threads("orders", order_workers)?,
            readings: carrier.start_threads("readings", reading_workers)?,
        })
    }
}

impl EffectRunner<ControlLeader> for ControlEffects {
    fn on_leading(&mut self, epoch: Epoch) -> Option<ControlEvent> {
        self.lease.set_epoch(epoch);
        Some(ControlEvent::Configured {
            replica: self.replica,
            settings: Box::new(self.leader.clone()),
        })
    }

    fn on_lease(&mut self, until: Option<Instant>) {
        self.lease.set_until(until);
    }

    fn begin(&mut self, effect: ControlEffect) -> Option<ControlEvent> {
        let queue = match &effect {
            ControlEffect::SendOrder { .. } => &self.orders,
            ControlEffect::ReadState { .. } | ControlEffect::ReadLoad { .. } => &self.readings,
        };
        match queue.try_send(effect) {
            Ok(()) => None,
            Err(TrySendError::Full(effect) | TrySendError::Disconnected(effect)) => {
                Some(not_begun(effect, self.clock.now()))
            }
        }
    }
}

/// What one thread needs.
#[derive(Clone)]
struct Carrier {
    client: EngineClient,
    lease: Arc<LeaseView>,
    clock: Clock,
    inbox: Inbox<ControlLeader>,
}

impl Carrier {
    fn start_threads(
        &self,
        name: &str,
        count: usize,
    ) -> Result<Sender<ControlEffect>, ReplicaError> {
        let (sender, receiver) = bounded(WAITING_EFFECTS);
        for _ in 0..count {
            let carrier = self.clone();
            let receiver = receiver.clone();
            thread::Builder::new()
                .name(name.to_owned())
                .spawn(move || carrier.run(&receiver))
                .context(ThreadSnafu { name })?;
        }
        Ok(sender)
    }

    fn run(&self, effects: &Receiver<ControlEffect>) {
        for effect in effects {
            let event = self.carry_out(effect);
            self.inbox.event(GroupEvent::Effect(event));
        }
    }

    fn carry_out(&self, effect: ControlEffect) -> ControlEvent {
        match effect {
            ControlEffect::SendOrder {
                server,
                address,
                order,
            } => self.send_order(server, address, &order),
            ControlEffect::ReadState { server, address } => {
                let polled_at = self.clock.now();
                let state = self.client.read_state(address);
                ControlEvent::StateRead {
                    server,
                    polled_at,
                    state,
                }
            }
            ControlEffect::ReadLoad { server, address } => {
                let polled_at = self.clock.now();
                let load = self.client.read_load(address);
                ControlEvent::LoadRead {
                    server,
                    polled_at,
                    load,
                }
            }
        }
    }

    /// The order may have waited here, or the process may have been frozen: the lease is checked
    /// again right before the order leaves. A freeze after this very check is left to the fence
    /// that the engine checks.
    fn send_order(
        &self,
        server: ServerId,
        address: SocketAddr,
        order: &EngineOrder,
    ) -> ControlEvent {
        let fence = order.fence;
        let answer = if self.lease.allows(fence.epoch, self.clock.now()) {
            self.client.send_order(address, order)
        } else {
            OrderAnswer::Failed(Verdict::NotRun)
        };
        ControlEvent::OrderAnswered {
            server,
            fence,
            answer,
        }
    }
}

/// No thread is free to carry the effect.
fn not_begun(effect: ControlEffect, now: Instant) -> ControlEvent {
    match effect {
        ControlEffect::SendOrder { server, order, .. } => ControlEvent::OrderAnswered {
            server,
            fence: order.fence,
            answer: OrderAnswer::Failed(Verdict::NotRun),
        },
        ControlEffect::ReadState { server, .. } => ControlEvent::StateRead {
            server,
            polled_at: now,
            state: Err(Verdict::NotRun),
        },
        ControlEffect::ReadLoad { server, .. } => ControlEvent::LoadRead {
            server,
            polled_at: now,
            load: Err(Verdict::NotRun),
        },
    }
}
