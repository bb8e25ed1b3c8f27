//! Calls to scripted replicas.

mod support;

use googletest::prelude::*;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use support::{SITE, answer, replica, replica_at, wait_until};
use wingshore_client::{CallError, GroupClient};
use wingshore_transport::Server;
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{GroupId, Verdict};

const TIMEOUT: Duration = Duration::from_secs(30);

fn client(replicas: Vec<SocketAddr>) -> GroupClient {
    GroupClient::new(SITE, replicas, 1)
}

fn dump(client: &GroupClient, timeout: Duration) -> Result<GroupReply, CallError> {
    client.call(GroupId::Control, GroupRequest::DumpLog, timeout)
}

/// Returns an address on which no process listens.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}

fn leader() -> Server {
    replica(|request| request.reply(answer("done")))
}

fn follower_of(leader: Option<SocketAddr>) -> Server {
    replica(move |request| request.reply(GroupReply::NotLeader { leader }))
}

#[gtest]
fn a_leader_hint_is_followed_to_an_unlisted_address() {
    let leader = leader();
    let follower = follower_of(Some(leader.local_address()));
    let client = client(vec![follower.local_address()]);
    expect_that!(dump(&client, TIMEOUT), ok(eq(&answer("done"))));
}

#[gtest]
fn the_leader_is_remembered_per_group() {
    let leader = leader();
    let address = leader.local_address();
    let follower_calls = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&follower_calls);
    let follower = replica(move |request| {
        count.fetch_add(1, Ordering::SeqCst);
        let leader = Some(address);
        request.reply(GroupReply::NotLeader { leader });
    });
    let client = client(vec![follower.local_address()]);
    for group in [GroupId::Control, GroupId::Ledger(0), GroupId::Claims(0)] {
        let before = follower_calls.load(Ordering::SeqCst);
        for _ in 0..5 {
            let reply = client.call(group, GroupRequest::DumpLog, TIMEOUT);
            expect_that!(reply, ok(eq(&answer("done"))));
        }
        // Later groups may try the learned address first.
        let limit = before + 1;
        expect_that!(follower_calls.load(Ordering::SeqCst), le(limit));
    }
    expect_that!(follower_calls.load(Ordering::SeqCst), ge(1));
}

#[gtest]
fn a_new_leader_is_found() {
    let leader_number = Arc::new(AtomicUsize::new(0));
    let addresses = Arc::new(Mutex::new(Vec::new()));
    let servers: Vec<_> = (0..3)
        .map(|number| {
            let leader_number = Arc::clone(&leader_number);
            let addresses = Arc::clone(&addresses);
            replica(move |request| {
                let leads = leader_number.load(Ordering::SeqCst);
                if leads == number {
                    request.reply(answer(&number.to_string()));
                } else {
                    let leader = addresses.lock().unwrap().get(leads).copied();
                    request.reply(GroupReply::NotLeader { leader });
                }
            })
        })
        .collect();
    let listed: Vec<_> = servers.iter().map(Server::local_address).collect();
    addresses.lock().unwrap().clone_from(&listed);
    let client = client(listed);
    for number in [0, 1, 2, 0, 2] {
        leader_number.store(number, Ordering::SeqCst);
        expect_that!(dump(&client, TIMEOUT), ok(eq(&answer(&number.to_string()))));
    }
}

#[gtest]
fn an_unresponsive_leader_does_not_use_up_the_call_timeout() {
    let unresponsive = replica(|_| {});
    let unresponsive_address = unresponsive.local_address();
    let other_calls = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&other_calls);
    // The other replica first names the unresponsive leader, then leads the group itself.
    let other = replica(move |request| {
        if count.fetch_add(1, Ordering::SeqCst) < 2 {
            let leader = Some(unresponsive_address);
            request.reply(GroupReply::NotLeader { leader });
        } else {
            request.reply(answer("other"));
        }
    });
    let client = GroupClient::new(SITE, vec![unresponsive_address, other.local_address()], 1);
    expect_that!(
        dump(&client, Duration::from_secs(10)),
        ok(eq(&answer("other")))
    );
}

#[gtest]
fn unreachable_replicas_are_skipped() {
    let alive = leader();
    let client = client(vec![free_address(), free_address(), alive.local_address()]);
    expect_that!(dump(&client, TIMEOUT), ok(eq(&answer("done"))));
}

#[gtest]
fn a_call_is_retried_after_unknown_and_a_lost_connection() {
    let request_count = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&request_count);
    let server = replica(move |request| match count.fetch_add(1, Ordering::SeqCst) {
        0 => request.reply(GroupReply::Unknown),
        1 => request.connection.close(),
        _ => request.reply(answer("done")),
    });
    let client = client(vec![server.local_address()]);
    expect_that!(dump(&client, TIMEOUT), ok(eq(&answer("done"))));
    expect_that!(request_count.load(Ordering::SeqCst), eq(3));
}

#[gtest]
fn a_restarted_replica_is_reached_again() {
    let mut first = replica(|request| request.reply(answer("first")));
    let address = first.local_address();
    let client = client(vec![address]);
    expect_that!(dump(&client, TIMEOUT), ok(eq(&answer("first"))));
    first.stop();
    let _second = replica_at(address, |request| request.reply(answer("second")));
    expect_that!(dump(&client, TIMEOUT), ok(eq(&answer("second"))));
}

