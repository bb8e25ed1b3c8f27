//! A simulated replica: the folder, stores and hosts of production on a simulated disk.
//!
//! Owns one host a group and the calls to back ends that wait for answers; the disk belongs to the
//! site and outlives it. Relies on `wingshore-group` and `wingshore-storage` as the real replica does.

mod group;
mod kind;
mod settings;
mod start;

pub use settings::{ReplicaFaults, ReplicaSettings, founders, founding_address};
pub use start::SITE;

use super::observer::{ObserverHandle, SimPromise};
use super::slot::{Boot, Maker};
use crate::process::{Answer, Call, CallId, Message, Process, ProcessInput, ProcessOutput};
use crate::wiring::{hang_up, send_call};
use group::{GroupOutput, Origin, Outputs};
use kind::{EffectCall, EffectOrigin};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use start::{Groups, Opener};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use wingshore_storage::memory::MemoryFileSystem;
use wingshore_storage::{DataFolder, FileSystem};
use wingshore_types::platform::OrderBody;
use wingshore_types::protocol::membership::Membership;
use wingshore_types::protocol::wire::GroupReply;
use wingshore_types::{GroupId, Instant, ReplicaId};

/// The data folder on each replica's own disk.
const FOLDER: &str = "/data";

/// Bytes in front of a consensus message: who sent it and whom it is for, as the handshake of a
/// real connection tells.
const ADDRESSING_BYTES: usize = 16;

/// A call to a back end that waits for its answer.
struct OpenCall {
    group: GroupId,
    to: SocketAddr,
    origin: EffectOrigin,
    until: Instant,
}

/// The process.
pub struct SimReplica {
    id: ReplicaId,
    /// Keeps the folder's lock.
    _folder: DataFolder,
    groups: Groups,
    founding: Membership,
    observer: ObserverHandle,
    call_timeout: Duration,
    /// Where members last sent from.
    incoming: BTreeMap<ReplicaId, SocketAddr>,
    calls: BTreeMap<CallId, OpenCall>,
    next_call: u64,
    running: BTreeSet<GroupId>,
}

/// Makes the replica that was founded as member `number`, from 0, and whose disk is `disk`. A
/// restart finds what the disk kept.
pub fn maker(settings: ReplicaSettings, disk: MemoryFileSystem, number: usize) -> Maker {
    Box::new(move |boot| {
        if boot.number > 0 {
            disk.restart(boot.seed);
        }
        let replica = SimReplica::start(&settings, &disk, number, boot)?;
        Ok(Box::new(replica) as Box<dyn Process>)
    })
}

impl SimReplica {
    fn start(
        settings: &ReplicaSettings,
        disk: &MemoryFileSystem,
        number: usize,
        boot: Boot,
    ) -> Result<Self, String> {
        let fs: Arc<dyn FileSystem> = Arc::new(disk.clone());
        let folder = open_folder(settings, &fs, number, boot)?;
        let id = folder.identity().replica;
        if let Some(address) = founding_address(&settings.founding, number) {
            settings.observer.member_started(address, id);
        }
        let opener = Opener {
            now: boot.now,
            fs,
            folder: &folder,
            settings,
            random: ChaCha8Rng::seed_from_u64(boot.seed),
        };
        let groups = opener.open()?;
        Ok(Self {
            id,
            _folder: folder,
            running: groups.keys().copied().collect(),
            groups,
            founding: settings.founding.clone(),
            observer: settings.observer.clone(),
            call_timeout: settings::leader_settings().order_timeout,
            incoming: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
        })
    }

    /// Where a consensus message goes: to where the member listens, or back on the connection on
    /// which it last sent one.
    fn way_to(&self, id: ReplicaId) -> Option<SocketAddr> {
        let back = || self.incoming.get(&id).copied();
        self.address_of(id).or_else(back)
    }

    /// Where a replica listens, as far as known: as in the real process, members over founders.
    fn address_of(&self, id: ReplicaId) -> Option<SocketAddr> {
        let members = self.groups.values().map(|group| group.membership());
        members
            .chain(std::iter::once(&self.founding))
            .flat_map(|members| members.voters.iter().chain(&members.learners))
            .find(|member| member.id == id)
            .map(|member| member.address)
    }

