//! Machines with deliberate faults, for tests and simulators.
//!
//! A host makes its state and its leader by `Default`. These wrappers choose the faults by type,
//! so that a host of a faulty machine is made like any other.

use std::marker::PhantomData;
use wingshore_types::machine::{
    LeaderMachine, LeaderOutputs, ProposalTag, ReplicatedState, RequestTag, RestoreError,
};
use wingshore_types::{Epoch, Instant, LogIndex};

/// A machine in which faults can be switched on.
pub trait TakesFaults {
    /// Which faults there are.
    type Faults;
    /// Replaces the faults that are on.
    fn set_faults(&mut self, faults: Self::Faults);
}

/// Chooses faults by type.
pub trait FaultSelection {
    /// Which faults there are.
    type Faults;
    /// The faults that are on.
    const FAULTS: Self::Faults;
}

/// The machine `M` with the faults of `S`.
#[derive(Debug)]
pub struct Faulty<M, S> {
    machine: M,
    selection: PhantomData<S>,
}

impl<M: TakesFaults, S: FaultSelection<Faults = M::Faults>> Faulty<M, S> {
    fn new(mut machine: M) -> Self {
        machine.set_faults(S::FAULTS);
        Self {
            machine,
            selection: PhantomData,
        }
    }

    /// The machine itself.
    pub fn machine(&self) -> &M {
        &self.machine
    }
}

impl<M, S> Default for Faulty<M, S>
where
    M: TakesFaults + Default,
    S: FaultSelection<Faults = M::Faults>,
{
    fn default() -> Self {
        Self::new(M::default())
    }
}

impl<M, S> ReplicatedState for Faulty<M, S>
where
    M: ReplicatedState + TakesFaults,
    S: FaultSelection<Faults = M::Faults>,
{
    type Command = M::Command;
    type Reply = M::Reply;

    fn apply(&mut self, index: LogIndex, command: M::Command) -> M::Reply {
        self.machine.apply(index, command)
    }

    fn snapshot(&self) -> Vec<u8> {
        self.machine.snapshot()
    }

    fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        M::restore(bytes).map(Self::new)
    }
}

impl<L, S, F> LeaderMachine for Faulty<L, S>
where
    L: LeaderMachine + TakesFaults<Faults = F>,
    L::State: TakesFaults<Faults = F>,
    S: FaultSelection<Faults = F>,
{
    type State = Faulty<L::State, S>;
    type Request = L::Request;
    type Reply = L::Reply;
    type Effect = L::Effect;
    type Event = L::Event;

    fn on_leadership(
        &mut self,
        now: Instant,
        epoch: Epoch,
        state: &Self::State,
        out: &mut LeaderOutputs<Self>,
    ) {
        self.machine.on_leadership(now, epoch, &state.machine, out);
    }

    fn on_request(
        &mut self,
        now: Instant,
        tag: RequestTag,
        request: L::Request,
        state: &Self::State,
        out: &mut LeaderOutputs<Self>,
    ) {
        self.machine
            .on_request(now, tag, request, &state.machine, out);
    }

    fn on_applied(
        &mut self,
        now: Instant,
        tag: ProposalTag,
        reply: <L::State as ReplicatedState>::Reply,
        state: &Self::State,
        out: &mut LeaderOutputs<Self>,
    ) {
        self.machine
            .on_applied(now, tag, reply, &state.machine, out);
    }

    fn on_event(
        &mut self,
        now: Instant,
        event: L::Event,
        state: &Self::State,
        out: &mut LeaderOutputs<Self>,
    ) {
        self.machine.on_event(now, event, &state.machine, out);
    }

    fn on_tick(&mut self, now: Instant, state: &Self::State, out: &mut LeaderOutputs<Self>) {
        self.machine.on_tick(now, &state.machine, out);
    }
}
