//! Worker threads that execute the control group's effects.

use super::engine::EngineClient;
use super::lease::SharedLease;
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

/// Capacity of each effect queue; effects beyond it fail as not run.
const MAX_QUEUED_EFFECTS: usize = 1024;
/// Worker threads per thread that is reserved for orders. Orders have threads of their own so that
/// a server that does not answer state reads cannot delay them.
const WORKERS_PER_ORDER_WORKER: usize = 4;

/// Settings for the execution of effects.
pub(crate) struct EffectSettings {
    pub(crate) replica: ReplicaId,
    pub(crate) leader: LeaderSettings,
    pub(crate) orders: OrderSettings,
}

/// Queues effects of the control group for the worker threads.
pub(crate) struct ControlEffects {
    replica: ReplicaId,
    leader: LeaderSettings,
    lease: Arc<SharedLease>,
    clock: Clock,
    orders: Sender<ControlEffect>,
    reads: Sender<ControlEffect>,
}

impl ControlEffects {
    /// Starts the worker threads; they end when the group ends.
    pub(crate) fn start(
        settings: EffectSettings,
        lease: Arc<SharedLease>,
        clock: Clock,
        inbox: &Inbox<ControlLeader>,
    ) -> Result<Self, ReplicaError> {
        let workers = settings.orders.workers;
        let order_workers = (workers / WORKERS_PER_ORDER_WORKER).max(1);
        let reading_workers = workers.saturating_sub(order_workers).max(1);
        let worker = EffectWorker {
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
            orders: worker.start_threads("orders", order_workers)?,
            reads: worker.start_threads("readings", reading_workers)?,
        })
    }
}

impl EffectRunner<ControlLeader> for ControlEffects {
    fn on_leadership_acquired(&mut self, epoch: Epoch) -> Option<ControlEvent> {
        self.lease.set_epoch(epoch);
        Some(ControlEvent::Configured {
            replica: self.replica,
            settings: Box::new(self.leader.clone()),
        })
    }

    fn set_lease_expiry(&mut self, expires_at: Option<Instant>) {
        self.lease.set_expiry(expires_at);
    }

    fn start_effect(&mut self, effect: ControlEffect) -> Option<ControlEvent> {
        let queue = match &effect {
            ControlEffect::SendOrder { .. } => &self.orders,
            ControlEffect::ReadState { .. } | ControlEffect::ReadLoad { .. } => &self.reads,
        };
        match queue.try_send(effect) {
            Ok(()) => None,
            Err(TrySendError::Full(effect) | TrySendError::Disconnected(effect)) => {
                Some(not_run_event(effect, self.clock.now()))
            }
        }
    }
}

/// State of one worker thread.
#[derive(Clone)]
struct EffectWorker {
    client: EngineClient,
    lease: Arc<SharedLease>,
    clock: Clock,
    inbox: Inbox<ControlLeader>,
}

impl EffectWorker {
    fn start_threads(
        &self,
        name: &str,
        count: usize,
    ) -> Result<Sender<ControlEffect>, ReplicaError> {
        let (sender, receiver) = bounded(MAX_QUEUED_EFFECTS);
        for _ in 0..count {
            let worker = self.clone();
            let receiver = receiver.clone();
            thread::Builder::new()
                .name(name.to_owned())
                .spawn(move || worker.run(&receiver))
                .context(ThreadSnafu { name })?;
        }
        Ok(sender)
    }

    fn run(&self, effects: &Receiver<ControlEffect>) {
        for effect in effects {
            let event = self.execute(effect);
            self.inbox.event(GroupEvent::Effect(event));
        }
    }

    fn execute(&self, effect: ControlEffect) -> ControlEvent {
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

    /// Sends an order if the lease still holds.
    ///
    /// The order may have waited in the queue, or the process may have been suspended, so the
    /// lease is checked again directly before sending. If the process is suspended after this
    /// check, the engine rejects the order by its fence.
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

/// Returns the event for an effect that could not be queued.
fn not_run_event(effect: ControlEffect, now: Instant) -> ControlEvent {
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
