//! A control group in one process that commits at once, with time and engines driven by the test.
#![allow(dead_code, missing_docs)] // each test file uses only a part of this module

pub mod engine;
pub mod site;

use site::Site;
use std::collections::{BTreeMap, VecDeque};
use wingshore_control::{
    CommandReply, ControlCommand, ControlEffect, ControlEvent, ControlLeader, ControlState, Faults,
    LeaderSettings,
};
use wingshore_types::configuration::{Configuration, ConfigurationChange};
use wingshore_types::ids::{Epoch, IntentId, LogIndex, NodeId, PlanId, Revision};
use wingshore_types::machine::{
    LeaderMachine, LeaderOutput, LeaderOutputs, ReplicatedState, RequestTag,
};
use wingshore_types::protocol::control::{
    ControlRefusal, ControlReply, ControlRequest, InForce, Intent, NodeAcknowledgement, Plan,
    Status, WatchRequest,
};
use wingshore_types::{Instant, WeightVersion};

/// Applies one command and returns the client's answer.
pub fn apply(state: &mut ControlState, command: ControlCommand) -> ControlReply {
    match state.apply(LogIndex(1), command) {
        CommandReply::Answer(reply) => *reply,
        CommandReply::Recorded => panic!("no answer"),
    }
}

pub fn plan_of(reply: ControlReply) -> Plan {
    match reply {
        ControlReply::Plan(plan) => *plan,
        other => panic!("not a plan: {other:?}"),
    }
}

