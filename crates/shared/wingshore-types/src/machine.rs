//! Traits of replicated state machines: the replicated part and the part that only a leader runs.
//!
//! Implementations do not read clocks, open sockets or files, or generate random numbers, so that
//! the production hosts and the simulator run the same code.

use crate::ids::{Epoch, LogIndex};
use crate::snapshot_data::SnapshotState;
use crate::time::Instant;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Display;
use std::io::Read;

/// The reason why a snapshot could not be restored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestoreError {
    /// Description of the error.
    pub message: String,
}

impl RestoreError {
    /// Creates an error with the text of `error` as its message.
    pub fn from_display(error: impl Display) -> Self {
        let message = error.to_string();
        Self { message }
    }
}

/// The replicated part: the same commands in the same order give the same state and replies on
/// every member. Commands contain the times that they depend on.
pub trait ReplicatedState: Sized {
    /// A change of the state, as stored in the log.
    type Command: Serialize + DeserializeOwned + Clone;
    /// The result of a change.
    type Reply: Clone;

    /// Applies the committed command at `index`. Must be deterministic and must not panic.
    fn apply(&mut self, index: LogIndex, command: Self::Command) -> Self::Reply;
    /// Encodes the complete state.
    fn snapshot(&self) -> Vec<u8>;
    /// Returns the complete state for lazy encoding, into the same bytes as
    /// [`ReplicatedState::snapshot`]. A large state shares its parts instead of encoding them
    /// here.
    fn freeze(&self) -> SnapshotState {
        self.snapshot().into()
    }
    /// Decodes a state that was encoded by [`ReplicatedState::snapshot`].
    ///
    /// # Errors
    /// Returns an error if the bytes are not a snapshot of this format version.
    fn restore(bytes: &[u8]) -> Result<Self, RestoreError>;

    /// Replaces this state with one that was encoded by [`ReplicatedState::snapshot`] or
    /// [`ReplicatedState::freeze`]. A large state is read incrementally.
    ///
    /// # Errors
    /// Returns the errors of [`ReplicatedState::restore`], or an error if reading fails.
    fn restore_from(&mut self, reader: &mut dyn Read) -> Result<(), RestoreError> {
        let mut bytes = Vec::new();
        reader
            .read_to_end(&mut bytes)
            .map_err(RestoreError::from_display)?;
        *self = Self::restore(&bytes)?;
        Ok(())
    }
}

/// Identifies a client request on one leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestTag(pub u64);

/// Identifies a proposal on one leader; chosen by the leader machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalTag(pub u64);

/// An action that a leader machine requests from its host.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaderOutput<C, R, E> {
    /// Appends a command to the log; [`LeaderMachine::on_applied`] is called once it is applied.
    Propose {
        /// Passed back with the reply.
        tag: ProposalTag,
        /// The command.
        command: C,
    },
    /// Answers a request. The host sends the reply only while the leader holds the quorum lease,
    /// so a partitioned leader never answers.
    Reply {
        /// The request.
        tag: RequestTag,
        /// The reply.
        reply: R,
    },
    /// Has an effect outside the group, for instance an order to an engine. Like a reply, it is
    /// released only while the leader holds the quorum lease.
    Effect(E),
}

/// A list of outputs of the leader machine `L`.
pub type LeaderOutputs<L> = Vec<
    LeaderOutput<
        <<L as LeaderMachine>::State as ReplicatedState>::Command,
        <L as LeaderMachine>::Reply,
        <L as LeaderMachine>::Effect,
    >,
>;

/// The part that runs only on a leader. It is volatile and is rebuilt from the replicated state at
/// the start of each leadership, so that a new leader continues only from what was committed.
pub trait LeaderMachine: Sized {
    /// The replicated part.
    type State: ReplicatedState;
    /// A client request.
    type Request: Serialize + DeserializeOwned;
    /// The reply to a request.
    type Reply: Serialize + DeserializeOwned;
    /// An effect outside the group.
    type Effect;
    /// The result of an effect or another external event.
    type Event;

    /// Starts a leadership. Called once the new leader has applied an entry of its own term, so
    /// that `state` contains every committed change.
    fn on_leadership(
        &mut self,
        now: Instant,
        epoch: Epoch,
        state: &Self::State,
        out: &mut LeaderOutputs<Self>,
    );
    /// Handles a client request; replies immediately or later, with the same `tag`.
    fn on_request(
        &mut self,
        now: Instant,
        tag: RequestTag,
        request: Self::Request,
        state: &Self::State,
        out: &mut LeaderOutputs<Self>,
    );
    /// Handles the result of an applied proposal of this leader.
    fn on_applied(
        &mut self,
        now: Instant,
        tag: ProposalTag,
        reply: <Self::State as ReplicatedState>::Reply,
        state: &Self::State,
        out: &mut LeaderOutputs<Self>,
    );
    /// Handles the result of an effect or another external event.
    fn on_event(
        &mut self,
        now: Instant,
        event: Self::Event,
        state: &Self::State,
        out: &mut LeaderOutputs<Self>,
    );
    /// Handles the passage of time; called at least every 100 ms.
    fn on_tick(&mut self, now: Instant, state: &Self::State, out: &mut LeaderOutputs<Self>);
}
