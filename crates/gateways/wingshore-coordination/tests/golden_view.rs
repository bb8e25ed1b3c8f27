//! Golden bytes of the view updates that gateways receive.

mod golden;

use golden::check;
use golden::examples::{
    configuration, fingerprint, fingerprint_key, instance, instance_without_start_time, server,
    suspect,
};
use googletest::prelude::*;
use std::sync::Arc;
use wingshore_coordination::{SiteView, ViewChange, ViewContent, ViewUpdate};
use wingshore_types::LogIndex;

fn view_changes() -> Vec<ViewChange> {
    vec![
        ViewChange::Configuration(Arc::new(configuration())),
        ViewChange::Server(server(instance())),
        ViewChange::Gone(instance_without_start_time()),
        ViewChange::FingerprintKey(fingerprint_key()),
        ViewChange::Suspect(suspect()),
        ViewChange::Cleared(fingerprint(1)),
    ]
}

fn name_of_view_change(change: &ViewChange) -> &'static str {
    match change {
        ViewChange::Configuration(_) => "configuration",
        ViewChange::Server(_) => "server",
        ViewChange::Gone(_) => "gone",
        ViewChange::FingerprintKey(_) => "fingerprint_key",
        ViewChange::Suspect(_) => "suspect",
        ViewChange::Cleared(_) => "cleared",
    }
}

#[gtest]
fn changes_of_the_view_keep_their_bytes() {
    let golden = include_str!("golden/view_changes.txt");
    check(golden, &view_changes(), name_of_view_change);
}

fn view_updates() -> Vec<ViewUpdate> {
    let update = |content| ViewUpdate {
        revision: LogIndex(401),
        content,
    };
    vec![
        update(ViewContent::Whole(SiteView {
            configuration: Some(Arc::new(configuration())),
            servers: vec![server(instance())],
            fingerprint_key: Some(fingerprint_key()),
            suspects: vec![suspect()],
        })),
        update(ViewContent::Changes {
            since: LogIndex(400),
            changes: vec![ViewChange::Gone(instance_without_start_time())],
        }),
    ]
}

fn name_of_view_update(update: &ViewUpdate) -> &'static str {
    match &update.content {
        ViewContent::Whole(_) => "whole",
        ViewContent::Changes { .. } => "changes",
    }
}

#[gtest]
fn updates_of_the_view_keep_their_bytes() {
    let golden = include_str!("golden/view_updates.txt");
    check(golden, &view_updates(), name_of_view_update);
}
