//! Calls against scripted replicas.

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

const PATIENCE: Duration = Duration::from_secs(30);

fn client(replicas: Vec<SocketAddr>) -> GroupClient {
    GroupClient::new(SITE, replicas, 1)
}

fn dump(client: &GroupClient, timeout: Duration) -> Result<GroupReply, CallError> {
    client.call(GroupId::Control, GroupRequest::DumpLog, timeout)
}

/// An address where nobody listens.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    listener.local_addr().unwrap()
}

fn leader() -> Server {
    replica(|asked| asked.reply(answer("done")))
}

fn follower_of(leader: Option<SocketAddr>) -> Server {
    replica(move |asked| asked.reply(GroupReply::NotLeader { leader }))
}

#[gtest]
fn a_hint_is_followed_also_to_an_address_that_was_not_listed() {
    let leader = leader();
    let follower = follower_of(Some(leader.local_address()));
    let client = client(vec![follower.local_address()]);
    expect_that!(dump(&client, PATIENCE), ok(eq(&answer("done"))));
}

#[gtest]
fn the_leader_is_remembered_per_group() {
    let leader = leader();
    let address = leader.local_address();
    let asked_followers = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&asked_followers);
    let follower = replica(move |asked| {
        count.fetch_add(1, Ordering::SeqCst);
        let leader = Some(address);
        asked.reply(GroupReply::NotLeader { leader });
    });
    let client = client(vec![follower.local_address()]);
    for group in [GroupId::Control, GroupId::Ledger(0), GroupId::Claims(0)] {
        let before = asked_followers.load(Ordering::SeqCst);
        for _ in 0..5 {
            let reply = client.call(group, GroupRequest::DumpLog, PATIENCE);
            expect_that!(reply, ok(eq(&answer("done"))));
        }
        // Later groups may meet the learned address first.
        let most = before + 1;
        expect_that!(asked_followers.load(Ordering::SeqCst), le(most));
    }
    expect_that!(asked_followers.load(Ordering::SeqCst), ge(1));
}

#[gtest]
fn a_leader_that_moves_is_found_again() {
    let leader_number = Arc::new(AtomicUsize::new(0));
    let addresses = Arc::new(Mutex::new(Vec::new()));
    let servers: Vec<_> = (0..3)
        .map(|number| {
            let leader_number = Arc::clone(&leader_number);
            let addresses = Arc::clone(&addresses);
            replica(move |asked| {
                let leads = leader_number.load(Ordering::SeqCst);
                if leads == number {
                    asked.reply(answer(&number.to_string()));
                } else {
                    let leader = addresses.lock().unwrap().get(leads).copied();
                    asked.reply(GroupReply::NotLeader { leader });
                }
            })
        })
        .collect();
    let listed: Vec<_> = servers.iter().map(Server::local_address).collect();
    addresses.lock().unwrap().clone_from(&listed);
    let client = client(listed);
    for number in [0, 1, 2, 0, 2] {
        leader_number.store(number, Ordering::SeqCst);
        expect_that!(
            dump(&client, PATIENCE),
            ok(eq(&answer(&number.to_string())))
        );
    }
}

#[gtest]
fn a_silently_cut_leader_does_not_eat_the_whole_call() {
    let cut = replica(|_| {});
    let cut_address = cut.local_address();
    let asked_other = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&asked_other);
    // For a while the other still names the cut one, then it leads itself.
    let other = replica(move |asked| {
        if count.fetch_add(1, Ordering::SeqCst) < 2 {
            let leader = Some(cut_address);
            asked.reply(GroupReply::NotLeader { leader });
        } else {
            asked.reply(answer("other"));
        }
    });
    let client = GroupClient::new(SITE, vec![cut_address, other.local_address()], 1);
    expect_that!(
        dump(&client, Duration::from_secs(10)),
        ok(eq(&answer("other")))
    );
}

#[gtest]
fn dead_replicas_are_passed_over() {
    let alive = leader();
    let client = client(vec![free_address(), free_address(), alive.local_address()]);
    expect_that!(dump(&client, PATIENCE), ok(eq(&answer("done"))));
}

#[gtest]
fn unknown_and_lost_connections_are_sent_again() {
    let times = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&times);
    let server = replica(move |asked| match count.fetch_add(1, Ordering::SeqCst) {
        0 => asked.reply(GroupReply::Unknown),
        1 => asked.connection.close(),
        _ => asked.reply(answer("done")),
    });
    let client = client(vec![server.local_address()]);
    expect_that!(dump(&client, PATIENCE), ok(eq(&answer("done"))));
    expect_that!(times.load(Ordering::SeqCst), eq(3));
}