    fn on_message(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: Message,
        out: &mut Vec<ProcessOutput>,
    ) {
        let mut outputs = Outputs::new();
        match message {
            Message::Consensus { group, message } => {
                let Some((sender, message)) = self.addressed(&message) else {
                    return;
                };
                self.incoming.insert(sender, from);
                if let Some(hosted) = self.groups.get_mut(&group) {
                    hosted.consensus(now, sender, message, &mut outputs);
                }
                self.carry_out(now, group, outputs, out);
            }
            Message::GroupRequest { id, group, body } => {
                let origin = Origin { from, id };
                match self.groups.get_mut(&group) {
                    Some(hosted) => hosted.request(now, origin, body, &mut outputs),
                    None => {
                        let reason = format!("this replica holds no group {group}");
                        outputs.push(GroupOutput::Reply(origin, GroupReply::Rejected(reason)));
                    }
                }
                self.carry_out(now, group, outputs, out);
            }
            Message::Answer { id, answer } => self.on_answer(now, id, answer, out),
            Message::GroupReply { .. } | Message::Call { .. } | Message::HangUp { .. } => {}
        }
    }

    /// The sender and the message proper, when it is meant for this identity.
    fn addressed(&self, message: &[u8]) -> Option<(ReplicaId, Vec<u8>)> {
        let (addressing, message) = message.split_at_checked(ADDRESSING_BYTES)?;
        let (from, to) = addressing.split_first_chunk::<8>()?;
        let to = u64::from_le_bytes(to.try_into().ok()?);
        (to == self.id.0).then(|| (ReplicaId(u64::from_le_bytes(*from)), message.to_vec()))
    }

    fn on_answer(
        &mut self,
        now: Instant,
        id: CallId,
        answer: Answer,
        out: &mut Vec<ProcessOutput>,
    ) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let mut outputs = Outputs::new();
        if let Some(hosted) = self.groups.get_mut(&call.group) {
            hosted.answer(now, call.origin, answer, &mut outputs);
        }
        self.carry_out(now, call.group, outputs, out);
    }

    fn wake(&mut self, now: Instant, out: &mut Vec<ProcessOutput>) {
        let late: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            if let Some(call) = self.calls.get(&id) {
                hang_up(call.to, id, out);
            }
            self.on_answer(now, id, Answer::Broken, out);
        }
        for group in self.groups.keys().copied().collect::<Vec<_>>() {
            let mut outputs = Outputs::new();
            if let Some(hosted) = self.groups.get_mut(&group) {
                hosted.wake(now, &mut outputs);
            }
            self.carry_out(now, group, outputs, out);
        }
    }

    fn stop(&mut self, now: Instant, out: &mut Vec<ProcessOutput>) {
        for group in self.groups.keys().copied().collect::<Vec<_>>() {
            let mut outputs = Outputs::new();
            if let Some(hosted) = self.groups.get_mut(&group) {
                hosted.stop(now, &mut outputs);
            }
            self.carry_out(now, group, outputs, out);
        }
    }

    fn carry_out(
        &mut self,
        now: Instant,
        group: GroupId,
        outputs: Outputs,
        out: &mut Vec<ProcessOutput>,
    ) {
        if let Some(hosted) = self.groups.get(&group) {
            let reached = hosted.applied_index();
            self.observer.reached(group, self.id, reached);
        }
        for output in outputs {
            match output {
                GroupOutput::Consensus(to, message) => self.send_consensus(group, to, message, out),
                GroupOutput::Reply(origin, body) => reply(origin, body, out),
                GroupOutput::NotLeader(origin, leader) => {
                    let leader = leader.and_then(|leader| self.address_of(leader));
                    reply(origin, GroupReply::NotLeader { leader }, out);
                }
                GroupOutput::Call(call) => self.call(now, group, call, out),
                GroupOutput::Stopped => {
                    self.running.remove(&group);
                    if self.running.is_empty() {
                        out.push(ProcessOutput::Exit);
                    }
                }
                GroupOutput::Failed(reason) => {
                    self.fail(group, &reason);
                    out.push(ProcessOutput::Exit);
                }
            }
        }
    }

    fn send_consensus(
        &self,
        group: GroupId,
        to: ReplicaId,
        message: Vec<u8>,
        out: &mut Vec<ProcessOutput>,
    ) {
        let Some(address) = self.way_to(to) else {
            return;
        };
        let mut addressed = Vec::with_capacity(ADDRESSING_BYTES + message.len());
        addressed.extend(self.id.0.to_le_bytes());
        addressed.extend(to.0.to_le_bytes());
        addressed.extend(message);
        let message = Message::Consensus {
            group,
            message: addressed,
        };
        out.push(ProcessOutput::Send {
            to: address,
            message,
        });
    }

    fn call(
        &mut self,
        now: Instant,
        group: GroupId,
        call: EffectCall,
        out: &mut Vec<ProcessOutput>,
    ) {
        let id = CallId(self.next_call);
        self.next_call += 1;
        let EffectCall { to, call, origin } = call;
        let open = OpenCall {
            group,
            to,
            origin,
            until: now + self.call_timeout,
        };
        self.show_order(&call, &open.origin);
        self.calls.insert(id, open);
        send_call(to, id, call, out);
    }
}

