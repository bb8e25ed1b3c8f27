//! Traits of replicated state machines: what is replicated, and what only a leader does.
//!
//! Neither reads a clock, opens a socket or a file, or draws randomness of its own: the
//! production drivers and the simulator drive the same code.

use crate::ids::{Epoch, LogIndex};
use crate::snapshot_data::SnapshotState;
use crate::time::Instant;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Display;
use std::io::Read;

/// Why a snapshot could not be restored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestoreError {
    /// What is wrong with the bytes.
    pub message: String,
}

impl RestoreError {
    /// What went wrong, as it describes itself.
    pub fn from_display(error: impl Display) -> Self {
        let message = error.to_string();
        Self { message }
    }
}

/// The replicated part: the same commands in the same order give the same state and replies on
/// every member. Times come inside commands.
pub trait ReplicatedState: Sized {
    /// A change of state, as the log holds it.
    type Command: Serialize + DeserializeOwned + Clone;
    /// What the change answers.
    type Reply: Clone;

    /// Applies the committed command at `index`. Must be deterministic and must not panic.
    fn apply(&mut self, index: LogIndex, command: Self::Command) -> Self::Reply;
    /// The whole state as bytes.
    fn snapshot(&self) -> Vec<u8>;
    /// The whole state, to be encoded when its bytes are needed; the same bytes as those of
    /// [`ReplicatedState::snapshot`]. A large state shares its parts instead of being encoded here.
    fn freeze(&self) -> SnapshotState {
        self.snapshot().into()
    }
    /// The state that [`ReplicatedState::snapshot`] wrote.
    ///
    /// # Errors
    /// When the bytes are not a snapshot of this format version.
    fn restore(bytes: &[u8]) -> Result<Self, RestoreError>;

    /// Replaces this state by the one that [`ReplicatedState::snapshot`] or
    /// [`ReplicatedState::freeze`] wrote. A large state is read piece by piece.
    ///
    /// # Errors
    /// As [`ReplicatedState::restore`], or when the bytes cannot be read.
    fn restore_from(&mut self, reader: &mut dyn Read) -> Result<(), RestoreError> {
        let mut bytes = Vec::new();
        reader
            .read_to_end(&mut bytes)
            .map_err(RestoreError::from_display)?;
        *self = Self::restore(&bytes)?;
        Ok(())
    }
}

/// Names one client request within one leader's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestTag(pub u64);

/// Names one proposal within one leader's memory; chosen by the leader machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalTag(pub u64);

/// What a leader machine asks its host to do.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaderOutput<C, R, E> {
    /// Append a command to the log; [`LeaderMachine::on_applied`] follows once it is applied.
    Propose {
        /// Returned with the reply.
        tag: ProposalTag,
        /// The command.
        command: C,
    },
    /// Answer a request. The host releases it only while the quorum lease is held, so an answer
    /// is never given by a leader that was cut off.
    Reply {
        /// Which request.
        tag: RequestTag,
        /// The answer.
        reply: R,
    },
    /// Something outside the group, for instance an order to an engine; released like a reply.
    Effect(E),
}

/// The outputs of the leader machine `L`.
pub type LeaderOutputs<L> = Vec<
    LeaderOutput<
        <<L as LeaderMachine>::State as ReplicatedState>::Command,
        <L as LeaderMachine>::Reply,
        <L as LeaderMachine>::Effect,
    >,
>;

/// The part that runs only on a leader. It is volatile: made anew at each leadership from the
/// replicated state, so that a new leader continues from what was committed and nothing else.
pub trait LeaderMachine: Sized {
    /// The replicated part it proposes to.
    type State: ReplicatedState;
    /// A client's request.
    type Request: Serialize + DeserializeOwned;
    /// The answer to a request.
    type Reply: Serialize + DeserializeOwned;
    /// Something to do outside the group.
    type Effect;
    /// The result of an effect, or news from outside.
    type Event;

    /// Begins a leadership. Called once the new leader has applied an entry of its own term, so
    /// that `state` holds all that was ever committed.
    fn on_leadership(
        &mut self,
        now: Instant,
        epoch: Epoch,
        state: &Self::State,
        out: &mut LeaderOutputs<Self>,
    );
    /// Handles a client's request; answers now or later under the same `tag`.
    fn on_request(
        &mut self,
        now: Instant,
        tag: RequestTag,
        request: Self::Request,
        state: &Self::State,
        out: &mut LeaderOutputs<Self>,
    );
    /// One of its own proposals was applied.
    fn on_applied(
        &mut self,
        now: Instant,
        tag: ProposalTag,
        reply: <Self::State as ReplicatedState>::Reply,
        state: &Self::State,
        out: &mut LeaderOutputs<Self>,
    );
    /// An effect's result, or news from outside.
    fn on_event(
        &mut self,
        now: Instant,
        event: Self::Event,
        state: &Self::State,
        out: &mut LeaderOutputs<Self>,
    );
    /// Called at least every 100 ms.
    fn on_tick(&mut self, now: Instant, state: &Self::State, out: &mut LeaderOutputs<Self>);
}
