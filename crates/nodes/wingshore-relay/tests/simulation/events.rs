//! Events and processes of the simulated site.

use super::Parent;
use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_relay::{RelayState, RelayTiming, WatchTag};
use wingshore_request::{ConfigurationView, WithoutLease};
use wingshore_types::Instant;
use wingshore_types::protocol::control::{ConfigurationUpdate, WatchRequest};

/// The sender of a watch to a relay, and the sender's number for the watch.
#[derive(Clone, Copy, Debug)]
pub enum Watcher {
    Node { node: usize, number: u64 },
    Relay { relay: usize, number: u64 },
}

#[derive(Clone, Debug)]
pub enum Answer {
    Update(ConfigurationUpdate, Duration),
    Unavailable,
}

#[derive(Clone, Debug)]
pub enum Event {
    NodeSends(usize),
    NodeTimesOut {
        node: usize,
        number: u64,
    },
    AtRelay {
        relay: usize,
        from: Watcher,
        request: WatchRequest,
    },
    Answered {
        to: Watcher,
        answer: Answer,
    },
    AtLeader {
        relay: usize,
        number: u64,
        request: WatchRequest,
    },
    UpstreamTimesOut {
        relay: usize,
        number: u64,
    },
    LeaderTick,
    RelayTick(usize),
    Commit,
    NodeRestarts(usize),
    NodeSwitchesRelay(usize),
    NodeFreezes(usize),
    RelayRestarts(usize),
}

pub struct Node {
    pub view: ConfigurationView,
    pub boot_id: u64,
    pub relay: usize,
    pub outstanding: Option<(u64, Instant)>,
    pub frozen_until: Instant,
}

pub struct Relay {
    pub state: RelayState,
    pub parent: Parent,
    pub watchers: BTreeMap<WatchTag, Watcher>,
    pub outstanding: Option<u64>,
}

pub fn new_node(boot_id: u64, relay: usize) -> Node {
    Node {
        view: ConfigurationView::new(WithoutLease::Refuse),
        boot_id,
        relay,
        outstanding: None,
        frozen_until: Instant::ZERO,
    }
}

pub fn new_relay(now: Instant, parent: Parent) -> Relay {
    let timing = RelayTiming {
        retained_changes: 4,
        ..RelayTiming::default()
    };
    Relay {
        state: RelayState::new(now, timing),
        parent,
        watchers: BTreeMap::new(),
        outstanding: None,
    }
}
