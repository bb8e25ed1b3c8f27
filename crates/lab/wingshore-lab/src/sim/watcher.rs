//! A process that does nothing but follow the configuration, as every node does.

use super::client::GroupCalls;
use super::observer::ObserverHandle;
use super::slot::Maker;
use crate::events::Event;
use crate::process::{Process, ProcessInput, ProcessOutput};
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_request::{ConfigurationView, WithoutLease};
use wingshore_types::protocol::control::{
    ControlReply, ControlRequest, NodeAcknowledgement, WatchRequest,
};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{GroupId, Instant, NodeId};

/// How long the control group may hold a watch.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);
/// Longest time for a whole call.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Time between two checks what is in force.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The process. The tag of its calls is when they were sent.
struct Watcher {
    name: String,
    boot_id: u64,
    calls: GroupCalls<Instant>,
    view: ConfigurationView,
    observer: ObserverHandle,
    next_watch: Option<Instant>,
    next_check: Instant,
    is_new: bool,
}

/// Makes a watcher.
pub fn maker(name: &str, replicas: Vec<SocketAddr>, observer: ObserverHandle) -> Maker {
    let name = name.to_owned();
    Box::new(move |boot| {
        Ok(Box::new(Watcher {
            name: name.clone(),
            boot_id: boot.seed,
            calls: GroupCalls::new(replicas.clone(), boot.seed),
            view: ConfigurationView::new(WithoutLease::Refuse),
            observer: observer.clone(),
            next_watch: Some(boot.now),
            next_check: boot.now,
            is_new: true,
        }))
    })
}

impl Watcher {
    fn watch(&mut self, now: Instant, out: &mut Vec<ProcessOutput>) {
        let position = self.view.watch_position();
        let request = WatchRequest {
            have: position.have,
            acknowledgements: vec![NodeAcknowledgement {
                node: NodeId::new(&self.name),
                boot_id: self.boot_id,
                in_force: position.in_force,
            }],
            wait_ms: WATCH_WAIT.as_millis() as u64,
        };
        let body = GroupRequest::Control(ControlRequest::Watch(request));
        self.next_watch = None;
        self.calls
            .call(now, GroupId::Control, body, CALL_TIMEOUT, now, out);
    }

    fn take_results(&mut self, now: Instant) {
        for (sent_at, result) in self.calls.take_results() {
            self.next_watch = Some(now);
            match result {
                Ok(GroupReply::Control(ControlReply::Update { update, lease_ms })) => {
                    let lease = Duration::from_millis(lease_ms);
                    self.view.apply(sent_at, update, lease);
                }
                _ => self.next_watch = Some(now + RETRY_PAUSE),
            }
        }
    }

    fn check(&mut self, now: Instant, out: &mut Vec<ProcessOutput>) {
        self.next_check = now + CHECK_INTERVAL;
        if self.view.may_admit(now).is_err() {
            return;
        }
        let revision = self.view.revision();
        self.observer.node_acts(&self.name, revision);
        out.push(ProcessOutput::Record(Event::RevisionSeen {
            observed: self.name.clone(),
            revision: revision.0,
        }));
    }
}

impl Process for Watcher {
    fn step(&mut self, now: Instant, input: ProcessInput, out: &mut Vec<ProcessOutput>) {
        if input == ProcessInput::Wake && std::mem::take(&mut self.is_new) {
            let boot_id = self.boot_id;
            out.push(ProcessOutput::Record(Event::Started { boot_id }));
        }
        self.calls.on_input(now, input, out);
        self.take_results(now);
        if self.next_watch.is_some_and(|next| next <= now) {
            self.watch(now, out);
        }
        if self.next_check <= now {
            self.check(now, out);
        }
    }

    fn next_wake(&self) -> Option<Instant> {
        let calls = self.calls.next_wake();
        [calls, self.next_watch, Some(self.next_check)]
            .into_iter()
            .flatten()
            .min()
    }
}
