//! Watches whose answers arrive late, and watches that are sent to several replicas.

mod support;

use googletest::prelude::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use support::{ReceivedRequest, SITE, replica};
use wingshore_client::GroupClient;
use wingshore_clock::BootTime;
use wingshore_types::Revision;
use wingshore_types::protocol::control::{ConfigurationUpdate, ControlReply, WatchRequest};
use wingshore_types::protocol::wire::GroupReply;

/// Time within which a configuration must arrive; the same limit as for the recovery from a lost
/// disk.
const RECOVERY_TIME_LIMIT: Duration = Duration::from_secs(6);

/// Lower bound for the duration of an attempt at a replica that does not reply.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(300);

fn watch_for_all() -> WatchRequest {
    WatchRequest {
        have: Revision(0),
        acknowledgements: Vec::new(),
        wait_ms: 0,
    }
}

fn unchanged() -> GroupReply {
    let update = ConfigurationUpdate::Unchanged;
    GroupReply::Control(ControlReply::Update {
        update,
        lease_ms: 5_000,
    })
}

/// Replies after `delay`, on a separate thread.
fn answer_after(request: &ReceivedRequest<'_>, delay: Duration) {
    let (connection, id) = (request.connection.clone(), request.id);
    thread::spawn(move || {
        thread::sleep(delay);
        connection.reply(id, unchanged());
    });
}

/// Guards against the failure described in `watcher_review`, here with an answer that takes longer
/// than all attempts of a watch together. The watch used to fail after 1.5 s and the next one
/// started from scratch, so that no watch was answered and each requested the complete
/// configuration again.
#[gtest]
fn a_slow_answer_is_awaited_without_sending_the_watch_again() {
    let watches = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&watches);
    let server = replica(move |request| {
        count.fetch_add(1, Ordering::SeqCst);
        answer_after(&request, RECOVERY_TIME_LIMIT / 2);
    });
    let client = GroupClient::new(SITE, vec![server.local_address()], 1);
    expect_that!(client.watch(watch_for_all()), ok(anything()));
    expect_that!(watches.load(Ordering::SeqCst), eq(1));
}

/// Checks that a silently partitioned replica costs a watch one attempt, and that the lease starts
/// at the attempt that was answered, not at the first one.
#[gtest]
fn a_silent_replica_costs_one_attempt() -> Result<()> {
    let asked = Arc::new(Mutex::new(Vec::new()));
    let (asked_silent, asked_other) = (Arc::clone(&asked), Arc::clone(&asked));
    let silent = replica(move |_| asked_silent.lock().unwrap().push("silent"));
    let other = replica(move |request| {
        asked_other.lock().unwrap().push("other");
        request.reply(unchanged());
    });
    let replicas = vec![silent.local_address(), other.local_address()];
    let mut asked_silent_first = false;
    // The seed determines the first replica to try.
    for seed in 0..8 {
        asked.lock().unwrap().clear();
        let client = GroupClient::new(SITE, replicas.clone(), seed);
        let started_at = BootTime::now();
        let answer = client.watch(watch_for_all()).or_fail()?;
        let elapsed = started_at.elapsed();
        verify_that!(elapsed, lt(RECOVERY_TIME_LIMIT))?;
        if asked.lock().unwrap().first() == Some(&"silent") {
            asked_silent_first = true;
            let sent_after = elapsed.saturating_sub(answer.sent_at.elapsed());
            verify_that!(sent_after, ge(MIN_ATTEMPT_TIME))?;
        }
    }
    verify_that!(asked_silent_first, eq(true))
}
