//! Decision: is an order to load weights sent, sent again, done or failed?
//!
//! Inputs: the engine's answer to the order, its reports with the time at which each was polled,
//! the time since the order was accepted.
//!
//! Rule: an unanswered order is sent again under its fence, after a backoff that doubles from
//! `order_timeout` to `max_order_backoff`. It has succeeded when a report polled after the order
//! names its fence, or a higher one, and its version. It has failed when it was rejected, when such
//! a report shows neither the version nor that the version is being loaded, when the engine has
//! restarted without having seen it, or when `swap_timeout` has passed since its acceptance.
//!
//! Why: an answer says that the engine accepted the order; only a report says which version it
//! serves. A fence is the leader's epoch and a sequence within it, so an engine refuses late orders
//! of an earlier leader; a new decision has a new fence, and the old order is never sent again.
//!
//! Missing input: without a report the order stays open until `swap_timeout`; one that was never
//! accepted stays open and is sent again.

use crate::effect::OrderAnswer;
use crate::settings::LeaderSettings;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::ids::{Epoch, OrderSequence, WeightVersion};
use wingshore_types::platform::{EngineOrder, EngineState, OrderBody, OrderFence};
use wingshore_types::{Instant, Verdict};

/// Generates the fences of one leadership, each once.
#[derive(Debug, Default)]
pub(crate) struct FenceSource {
    epoch: Epoch,
    last_sequence: u64,
}

impl FenceSource {
    /// Creates a source of fences of `epoch`, starting at sequence 1.
    pub(crate) fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            last_sequence: 0,
        }
    }

    /// Returns the next fence.
    pub(crate) fn next(&mut self) -> OrderFence {
        self.last_sequence += 1;
        OrderFence {
            epoch: self.epoch,
            sequence: OrderSequence(self.last_sequence),
        }
    }
}

/// Progress of an order to load weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderProgress {
    /// No result yet.
    Open,
    /// The engine reports the version.
    Succeeded,
    /// The engine will not serve the version as a result of this order.
    Failed,
}

/// An order to load weights that has no result yet.
#[derive(Clone, Debug)]
pub(crate) struct SwapOrder {
    order: EngineOrder,
    version: WeightVersion,
    source: SocketAddr,
    first_sent: Instant,
    send_next: Instant,
    send_wait: Duration,
    accepted_at: Option<Instant>,
    refused: bool,
    /// Boot id of the engine when the order was created.
    boot_id: u64,
}

impl SwapOrder {
    /// Creates an order that is due to be sent at once.
    pub(crate) fn new(
        now: Instant,
        fence: OrderFence,
        version: WeightVersion,
        source: SocketAddr,
        boot_id: u64,
    ) -> Self {
        let body = OrderBody::LoadWeights {
            version,
            source: format!("http://{source}"),
        };
        Self {
            order: EngineOrder { fence, order: body },
            version,
            source,
            first_sent: now,
            send_next: now,
            send_wait: Duration::ZERO,
            accepted_at: None,
            refused: false,
            boot_id,
        }
    }

    /// Returns the fence of the order.
    pub(crate) fn fence(&self) -> OrderFence {
        self.order.fence
    }

    /// Returns the version to load.
    pub(crate) fn version(&self) -> WeightVersion {
        self.version
    }

    /// Returns the address that the engine fetches from.
    pub(crate) fn source(&self) -> SocketAddr {
        self.source
    }

    /// Returns whether the engine has accepted the order.
    pub(crate) fn is_accepted(&self) -> bool {
        self.accepted_at.is_some()
    }

    /// Returns when the order was sent for the first time.
    pub(crate) fn first_sent(&self) -> Instant {
        self.first_sent
    }

    /// Returns the order if it is due now: for the first time, or again under the same fence
    /// because it was not answered.
    pub(crate) fn send_due(
        &mut self,
        now: Instant,
        settings: &LeaderSettings,
    ) -> Option<EngineOrder> {
        if self.accepted_at.is_some() || self.refused || now < self.send_next {
            return None;
        }
        self.send_wait = (self.send_wait * 2)
            .max(settings.order_timeout)
            .min(settings.max_order_backoff);
        self.send_next = now + self.send_wait;
        Some(self.order.clone())
    }

    /// Handles the engine's answer.
    pub(crate) fn on_answer(&mut self, now: Instant, answer: OrderAnswer) {
        match answer {
            OrderAnswer::Accepted => {
                self.accepted_at.get_or_insert(now);
            }
            OrderAnswer::Fenced(_) | OrderAnswer::Failed(Verdict::Ran) => self.refused = true,
            OrderAnswer::Failed(Verdict::NotRun | Verdict::MayHaveRun) => {}
        }
    }

    /// Returns the progress by the engine's own report; ignores reports polled before the order.
    pub(crate) fn on_report(
        &mut self,
        now: Instant,
        polled_at: Instant,
        state: &EngineState,
    ) -> OrderProgress {
        if polled_at <= self.first_sent {
            return OrderProgress::Open;
        }
        if state.last_order.is_some_and(|last| last >= self.fence()) {
            return self.progress_of_seen_order(now, state);
        }
        let polled_after_acceptance = self.accepted_at.is_some_and(|at| polled_at > at);
        if state.boot_id != self.boot_id || polled_after_acceptance {
            return OrderProgress::Failed;
        }
        OrderProgress::Open
    }

    /// Returns the progress by a report of an engine that has seen this fence or a higher one.
    fn progress_of_seen_order(&mut self, now: Instant, state: &EngineState) -> OrderProgress {
        self.accepted_at.get_or_insert(now);
        if state.weight_version == Some(self.version) {
            return OrderProgress::Succeeded;
        }
        if state.loading == Some(self.version) && state.boot_id == self.boot_id {
            return OrderProgress::Open;
        }
        OrderProgress::Failed
    }

    /// Returns the progress by rejection and by the time since acceptance.
    pub(crate) fn check_timeout(&self, now: Instant, settings: &LeaderSettings) -> OrderProgress {
        let too_long = self
            .accepted_at
            .is_some_and(|at| now.since(at) > settings.swap_timeout);
        if self.refused || too_long {
            return OrderProgress::Failed;
        }
        OrderProgress::Open
    }
}
