//! Unit tests of a relay's decisions, without sockets or clocks.

use googletest::prelude::*;
use std::time::Duration;
use wingshore_relay::{RelayInput, RelayOutput, RelayState, RelayTiming, WatchTag};
use wingshore_types::configuration::{
    Configuration, ConfigurationChange, Permille, Service, ServiceKind,
};
use wingshore_types::protocol::control::{ConfigurationUpdate, NodeAcknowledgement, WatchRequest};
use wingshore_types::{Instant, NodeId, Revision, ServiceId};

const LEASE: Duration = Duration::from_secs(5);

fn change(number: u64) -> ConfigurationChange {
    ConfigurationChange::PutService(Service {
        id: ServiceId::new("fare-api"),
        kind: ServiceKind::Live,
        slots_per_server: number as u32,
        live_share: Permille::WHOLE,
        default_deadline_ms: 1000,
    })
}

fn changes(numbers: std::ops::RangeInclusive<u64>) -> Vec<ConfigurationChange> {
    numbers.map(change).collect()
}

fn delta(from: u64, to: u64) -> ConfigurationUpdate {
    ConfigurationUpdate::Delta {
        from: Revision(from),
        changes: changes(from + 1..=to),
    }
}

fn snapshot(revision: u64) -> ConfigurationUpdate {
    let mut full_configuration = Configuration::default();
    for change in changes(1..=revision) {
        full_configuration.apply(&change).unwrap();
    }
    ConfigurationUpdate::Snapshot(Box::new(full_configuration))
}

fn acknowledgement(node: &str, boot_id: u64, in_force: u64) -> NodeAcknowledgement {
    NodeAcknowledgement {
        node: NodeId::new(node),
        boot_id,
        in_force: Revision(in_force),
    }
}

/// A relay state machine with a manual clock and its pending outputs.
struct TestRelay {
    state: RelayState,
    now: Instant,
    out: Vec<RelayOutput>,
}

impl TestRelay {
    fn new() -> Self {
        let timing = RelayTiming {
            retained_changes: 10,
            ..RelayTiming::default()
        };
        let now = Instant::from_millis(1000);
        Self {
            state: RelayState::new(now, timing),
            now,
            out: Vec::new(),
        }
    }

    fn step(&mut self, input: RelayInput) -> Vec<RelayOutput> {
        self.state.step(self.now, input, &mut self.out);
        std::mem::take(&mut self.out)
    }

    fn advance(&mut self, milliseconds: u64) -> Vec<RelayOutput> {
        self.now = self.now + Duration::from_millis(milliseconds);
        self.step(RelayInput::Tick)
    }

    fn watch(&mut self, tag: u64, have: u64, from: NodeAcknowledgement) -> Vec<RelayOutput> {
        self.step(RelayInput::Watch {
            tag: WatchTag(tag),
            request: WatchRequest {
                have: Revision(have),
                acknowledgements: vec![from],
                wait_ms: 1000,
            },
        })
    }

    fn upstream(&mut self, update: ConfigurationUpdate) -> Vec<RelayOutput> {
        let lease = LEASE;
        self.step(RelayInput::UpstreamAnswered { update, lease })
    }

    /// Returns a relay that holds `revision` and has an upstream watch without acknowledgements in
    /// flight.
    fn at(revision: u64) -> Self {
        let mut relay = Self::new();
        relay.advance(0);
        relay.upstream(snapshot(revision));
        relay.advance(30);
        relay
    }
}

fn answer(tag: u64, update: ConfigurationUpdate, lease: Duration) -> RelayOutput {
    let tag = WatchTag(tag);
    RelayOutput::Answer { tag, update, lease }
}

fn sent_acknowledgements(outputs: &[RelayOutput]) -> Vec<NodeAcknowledgement> {
    let sent = outputs.iter().filter_map(|output| match output {
        RelayOutput::SendUpstream(request) => Some(request.acknowledgements.clone()),
        _ => None,
    });
    sent.flatten().collect()
}

#[gtest]
fn a_lease_is_shortened_by_the_time_since_the_upstream_watch_was_sent() {
    let mut relay = TestRelay::at(3);
    let immediate_answer = relay.watch(1, 3, acknowledgement("a", 1, 3));
    expect_that!(immediate_answer, is_empty());
    // The answer to an upstream watch sent before the node's acknowledgement grants it no lease.
    let sent = relay.upstream(ConfigurationUpdate::Unchanged);
    expect_that!(sent_acknowledgements(&sent), len(eq(1)));
    let sent_at = relay.now;
    relay.advance(300);
    let answered = relay.upstream(ConfigurationUpdate::Unchanged);
    let left = LEASE - Duration::from_millis(300);
    expect_that!(
        answered,
        contains(eq(&answer(1, ConfigurationUpdate::Unchanged, left)))
    );

    // 1700 ms after sending: the lease still counts from the same upstream watch, which included
    // the node.
    relay.advance(400);
    relay.watch(2, 3, acknowledgement("a", 1, 3));
    let answered_at_deadline = relay.advance(1000);
    let left = LEASE - relay.now.since(sent_at);
    expect_that!(
        answered_at_deadline,
        contains(eq(&answer(2, ConfigurationUpdate::Unchanged, left)))
    );
}

#[gtest]
fn new_revisions_are_sent_immediately_without_a_lease_if_none_is_held() {
    let mut relay = TestRelay::at(3);
    relay.watch(1, 3, acknowledgement("a", 1, 3));
    relay.watch(2, 1, acknowledgement("b", 1, 1));
    let answered = relay.upstream(delta(3, 4));
    expect_that!(
        answered,
        contains(eq(&answer(1, delta(3, 4), Duration::ZERO)))
    );
    // Node b was behind from the start and was answered from the copy; it sends another watch.
    expect_that!(
        relay.watch(3, 1, acknowledgement("b", 1, 1)),
        contains(eq(&answer(3, snapshot(4), Duration::ZERO)))
    );
}

