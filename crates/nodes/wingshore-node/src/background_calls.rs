//! The queue of work that nobody waits for: settling claims, cancelling attempts at engines.

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use std::net::SocketAddr;
use wingshore_types::GroupId;
use wingshore_types::protocol::claims::ClaimsRequest;

/// Most background calls that wait; further ones are dropped.
const QUEUE: usize = 16 * 1024;

/// A call to a group or an engine whose answer nobody waits for.
#[derive(Debug)]
pub enum BackgroundCall {
    /// Report to a claims group how a claim ended.
    Settle {
        /// The group.
        group: GroupId,
        /// The settlement.
        request: Box<ClaimsRequest>,
    },
    /// Cancel an attempt at its engine.
    CancelAtEngine {
        /// The engine.
        address: SocketAddr,
        /// The attempt.
        request_id: String,
    },
}

/// The bounded queue of background calls.
#[derive(Clone, Debug)]
pub struct BackgroundCallQueue {
    sender: Sender<BackgroundCall>,
    pub receiver: Receiver<BackgroundCall>,
}

impl Default for BackgroundCallQueue {
    fn default() -> Self {
        let (sender, receiver) = bounded(QUEUE);
        Self { sender, receiver }
    }
}

impl BackgroundCallQueue {
    /// Adds a call.
    ///
    /// # Errors
    /// Returns the call when too many wait.
    pub fn add(&self, call: BackgroundCall) -> Result<(), BackgroundCall> {
        self.sender.try_send(call).map_err(|refused| match refused {
            TrySendError::Full(call) | TrySendError::Disconnected(call) => call,
        })
    }
}
