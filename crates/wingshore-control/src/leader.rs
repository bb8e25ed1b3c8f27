//! The part of the control group that runs on the leader only.

use crate::effect::{ControlEffect, ControlEvent};
use crate::faults::Faults;
use crate::settings::LeaderSettings;
use crate::state::ControlState;
use wingshore_types::Instant;
use wingshore_types::ids::{Epoch, ReplicaId};
use wingshore_types::machine::{LeaderMachine, LeaderOutputs, ProposalTag, RequestTag};
use wingshore_types::protocol::control::{ControlReply, ControlRequest};

/// Watches and leases of nodes, execution of plans, orders to engines.
#[derive(Debug, Default)]
pub struct ControlLeader {
    settings: LeaderSettings,
    faults: Faults,
    replica: ReplicaId,
    epoch: Epoch,
}

impl ControlLeader {
    /// A leader with settings of its own and, in tests, deliberate faults.
    pub fn new(settings: LeaderSettings, faults: Faults) -> Self {
        Self {
            settings,
            faults,
            ..Self::default()
        }
    }
}

impl LeaderMachine for ControlLeader {
    type State = ControlState;
    type Request = ControlRequest;
    type Reply = ControlReply;
    type Effect = ControlEffect;
    type Event = ControlEvent;

    fn on_leadership(
        &mut self,
        _now: Instant,
        epoch: Epoch,
        _state: &ControlState,
        _out: &mut LeaderOutputs<Self>,
    ) {
        let _ = (&self.settings, self.faults, self.replica, self.epoch);
        self.epoch = epoch;
    }

    fn on_request(
        &mut self,
        _now: Instant,
        _tag: RequestTag,
        _request: ControlRequest,
        _state: &ControlState,
        _out: &mut LeaderOutputs<Self>,
    ) {
    }

    fn on_applied(
        &mut self,
        _now: Instant,
        _tag: ProposalTag,
        _reply: ControlReply,
        _state: &ControlState,
        _out: &mut LeaderOutputs<Self>,
    ) {
    }

    fn on_event(
        &mut self,
        _now: Instant,
        _event: ControlEvent,
        _state: &ControlState,
        _out: &mut LeaderOutputs<Self>,
    ) {
    }

    fn on_tick(&mut self, _now: Instant, _state: &ControlState, _out: &mut LeaderOutputs<Self>) {}
}
