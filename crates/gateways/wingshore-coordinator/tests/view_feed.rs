//! What a member of the group sends to the gateways that follow the view there, and what that
//! costs.
//!
//! Guards against a fault on a site of 996 machines with 10,000 servers, where each new leader
//! exceeded its memory limit and ended within 0.9 s, so that no leader was left for the rest of the
//! day. A new leader sent the whole view, 469 kB, to each of 836 gateways from a separate buffer:
//! 392 MB in one process, and 5 s of its link. The cost grew with the product of servers and
//! gateways on one machine, although the gateways already held all of the view.

use bytes::{Bytes, BytesMut};
use googletest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use wingshore_coordination::{
    Command, CoordinationState, CoordinatorMessage, IngressLimits, InstanceId, ServerRecord,
    ServiceName, SiteConfiguration, ViewContent, ViewUpdate,
};
use wingshore_coordinator::{FeedLinks, FeedSource, ViewFeed};
use wingshore_gateway::{UpdateOutcome, View};
use wingshore_net::frame;
use wingshore_types::LogIndex;
use wingshore_types::machine::ReplicatedState;

/// State of a member, with entries applied to it.
#[derive(Default)]
struct MemberCopy {
    state: CoordinationState,
    applied: u64,
}

impl MemberCopy {
    fn apply(&mut self, command: Command) {
        self.applied += 1;
        self.state.apply(LogIndex(self.applied), command);
    }

    fn register(&mut self, from: usize, to: usize) {
        for number in from..to {
            self.apply(Command::Register(server(number)));
        }
    }

    fn source(&self) -> FeedSource<'_> {
        FeedSource {
            state: &self.state,
            applied: LogIndex(self.applied),
        }
    }

    /// Returns the member after a restart from a snapshot, which does not contain the history of
    /// changes.
    fn restored(&self) -> Self {
        let state = CoordinationState::restore(&self.state.snapshot());
        Self {
            state: state.expect("a snapshot can be read"),
            applied: self.applied,
        }
    }
}

fn server(number: usize) -> ServerRecord {
    let octets = u32::try_from(number).expect("few servers").to_be_bytes();
    ServerRecord {
        instance: InstanceId::from(format!("i-{number:08x}").as_str()),
        service: ServiceName::from("huvo11a"),
        address: ([10, octets[1], octets[2], octets[3]], 8080).into(),
        zone: "saskatoon-hall".to_owned(),
        slots: 6,
        draining: false,
        reclaimable: false,
        models: Vec::new(),
    }
}

fn configuration(version: u64) -> Command {
    Command::Configure(Arc::new(SiteConfiguration {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: IngressLimits::default(),
        tenants: Vec::new(),
        document: vec![0; 50_000],
    }))
}

/// Links to gateways: the frames that were sent and not read yet.
#[derive(Default)]
struct Links {
    waiting: BTreeMap<u32, Vec<Bytes>>,
    sent: usize,
    /// Sizes of the distinct buffers that were sent, by their addresses.
    buffers: BTreeMap<usize, usize>,
}

impl FeedLinks<u32> for Links {
    fn queued(&self, link: u32) -> usize {
        let waiting = self.waiting.get(&link);
        waiting.map_or(0, |waiting| waiting.iter().map(Bytes::len).sum())
    }

    fn send(&mut self, link: u32, frame: &Bytes) {
        self.sent += frame.len();
        self.buffers.insert(frame.as_ptr().addr(), frame.len());
        self.waiting.entry(link).or_default().push(frame.clone());
    }
}

impl Links {
    /// Lets the gateways read all waiting frames.
    fn deliver(&mut self, gateways: &mut [View]) {
        for (link, frames) in std::mem::take(&mut self.waiting) {
            for bytes in frames {
                let outcome = gateways[link as usize].update(read(&bytes));
                assert_eq!(outcome, UpdateOutcome::Applied);
            }
        }
    }
}

fn read(bytes: &Bytes) -> ViewUpdate {
    let mut input = BytesMut::from(&bytes[..]);
    match frame::decode(&mut input).expect("a frame can be read") {
        Some(CoordinatorMessage::View(update)) => update,
        other => panic!("another message: {other:?}"),
    }
}

