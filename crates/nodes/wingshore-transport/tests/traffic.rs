//! Counters of frames and bytes. A separate test binary, because they are global to the process.

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

/// Sends each received frame to a channel.
struct FrameSender(crossbeam_channel::Sender<Frame>);

impl FrameHandler for FrameSender {
    fn on_frame(&self, _connection: &ConnectionHandle, frame: Frame) {
        self.0.send(frame).expect("receiver is open");
    }
}

#[gtest]
fn frames_and_their_bytes_are_counted_on_both_sides() {
    let (sender, received) = crossbeam_channel::unbounded();
    let options = ServerOptions {
        site: "site".to_owned(),
        replica: None,
        max_connections: 4,
    };
    let address = "127.0.0.1:0".parse().expect("address is valid");
    let handler = Arc::new(FrameSender(sender));
    let server = Server::bind(address, options, handler.clone()).expect("listener is bound");
    let connect = ConnectOptions::new("site", Duration::from_secs(5));
    let connection =
        Connection::open(server.local_address(), &connect, handler).expect("connection is opened");
    let frame = Frame::Consensus {
        group: GroupId::Control,
        message: vec![7; 1000],
    };
    let length = encode_frame(&frame).expect("frame is encoded").len() as u64;
    let before = Traffic::now();

    connection.send(&frame).expect("frame is queued");
    received
        .recv_timeout(Duration::from_secs(10))
        .expect("frame is received");

    // Keep-alives may have been sent as well.
    let after = Traffic::now();
    expect_that!(after.frames_sent - before.frames_sent, ge(1));
    expect_that!(after.frames_received - before.frames_received, ge(1));
    expect_that!(after.bytes_received - before.bytes_received, ge(length));
    let mut registry = Registry::with_prefix("role");
    registry.register_collector(Box::new(TrafficCollector));
    let mut text = String::new();
    encode(&mut text, &registry).expect("metrics are encoded");
    for name in [
        "role_frames_sent_total ",
        "role_frame_bytes_sent_total ",
        "role_frames_received_total ",
        "role_frame_bytes_received_total ",
    ] {
        expect_that!(text, contains_substring(name));
    }
}
