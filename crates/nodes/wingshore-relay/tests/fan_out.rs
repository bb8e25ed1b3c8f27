//! Real relays over loopback, between scripted replicas and fifty watching nodes.

#[path = "simulation/leader.rs"]
mod leader;

use googletest::prelude::*;
use leader::Leader;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;
use wingshore_client::{ConfigurationWatcher, GroupClient, WatchHandler};
use wingshore_clock::{BootTime, Clock};
use wingshore_diagnostics::Diagnostics;
use wingshore_relay::RunningRelay;
use wingshore_request::{ConfigurationView, WithoutLease};
use wingshore_settings::RelaySettings;
use wingshore_transport::{ConnectionHandle, FrameHandler, Server, ServerOptions};
use wingshore_types::protocol::control::{
    ConfigurationUpdate, ControlReply, ControlRequest, NodeAcknowledgement, WatchRequest,
};
use wingshore_types::protocol::wire::{Frame, GroupReply, GroupRequest};
use wingshore_types::{GroupId, Instant, NodeId, RequestId, Revision};

const SITE: &str = "regina";
const NODES: usize = 50;
const RELAYS: usize = 3;
const LEASE: Duration = Duration::from_secs(5);

/// Two scripted replicas. One is the leader; the other does not answer, as if partitioned.
struct Control {
    clock: Clock,
    state: Mutex<ControlState>,
}

struct ControlState {
    leader_number: usize,
    leader: Leader,
    next: u64,
    waiting: BTreeMap<u64, (ConnectionHandle, RequestId)>,
}

struct ControlReplica {
    number: usize,
    control: Arc<Control>,
}

impl Control {
    fn lock(&self) -> MutexGuard<'_, ControlState> {
        self.state.lock().unwrap()
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn answer_due(&self) {
        let now = self.now();
        let mut state = self.lock();
        state.leader.update_in_force_everywhere(now);
        for answer in state.leader.due(now) {
            if let Some((connection, id)) = state.waiting.remove(&answer.number) {
                let lease_ms = answer.lease.as_millis() as u64;
                let update = answer.update;
                let reply = ControlReply::Update { update, lease_ms };
                connection.reply(id, GroupReply::Control(reply));
            }
        }
    }

    fn commit(&self) -> Revision {
        let mut state = self.lock();
        state.leader.commit();
        state.leader.committed()
    }

    fn in_force_everywhere(&self) -> Revision {
        self.lock().leader.in_force_everywhere()
    }

    /// Makes the other replica the leader; watches open at the old leader are never answered.
    fn move_leadership(&self) {
        let mut state = self.lock();
        let committed = state.leader.committed();
        state.leader_number = 1 - state.leader_number;
        state.leader = Leader::new(LEASE);
        state.waiting.clear();
        for _ in 0..committed.0 {
            state.leader.commit();
        }
    }
}

impl FrameHandler for ControlReplica {
    fn on_frame(&self, connection: &ConnectionHandle, frame: Frame) {
        let Frame::Request { id, body, .. } = frame else {
            return;
        };
        let GroupRequest::Control(ControlRequest::Watch(request)) = body else {
            return;
        };
        let now = self.control.now();
        let mut state = self.control.lock();
        if state.leader_number != self.number {
            return;
        }
        state.next += 1;
        let number = state.next;
        state.waiting.insert(number, (connection.clone(), id));
        state.leader.on_watch(now, 0, number, request);
    }
}

/// A node's handler of the configuration watch.
struct Node {
    name: NodeId,
    clock: Clock,
    view: Arc<Mutex<ConfigurationView>>,
}

impl WatchHandler for Node {
    fn next_watch(&mut self) -> WatchRequest {
        let position = self.view.lock().unwrap().watch_position();
        WatchRequest {
            have: position.have,
            acknowledgements: vec![NodeAcknowledgement {
                node: self.name.clone(),
                boot_id: 1,
                in_force: position.in_force,
            }],
            wait_ms: 1000,
        }
    }

    fn on_update(&mut self, sent_at: BootTime, update: ConfigurationUpdate, lease_ms: u64) {
        let sent_at = self.clock.at(sent_at);
        let lease = Duration::from_millis(lease_ms);
        self.view.lock().unwrap().apply(sent_at, update, lease);
    }
}