/// Sends changes until all gateways have read everything; returns the number of rounds.
fn settle(
    feed: &mut ViewFeed<u32>,
    copy: &MemberCopy,
    links: &mut Links,
    gateways: &mut [View],
) -> usize {
    for round in 0..10_000 {
        feed.send_changes(copy.source(), links)
            .expect("it can be encoded");
        if links.waiting.is_empty() {
            return round;
        }
        links.deliver(gateways);
    }
    panic!("the gateways do not receive all changes");
}

fn views(count: usize) -> Vec<View> {
    (0..count).map(|_| View::default()).collect()
}

fn follow_all(feed: &mut ViewFeed<u32>, gateways: &[View]) {
    for (link, view) in (0_u32..).zip(gateways) {
        feed.follow(link, view.revision());
    }
}

#[gtest]
fn each_gateway_receives_all_changes() {
    let mut copy = MemberCopy::default();
    let (mut feed, mut links, mut gateways) = (ViewFeed::default(), Links::default(), views(50));
    follow_all(&mut feed, &gateways);
    copy.apply(configuration(7));
    copy.register(0, 300);
    settle(&mut feed, &copy, &mut links, &mut gateways);
    copy.apply(Command::Depart(InstanceId::from("i-00000003")));
    copy.apply(configuration(8));
    settle(&mut feed, &copy, &mut links, &mut gateways);
    for view in &gateways {
        expect_that!(view.servers().count(), eq(299));
        expect_that!(view.version(), eq(8));
        expect_that!(view.revision(), some(eq(LogIndex(copy.applied))));
    }
}

/// The takeover of 1,000 gateways at 10,000 servers sends fewer bytes than one whole view.
#[gtest]
fn another_member_sends_only_what_gateways_lack() {
    let mut first = MemberCopy::default();
    first.apply(configuration(7));
    first.register(0, 10_000);
    let whole = frame::encode(&first.state.view())
        .expect("it can be encoded")
        .len();
    let (mut feed, mut links, mut gateways) = (ViewFeed::default(), Links::default(), views(1000));
    follow_all(&mut feed, &gateways);
    settle(&mut feed, &first, &mut links, &mut gateways);

    first.register(10_000, 10_001);
    let mut feed = ViewFeed::default();
    let mut links = Links::default();
    follow_all(&mut feed, &gateways);
    settle(&mut feed, &first, &mut links, &mut gateways);
    expect_that!(gateways[999].servers().count(), eq(10_001));
    expect_that!(links.sent, lt(whole));
    expect_that!(links.buffers.values().sum::<usize>(), lt(1000));
}

/// The buffered bytes grow with the servers, not with the gateways.
#[gtest]
fn a_whole_view_is_buffered_once_for_all_gateways() {
    let buffered_bytes = |gateway_count: usize, servers: usize| {
        let mut copy = MemberCopy::default();
        copy.register(0, servers);
        let (mut feed, mut links) = (ViewFeed::default(), Links::default());
        let mut gateways = views(gateway_count);
        follow_all(&mut feed, &gateways);
        settle(&mut feed, &copy, &mut links, &mut gateways);
        links.buffers.values().sum::<usize>()
    };
    let few = buffered_bytes(100, 1000);
    expect_that!(buffered_bytes(1000, 1000), eq(few));
    expect_that!(buffered_bytes(100, 10_000), lt(11 * few));
}

/// While servers register, each new gateway would need a view of another state.
#[gtest]
fn a_view_is_not_encoded_again_for_each_gateway_while_servers_register() {
    let mut copy = MemberCopy::default();
    copy.register(0, 8000);
    let (mut feed, mut links, mut gateways) = (ViewFeed::default(), Links::default(), views(160));
    let mut wholes = 0;
    for (link, next) in (0_u32..160).zip(8000..) {
        copy.register(next, next + 1);
        feed.follow(link, None);
        feed.send_changes(copy.source(), &mut links)
            .expect("it can be encoded");
        let large = |buffers: &&usize| **buffers > 100_000;
        wholes = links.buffers.values().filter(large).count();
        links.deliver(&mut gateways);
    }
    settle(&mut feed, &copy, &mut links, &mut gateways);
    expect_that!(wholes, le(2));
    expect_that!(gateways[0].servers().count(), eq(8160));
}