pub fn refusal_of(reply: ControlReply) -> ControlRefusal {
    match reply {
        ControlReply::Refused(refusal) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

/// A leader, the replicated state, and their recorded outputs.
pub struct Group {
    pub state: ControlState,
    pub leader: ControlLeader,
    pub now: Instant,
    pub epoch: u64,
    pub settings: LeaderSettings,
    pub faults: Faults,
    pub replies: BTreeMap<RequestTag, ControlReply>,
    pub effects: VecDeque<ControlEffect>,
    /// Commands in the order of their commit.
    pub committed: Vec<ControlCommand>,
    /// Whether proposals are withheld, as with a leader that was cut off.
    pub cut_off: bool,
    next_tag: u64,
    pub next_intent: u128,
}

impl Group {
    pub fn new(site: &Site) -> Self {
        Self::with(site, LeaderSettings::default(), Faults::default())
    }

    pub fn with(site: &Site, settings: LeaderSettings, faults: Faults) -> Self {
        let mut group = Self {
            state: ControlState::with_faults(faults),
            leader: ControlLeader::new(settings.clone(), faults),
            now: Instant::from_millis(1_000),
            epoch: 0,
            settings,
            faults,
            replies: BTreeMap::new(),
            effects: VecDeque::new(),
            committed: Vec::new(),
            cut_off: false,
            next_tag: 0,
            next_intent: 0,
        };
        group.change_leader();
        group.confirm_intent(Intent::Apply(site.changes()));
        group
    }

    /// Replaces the leader by a new one without the old one's volatile state.
    pub fn change_leader(&mut self) {
        self.epoch += 1;
        self.leader = ControlLeader::new(self.settings.clone(), self.faults);
        self.with_leader(|leader, now, epoch, state, out| {
            leader.on_leadership(now, epoch, state, out);
        });
    }

    /// Replaces the leader by one that restored its state from a snapshot.
    pub fn change_leader_by_snapshot(&mut self) {
        self.state = ControlState::restore(&self.state.snapshot()).unwrap();
        self.state.set_faults(self.faults);
        self.change_leader();
    }

    pub fn configuration(&self) -> &Configuration {
        self.state.configuration()
    }

    pub fn send(&mut self, request: ControlRequest) -> RequestTag {
        self.next_tag += 1;
        let tag = RequestTag(self.next_tag);
        self.with_leader(|leader, now, _, state, out| {
            leader.on_request(now, tag, request, state, out);
        });
        tag
    }

    pub fn call(&mut self, request: ControlRequest) -> ControlReply {
        let tag = self.send(request);
        self.replies.remove(&tag).expect("an answer at once")
    }

    pub fn event(&mut self, event: ControlEvent) {
        self.with_leader(|leader, now, _, state, out| leader.on_event(now, event, state, out));
    }

    pub fn tick(&mut self) {
        self.with_leader(|leader, now, _, state, out| leader.on_tick(now, state, out));
    }

    /// Advances time in ticks of at most 100 ms, without engines or nodes.
    pub fn advance_time(&mut self, milliseconds: u64) {
        let end = self.now.as_millis() + milliseconds;
        while self.now.as_millis() < end {
            self.now = Instant::from_millis((self.now.as_millis() + 100).min(end));
            self.tick();
        }
    }

    pub fn new_intent(&mut self) -> IntentId {
        self.next_intent += 1;
        IntentId(self.next_intent)
    }

    pub fn propose(&mut self, intent: Intent) -> ControlReply {
        let intent_id = self.new_intent();
        self.call(ControlRequest::Propose {
            intent_id,
            base_revision: None,
            intent,
        })
    }

    pub fn confirm(&mut self, plan: PlanId) -> ControlReply {
        let intent_id = self.new_intent();
        self.call(ControlRequest::Confirm { intent_id, plan })
    }

    pub fn cancel(&mut self, plan: PlanId) -> ControlReply {
        let intent_id = self.new_intent();
        self.call(ControlRequest::Cancel { intent_id, plan })
    }

    /// Proposes an intent and confirms the plan.
    pub fn confirm_intent(&mut self, intent: Intent) -> Plan {
        let plan = plan_of(self.propose(intent));
        plan_of(self.confirm(plan.id))
    }

    pub fn apply_change(&mut self, change: ConfigurationChange) {
        self.confirm_intent(Intent::Apply(vec![change]));
    }

    pub fn publish(&mut self, pool: &str, version: u64) -> ControlReply {
        let intent_id = self.new_intent();
        self.call(ControlRequest::Publish {
            intent_id,
            pool: pool.into(),
            version: WeightVersion(version),
        })
    }

    /// Sends a watch of one node that has revision `in_force` in force.
    pub fn watch(&mut self, node: &str, boot_id: u64, in_force: u64, wait_ms: u64) -> RequestTag {
        self.send(ControlRequest::Watch(WatchRequest {
            have: Revision(in_force),
            acknowledgements: vec![NodeAcknowledgement {
                node: NodeId::new(node),
                boot_id,
                in_force: Revision(in_force),
            }],
            wait_ms,
        }))
    }

    pub fn status(&mut self) -> Status {
        match self.call(ControlRequest::Status) {
            ControlReply::Status(status) => *status,
            other => panic!("not a status: {other:?}"),
        }
    }

    pub fn in_force(&mut self) -> InForce {
        self.status().in_force
    }

    pub fn plan(&self, id: PlanId) -> &Plan {
        self.state.plan(id).unwrap()
    }

    fn with_leader(
        &mut self,
        act: impl FnOnce(
            &mut ControlLeader,
            Instant,
            Epoch,
            &ControlState,
            &mut LeaderOutputs<ControlLeader>,
        ),
    ) {
        let mut out = Vec::new();
        let epoch = Epoch(self.epoch);
        act(&mut self.leader, self.now, epoch, &self.state, &mut out);
        self.handle_outputs(out);
    }

    fn handle_outputs(&mut self, out: LeaderOutputs<ControlLeader>) {
        let mut queue = VecDeque::from(out);
        while let Some(output) = queue.pop_front() {
            match output {
                LeaderOutput::Reply { tag, reply } => {
                    self.replies.insert(tag, reply);
                }
                LeaderOutput::Effect(effect) => self.effects.push_back(effect),
                LeaderOutput::Propose { .. } if self.cut_off => {}
                LeaderOutput::Propose { tag, command } => {
                    self.committed.push(command.clone());
                    let index = LogIndex(self.committed.len() as u64);
                    let reply = self.state.apply(index, command);
                    let mut more = Vec::new();
                    self.leader
                        .on_applied(self.now, tag, reply, &self.state, &mut more);
                    queue.extend(more);
                }
            }
        }
    }
}