#[gtest]
fn watchers_get_a_delta_of_retained_changes_or_else_a_snapshot() {
    let mut relay = TestRelay::at(3);
    relay.upstream(delta(3, 20));
    for (have, expected) in [
        (20, None),
        (25, None),
        (19, Some(delta(19, 20))),
        (10, Some(delta(10, 20))),
        (9, Some(snapshot(20))),
        (0, Some(snapshot(20))),
    ] {
        let answered = relay.watch(have, have, acknowledgement("a", 1, have));
        let expected = expected.map(|update| answer(have, update, Duration::ZERO));
        let answered = answered
            .into_iter()
            .find(|output| matches!(output, RelayOutput::Answer { .. }));
        expect_that!(answered, eq(&expected), "from {have}");
    }
}

#[gtest]
fn only_new_acknowledgements_are_forwarded_and_only_the_newest_of_each_node() {
    let mut relay = TestRelay::at(3);
    relay.watch(1, 3, acknowledgement("a", 1, 3));
    relay.watch(2, 3, acknowledgement("b", 1, 2));
    relay.watch(3, 3, acknowledgement("b", 1, 3));
    relay.watch(4, 3, acknowledgement("b", 2, 0));
    let sent = relay.upstream(ConfigurationUpdate::Unchanged);
    expect_that!(
        sent_acknowledgements(&sent),
        elements_are![
            eq(&acknowledgement("a", 1, 3)),
            eq(&acknowledgement("b", 1, 3)),
            eq(&acknowledgement("b", 2, 0)),
        ]
    );
    let sent = relay.upstream(ConfigurationUpdate::Unchanged);
    expect_that!(sent_acknowledgements(&sent), is_empty());
}

#[gtest]
fn a_later_boot_of_a_node_does_not_inherit_its_lease() {
    let mut relay = TestRelay::at(3);
    relay.watch(1, 3, acknowledgement("a", 1, 3));
    relay.upstream(ConfigurationUpdate::Unchanged);
    relay.upstream(ConfigurationUpdate::Unchanged);
    let answered = relay.watch(2, 0, acknowledgement("a", 2, 0));
    expect_that!(
        answered,
        contains(eq(&answer(2, snapshot(3), Duration::ZERO)))
    );
}

#[gtest]
fn relay_without_upstream_answer_redirects_its_watchers() {
    let mut relay = TestRelay::at(3);
    relay.watch(1, 3, acknowledgement("a", 1, 3));
    relay.step(RelayInput::UpstreamFailed);
    relay.now = relay.now + RelayTiming::default().upstream_timeout;
    expect_that!(
        relay.step(RelayInput::Tick),
        contains(eq(&RelayOutput::Unavailable(WatchTag(1))))
    );
    expect_false!(relay.state.summary(relay.now).upstream_alive);
    let refused = relay.watch(2, 0, acknowledgement("a", 1, 3));
    expect_that!(
        refused,
        contains(eq(&RelayOutput::Unavailable(WatchTag(2))))
    );
    // No watch is open and an upstream watch is in flight, so no tick is needed.
    expect_that!(relay.state.next_tick(), none());

    relay.upstream(ConfigurationUpdate::Unchanged);
    expect_true!(relay.state.summary(relay.now).upstream_alive);
    expect_that!(relay.watch(3, 3, acknowledgement("a", 1, 3)), is_empty());
}

#[gtest]
fn failed_watch_requeues_recent_acknowledgements_only() {
    let mut relay = TestRelay::at(3);
    relay.watch(1, 3, acknowledgement("a", 1, 3));
    relay.upstream(ConfigurationUpdate::Unchanged);
    relay.step(RelayInput::UpstreamFailed);
    expect_that!(sent_acknowledgements(&relay.advance(100)), len(eq(1)));
    relay.now = relay.now + Duration::from_secs(10);
    relay.step(RelayInput::UpstreamFailed);
    expect_that!(sent_acknowledgements(&relay.advance(100)), is_empty());
}

#[gtest]
fn inconsistent_update_grants_no_lease_and_requests_a_snapshot() {
    let mut relay = TestRelay::at(3);
    relay.watch(1, 3, acknowledgement("a", 1, 3));
    relay.upstream(ConfigurationUpdate::Unchanged);
    relay.upstream(delta(7, 8));
    let sent = relay.advance(100);
    let requests_snapshot = |output: &RelayOutput| match output {
        RelayOutput::SendUpstream(request) => request.have == Revision(0),
        _ => false,
    };
    expect_true!(sent.iter().any(requests_snapshot));
    expect_that!(relay.state.summary(relay.now).revision, eq(Revision(3)));
    // A snapshot with a lower revision than the one held is rejected too.
    relay.upstream(snapshot(2));
    expect_that!(relay.state.summary(relay.now).revision, eq(Revision(3)));
    relay.advance(100);
    relay.upstream(snapshot(8));
    expect_that!(relay.state.summary(relay.now).revision, eq(Revision(8)));
}

#[gtest]
fn closed_watches_and_idle_nodes_are_removed() {
    let mut relay = TestRelay::at(3);
    relay.watch(1, 3, acknowledgement("a", 1, 3));
    relay.step(RelayInput::WatchClosed(WatchTag(1)));
    relay.upstream(ConfigurationUpdate::Unchanged);
    relay.upstream(ConfigurationUpdate::Unchanged);
    let summary = relay.state.summary(relay.now);
    expect_that!((summary.open_watches, summary.nodes), eq((0, 1)));
    relay.advance(60_000);
    expect_that!(relay.state.summary(relay.now).nodes, eq(0));
}
