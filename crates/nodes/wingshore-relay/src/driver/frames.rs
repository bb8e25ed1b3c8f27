//! Receives watches as frames and sends the replies to them.

use super::run::Event;
use crate::state::WatchTag;
use crossbeam_channel::Sender;
use std::collections::HashMap;
use std::time::Duration;
use wingshore_diagnostics::Diagnostics;
use wingshore_transport::{ConnectionHandle, ConnectionId, FrameHandler};
use wingshore_types::RequestId;
use wingshore_types::protocol::control::{ConfigurationUpdate, ControlReply, ControlRequest};
use wingshore_types::protocol::wire::{Frame, GroupReply, GroupRequest};

/// Reply to requests other than configuration watches.
const ONLY_WATCHES: &str = "this process is a relay: it answers configuration watches only; send \
                            other requests to a replica";

/// Passes received watches to the relay's main loop.
pub(super) struct RelayFrameHandler {
    pub(super) events: Sender<Event>,
    pub(super) diagnostics: Diagnostics,
}

impl FrameHandler for RelayFrameHandler {
    fn on_frame(&self, connection: &ConnectionHandle, frame: Frame) {
        let Frame::Request { id, body, .. } = frame else {
            connection.close();
            return;
        };
        match body {
            GroupRequest::Control(ControlRequest::Watch(request)) => {
                let connection = connection.clone();
                // A stopping relay accepts no more watches; its connections are closed with it.
                let _ = self.events.send(Event::Watch {
                    connection,
                    id,
                    request,
                });
            }
            GroupRequest::DumpLog => connection.reply(id, self.dump_log()),
            _ => connection.reply(id, GroupReply::Rejected(ONLY_WATCHES.to_owned())),
        }
    }

    fn on_closed(&self, connection: &ConnectionHandle) {
        let _ = self.events.send(Event::ConnectionClosed(connection.id()));
    }
}

impl RelayFrameHandler {
    fn dump_log(&self) -> GroupReply {
        match self.diagnostics.dump("asked by an operator") {
            Ok(place) => GroupReply::LogDumped(place),
            Err(error) => GroupReply::Rejected(error.to_string()),
        }
    }
}

/// Watches without a reply, by tag.
#[derive(Debug, Default)]
pub(super) struct PendingWatches {
    next_tag: u64,
    pending: HashMap<WatchTag, PendingWatch>,
}

#[derive(Debug)]
struct PendingWatch {
    connection: ConnectionHandle,
    id: RequestId,
}

impl PendingWatches {
    /// Adds a watch and returns its new tag.
    pub(super) fn add(&mut self, connection: ConnectionHandle, id: RequestId) -> WatchTag {
        let tag = WatchTag(self.next_tag);
        self.next_tag += 1;
        self.pending.insert(tag, PendingWatch { connection, id });
        tag
    }

    /// Removes the watches of a closed connection and returns their tags.
    pub(super) fn remove_connection(&mut self, connection: ConnectionId) -> Vec<WatchTag> {
        let belongs_to_connection = |watcher: &PendingWatch| watcher.connection.id() == connection;
        let closed: Vec<WatchTag> = self
            .pending
            .extract_if(|_, watcher| belongs_to_connection(watcher))
            .map(|(tag, _)| tag)
            .collect();
        closed
    }

    /// Returns the tags of all watches without a reply.
    pub(super) fn tags(&self) -> Vec<WatchTag> {
        self.pending.keys().copied().collect()
    }

    /// Replies to a watch. The lease is rounded down to milliseconds.
    pub(super) fn answer(&mut self, tag: WatchTag, update: ConfigurationUpdate, lease: Duration) {
        let lease_ms = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
        let reply = ControlReply::Update { update, lease_ms };
        self.reply(tag, GroupReply::Control(reply));
    }

    /// Replies that the watcher should try another relay or replica.
    pub(super) fn redirect(&mut self, tag: WatchTag) {
        self.reply(tag, GroupReply::NotLeader { leader: None });
    }

    fn reply(&mut self, tag: WatchTag, body: GroupReply) {
        if let Some(watcher) = self.pending.remove(&tag) {
            watcher.connection.reply(watcher.id, body);
        }
    }
}
