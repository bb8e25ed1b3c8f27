//! Taking, sending and receiving snapshots.

use crate::entry::{CodecError, SnapshotContents};
use crate::incoming::IncomingSnapshot;
use crate::interface::Output;
use crate::log::RaftLog;
use crate::members::Members;
use crate::message::{Body, SnapshotChunk};
use crate::progress::{Progress, ProgressState};
use crate::raft::Raft;
use crate::role::Role;
use std::collections::BTreeMap;
use std::sync::Arc;
use wingshore_types::log::StoredSnapshot;
use wingshore_types::snapshot_data::SnapshotState;
use wingshore_types::{LogIndex, ReplicaId};

impl Raft {
    /// Returns whether a snapshot can be taken now: the entries that it would cover are durable in
    /// the log.
    pub fn can_compact(&self) -> bool {
        self.last_applied > self.snapshot_index
            && self.last_applied <= self.persistence.persisted_index()
    }

    /// Takes a snapshot of `state`, as of the last applied entry, and compacts the log. Does
    /// nothing unless [`Raft::can_compact`] returns true.
    ///
    /// # Errors
    /// Returns an error if the snapshot cannot be encoded.
    pub fn compact(&mut self, state: impl Into<SnapshotState>) -> Result<(), CodecError> {
        if !self.can_compact() {
            return Ok(());
        }
        let Some(snapshot) = self.snapshot_of(state.into())? else {
            return Ok(());
        };
        let through = self
            .log
            .compaction_point(snapshot.index, self.limits.retained_log_bytes);
        // A member that lacks a removed entry needs a snapshot, so entries that such a member needs
        // stay in memory as long as there is room.
        let held = self.min_replicated_index();
        let compacted_through = held.map_or(through, |held| held.min(through));
        self.log.compact_through(compacted_through);
        self.members.compact_through(compacted_through);
        self.snapshot_index = snapshot.index;
        self.persistence.compacted(snapshot, through);
        Ok(())
    }

    /// Returns whether a member needs a snapshot and none is available, so that the host must call
    /// [`Raft::provide_snapshot`].
    pub fn needs_snapshot(&self) -> bool {
        self.is_leader() && !self.awaiting_snapshot.is_empty()
    }

    /// Sends `state`, as of the last applied entry, to the members that need a snapshot. It is not
    /// persisted, and is kept in memory only until they have it.
    ///
    /// # Errors
    /// Returns an error if the snapshot cannot be encoded.
    pub fn provide_snapshot(&mut self, state: impl Into<SnapshotState>) -> Result<(), CodecError> {
        let Some(snapshot) = self.snapshot_of(state.into())? else {
            return Ok(());
        };
        for to in std::mem::take(&mut self.awaiting_snapshot) {
            if let Some(progress) = self.progress_mut(to) {
                progress.send_snapshot(Arc::clone(&snapshot));
            }
        }
        Ok(())
    }

    /// Returns a snapshot of `state` at the last applied entry, or `None` if the log does not know
    /// the term of that entry.
    fn snapshot_of(
        &mut self,
        state: SnapshotState,
    ) -> Result<Option<Arc<StoredSnapshot>>, CodecError> {
        let index = self.last_applied;
        let Some(term) = self.log.term_at(index) else {
            return Ok(None);
        };
        let data = SnapshotContents::encode(self.members.as_of(index), state)?;
        let snapshot = Arc::new(StoredSnapshot { index, term, data });
        self.recent_snapshot = Arc::downgrade(&snapshot);
        Ok(Some(snapshot))
    }

    /// Starts sending a snapshot to a member that needs compacted entries: the recent snapshot if
    /// the log continues from it, or else one that is requested from the host.
    pub(crate) fn start_snapshot(&mut self, to: ReplicaId) {
        let base = self.log.base_index();
        let recent = self.recent_snapshot.upgrade();
        let Some(snapshot) = recent.filter(|snapshot| snapshot.index >= base) else {
            self.awaiting_snapshot.insert(to);
            return;
        };
        if let Some(progress) = self.progress_mut(to) {
            progress.send_snapshot(snapshot);
        }
    }