#[gtest]
fn a_restarted_replica_is_reached_again() {
    let mut first = replica(|asked| asked.reply(answer("first")));
    let address = first.local_address();
    let client = client(vec![address]);
    expect_that!(dump(&client, PATIENCE), ok(eq(&answer("first"))));
    first.stop();
    let _second = replica_at(address, |asked| asked.reply(answer("second")));
    expect_that!(dump(&client, PATIENCE), ok(eq(&answer("second"))));
}

#[gtest]
fn late_and_duplicate_replies_never_reach_another_call() {
    let times = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&times);
    let held = Mutex::new(None);
    let server = replica(move |asked| {
        let number = count.fetch_add(1, Ordering::SeqCst);
        if number == 0 {
            *held.lock().unwrap() = Some(asked.id);
            return;
        }
        if let Some(late) = held.lock().unwrap().take() {
            asked.connection.reply(late, answer("late"));
        }
        let text = number.to_string();
        asked.reply(answer(&text));
        asked.reply(answer("duplicate"));
    });
    let client = client(vec![server.local_address()]);
    // The first attempt is never answered in time; a later one is.
    for _ in 0..50 {
        let before = times.load(Ordering::SeqCst);
        let reply = dump(&client, PATIENCE).unwrap();
        let after = times.load(Ordering::SeqCst);
        expect_that!(after, gt(before));
        expect_that!(reply, eq(&answer(&(after - 1).to_string())));
    }
}

#[gtest]
fn replies_in_any_order_reach_their_own_calls() {
    const CALLS: usize = 64;
    let waiting = Mutex::new(Vec::new());
    let server = replica(move |asked| {
        let GroupId::Ledger(shard) = asked.group else {
            return;
        };
        let mut waiting = waiting.lock().unwrap();
        waiting.push((asked.id, shard));
        if waiting.len() == CALLS {
            for (id, shard) in waiting.drain(..).rev() {
                let text = shard.to_string();
                asked.connection.reply(id, answer(&text));
            }
        }
    });
    let client = client(vec![server.local_address()]);
    thread::scope(|scope| {
        for shard in 0..CALLS as u16 {
            let client = client.clone();
            scope.spawn(move || {
                let reply =
                    client.call(GroupId::Ledger(shard), GroupRequest::DumpLog, PATIENCE * 4);
                assert_eq!(reply, Ok(answer(&shard.to_string())));
            });
        }
    });
    expect_that!(server.connection_count(), eq(1));
}

#[gtest]
fn verdicts_are_not_run_only_where_nothing_left() {
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
fn another_site_is_an_error_that_says_so() {
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
fn a_leaderless_group_is_not_asked_in_a_busy_loop() {
    let times = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&times);
    let server = replica(move |asked| {
        count.fetch_add(1, Ordering::SeqCst);
        asked.reply(GroupReply::NotLeader { leader: None });
    });
    let client = client(vec![server.local_address()]);
    let error = dump(&client, Duration::from_secs(1)).unwrap_err();
    expect_that!(error, pat!(CallError::TimedOut { .. }));
    expect_that!(times.load(Ordering::SeqCst), lt(100));
}

#[gtest]
fn call_at_returns_what_the_process_says() {
    let follower = follower_of(None);
    let client = client(Vec::new());
    let address = follower.local_address();
    let reply = client.call_at(address, GroupId::Control, GroupRequest::DumpLog, PATIENCE);
    expect_that!(reply, ok(eq(&GroupReply::NotLeader { leader: None })));
    let nobody = free_address();
    let error = client.call_at(nobody, GroupId::Control, GroupRequest::DumpLog, PATIENCE);
    expect_that!(
        error,
        err(pat!(CallError::Unreachable {
            address: eq(&nobody),
            verdict: eq(&Verdict::NotRun),
            ..
        }))
    );
}

#[gtest]
fn closing_ends_calls_that_wait() {
    let asked = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&asked);
    let server = replica(move |_| {
        count.fetch_add(1, Ordering::SeqCst);
    });
    let client = client(vec![server.local_address()]);
    let calling = client.clone();
    let call = thread::spawn(move || dump(&calling, Duration::from_secs(3600)));
    expect_true!(wait_until(|| asked.load(Ordering::SeqCst) > 0));
    client.close();
    let error = call.join().unwrap().unwrap_err();
    expect_that!(
        error,
        pat!(CallError::Closed {
            verdict: eq(&Verdict::MayHaveRun)
        })
    );
}
