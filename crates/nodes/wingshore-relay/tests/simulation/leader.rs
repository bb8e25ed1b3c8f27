//! A model of the control group's leader, limited to watches and leases.

// Each test file is a separate crate and uses only a part of this module.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::Duration;
use wingshore_types::configuration::{
    Configuration, ConfigurationChange, Permille, Service, ServiceKind,
};
use wingshore_types::protocol::control::{ConfigurationUpdate, WatchRequest};
use wingshore_types::{Instant, NodeId, Revision, ServiceId};

struct LeaseRecord {
    in_force: Revision,
    expires_at: Instant,
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
    lease_records: BTreeMap<(NodeId, u64), LeaseRecord>,
    watches: Vec<OpenWatch>,
    in_force_everywhere: Revision,
}

impl Leader {
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            changes: Vec::new(),
            lease_records: BTreeMap::new(),
            watches: Vec::new(),
            in_force_everywhere: Revision(0),
        }
    }

    pub fn committed(&self) -> Revision {
        Revision(self.changes.len() as u64)
    }

    pub fn in_force_everywhere(&self) -> Revision {
        self.in_force_everywhere
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
            let record = self.lease_records.entry(process).or_insert(LeaseRecord {
                in_force: Revision(0),
                expires_at: now,
            });
            record.in_force = record.in_force.max(acknowledgement.in_force);
            record.expires_at = record.expires_at.max(now + self.lease);
        }
        self.watches.push(OpenWatch {
            relay,
            number,
            have: request.have,
            deadline: now + Duration::from_millis(request.wait_ms),
            lease,
        });
    }

    /// Removes and answers the watches with a newer revision or a passed deadline.
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

    /// Removes expired leases and returns the newest revision in force everywhere.
    pub fn update_in_force_everywhere(&mut self, now: Instant) -> Revision {
        self.lease_records
            .retain(|_, record| record.expires_at > now);
        let lowest = self
            .lease_records
            .values()
            .map(|record| record.in_force)
            .min();
        self.in_force_everywhere = self
            .in_force_everywhere
            .max(lowest.unwrap_or(self.committed()));
        self.in_force_everywhere
    }

    pub fn lease_expiry(&self, node: &NodeId, boot_id: u64) -> Option<Instant> {
        let record = self.lease_records.get(&(node.clone(), boot_id));
        record.map(|record| record.expires_at)
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
                let mut full_configuration = Configuration::default();
                for change in &self.changes {
                    full_configuration.apply(change).unwrap();
                }
                ConfigurationUpdate::Snapshot(Box::new(full_configuration))
            }
        }
    }
}
