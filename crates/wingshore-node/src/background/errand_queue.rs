//! The queue of work that nobody waits for: settling claims, cancelling attempts at engines.

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use std::net::SocketAddr;
use wingshore_types::GroupId;
use wingshore_types::protocol::claims::ClaimsRequest;

/// Most errands that wait.
const QUEUE: usize = 16 * 1024;

/// One errand.
#[derive(Debug)]
pub enum Errand {
    /// Tell a claims group how a claim ended.
    Settle {
        /// The group.
        group: GroupId,
        /// The settlement.
        request: Box<ClaimsRequest>,
    },
    /// Tell an engine that nobody wants an attempt any more.
    CancelAtEngine {
        /// The engine.
        address: SocketAddr,
        /// The attempt.
        request_id: String,
    },
}

/// The queue of errands; bounded.
#[derive(Clone, Debug)]
pub struct Errands {
    sender: Sender<Errand>,
    pub(super) receiver: Receiver<Errand>,
}

impl Default for Errands {
    fn default() -> Self {
        let (sender, receiver) = bounded(QUEUE);
        Self { sender, receiver }
    }
}

impl Errands {
    /// Leaves an errand.
    ///
    /// # Errors
    /// Gives it back when too many wait.
    pub fn leave(&self, errand: Errand) -> Result<(), Errand> {
        self.sender
            .try_send(errand)
            .map_err(|refused| match refused {
                TrySendError::Full(errand) | TrySendError::Disconnected(errand) => errand,
            })
    }
}
