//! Replaces members whose disks were lost, in the steps of `wingshore ctl members replace`.

use super::client::GroupCalls;
use super::observer::ObserverHandle;
use super::slot::Maker;
use crate::process::{Process, ProcessInput, ProcessOutput};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use wingshore_types::protocol::membership::{Member, MembershipReply, MembershipRequest};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{GroupId, Instant, ReplicaId};

/// Longest time of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// What is to be replaced; outlives the administrator's process.
#[derive(Clone, Default)]
pub struct Repairs(Arc<Mutex<VecDeque<Repair>>>);

/// A member to be replaced by the one that came back at its address.
#[derive(Clone, Debug)]
struct Repair {
    address: SocketAddr,
    old: ReplicaId,
    groups: VecDeque<GroupId>,
}

impl Repairs {
    /// Has the lost member `old` replaced by whoever starts at `address`.
    pub fn add(&self, address: SocketAddr, old: ReplicaId, groups: Vec<GroupId>) {
        self.lock().push_back(Repair {
            address,
            old,
            groups: groups.into(),
        });
    }

    /// Whether all are done.
    pub fn are_done(&self) -> bool {
        self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Repair>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The group to go on with, of the first repair.
    fn current(&self) -> Option<(Repair, GroupId)> {
        let repairs = self.lock();
        let repair = repairs.front()?;
        Some((repair.clone(), *repair.groups.front()?))
    }

    fn group_done(&self) {
        let mut repairs = self.lock();
        let Some(repair) = repairs.front_mut() else {
            return;
        };
        repair.groups.pop_front();
        if repair.groups.is_empty() {
            repairs.pop_front();
        }
    }
}

struct Administrator {
    repairs: Repairs,
    calls: GroupCalls<MembershipRequest>,
    observer: ObserverHandle,
    next_call: Option<Instant>,
}

/// Makes an administrator.
pub fn maker(replicas: Vec<SocketAddr>, repairs: Repairs, observer: ObserverHandle) -> Maker {
    Box::new(move |boot| {
        Ok(Box::new(Administrator {
            repairs: repairs.clone(),
            calls: GroupCalls::new(replicas.clone(), boot.seed),
            observer: observer.clone(),
            next_call: Some(boot.now),
        }))
    })
}

impl Administrator {
    fn call(&mut self, now: Instant, request: MembershipRequest, out: &mut Vec<ProcessOutput>) {
        let Some((_, group)) = self.repairs.current() else {
            self.next_call = Some(now + CALL_INTERVAL);
            return;
        };
        self.next_call = None;
        let body = GroupRequest::Membership(request.clone());
        self.calls
            .call(now, group, body, CALL_TIMEOUT, request, out);
    }

    /// The next step, from the status of the members.
    fn next_step(&self, reply: &MembershipReply) -> Option<MembershipRequest> {
        let MembershipReply::Members {
            membership,
            synced,
            last_index,
            ..
        } = reply
        else {
            return None;
        };
        let (repair, _) = self.repairs.current()?;
        let id = self.observer.member_at(repair.address)?;
        let mut all = membership.voters.iter().chain(&membership.learners);
        if all.any(|member| member.id == repair.old) {
            return Some(MembershipRequest::Remove(repair.old));
        }
        if membership.voters.iter().any(|member| member.id == id) {
            self.repairs.group_done();
            return None;
        }
        if membership.learners.iter().all(|member| member.id != id) {
            let address = repair.address;
            return Some(MembershipRequest::AddLearner(Member { id, address }));
        }
        let caught_up = synced.contains(&(id, *last_index));
        caught_up.then_some(MembershipRequest::Promote(id))
    }
}

impl Process for Administrator {
    fn step(&mut self, now: Instant, input: ProcessInput, out: &mut Vec<ProcessOutput>) {
        self.calls.on_input(now, input, out);
        for (_, result) in self.calls.take_results() {
            let step = match &result {
                Ok(GroupReply::Membership(reply)) => self.next_step(reply),
                _ => None,
            };
            match step {
                Some(step) => self.call(now, step, out),
                None => self.next_call = Some(now + CALL_INTERVAL),
            }
        }
        if self.next_call.is_some_and(|next| next <= now) {
            self.call(now, MembershipRequest::Show, out);
        }
    }

    fn next_wake(&self) -> Option<Instant> {
        [self.next_call, self.calls.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }
}
