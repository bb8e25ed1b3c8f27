//! The process's counts of frames and bytes; alone in its file, since they are the process's.

use googletest::prelude::*;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use std::sync::Arc;
use std::time::Duration;
use wingshore_transport::{
    ConnectOptions, Connection, ConnectionHandle, FrameHandler, Server, ServerOptions, Traffic,
    TrafficCollector, encode as encode_frame,
};
use wingshore_types::GroupId;
use wingshore_types::protocol::wire::Frame;

/// Tells of each frame that came.
struct Tell(crossbeam_channel::Sender<Frame>);

impl FrameHandler for Tell {
    fn on_frame(&self, _connection: &ConnectionHandle, frame: Frame) {
        self.0.send(frame).expect("the test listens");
    }
}

#[gtest]
fn frames_and_their_bytes_are_counted_on_both_sides() {
    let (tell, told) = crossbeam_channel::unbounded();
    let options = ServerOptions {
        site: "site".to_owned(),
        replica: None,
        max_connections: 4,
    };
    let address = "127.0.0.1:0".parse().expect("an address");
    let handler = Arc::new(Tell(tell));
    let server = Server::bind(address, options, handler.clone()).expect("a listener");
    let connect = ConnectOptions::new("site", Duration::from_secs(5));
    let connection =
        Connection::open(server.local_address(), &connect, handler).expect("a connection");
    let frame = Frame::Consensus {
        group: GroupId::Control,
        message: vec![7; 1000],
    };
    let length = encode_frame(&frame).expect("a frame").len() as u64;
    let before = Traffic::now();

    connection.send(&frame).expect("queued");
    told.recv_timeout(Duration::from_secs(10)).expect("a frame");

    // A keep-alive may have been sent besides.
    let after = Traffic::now();
    expect_that!(after.frames_sent - before.frames_sent, ge(1));
    expect_that!(after.frames_received - before.frames_received, ge(1));
    expect_that!(after.bytes_received - before.bytes_received, ge(length));
    let mut registry = Registry::with_prefix("role");
    registry.register_collector(Box::new(TrafficCollector));
    let mut text = String::new();
    encode(&mut text, &registry).expect("text");
    for name in [
        "role_frames_sent_total ",
        "role_frame_bytes_sent_total ",
        "role_frames_received_total ",
        "role_frame_bytes_received_total ",
    ] {
        expect_that!(text, contains_substring(name));
    }
}