struct Site {
    control: Arc<Control>,
    replicas: Vec<Server>,
    relays: Vec<RunningRelay>,
    views: Vec<Arc<Mutex<ConfigurationView>>>,
    watchers: Vec<ConfigurationWatcher>,
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn start_replica(number: usize, control: &Arc<Control>) -> Server {
    let options = ServerOptions {
        site: SITE.to_owned(),
        replica: None,
        max_connections: 100,
    };
    let control = Arc::clone(control);
    Server::bind(
        loopback(),
        options,
        Arc::new(ControlReplica { number, control }),
    )
    .unwrap()
}

fn start_relay(number: usize, upstream: Vec<SocketAddr>) -> RunningRelay {
    let settings = RelaySettings {
        site: SITE.to_owned(),
        name: format!("relay-{number}"),
        zone: "regina-hall".to_owned(),
        listen: loopback(),
        admin: None,
        upstream,
        dump_folder: None,
        log_lines: 64,
    };
    RunningRelay::start(settings, Diagnostics::new("relay", 64, None)).unwrap()
}

impl Site {
    fn start() -> Self {
        let control = Arc::new(Control {
            clock: Clock::start(),
            state: Mutex::new(ControlState {
                leader_number: 0,
                leader: Leader::new(LEASE),
                next: 0,
                waiting: BTreeMap::new(),
            }),
        });
        let replicas: Vec<_> = (0..2)
            .map(|number| start_replica(number, &control))
            .collect();
        let upstream: Vec<_> = replicas.iter().map(Server::local_address).collect();
        let relays: Vec<_> = (0..RELAYS)
            .map(|number| start_relay(number, upstream.clone()))
            .collect();
        let mut site = Self {
            control,
            replicas,
            relays,
            views: Vec::new(),
            watchers: Vec::new(),
        };
        for number in 0..NODES {
            site.start_node(number);
        }
        site
    }

    fn start_node(&mut self, number: usize) {
        let relays = self
            .relays
            .iter()
            .map(RunningRelay::local_address)
            .collect();
        let client = GroupClient::new(SITE, relays, number as u64);
        let view = Arc::new(Mutex::new(ConfigurationView::new(WithoutLease::Refuse)));
        let node = Node {
            name: NodeId::new(&format!("node-{number}")),
            clock: self.control.clock,
            view: Arc::clone(&view),
        };
        self.views.push(view);
        self.watchers
            .push(ConfigurationWatcher::start(client, Box::new(node)).unwrap());
    }

    /// Counts the nodes that hold a lease and this revision.
    fn nodes_at(&self, revision: Revision) -> usize {
        let now = self.control.now();
        let has_revision = |view: &&Arc<Mutex<ConfigurationView>>| {
            let view = view.lock().unwrap();
            view.revision() == revision && view.holds_lease(now)
        };
        self.views.iter().filter(has_revision).count()
    }

    /// Drives the scripted replicas until the condition holds. Returns false if it does not hold
    /// after at least 20 seconds.
    fn wait_until(&self, condition: impl Fn(&Self) -> bool) -> bool {
        for _ in 0..10_000 {
            self.control.answer_due();
            if condition(self) {
                return true;
            }
            thread::sleep(Duration::from_millis(2));
        }
        false
    }

    fn wait_until_in_force(&self, revision: Revision) -> bool {
        self.wait_until(|site| {
            site.nodes_at(revision) == NODES && site.control.in_force_everywhere() == revision
        })
    }
}

#[gtest]
fn nodes_follow_across_leader_change_and_loss_of_a_relay() {
    let mut site = Site::start();
    site.control.commit();
    site.control.commit();
    let revision = site.control.commit();
    expect_true!(site.wait_until_in_force(revision), "after the start");

    site.control.move_leadership();
    let revision = site.control.commit();
    expect_true!(site.wait_until_in_force(revision), "after a leader change");

    site.relays[0].stop();
    let revision = site.control.commit();
    expect_true!(
        site.wait_until_in_force(revision),
        "after the loss of a relay"
    );

    // Only relays connect to the replicas, never nodes.
    for replica in &site.replicas {
        expect_that!(replica.connection_count(), le(RELAYS));
    }
}

#[gtest]
fn relay_accepts_only_watches_and_log_dumps() {
    let relay = start_relay(0, vec![loopback()]);
    let address = relay.local_address();
    let client = GroupClient::new(SITE, vec![address], 1);
    let patience = Duration::from_secs(20);
    let ask = |body| client.call_at(address, GroupId::Control, body, patience);
    let status = ask(GroupRequest::Control(ControlRequest::Status));
    expect_that!(
        status,
        ok(pat!(GroupReply::Rejected(contains_substring(
            "configuration watches only"
        ))))
    );
    let dumped = ask(GroupRequest::DumpLog);
    expect_that!(
        dumped,
        ok(eq(&GroupReply::LogDumped("standard error".to_owned())))
    );
}

#[gtest]
fn relay_without_upstream_redirects_watchers_and_stops_immediately() {
    let mut relay = start_relay(0, vec![loopback()]);
    let address = relay.local_address();
    let client = GroupClient::new(SITE, vec![address], 1);
    let watch = GroupRequest::Control(ControlRequest::Watch(WatchRequest {
        have: Revision(0),
        acknowledgements: Vec::new(),
        wait_ms: 60_000,
    }));
    let answer = client.call_at(address, GroupId::Control, watch, Duration::from_secs(60));
    expect_that!(answer, ok(eq(&GroupReply::NotLeader { leader: None })));
    relay.stop();
}
