//! Updates of a gateway's view of its site: the view never goes back to an older state.

use googletest::prelude::*;
use std::sync::Arc;
use wingshore_coordination::{
    IngressLimits, InstanceId, ServerRecord, ServiceName, SiteConfiguration, SiteView, ViewChange,
    ViewContent, ViewUpdate,
};
use wingshore_gateway::{UpdateOutcome, View};
use wingshore_types::{Epoch, LogIndex};

fn configuration(version: u64) -> Arc<SiteConfiguration> {
    Arc::new(SiteConfiguration {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: IngressLimits::default(),
        tenants: Vec::new(),
        document: Vec::new(),
    })
}

fn server(name: &str, draining: bool) -> ServerRecord {
    ServerRecord {
        instance: InstanceId::from(name),
        service: ServiceName::from("s"),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "a".to_owned(),
        slots: 1,
        draining,
        reclaimable: false,
        models: Vec::new(),
    }
}

fn whole(revision: u64, version: u64, servers: Vec<ServerRecord>) -> ViewUpdate {
    ViewUpdate {
        revision: LogIndex(revision),
        content: ViewContent::Whole(SiteView {
            configuration: Some(configuration(version)),
            servers,
            fingerprint_key: None,
            suspects: Vec::new(),
        }),
    }
}

fn changes(since: u64, revision: u64, changes: Vec<ViewChange>) -> ViewUpdate {
    ViewUpdate {
        revision: LogIndex(revision),
        content: ViewContent::Changes {
            since: LogIndex(since),
            changes,
        },
    }
}

fn servers(view: &View) -> usize {
    view.servers_of(&ServiceName::from("s")).count()
}

#[gtest]
fn an_older_configuration_is_not_applied() {
    let mut view = View::default();
    view.update(whole(10, 7, Vec::new()));
    let older = ViewChange::Configuration(configuration(5));
    view.update(changes(10, 11, vec![older]));
    expect_that!(view.version(), eq(7));
    // A copy that includes more of the log but has an older version.
    view.update(whole(12, 6, Vec::new()));
    expect_that!(view.version(), eq(7));
}

#[gtest]
fn a_leader_of_an_older_epoch_is_not_accepted() {
    let mut view = View::default();
    expect_that!(view.accept_leader(Epoch(5)), eq(true));
    expect_that!(view.accept_leader(Epoch(4)), eq(false));
    expect_that!(view.epoch(), eq(Epoch(5)));
}

#[gtest]
fn an_update_of_an_older_revision_is_not_applied() {
    let mut view = View::default();
    view.update(whole(10, 7, vec![server("a", false)]));
    let behind = view.update(whole(9, 9, Vec::new()));
    expect_that!(behind, eq(UpdateOutcome::Stale));
    let drained = ViewChange::Server(server("a", true));
    let behind = view.update(changes(8, 9, vec![drained]));
    expect_that!(behind, eq(UpdateOutcome::Stale));
    expect_that!(servers(&view), eq(1));
    expect_that!(view.revision(), some(eq(LogIndex(10))));
}

#[gtest]
fn changes_that_leave_a_gap_are_not_applied() {
    let mut view = View::default();
    let gone = || vec![ViewChange::Gone(InstanceId::from("a"))];
    let first = view.update(changes(3, 12, gone()));
    expect_that!(first, eq(UpdateOutcome::Gap));
    view.update(whole(10, 7, vec![server("a", false)]));
    let late = view.update(changes(11, 12, gone()));
    expect_that!(late, eq(UpdateOutcome::Gap));
    expect_that!(servers(&view), eq(1));
}

/// Two copies may send the same entries one after the other.
#[gtest]
fn changes_that_overlap_are_applied() {
    let mut view = View::default();
    view.update(whole(10, 7, vec![server("a", false)]));
    let added = ViewChange::Server(server("b", false));
    view.update(changes(10, 12, vec![added.clone()]));
    let gone = ViewChange::Gone(InstanceId::from("a"));
    let verdict = view.update(changes(10, 13, vec![added, gone]));
    expect_that!(verdict, eq(UpdateOutcome::Applied));
    expect_that!(view.knows(&InstanceId::from("a")), eq(false));
    expect_that!(view.knows(&InstanceId::from("b")), eq(true));
}

#[gtest]
fn a_draining_server_gets_nothing_new() {
    let mut view = View::default();
    view.update(whole(10, 1, vec![server("a", false), server("b", false)]));
    let drained = ViewChange::Server(server("a", true));
    let gone = ViewChange::Gone(InstanceId::from("b"));
    view.update(changes(10, 11, vec![drained, gone]));
    expect_that!(servers(&view), eq(0));
}

#[gtest]
fn a_whole_view_replaces_the_servers() {
    let mut view = View::default();
    view.update(whole(10, 1, vec![server("a", false)]));
    view.update(whole(20, 1, vec![server("b", false)]));
    expect_that!(view.knows(&InstanceId::from("a")), eq(false));
    expect_that!(view.knows(&InstanceId::from("b")), eq(true));
}
