//! A model of the control group's leader, as far as watches and leases go.

// Each test file is a crate of its own and uses a part of this.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::configuration::{
    Configuration, ConfigurationChange, Permille, Service, ServiceKind,
};
use wingshore_types::protocol::control::{ConfigurationUpdate, WatchRequest};
use wingshore_types::{Instant, NodeId, Revision, ServiceId};

struct Belief {
    in_force: Revision,
    ends: Instant,
}

struct OpenWatch {
    relay: usize,
    number: u64,
    have: Revision,
    deadline: Instant,
    lease: Duration,
}

pub struct LeaderAnswer {
    pub relay: usize,
    pub number: u64,
    pub update: ConfigurationUpdate,
    pub lease: Duration,
}

pub struct Leader {
    lease: Duration,
    changes: Vec<ConfigurationChange>,
    beliefs: BTreeMap<(NodeId, u64), Belief>,
    watches: Vec<OpenWatch>,
    everywhere: Revision,
}

impl Leader {
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            changes: Vec::new(),
            beliefs: BTreeMap::new(),
            watches: Vec::new(),
            everywhere: Revision(0),
        }
    }

    pub fn committed(&self) -> Revision {
        Revision(self.changes.len() as u64)
    }

    pub fn everywhere(&self) -> Revision {
        self.everywhere
    }

    pub fn commit(&mut self) {
        self.changes.push(ConfigurationChange::PutService(Service {
            id: ServiceId::new("fare-api"),
            kind: ServiceKind::Live,
            slots_per_server: self.changes.len() as u32,
            live_share: Permille::WHOLE,
            default_deadline_ms: 1000,
        }));
    }

    pub fn on_watch(&mut self, now: Instant, relay: usize, number: u64, request: WatchRequest) {
        let lease = if request.acknowledgements.is_empty() {
            Duration::ZERO
        } else {
            self.lease
        };
        for acknowledgement in request.acknowledgements {
            let process = (acknowledgement.node, acknowledgement.boot_id);
            let belief = self.beliefs.entry(process).or_insert(Belief {
                in_force: Revision(0),
                ends: now,
            });
            belief.in_force = belief.in_force.max(acknowledgement.in_force);
            belief.ends = belief.ends.max(now + self.lease);
        }
        self.watches.push(OpenWatch {
            relay,
            number,
            have: request.have,
            deadline: now + Duration::from_millis(request.wait_ms),
            lease,
        });
    }

    /// Answers for which there is news or whose time is over.
    pub fn due(&mut self, now: Instant) -> Vec<LeaderAnswer> {
        let newest = self.committed();
        let is_due = |watch: &OpenWatch| watch.have < newest || watch.deadline <= now;
        let (due, open) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(is_due);
        self.watches = open;
        let due: Vec<OpenWatch> = due;
        due.into_iter()
            .map(|watch| LeaderAnswer {
                relay: watch.relay,
                number: watch.number,
                update: self.update_since(watch.have),
                lease: watch.lease,
            })
            .collect()
    }

    /// Takes in what runs out, and returns the newest revision in force everywhere.
    pub fn update_everywhere(&mut self, now: Instant) -> Revision {
        self.beliefs.retain(|_, belief| belief.ends > now);
        let lowest = self.beliefs.values().map(|belief| belief.in_force).min();
        self.everywhere = self.everywhere.max(lowest.unwrap_or(self.committed()));
        self.everywhere
    }

    pub fn believed_end(&self, node: &NodeId, boot_id: u64) -> Option<Instant> {
        let belief = self.beliefs.get(&(node.clone(), boot_id));
        belief.map(|belief| belief.ends)
    }

    fn update_since(&self, have: Revision) -> ConfigurationUpdate {
        let missing = &self.changes[have.0 as usize..];
        match missing.len() {
            0 => ConfigurationUpdate::Unchanged,
            1..=3 => ConfigurationUpdate::Delta {
                from: have,
                changes: missing.to_vec(),
            },
            _ => {
                let mut whole = Configuration::default();
                for change in &self.changes {
                    whole.apply(change).unwrap();
                }
                ConfigurationUpdate::Snapshot(Box::new(whole))
            }
        }
    }
}
