//! Scripted replicas in this process.

// Each test file is a crate of its own and uses a part of this.
#![allow(dead_code)]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use wingshore_transport::{ConnectionHandle, FrameHandler, Server, ServerOptions};
use wingshore_types::protocol::wire::{Frame, GroupReply, GroupRequest};
use wingshore_types::{GroupId, RequestId};

/// The site of all replicas.
pub const SITE: &str = "regina";

/// One request as a scripted replica sees it.
pub struct Asked<'a> {
    /// Where to answer.
    pub connection: &'a ConnectionHandle,
    /// Under which id.
    pub id: RequestId,
    /// The group meant.
    pub group: GroupId,
    /// What is asked.
    pub body: GroupRequest,
}

impl Asked<'_> {
    /// Answers.
    pub fn reply(&self, body: GroupReply) {
        self.connection.reply(self.id, body);
    }
}

struct Script<F>(F);

impl<F: Fn(Asked<'_>) + Send + Sync + 'static> FrameHandler for Script<F> {
    fn on_frame(&self, connection: &ConnectionHandle, frame: Frame) {
        if let Frame::Request { id, group, body } = frame {
            (self.0)(Asked {
                connection,
                id,
                group,
                body,
            });
        }
    }
}

/// Starts a replica that does as `script` says.
pub fn replica(script: impl Fn(Asked<'_>) + Send + Sync + 'static) -> Server {
    replica_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), script)
}

/// Starts a replica at an address.
pub fn replica_at(
    address: SocketAddr,
    script: impl Fn(Asked<'_>) + Send + Sync + 'static,
) -> Server {
    let options = ServerOptions {
        site: SITE.to_owned(),
        replica: None,
        max_connections: 100,
    };
    Server::bind(address, options, Arc::new(Script(script))).unwrap()
}

/// An answer that tests tell apart by its text.
pub fn answer(text: &str) -> GroupReply {
    GroupReply::LogDumped(text.to_owned())
}

/// Waits for a condition; whether it came.
pub fn wait_until(condition: impl Fn() -> bool) -> bool {
    for _ in 0..4000 {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}
