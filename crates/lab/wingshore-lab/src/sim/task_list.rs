//! What a simulated operator is to do; it outlives the operator's process.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use wingshore_types::protocol::control::Intent;
use wingshore_types::{PoolId, WeightVersion};

/// What an operator is to do, and how far they have come; outlives the operator's process.
#[derive(Clone, Default)]
pub struct TaskList(Arc<Mutex<Tasks>>);

/// Something to be done as it is.
#[derive(Clone, Debug)]
pub(super) enum Task {
    State(Intent),
    Publish {
        pool: PoolId,
        version: WeightVersion,
        model: String,
        store: SocketAddr,
    },
}

#[derive(Default)]
pub(super) struct Tasks {
    /// What is to be done first, in order.
    pub(super) queue: VecDeque<Task>,
    /// Changes of their own still to be made.
    pub(super) changes: u32,
    /// Whether those go to the contested server.
    pub(super) races: bool,
    pub(super) drawn: u64,
}

impl TaskList {
    /// An operator with `changes` of their own to make, with `races` to the contested server.
    pub fn new(changes: u32, races: bool) -> Self {
        let list = Self::default();
        list.lock().changes = changes;
        list.lock().races = races;
        list
    }

    pub fn add(&self, intent: Intent) {
        self.lock().queue.push_back(Task::State(intent));
    }

    /// Adds a publication: the weights are stored, then the version is announced.
    pub fn publish(&self, pool: PoolId, version: WeightVersion, model: &str, store: SocketAddr) {
        let model = model.to_owned();
        self.lock().queue.push_back(Task::Publish {
            pool,
            version,
            model,
            store,
        });
    }

    /// Gives further changes to make.
    pub fn add_changes(&self, changes: u32) {
        self.lock().changes += changes;
    }

    /// Whether all is done.
    pub fn is_done(&self) -> bool {
        let state = self.lock();
        state.queue.is_empty() && state.changes == 0
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Tasks> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