#[gtest]
fn a_gateway_that_does_not_read_is_sent_the_changes_later_and_once() {
    let mut copy = MemberCopy::default();
    copy.register(0, 8000);
    let (mut feed, mut links, mut gateways) = (ViewFeed::default(), Links::default(), views(1));
    feed.follow(0, None);
    feed.send_changes(copy.source(), &mut links)
        .expect("it can be encoded");
    let after_whole = links.queued(0);
    for round in 0..100 {
        copy.register(8000 + round, 8001 + round);
        feed.send_changes(copy.source(), &mut links)
            .expect("it can be encoded");
    }
    expect_that!(links.queued(0), eq(after_whole));
    links.deliver(&mut gateways);
    settle(&mut feed, &copy, &mut links, &mut gateways);
    expect_that!(gateways[0].servers().count(), eq(8100));
}

/// A member that restarts from its snapshot does not know the changes before it.
#[gtest]
fn a_restored_member_sends_the_whole_view_to_gateways_that_lack_changes() {
    let mut copy = MemberCopy::default();
    copy.register(0, 20);
    let (mut feed, mut links, mut gateways) = (ViewFeed::default(), Links::default(), views(2));
    feed.follow(0, None);
    settle(&mut feed, &copy, &mut links, &mut gateways);
    copy.apply(Command::Depart(InstanceId::from("i-00000003")));
    feed.follow(1, None);
    feed.leave(0);
    settle(&mut feed, &copy, &mut links, &mut gateways);

    let mut copy = copy.restored();
    let mut feed = ViewFeed::default();
    follow_all(&mut feed, &gateways);
    feed.send_changes(copy.source(), &mut links)
        .expect("it can be encoded");
    let kind = |link: u32| read(&links.waiting[&link][0]).content;
    expect_that!(kind(0), matches_pattern!(ViewContent::Whole(_)));
    expect_that!(kind(1), matches_pattern!(ViewContent::Changes { .. }));
    links.deliver(&mut gateways);
    copy.register(20, 21);
    settle(&mut feed, &copy, &mut links, &mut gateways);
    for view in &gateways {
        expect_that!(view.servers().count(), eq(20));
        expect_that!(view.knows(&InstanceId::from("i-00000003")), eq(false));
    }
}

/// A member that receives a snapshot skips entries that it has not sent to its gateways.
#[gtest]
fn a_member_that_received_a_snapshot_sends_the_changes_that_it_skipped() {
    let mut copy = MemberCopy::default();
    copy.register(0, 20);
    let (mut feed, mut links, mut gateways) = (ViewFeed::default(), Links::default(), views(3));
    follow_all(&mut feed, &gateways);
    settle(&mut feed, &copy, &mut links, &mut gateways);
    copy.register(20, 40);
    let copy = copy.restored();
    settle(&mut feed, &copy, &mut links, &mut gateways);
    for view in &gateways {
        expect_that!(view.servers().count(), eq(40));
    }
}

#[gtest]
fn up_to_date_gateways_are_sent_the_last_applied_entry() {
    let mut copy = MemberCopy::default();
    copy.register(0, 20);
    let (mut feed, mut links, mut gateways) = (ViewFeed::default(), Links::default(), views(1));
    feed.follow(0, None);
    settle(&mut feed, &copy, &mut links, &mut gateways);
    copy.applied += 5;
    settle(&mut feed, &copy, &mut links, &mut gateways);
    expect_that!(gateways[0].revision(), some(eq(LogIndex(20))));
    feed.send_revision(copy.source(), &mut links)
        .expect("it can be encoded");
    links.deliver(&mut gateways);
    expect_that!(gateways[0].revision(), some(eq(LogIndex(25))));
}
