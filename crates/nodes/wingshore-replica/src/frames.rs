//! Dispatches received frames to the groups.

use crate::group::{GroupPort, RequestOrigin};
use crate::peers::Peers;
use std::collections::BTreeMap;
use std::sync::Arc;
use wingshore_diagnostics::Diagnostics;
use wingshore_transport::{ConnectionHandle, FrameHandler};
use wingshore_types::protocol::wire::{Frame, GroupReply, GroupRequest};
use wingshore_types::{GroupId, RequestId};

/// Dispatches the frames of all connections, incoming and outgoing.
pub(crate) struct FrameDispatcher {
    groups: BTreeMap<GroupId, Box<dyn GroupPort>>,
    peers: Arc<Peers>,
    diagnostics: Diagnostics,
}

impl FrameDispatcher {
    /// Creates a dispatcher for `groups`.
    pub(crate) fn new(
        groups: BTreeMap<GroupId, Box<dyn GroupPort>>,
        peers: Arc<Peers>,
        diagnostics: Diagnostics,
    ) -> Self {
        Self {
            groups,
            peers,
            diagnostics,
        }
    }

    /// Starts the planned stop of all groups.
    pub(crate) fn stop_groups(&self) {
        self.groups.values().for_each(|port| port.stop());
    }

    /// Ends all groups immediately, without a handover.
    pub(crate) fn abort_groups(&self) {
        self.groups.values().for_each(|port| port.abort());
    }

    fn on_request(
        &self,
        connection: &ConnectionHandle,
        id: RequestId,
        group: GroupId,
        body: GroupRequest,
    ) {
        if body == GroupRequest::DumpLog {
            connection.reply(id, self.dump_log());
            return;
        }
        let origin = RequestOrigin::new(connection, id);
        match self.groups.get(&group) {
            Some(port) => port.request(origin, body),
            None => origin.reply(GroupReply::Rejected(format!(
                "this replica holds no group {group}"
            ))),
        }
    }

    fn dump_log(&self) -> GroupReply {
        match self.diagnostics.dump("asked for") {
            Ok(path) => GroupReply::LogDumped(path),
            Err(error) => GroupReply::Rejected(error.to_string()),
        }
    }
}

impl FrameHandler for FrameDispatcher {
    fn on_frame(&self, connection: &ConnectionHandle, frame: Frame) {
        match frame {
            Frame::Request { id, group, body } => self.on_request(connection, id, group, body),
            Frame::Consensus { group, message } => {
                let Some(from) = connection.peer_replica() else {
                    return;
                };
                self.peers.record_incoming(from, connection);
                if let Some(port) = self.groups.get(&group) {
                    port.consensus(from, message);
                }
            }
            _ => {}
        }
    }

    fn on_closed(&self, connection: &ConnectionHandle) {
        self.peers.remove_incoming(connection);
    }
}
