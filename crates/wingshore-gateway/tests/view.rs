//! What a gateway believes of its site: it never goes back.

use googletest::prelude::*;
use std::sync::Arc;
use wingshore_coordination::{
    IngressLimits, InstanceId, ServerRecord, ServiceName, SiteConfiguration, SiteView, ViewChange,
};
use wingshore_gateway::View;
use wingshore_types::Epoch;

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

fn whole(version: u64, servers: Vec<ServerRecord>) -> SiteView {
    SiteView {
        configuration: Some(configuration(version)),
        servers: Arc::new(servers),
        fingerprint_key: None,
        suspects: Arc::default(),
    }
}

#[gtest]
fn an_older_configuration_is_not_taken() {
    let mut view = View::default();
    view.welcome(Epoch(2), whole(7, Vec::new()));
    view.change(Epoch(2), ViewChange::Configuration(configuration(5)));
    expect_that!(view.version(), eq(7));
    // A later leader that has caught up to less than this gateway knows.
    view.welcome(Epoch(3), whole(6, Vec::new()));
    expect_that!(view.version(), eq(7));
}

#[gtest]
fn a_leader_of_an_older_term_is_not_believed() {
    let mut view = View::default();
    view.welcome(Epoch(5), whole(7, vec![server("a", false)]));
    expect_that!(view.welcome(Epoch(4), whole(9, Vec::new())), eq(false));
    let drained = ViewChange::Server(server("a", true));
    expect_that!(view.change(Epoch(4), drained), eq(false));
    expect_that!(view.servers_of(&ServiceName::from("s")).count(), eq(1));
}

#[gtest]
fn a_draining_server_gets_nothing_new() {
    let mut view = View::default();
    view.welcome(
        Epoch(1),
        whole(1, vec![server("a", false), server("b", false)]),
    );
    view.change(Epoch(1), ViewChange::Server(server("a", true)));
    view.change(Epoch(1), ViewChange::Gone(InstanceId::from("b")));
    expect_that!(view.servers_of(&ServiceName::from("s")).count(), eq(0));
}

#[gtest]
fn a_new_leader_replaces_the_servers() {
    let mut view = View::default();
    view.welcome(Epoch(1), whole(1, vec![server("a", false)]));
    view.welcome(Epoch(2), whole(1, vec![server("b", false)]));
    expect_that!(view.knows(&InstanceId::from("a")), eq(false));
    expect_that!(view.knows(&InstanceId::from("b")), eq(true));
}
