//! Scripted replicas that run in the test process.

// Each test file is a separate crate and uses only a part of this module.
#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use wingshore_transport::{ConnectionHandle, FrameHandler, Server, ServerOptions};
use wingshore_types::protocol::wire::{Frame, GroupReply, GroupRequest};
use wingshore_types::{GroupId, RequestId};

/// Site name of all scripted replicas.
pub const SITE: &str = "regina";

/// A request received by a scripted replica.
pub struct ReceivedRequest<'a> {
    /// The connection that the request arrived on.
    pub connection: &'a ConnectionHandle,
    /// Id of the request.
    pub id: RequestId,
    /// The group that is called.
    pub group: GroupId,
    /// Body of the request.
    pub body: GroupRequest,
}

impl ReceivedRequest<'_> {
    /// Replies to the request.
    pub fn reply(&self, body: GroupReply) {
        self.connection.reply(self.id, body);
    }
}

struct Script<F>(F);

impl<F: Fn(ReceivedRequest<'_>) + Send + Sync + 'static> FrameHandler for Script<F> {
    fn on_frame(&self, connection: &ConnectionHandle, frame: Frame) {
        if let Frame::Request { id, group, body } = frame {
            (self.0)(ReceivedRequest {
                connection,
                id,
                group,
                body,
            });
        }
    }
}

/// Starts a replica on a free port that handles each request with `script`.
pub fn replica(script: impl Fn(ReceivedRequest<'_>) + Send + Sync + 'static) -> Server {
    replica_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), script)
}

/// Starts a replica at `address` that handles each request with `script`.
pub fn replica_at(
    address: SocketAddr,
    script: impl Fn(ReceivedRequest<'_>) + Send + Sync + 'static,
) -> Server {
    let options = ServerOptions {
        site: SITE.to_owned(),
        replica: None,
        max_connections: 100,
    };
    Server::bind(address, options, Arc::new(Script(script))).unwrap()
}

/// Returns a reply that carries `text`, by which tests distinguish replies.
pub fn answer(text: &str) -> GroupReply {
    GroupReply::LogDumped(text.to_owned())
}

/// Polls `condition` for up to 20 s and returns whether it became true.
pub fn wait_until(condition: impl Fn() -> bool) -> bool {
    for _ in 0..4000 {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}
