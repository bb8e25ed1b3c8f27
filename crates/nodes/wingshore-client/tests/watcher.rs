//! Long polls for configuration by [`ConfigurationWatcher`].

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

const TIMEOUT: Duration = Duration::from_secs(20);

/// Increments its revision with each answer.
struct CountingHandler {
    have: Revision,
    updates: Sender<(BootTime, u64, Revision)>,
    failures: Sender<String>,
}

impl WatchHandler for CountingHandler {
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
fn watches_are_repeated_and_failures_are_retried() {
    let server = replica(|request| {
        let GroupRequest::Control(ControlRequest::Watch(watch)) = &request.body else {
            return;
        };
        if watch.have == Revision(2) && request.id.0 % 2 == 1 {
            request.reply(GroupReply::Rejected("not now".to_owned()));
            return;
        }
        let update = ConfigurationUpdate::Unchanged;
        let lease_ms = 5000 + watch.have.0;
        request.reply(GroupReply::Control(ControlReply::Update {
            update,
            lease_ms,
        }));
    });
    let (updates, received_updates) = unbounded();
    let (failures, received_failures) = unbounded();
    let client = GroupClient::new(SITE, vec![server.local_address()], 1);
    let handler = CountingHandler {
        have: Revision(0),
        updates,
        failures,
    };
    let before = BootTime::now();
    let mut watcher = ConfigurationWatcher::start(client, Box::new(handler)).unwrap();
    for number in 0..5 {
        let (sent_at, lease_ms, have) = received_updates.recv_timeout(TIMEOUT).unwrap();
        expect_that!(lease_ms, eq(5000 + number));
        expect_that!(have, eq(Revision(number + 1)));
        expect_that!(sent_at, ge(before));
        expect_that!(sent_at, le(BootTime::now()));
    }
    expect_that!(received_failures.recv_timeout(TIMEOUT), ok(eq("not now")));
    watcher.stop();
}

#[gtest]
fn stopping_ends_a_pending_poll() {
    let (arrived, arrivals) = unbounded();
    let server = replica(move |_| {
        let _ = arrived.send(());
    });
    let (updates, _received_updates) = unbounded();
    let (failures, _received_failures) = unbounded();
    let client = GroupClient::new(SITE, vec![server.local_address()], 1);
    let handler = CountingHandler {
        have: Revision(0),
        updates,
        failures,
    };
    let mut watcher = ConfigurationWatcher::start(client, Box::new(handler)).unwrap();
    arrivals.recv_timeout(TIMEOUT).unwrap();
    watcher.stop();
}
