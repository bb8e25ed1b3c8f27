//! Machines that report what they apply to the observer.

use super::history::HistoryHash;
use super::observer::ObserverHandle;
use wingshore_control::ControlState;
use wingshore_ledger::claims::ClaimsState;
use wingshore_ledger::samples::LedgerState;
use wingshore_types::machine::{
    LeaderMachine, LeaderOutputs, ProposalTag, ReplicatedState, RequestTag, RestoreError,
};
use wingshore_types::{Epoch, GroupId, Instant, LogIndex, ReplicaId};

/// The whole state is compared at each index that this divides.
const STATE_CHECK_INTERVAL: u64 = 64;

/// A state that the observer can read.
pub trait ObservableState: ReplicatedState {
    /// Shows the observer what only this kind of state holds.
    fn show(&self, _observer: &ObserverHandle) {}
}

impl ObservableState for ControlState {
    fn show(&self, observer: &ObserverHandle) {
        observer.control(self);
    }
}

impl ObservableState for LedgerState {}
impl ObservableState for ClaimsState {}

/// Whose state it is.
#[derive(Clone)]
pub struct Probe {
    /// Where to report.
    pub observer: ObserverHandle,
    pub group: GroupId,
    pub member: ReplicaId,
}

/// A state that reports.
#[derive(Default)]
pub struct Observed<S> {
    /// The state itself.
    pub state: S,
    /// Set once it is known whose it is.
    pub probe: Option<Probe>,
}

impl<S: ObservableState> Observed<S> {
    fn report(&self, index: LogIndex, command: u64) {
        let Some(probe) = &self.probe else {
            return;
        };
        let Probe {
            observer,
            group,
            member,
        } = probe;
        observer.applied(*group, *member, index, command);
        self.state.show(observer);
        if index.0.is_multiple_of(STATE_CHECK_INTERVAL) {
            observer.state(*group, *member, index, hash(&self.state.snapshot()));
        }
    }
}

impl<S: ObservableState> ReplicatedState for Observed<S> {
    type Command = S::Command;
    type Reply = S::Reply;

    fn apply(&mut self, index: LogIndex, command: S::Command) -> S::Reply {
        let encoded = postcard::to_stdvec(&command).unwrap_or_default();
        let reply = self.state.apply(index, command);
        self.report(index, hash(&encoded));
        reply
    }

    fn snapshot(&self) -> Vec<u8> {
        self.state.snapshot()
    }

    fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        let state = S::restore(bytes)?;
        Ok(Self { state, probe: None })
    }
}

/// A leader of a state that reports.
#[derive(Default)]
pub struct ObservedLeader<L> {
    /// The leader itself.
    pub leader: L,
    /// Whose leader it is.
    pub probe: Option<Probe>,
}

impl<L: LeaderMachine> LeaderMachine for ObservedLeader<L>
where
    L::State: ObservableState,
{
    type State = Observed<L::State>;
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
        if let Some(probe) = &self.probe {
            probe.observer.leads(probe.group, probe.member, epoch);
        }
        self.leader.on_leadership(now, epoch, &state.state, out);
    }

    fn on_request(
        &mut self,
        now: Instant,
        tag: RequestTag,
        request: L::Request,
        state: &Self::State,
        out: &mut LeaderOutputs<Self>,
    ) {
        self.leader.on_request(now, tag, request, &state.state, out);
    }

    fn on_applied(
        &mut self,
        now: Instant,
        tag: ProposalTag,
        reply: <L::State as ReplicatedState>::Reply,
        state: &Self::State,
        out: &mut LeaderOutputs<Self>,
    ) {
        self.leader.on_applied(now, tag, reply, &state.state, out);
    }

    fn on_event(
        &mut self,
        now: Instant,
        event: L::Event,
        state: &Self::State,
        out: &mut LeaderOutputs<Self>,
    ) {
        self.leader.on_event(now, event, &state.state, out);
    }

    fn on_tick(&mut self, now: Instant, state: &Self::State, out: &mut LeaderOutputs<Self>) {
        self.leader.on_tick(now, &state.state, out);
    }
}

/// Hash of bytes, for comparison.
pub fn hash(bytes: &[u8]) -> u64 {
    let mut hash = HistoryHash::default();
    hash.bytes(bytes);
    hash.value()
}
