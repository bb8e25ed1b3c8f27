//! The sending of a state to a member of an older build, which drops each chunk that is not the next one, and
//! answers it: it must end at the pace of the path, as it does where both are of one build.

mod support;

use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use support::cluster::{Cluster, Network};
use support::counted::CountingState;
use wingshore_consensus::{AppendRejection, AppendRequest, Body, Faults, Input, Limits, Message};
use wingshore_types::{Instant, LogIndex, ReplicaId};

/// Bytes of a chunk.
const CHUNK_BYTES: usize = 64;
/// Chunks of the state.
const CHUNKS: u64 = 400;
/// Chunks that may be under way.
const WINDOW: u64 = 4;
/// The member of the older build.
const RECEIVER: ReplicaId = ReplicaId(3);

/// The path between the leader and the receiver.
#[derive(Clone, Default)]
struct Path {
    /// The longest way; the shortest takes 1 ms.
    longest: Duration,
    /// Numbers of chunks that come after those sent next.
    late: BTreeSet<u64>,
    /// Numbers of chunks that are lost.
    lost: BTreeSet<u64>,
}

/// What a sending took.
#[derive(Debug)]
struct Sending {
    chunks: u64,
    took: Duration,
}

/// What an older receiver answers.
#[derive(Default)]
struct InOrderReceiver {
    received: u64,
    total: u64,
}

impl InOrderReceiver {
    fn answer(&mut self, message: &Message) -> Option<Message> {
        let body = match &message.body {
            Body::SnapshotChunk(chunk) => {
                if chunk.offset == self.received {
                    self.received += chunk.data.len() as u64;
                }
                self.total = chunk.total;
                Body::SnapshotReceived {
                    index: chunk.index,
                    received: self.received,
                }
            }
            Body::Heartbeat(request) => Body::HeartbeatReply {
                round: request.round,
                needs_log: false,
            },
            _ => return None,
        };
        let term = message.term;
        Some(Message { term, body })
    }

    fn is_complete(&self) -> bool {
        self.total > 0 && self.received >= self.total
    }
}

/// A cluster whose leader is sending a state to its third member, whose messages are lost so far.
fn sending_cluster() -> Result<(Cluster, u64)> {
    let limits = Limits {
        snapshot_chunk_bytes: CHUNK_BYTES,
        snapshot_chunks_in_flight: usize::try_from(WINDOW).or_fail()?,
        retained_log_bytes: 0,
        ..support::small_limits()
    };
    let mut cluster = Cluster::with(3, 1, Faults::default(), limits);
    cluster.network = Network {
        min_delay: Duration::from_millis(1),
        max_delay: Duration::from_millis(1),
        ..Network::default()
    };
    cluster.isolate(RECEIVER.0);
    let has_leader = |cluster: &Cluster| cluster.ready_leader().is_some();
    cluster.run_until(Duration::from_secs(5), has_leader);
    let leader = cluster.ready_leader().or_fail()?;
    for _ in 0..60 {
        cluster.propose(leader, &[1; 16]).or_fail()?;
        cluster.run(Duration::from_millis(10));
    }
    let state = CountingState::new(CHUNKS * CHUNK_BYTES as u64);
    cluster.node(leader).provided_state = Some(state.state());
    Ok((cluster, leader))
}

/// The answer of the other voter: to heartbeats.
fn voter_reply(from: ReplicaId, message: &Message) -> Option<Input> {
    let message = InOrderReceiver::default().answer(message)?;
    Some(Input::Message { from, message })
}

/// The receiver has nothing of the log.
fn rejection_from_receiver(request: &AppendRequest, term: u64) -> Input {
    let rejection = AppendRejection {
        rejected_index: request.prev_index,
        hint_index: LogIndex(0),
        hint_term: 0,
        last_index: LogIndex(0),
    };
    let body = Body::AppendRejected(rejection);
    let message = Message { term, body };
    let from = RECEIVER;
    Input::Message { from, message }
}

