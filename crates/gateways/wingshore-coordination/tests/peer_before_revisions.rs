//! Compatibility with a peer that predates revisions of the view: how each side decodes the
//! messages of the other.
//!
//! The earlier message types are defined here as far as they differ. Both programs decode messages
//! of an unknown form: some fail to decode, some are decoded as something else.

use googletest::prelude::*;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{
    CoordinatorMessage, GatewayMessage, JobId, SiteView, ViewChange, ViewContent, ViewUpdate,
    WallTime,
};
use wingshore_types::{Epoch, LogIndex};

/// Messages to gateways in the peer's release; the variants between those defined here have the
/// current form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum EarlierCoordinatorMessage {
    Welcome {
        epoch: Epoch,
        view: SiteView,
    },
    Change {
        epoch: Epoch,
        change: ViewChange,
    },
    Reply,
    Assign,
    Interrupt,
    Release,
    HandInFrom,
    Score,
    ReleaseScoring,
    Alive {
        coordinators: Vec<SocketAddr>,
        zone: String,
        has_copy: bool,
        wall: WallTime,
    },
}

/// Messages of gateways in the peer's release; the variants before the last one have the current
/// form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum EarlierGatewayMessage {
    Status,
    Running,
    Progress,
    Scoring,
    Keep,
    Call,
    ItemEnded,
    ScoringEnded,
    RequestsCrashed,
    Usage,
    RequestsRan,
    ReadCopy {
        id: u64,
        job: JobId,
        from: u64,
        wait: Duration,
    },
}

fn read_earlier<T: for<'a> Deserialize<'a>>(message: &impl Serialize) -> postcard::Result<T> {
    postcard::from_bytes(&postcard::to_allocvec(message).unwrap())
}

fn alive(coordinators: Option<Vec<SocketAddr>>, copy: Option<LogIndex>) -> CoordinatorMessage {
    CoordinatorMessage::Alive {
        coordinators,
        zone: "zone-a".to_owned(),
        copy,
        wall: WallTime(1_700_000_000_123),
    }
}

/// The peer decodes the index of the copy as the wall-clock time.
#[gtest]
fn a_status_message_is_misread_without_an_error() {
    let read: EarlierCoordinatorMessage = read_earlier(&alive(None, Some(LogIndex(400)))).unwrap();
    let expected = EarlierCoordinatorMessage::Alive {
        coordinators: Vec::new(),
        zone: "zone-a".to_owned(),
        has_copy: true,
        wall: WallTime(200),
    };
    expect_that!(read, eq(&expected));
}

/// The first status message on a link contains the addresses of the coordinators.
#[gtest]
fn a_first_status_message_is_refused() {
    let coordinators = vec![([10, 0, 0, 2], 7000).into(), ([10, 0, 0, 3], 7000).into()];
    let message = alive(Some(coordinators), Some(LogIndex(400)));
    let read = read_earlier::<EarlierCoordinatorMessage>(&message);
    expect_that!(read.is_err(), eq(true), "{read:?}");
}

#[gtest]
fn messages_of_a_leader_are_refused_by_an_earlier_gateway() {
    let leading = CoordinatorMessage::Leading { epoch: Epoch(300) };
    let read = read_earlier::<EarlierCoordinatorMessage>(&leading);
    expect_that!(read.is_err(), eq(true), "{read:?}");
    let update = CoordinatorMessage::View(ViewUpdate {
        revision: LogIndex(400),
        content: ViewContent::Whole(SiteView::default()),
    });
    let read = read_earlier::<EarlierCoordinatorMessage>(&update);
    expect_that!(read.is_err(), eq(true), "{read:?}");
}

/// The epoch is decoded, and the view that follows it is ignored.
#[gtest]
fn the_epoch_of_an_earlier_leader_is_read_without_its_view() {
    let welcome = EarlierCoordinatorMessage::Welcome {
        epoch: Epoch(300),
        view: SiteView::default(),
    };
    let read: CoordinatorMessage = read_earlier(&welcome).unwrap();
    expect_that!(read, eq(&CoordinatorMessage::Leading { epoch: Epoch(300) }));
}

#[gtest]
fn view_subscriptions_are_refused_by_an_earlier_coordinator() {
    for since in [None, Some(LogIndex(400))] {
        let read = read_earlier::<EarlierGatewayMessage>(&GatewayMessage::FollowView { since });
        expect_that!(read.is_err(), eq(true), "{read:?}");
    }
    let read = read_earlier::<EarlierGatewayMessage>(&GatewayMessage::LeaveView);
    expect_that!(read.is_err(), eq(true), "{read:?}");
}
