//! One group on a simulated replica: its host, its store, and the write that is under way.

use super::kind::{EffectCall, EffectOrigin, SimLeader};
use crate::process::Answer;
use crate::sim::observed::ObservedLeader;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_control::LeaderSettings;
use wingshore_group::{Host, HostInput, HostOutput, HostReply, Leadership};
use wingshore_storage::GroupStore;
use wingshore_types::log::WriteBatch;
use wingshore_types::machine::RequestTag;
use wingshore_types::protocol::membership::Membership;
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{Instant, LogIndex, ReplicaId, RequestId};

/// Shortest and longest usual time of a sync.
const SYNC_TIME: (Duration, Duration) = (Duration::from_micros(200), Duration::from_millis(2));
/// Time of a sync that is held up.
const SLOW_SYNC: Duration = Duration::from_millis(60);
/// One sync of this many is held up.
const SLOW_SYNC_SHARE: u32 = 40;

/// Where a request came from.
#[derive(Clone, Copy, Debug)]
pub struct Origin {
    pub from: SocketAddr,
    /// Its number on the connection.
    pub id: RequestId,
}

/// What a group wants of its replica.
pub enum GroupOutput {
    /// Send a consensus message.
    Consensus(ReplicaId, Vec<u8>),
    /// Answer a request.
    Reply(Origin, GroupReply),
    /// Answer a request: another replica leads.
    NotLeader(Origin, Option<ReplicaId>),
    /// Call a back end.
    Call(EffectCall),
    /// The planned stop is done.
    Stopped,
    /// The process cannot go on.
    Failed(String),
}

/// A group of any kind.
pub trait SimGroup {
    /// Takes a request.
    fn request(&mut self, now: Instant, origin: Origin, body: GroupRequest, out: &mut Outputs);
    /// Takes a consensus message.
    fn consensus(&mut self, now: Instant, from: ReplicaId, message: Vec<u8>, out: &mut Outputs);
    /// Takes the answer to a call.
    fn answer(&mut self, now: Instant, origin: EffectOrigin, answer: Answer, out: &mut Outputs);
    /// Begins the planned stop.
    fn stop(&mut self, now: Instant, out: &mut Outputs);
    /// Does what is due.
    fn wake(&mut self, now: Instant, out: &mut Outputs);
    /// When something is due.
    fn next_wake(&self) -> Instant;
    /// The members as known here.
    fn membership(&self) -> &Membership;
    /// The last entry that the state here holds, applied or by a snapshot.
    fn applied_index(&self) -> LogIndex;
}

/// What groups want.
pub type Outputs = Vec<GroupOutput>;

/// A write under way.
struct Write {
    token: u64,
    /// Not yet handed to the disk.
    batch: Option<WriteBatch>,
    done_at: Instant,
}

pub struct HostedGroup<L: SimLeader> {
    host: Host<ObservedLeader<L>>,
    store: GroupStore,
    write: Option<Write>,
    waiting: BTreeMap<RequestTag, Origin>,
    next_tag: u64,
    random: ChaCha8Rng,
    replica: ReplicaId,
    settings: LeaderSettings,
}

impl<L: SimLeader> HostedGroup<L> {
    /// A group whose host has just been made.
    pub fn new(
        host: Host<ObservedLeader<L>>,
        store: GroupStore,
        random: ChaCha8Rng,
        replica: ReplicaId,
        settings: LeaderSettings,
    ) -> Self {
        Self {
            host,
            store,
            write: None,
            waiting: BTreeMap::new(),
            next_tag: 0,
            random,
            replica,
            settings,
        }
    }

    fn step(&mut self, now: Instant, input: HostInput<ObservedLeader<L>>, out: &mut Outputs) {
        let mut inputs = vec![input];
        while !inputs.is_empty() {
            let mut outputs = Vec::new();
            self.host.step_all(now, inputs.drain(..), &mut outputs);
            for output in outputs {
                inputs.extend(self.carry_out(now, output, out));
            }
        }
    }