#[gtest]
fn late_and_duplicate_replies_never_reach_another_call() {
    let request_count = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&request_count);
    let held = Mutex::new(None);
    let server = replica(move |request| {
        let number = count.fetch_add(1, Ordering::SeqCst);
        if number == 0 {
            *held.lock().unwrap() = Some(request.id);
            return;
        }
        if let Some(late) = held.lock().unwrap().take() {
            request.connection.reply(late, answer("late"));
        }
        let text = number.to_string();
        request.reply(answer(&text));
        request.reply(answer("duplicate"));
    });
    let client = client(vec![server.local_address()]);
    // The first attempt is never answered in time; later attempts are.
    for _ in 0..50 {
        let before = request_count.load(Ordering::SeqCst);
        let reply = dump(&client, TIMEOUT).unwrap();
        let after = request_count.load(Ordering::SeqCst);
        expect_that!(after, gt(before));
        expect_that!(reply, eq(&answer(&(after - 1).to_string())));
    }
}

#[gtest]
fn replies_in_any_order_reach_their_own_calls() {
    const CALLS: usize = 64;
    let waiting = Mutex::new(Vec::new());
    let server = replica(move |request| {
        let GroupId::Ledger(shard) = request.group else {
            return;
        };
        let mut waiting = waiting.lock().unwrap();
        waiting.push((request.id, shard));
        if waiting.len() == CALLS {
            for (id, shard) in waiting.drain(..).rev() {
                let text = shard.to_string();
                request.connection.reply(id, answer(&text));
            }
        }
    });
    let client = client(vec![server.local_address()]);
    thread::scope(|scope| {
        for shard in 0..CALLS as u16 {
            let client = client.clone();
            scope.spawn(move || {
                let reply = client.call(GroupId::Ledger(shard), GroupRequest::DumpLog, TIMEOUT * 4);
                assert_eq!(reply, Ok(answer(&shard.to_string())));
            });
        }
    });
    expect_that!(server.connection_count(), eq(1));
}

#[gtest]
fn the_verdict_is_not_run_only_when_nothing_was_sent() {
    let short = Duration::from_millis(300);
    let mute = replica(|_| {});
    let follower = follower_of(None);
    for (name, address, verdict) in [
        ("nobody listens", free_address(), Verdict::NotRun),
        ("silence", mute.local_address(), Verdict::MayHaveRun),
        ("no leader", follower.local_address(), Verdict::MayHaveRun),
    ] {
        let client = client(vec![address]);
        let error = dump(&client, short).unwrap_err();
        expect_that!(error.verdict(), eq(verdict), "{name}");
        expect_that!(error, pat!(CallError::TimedOut { .. }), "{name}");
    }
    let error = dump(&client(Vec::new()), short).unwrap_err();
    expect_that!(error, eq(&CallError::NoReplicas));
}

#[gtest]
fn a_site_mismatch_error_names_the_site() {
    let server = leader();
    let client = GroupClient::new("zagreb", vec![server.local_address()], 1);
    let error = dump(&client, Duration::from_millis(200)).unwrap_err();
    expect_that!(error.verdict(), eq(Verdict::NotRun));
    expect_that!(
        error.to_string(),
        contains_substring("belongs to site `regina`")
    );
}

#[gtest]
fn calls_to_a_leaderless_group_back_off() {
    let request_count = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&request_count);
    let server = replica(move |request| {
        count.fetch_add(1, Ordering::SeqCst);
        request.reply(GroupReply::NotLeader { leader: None });
    });
    let client = client(vec![server.local_address()]);
    let error = dump(&client, Duration::from_secs(1)).unwrap_err();
    expect_that!(error, pat!(CallError::TimedOut { .. }));
    expect_that!(request_count.load(Ordering::SeqCst), lt(100));
}

#[gtest]
fn call_at_returns_the_reply_of_the_process() {
    let follower = follower_of(None);
    let client = client(Vec::new());
    let address = follower.local_address();
    let reply = client.call_at(address, GroupId::Control, GroupRequest::DumpLog, TIMEOUT);
    expect_that!(reply, ok(eq(&GroupReply::NotLeader { leader: None })));
    let unused_address = free_address();
    let error = client.call_at(
        unused_address,
        GroupId::Control,
        GroupRequest::DumpLog,
        TIMEOUT,
    );
    expect_that!(
        error,
        err(pat!(CallError::Unreachable {
            address: eq(&unused_address),
            verdict: eq(&Verdict::NotRun),
            ..
        }))
    );
}

#[gtest]
fn closing_the_client_ends_pending_calls() {
    let call_count = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&call_count);
    let server = replica(move |_| {
        count.fetch_add(1, Ordering::SeqCst);
    });
    let client = client(vec![server.local_address()]);
    let calling = client.clone();
    let call = thread::spawn(move || dump(&calling, Duration::from_secs(3600)));
    expect_true!(wait_until(|| call_count.load(Ordering::SeqCst) > 0));
    client.close();
    let error = call.join().unwrap().unwrap_err();
    expect_that!(
        error,
        pat!(CallError::Closed {
            verdict: eq(&Verdict::MayHaveRun)
        })
    );
}
