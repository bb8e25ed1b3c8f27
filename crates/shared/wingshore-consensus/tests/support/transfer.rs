//! Transfers of a snapshot to the third member of a cluster: the cluster right before it, and a
//! simulated receiver.

use super::cluster::{Cluster, Network};
use super::counted::CountingState;
use super::small_limits;
use googletest::prelude::*;
use std::time::Duration;
use wingshore_consensus::{AppendRejection, AppendRequest, Body, Faults, Input, Limits, Message};
use wingshore_types::{LogIndex, ReplicaId};

/// Size of a chunk, in bytes.
pub const CHUNK_BYTES: usize = 64;
/// Number of chunks of the state.
pub const CHUNKS: u64 = 400;
/// The member that is sent the snapshot.
pub const RECEIVER: ReplicaId = ReplicaId(3);

/// Entries that are committed while the receiver is isolated, and the pause after each.
const ENTRIES: usize = 60;
const ENTRY_INTERVAL: Duration = Duration::from_millis(10);

/// Returns a cluster and its leader, which is about to send a snapshot to [`RECEIVER`] with this
/// window, in chunks. The receiver is isolated.
pub fn cluster_before_transfer(window: u64) -> Result<(Cluster, u64)> {
    let limits = Limits {
        snapshot_chunk_bytes: CHUNK_BYTES,
        snapshot_chunks_in_flight: usize::try_from(window).or_fail()?,
        retained_log_bytes: 0,
        ..small_limits()
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
    for _ in 0..ENTRIES {
        cluster.propose(leader, &[1; 16]).or_fail()?;
        cluster.run(ENTRY_INTERVAL);
    }
    let state = CountingState::new(CHUNKS * CHUNK_BYTES as u64);
    cluster.node(leader).provided_state = Some(state.state());
    Ok((cluster, leader))
}

/// Simulated receiver that keeps each chunk that is the next one, answers all of them, and answers
/// heartbeats.
#[derive(Default)]
pub struct InOrderReceiver {
    received: u64,
    total: u64,
}

impl InOrderReceiver {
    /// Returns the answer to a message of the leader.
    pub fn answer(&mut self, message: &Message) -> Option<Message> {
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

    /// Returns whether the receiver has the whole snapshot.
    pub fn is_complete(&self) -> bool {
        self.total > 0 && self.received >= self.total
    }
}

/// Returns the reply of the other voter, which answers heartbeats only.
pub fn voter_reply(from: ReplicaId, message: &Message) -> Option<Input> {
    let message = InOrderReceiver::default().answer(message)?;
    Some(Input::Message { from, message })
}

/// Returns the receiver's rejection of an append; its log is empty.
pub fn rejection_from_receiver(request: &AppendRequest, term: u64) -> Input {
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
