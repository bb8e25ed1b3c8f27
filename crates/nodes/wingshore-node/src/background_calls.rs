//! Queue of fire-and-forget calls: settling claims and cancelling attempts at engines.

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use std::net::SocketAddr;
use wingshore_types::GroupId;
use wingshore_types::protocol::claims::ClaimsRequest;

/// Maximum number of queued background calls; further ones are dropped.
const MAX_QUEUED_CALLS: usize = 16 * 1024;

/// A fire-and-forget call to a group or an engine.
#[derive(Debug)]
pub enum BackgroundCall {
    /// Reports to a claims group how a claim ended.
    Settle {
        /// The claims group.
        group: GroupId,
        /// The settlement request.
        request: Box<ClaimsRequest>,
    },
    /// Cancels an attempt at its engine.
    CancelAtEngine {
        /// Address of the engine.
        address: SocketAddr,
        /// Request ID of the attempt at the engine.
        request_id: String,
    },
}

/// Bounded queue of background calls.
#[derive(Clone, Debug)]
pub struct BackgroundCallQueue {
    sender: Sender<BackgroundCall>,
    pub receiver: Receiver<BackgroundCall>,
}

impl Default for BackgroundCallQueue {
    fn default() -> Self {
        let (sender, receiver) = bounded(MAX_QUEUED_CALLS);
        Self { sender, receiver }
    }
}

impl BackgroundCallQueue {
    /// Enqueues a call.
    ///
    /// # Errors
    /// Returns the call when the queue is full.
    pub fn add(&self, call: BackgroundCall) -> Result<(), BackgroundCall> {
        self.sender.try_send(call).map_err(|refused| match refused {
            TrySendError::Full(call) | TrySendError::Disconnected(call) => call,
        })
    }
}