    /// Returns the last entry that all members have, or will have after the snapshots that they are
    /// being sent.
    fn min_replicated_index(&self) -> Option<LogIndex> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        leader
            .progress
            .values()
            .map(Progress::match_or_snapshot_index)
            .min()
    }

    /// Returns the same as [`Raft::min_replicated_index`], but only over the members that are being
    /// sent a snapshot or have not caught up since.
    pub(crate) fn min_catching_up_index(&self) -> Option<LogIndex> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let behind = leader.progress.values();
        let behind = behind.filter(|progress| progress.is_catching_up_from_snapshot());
        behind.map(Progress::match_or_snapshot_index).min()
    }

    /// Sends the next snapshot chunks that the window permits.
    pub(crate) fn send_snapshot_chunks(&mut self, to: ReplicaId, out: &mut Vec<Output>) {
        let chunk_bytes = self.limits.snapshot_chunk_bytes.max(1);
        let window = (chunk_bytes * self.limits.snapshot_chunks_in_flight.max(1)) as u64;
        let round = self.current_round();
        let Some(progress) = self.progress_mut(to) else {
            return;
        };
        let ProgressState::Snapshot(outgoing) = &mut progress.state else {
            return;
        };
        let chunks = outgoing.next_chunks(chunk_bytes, window);
        if !chunks.is_empty() {
            progress.on_sent_in_round(round);
        }
        for chunk in chunks {
            self.send(to, Body::SnapshotChunk(chunk), out);
        }
    }

    /// Handles the acknowledgement of a part of a snapshot.
    pub(crate) fn on_snapshot_received(&mut self, from: ReplicaId, index: LogIndex, received: u64) {
        if let Some(progress) = self.progress_mut(from) {
            progress.on_snapshot_received(index, received);
        }
    }

    /// Handles a snapshot chunk from the leader. A late chunk of an older snapshot changes nothing.
    pub(crate) fn on_snapshot_chunk(
        &mut self,
        from: ReplicaId,
        chunk: SnapshotChunk,
        out: &mut Vec<Output>,
    ) {
        let is_known =
            chunk.index <= self.commit_index || self.log.matches(chunk.index, chunk.term);
        if is_known {
            let is_old = |incoming: &mut IncomingSnapshot| incoming.index <= chunk.index;
            drop(self.incoming.take_if(is_old));
            self.verified_index = self.verified_index.max(chunk.index);
            self.acknowledgement_pending = true;
            return self.advance_commit(chunk.index, out);
        }
        let index = chunk.index;
        let is_newer_incoming = |incoming: &IncomingSnapshot| incoming.index > index;
        if self.incoming.as_ref().is_some_and(is_newer_incoming) {
            return;
        }
        let received = self.store_chunk(&chunk);
        self.send(from, Body::SnapshotReceived { index, received }, out);
        self.install_when_complete(out);
    }

    /// Adds a chunk, and returns the number of bytes received without a gap. If the chunk cannot be
    /// stored, the partial snapshot is dropped, and the leader starts from the beginning.
    fn store_chunk(&mut self, chunk: &SnapshotChunk) -> u64 {
        let known = self
            .incoming
            .take()
            .filter(|known| known.matches_chunk(chunk));
        let Some(mut incoming) = known.or_else(|| self.begin_incoming(chunk)) else {
            return 0;
        };
        if incoming.append(chunk).is_err() {
            return 0;
        }
        let received = incoming.received;
        self.incoming = Some(incoming);
        received
    }

    /// Returns `None` if the spool cannot store a snapshot; the spool logs the reason.
    fn begin_incoming(&self, chunk: &SnapshotChunk) -> Option<IncomingSnapshot> {
        let data = self.spool.begin().ok()?;
        Some(IncomingSnapshot {
            index: chunk.index,
            term: chunk.term,
            total: chunk.total,
            received: 0,
            out_of_order: BTreeMap::new(),
            data,
        })
    }

    fn install_when_complete(&mut self, out: &mut Vec<Output>) {
        let is_complete = |incoming: &mut IncomingSnapshot| incoming.received >= incoming.total;
        let Some(incoming) = self.incoming.take_if(is_complete) else {
            return;
        };
        // The spool logs the reason, and the leader sends the snapshot again.
        let Ok(data) = incoming.data.finish() else {
            return;
        };
        let snapshot = StoredSnapshot {
            index: incoming.index,
            term: incoming.term,
            data,
        };
        // Damaged bytes are dropped; the leader sends the snapshot again.
        if let Ok(contents) = SnapshotContents::decode(&snapshot) {
            self.install(Arc::new(snapshot), contents, out);
        }
    }

    /// Replaces the log and the state with a snapshot that is ahead of both.
    fn install(
        &mut self,
        snapshot: Arc<StoredSnapshot>,
        contents: SnapshotContents,
        out: &mut Vec<Output>,
    ) {
        let index = snapshot.index;
        self.log = RaftLog::new(index, snapshot.term);
        self.enroll(&contents.membership);
        self.members = Members::new(contents.membership.clone());
        self.commit_index = index;
        self.last_applied = index;
        self.verified_index = index;
        self.acknowledgement_pending = true;
        self.snapshot_index = index;
        self.persistence.replaced_by_snapshot(snapshot);
        out.push(Output::Restore {
            index,
            state: contents.state,
        });
        out.push(Output::MembershipChanged(contents.membership));
    }
}