impl SimReplica {
    fn show_order(&self, call: &Call, origin: &EffectOrigin) {
        let (Call::Order(order), EffectOrigin::Order { server, fence }) = (call, origin) else {
            return;
        };
        self.observer.order_sent(server, *fence, self.id);
        if let OrderBody::LoadWeights { version, .. } = &order.order {
            self.observer.load_ordered(server, *version);
        }
    }

    /// A group cannot go on. Only a disk that was made to fail is an excuse.
    fn fail(&self, group: GroupId, reason: &str) {
        if !reason.contains("simulated") {
            let detail = format!("{group} on {}: {reason}", self.id);
            self.observer.violate(SimPromise::NoCrash, detail);
        }
    }
}

impl Process for SimReplica {
    fn step(&mut self, now: Instant, input: ProcessInput, out: &mut Vec<ProcessOutput>) {
        match input {
            ProcessInput::Wake => self.wake(now, out),
            ProcessInput::Message { from, message } => self.on_message(now, from, message, out),
            ProcessInput::Stop => self.stop(now, out),
            ProcessInput::Fault(_) => {}
        }
    }

    fn next_wake(&self) -> Option<Instant> {
        let groups = self.groups.values().map(|group| group.next_wake());
        groups
            .chain(self.calls.values().map(|call| call.until))
            .min()
    }
}

/// Whether a process's output is an order to an engine.
pub fn is_order(output: &ProcessOutput) -> bool {
    matches!(
        output,
        ProcessOutput::Send {
            message: Message::Call {
                call: Call::Order(_),
                ..
            },
            ..
        }
    )
}

/// A consensus message in words, for traces.
pub fn describe(message: &[u8]) -> String {
    let body = message.get(ADDRESSING_BYTES..).unwrap_or_default();
    match postcard::from_bytes::<wingshore_consensus::Message>(body) {
        Ok(message) => format!("{message:?}"),
        Err(_) => "no consensus message".to_owned(),
    }
}

fn reply(origin: Origin, body: GroupReply, out: &mut Vec<ProcessOutput>) {
    let message = Message::GroupReply {
        id: origin.id,
        body,
    };
    out.push(ProcessOutput::Send {
        to: origin.from,
        message,
    });
}

/// A founding member's folder is formatted once in its life; any other empty folder is that of a
/// new member.
fn open_folder(
    settings: &ReplicaSettings,
    fs: &Arc<dyn FileSystem>,
    number: usize,
    boot: Boot,
) -> Result<DataFolder, String> {
    let folder = Path::new(FOLDER);
    let formats = boot.number == 0 || settings.faults.format_again;
    let founder = settings.founding.voters.get(number);
    let is_empty = fs.list(folder).map_or(true, |names| names.is_empty());
    let opened = match founder.filter(|_| formats && is_empty) {
        Some(founder) => {
            DataFolder::format(fs, folder, SITE, founder.id, settings.founding.clone())
        }
        None => DataFolder::open_or_join(fs, folder, SITE, boot.seed),
    };
    opened.map_err(|error| error.to_string())
}