/// The leader alone with the older receiver; the other voter answers its heartbeats at once.
fn send(path: &Path, seed: u64) -> Result<Sending> {
    let (mut cluster, leader) = sending_cluster()?;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut receiver = InOrderReceiver::default();
    let mut in_flight: BTreeMap<(Instant, u64), (bool, Message)> = BTreeMap::new();
    let (mut number, mut chunks) = (0, 0);
    let begin = cluster.now;
    let mut now = begin;
    let mut inputs = Vec::new();
    while !receiver.is_complete() {
        verify_that!(now.since(begin), lt(Duration::from_secs(60)))?;
        let node = cluster.nodes.get_mut(&ReplicaId(leader)).or_fail()?;
        let sends = node.step(now, std::mem::take(&mut inputs), &mut cluster.checker);
        if let Some(pending_write) = node.pending_write.take() {
            node.disk.write(&pending_write.batch);
            let token = pending_write.token;
            inputs.push(Input::Persisted { token });
        }
        for (to, message) in sends {
            if to != RECEIVER {
                inputs.extend(voter_reply(to, &message));
                continue;
            }
            if let Body::Append(request) = &message.body {
                inputs.push(rejection_from_receiver(request, message.term));
                continue;
            }
            let is_chunk = matches!(message.body, Body::SnapshotChunk(_));
            chunks += u64::from(is_chunk);
            if is_chunk && path.lost.contains(&chunks) {
                continue;
            }
            let is_late = is_chunk && path.late.contains(&chunks);
            let late_by = Duration::from_micros(if is_late { 500 } else { 0 });
            let at = now + random_delay(&mut random, path) + late_by;
            number += 1;
            in_flight.insert((at, number), (true, message));
        }
        if !inputs.is_empty() {
            continue;
        }
        // The next message, or the next look at the clock.
        let tick_at = now + Duration::from_millis(5);
        let next = in_flight.first_key_value().map(|((at, _), _)| *at);
        if next.is_none_or(|next| next > tick_at) {
            now = tick_at;
            inputs.push(Input::Tick);
            continue;
        }
        let ((at, _), (is_to_receiver, message)) = in_flight.pop_first().or_fail()?;
        now = now.max(at);
        if !is_to_receiver {
            let from = RECEIVER;
            inputs.push(Input::Message { from, message });
        } else if let Some(answer) = receiver.answer(&message) {
            number += 1;
            let at = now + random_delay(&mut random, path);
            in_flight.insert((at, number), (false, answer));
        }
    }
    let took = now.since(begin);
    Ok(Sending { chunks, took })
}

fn random_delay(random: &mut ChaCha8Rng, path: &Path) -> Duration {
    let shortest = Duration::from_millis(1);
    let longest = path.longest.max(shortest);
    let nanos = random.random_range(shortest.as_nanos()..=longest.as_nanos());
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}

/// Each late or lost chunk costs a window and a stall at most.
#[gtest]
fn each_late_or_lost_chunk_costs_at_most_one_window() -> Result<()> {
    let numbers: BTreeSet<u64> = [10, 100, 300].into();
    let undisturbed = send(&Path::default(), 1)?;
    let late = send(
        &Path {
            late: numbers.clone(),
            ..Path::default()
        },
        1,
    )?;
    let lost = send(
        &Path {
            lost: numbers,
            ..Path::default()
        },
        1,
    )?;
    println!("{undisturbed:?}, late {late:?}, lost {lost:?}");
    expect_that!(undisturbed.chunks, le(CHUNKS + 1));
    for sending in [late, lost] {
        expect_that!(sending.chunks, le(undisturbed.chunks + 3 * WINDOW));
        expect_that!(
            sending.took,
            le(undisturbed.took + 3 * Duration::from_millis(110))
        );
    }
    Ok(())
}

/// What is seen: beside an older receiver, on a path that reorders, a sending takes 20 s that takes half a second where both
/// are of one build, the older one too.
/// How it comes about: a chunk is out of order in each window; the older receiver drops it.
/// Cause: after each going back `go_back` expects two answers without news for each chunk that it holds, and takes so many of
/// them, those of the next gap too, for repeats: that gap waits for a stall.
/// Proof: the mean of ten sendings, where 2 s are allowed to a newer receiver.
#[gtest]
fn reordering_with_in_order_receiver_needs_no_stalls() -> Result<()> {
    let path = Path {
        longest: Duration::from_millis(3),
        ..Path::default()
    };
    let mut total = Duration::ZERO;
    for seed in 0..10 {
        total += send(&path, seed)?.took;
    }
    let mean = total / 10;
    println!("mean {mean:?}");
    verify_that!(mean, le(Duration::from_secs(2)))
}