    /// Carries an output out; gives an input that follows at once.
    fn carry_out(
        &mut self,
        now: Instant,
        output: HostOutput<ObservedLeader<L>>,
        out: &mut Outputs,
    ) -> Option<HostInput<ObservedLeader<L>>> {
        match output {
            HostOutput::Send { to, message } => out.push(GroupOutput::Consensus(to, message)),
            HostOutput::Write { token, batch } => self.begin_write(now, token, batch, out),
            HostOutput::Reply { tag, reply } => self.reply(tag, reply, out),
            HostOutput::Effect(effect) => {
                out.extend(L::call_of(now, effect).map(GroupOutput::Call));
            }
            // The replica asks for the members when it needs an address.
            HostOutput::MembershipChanged(_) | HostOutput::Election(_) => {}
            HostOutput::Leadership(Leadership::Leading { .. }) => {
                return L::first_event(self.replica, &self.settings).map(HostInput::Event);
            }
            HostOutput::Leadership(Leadership::Following { .. }) => {}
            HostOutput::Stopped => out.push(GroupOutput::Stopped),
            HostOutput::Failed(error) => out.push(GroupOutput::Failed(error.to_string())),
        }
        None
    }

    /// The disk may have a write early or late within its time; only the end of that is told.
    fn begin_write(&mut self, now: Instant, token: u64, batch: WriteBatch, out: &mut Outputs) {
        let is_slow = self.random.random_ratio(1, SLOW_SYNC_SHARE);
        let usual = self.random.random_range(SYNC_TIME.0..SYNC_TIME.1);
        let time = if is_slow { SLOW_SYNC } else { usual };
        let mut batch = Some(batch);
        if self.random.random_bool(0.5) {
            self.write_to_disk(batch.take(), out);
        }
        self.write = Some(Write {
            token,
            batch,
            done_at: now + time,
        });
    }

    fn write_to_disk(&mut self, batch: Option<WriteBatch>, out: &mut Outputs) {
        let Some(batch) = batch else {
            return;
        };
        if let Err(error) = self.store.write(&batch) {
            out.push(GroupOutput::Failed(error.to_string()));
        }
    }

    fn end_write(&mut self, now: Instant, out: &mut Outputs) {
        let is_due = self
            .write
            .as_ref()
            .is_some_and(|write| write.done_at <= now);
        let Some(write) = self.write.take_if(|_| is_due) else {
            return;
        };
        let before = out.len();
        self.write_to_disk(write.batch, out);
        if out.len() == before {
            let token = write.token;
            self.step(now, HostInput::Persisted { token }, out);
        }
    }

    fn reply(&mut self, tag: RequestTag, reply: HostReply<L::Reply>, out: &mut Outputs) {
        let Some(origin) = self.waiting.remove(&tag) else {
            return;
        };
        out.push(match reply {
            HostReply::Reply(reply) => GroupOutput::Reply(origin, reply.into()),
            HostReply::Membership(reply) => {
                GroupOutput::Reply(origin, GroupReply::Membership(reply))
            }
            HostReply::NotLeader { leader } => GroupOutput::NotLeader(origin, leader),
            HostReply::Unknown => GroupOutput::Reply(origin, GroupReply::Unknown),
        });
    }
}

impl<L: SimLeader> SimGroup for HostedGroup<L> {
    fn request(&mut self, now: Instant, origin: Origin, body: GroupRequest, out: &mut Outputs) {
        let tag = RequestTag(self.next_tag);
        self.next_tag += 1;
        let input = match body {
            GroupRequest::Membership(request) => HostInput::Membership { tag, request },
            body => match L::Request::try_from(body) {
                Ok(request) => HostInput::Request { tag, request },
                Err(_) => {
                    let reason = "the group is of another kind than the request".to_owned();
                    let reply = GroupReply::Rejected(reason);
                    return out.push(GroupOutput::Reply(origin, reply));
                }
            },
        };
        self.waiting.insert(tag, origin);
        self.step(now, input, out);
    }

    fn consensus(&mut self, now: Instant, from: ReplicaId, message: Vec<u8>, out: &mut Outputs) {
        self.step(now, HostInput::Consensus { from, message }, out);
    }

    fn answer(&mut self, now: Instant, origin: EffectOrigin, answer: Answer, out: &mut Outputs) {
        if let Some(event) = L::event_of(origin, answer) {
            self.step(now, HostInput::Event(event), out);
        }
    }

    fn stop(&mut self, now: Instant, out: &mut Outputs) {
        self.step(now, HostInput::Stop, out);
    }

    fn wake(&mut self, now: Instant, out: &mut Outputs) {
        self.end_write(now, out);
        if self.host.next_tick() <= now {
            self.step(now, HostInput::Tick, out);
        }
    }

    fn next_wake(&self) -> Instant {
        let written = self.write.as_ref().map(|write| write.done_at);
        let tick = self.host.next_tick();
        written.map_or(tick, |written| written.min(tick))
    }

    fn membership(&self) -> &Membership {
        self.host.membership()
    }

    fn applied_index(&self) -> LogIndex {
        self.host.applied_index()
    }
}
