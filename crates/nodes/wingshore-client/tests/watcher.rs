//! The long poll for configuration.

mod support;

use crossbeam_channel::{Sender, unbounded};
use googletest::prelude::*;
use std::time::Duration;
use support::{SITE, replica};
use wingshore_client::{ConfigurationWatcher, GroupClient, WatchHandler};
use wingshore_clock::BootTime;
use wingshore_types::Revision;
use wingshore_types::protocol::control::{
    ConfigurationUpdate, ControlReply, ControlRequest, WatchRequest,
};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};

const PATIENCE: Duration = Duration::from_secs(20);

/// Holds a revision that grows by one with each answer.
struct Counting {
    have: Revision,
    updates: Sender<(BootTime, u64, Revision)>,
    failures: Sender<String>,
}

impl WatchHandler for Counting {
    fn next_watch(&mut self) -> WatchRequest {
        WatchRequest {
            have: self.have,
            acknowledgements: Vec::new(),
            wait_ms: 1000,
        }
    }

    fn on_update(&mut self, sent_at: BootTime, _update: ConfigurationUpdate, lease_ms: u64) {
        self.have.0 += 1;
        let _ = self.updates.send((sent_at, lease_ms, self.have));
    }

    fn on_failure(&mut self, reason: &str) {
        let _ = self.failures.send(reason.to_owned());
    }
}

#[gtest]
fn watches_follow_each_other_and_failures_are_tried_again() {
    let server = replica(|asked| {
        let GroupRequest::Control(ControlRequest::Watch(watch)) = &asked.body else {
            return;
        };
        if watch.have == Revision(2) && asked.id.0 % 2 == 1 {
            asked.reply(GroupReply::Rejected("not now".to_owned()));
            return;
        }
        let update = ConfigurationUpdate::Unchanged;
        let lease_ms = 5000 + watch.have.0;
        asked.reply(GroupReply::Control(ControlReply::Update {
            update,
            lease_ms,
        }));
    });
    let (updates, seen) = unbounded();
    let (failures, failed) = unbounded();
    let client = GroupClient::new(SITE, vec![server.local_address()], 1);
    let handler = Counting {
        have: Revision(0),
        updates,
        failures,
    };
    let before = BootTime::now();
    let mut watcher = ConfigurationWatcher::start(client, Box::new(handler)).unwrap();
    for number in 0..5 {
        let (sent_at, lease_ms, have) = seen.recv_timeout(PATIENCE).unwrap();
        expect_that!(lease_ms, eq(5000 + number));
        expect_that!(have, eq(Revision(number + 1)));
        expect_that!(sent_at, ge(before));
        expect_that!(sent_at, le(BootTime::now()));
    }
    expect_that!(failed.recv_timeout(PATIENCE), ok(eq("not now")));
    watcher.stop();
}

#[gtest]
fn stopping_ends_a_poll_that_waits() {
    let (arrived, at_server) = unbounded();
    let server = replica(move |_| {
        let _ = arrived.send(());
    });
    let (updates, _seen) = unbounded();
    let (failures, _failed) = unbounded();
    let client = GroupClient::new(SITE, vec![server.local_address()], 1);
    let handler = Counting {
        have: Revision(0),
        updates,
        failures,
    };
    let mut watcher = ConfigurationWatcher::start(client, Box::new(handler)).unwrap();
    at_server.recv_timeout(PATIENCE).unwrap();
    watcher.stop();
}
