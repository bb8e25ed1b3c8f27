//! The cost of restarting a whole site where sending the whole view takes time on the links of the
//! members.

use bytes::{Bytes, BytesMut};
use googletest::prelude::*;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_coordination::{
    Command, CoordinationState, CoordinatorMessage, InstanceId, ServerRecord, ServiceName,
};
use wingshore_coordinator::{FeedLinks, FeedSource, ViewFeed};
use wingshore_gateway::{Candidate, ChoiceInputs, View, ViewSource};
use wingshore_net::frame;
use wingshore_types::machine::ReplicatedState;
use wingshore_types::{Instant, LogIndex};

/// Time between two turns of the simulation.
const TURN: Duration = Duration::from_millis(10);

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

/// Link of a member, which sends frames in order at its rate.
#[derive(Default)]
struct MemberLink {
    waiting: VecDeque<(usize, Bytes)>,
    by_gateway: Vec<usize>,
    sent: usize,
    /// Bytes of the first waiting frame that are already sent.
    sent_of_first: usize,
}

impl FeedLinks<usize> for MemberLink {
    fn queued(&self, link: usize) -> usize {
        self.by_gateway[link]
    }

    fn send(&mut self, link: usize, frame: &Bytes) {
        self.sent += frame.len();
        self.by_gateway[link] += frame.len();
        self.waiting.push_back((link, frame.clone()));
    }
}

impl MemberLink {
    fn drain(&mut self, bytes: usize) -> Vec<(usize, Bytes)> {
        self.sent_of_first += bytes;
        let mut arrived = Vec::new();
        while let Some((link, frame)) = self.waiting.front()
            && frame.len() <= self.sent_of_first
        {
            self.sent_of_first -= frame.len();
            self.by_gateway[*link] -= frame.len();
            arrived.extend(self.waiting.pop_front());
        }
        if self.waiting.is_empty() {
            self.sent_of_first = 0;
        }
        arrived
    }
}

/// Result of a simulated restart.
struct Outcome {
    took: Duration,
    /// Bytes sent, as a multiple of one whole view for each gateway.
    views_per_gateway: f64,
}

/// Simulates a restart until every gateway has a view.
fn restart(gateways: usize, servers: usize, members: usize, bytes_per_second: usize) -> Outcome {
    let mut state = CoordinationState::default();
    let mut applied = 0;
    for number in 0..servers {
        applied += 1;
        state.apply(LogIndex(applied), Command::Register(server(number)));
    }
    let state = CoordinationState::restore(&state.snapshot()).expect("it can be read");
    let source = FeedSource {
        state: &state,
        applied: LogIndex(applied),
    };
    let whole = frame::encode(&state.view())
        .expect("it can be encoded")
        .len();
    let address = |member: usize| SocketAddr::from(([127, 0, 0, 1], 7_000 + member as u16));
    let candidates: Vec<Candidate> = (0..members)
        .map(|member| Candidate {
            address: address(member),
            is_same_zone: true,
            is_leader: member == 0,
            revision: LogIndex(applied),
        })
        .collect();
    let mut feeds: Vec<ViewFeed<usize>> = (0..members).map(|_| ViewFeed::default()).collect();
    let mut links: Vec<MemberLink> = (0..members)
        .map(|_| MemberLink {
            by_gateway: vec![0; gateways],
            ..MemberLink::default()
        })
        .collect();
    let mut views: Vec<View> = (0..gateways).map(|_| View::default()).collect();
    let mut sources: Vec<ViewSource> = (0..gateways).map(|_| ViewSource::default()).collect();
    let mut now = Instant::ZERO;
    let member_at = |address: SocketAddr| usize::from(address.port() - 7_000);
    while views.iter().any(|view| view.revision().is_none()) {
        for gateway in 0..gateways {
            let choice = ChoiceInputs {
                candidates: &candidates,
                known: views[gateway].revision(),
                salt: gateway as u64,
            };
            let before = sources[gateway].current();
            if let Some(chosen) = sources[gateway].choose(now, &choice) {
                if let Some(before) = before {
                    feeds[member_at(before)].leave(gateway);
                }
                feeds[member_at(chosen)].follow(gateway, views[gateway].revision());
            }
        }
        for member in 0..members {
            feeds[member]
                .send_changes(source, &mut links[member])
                .expect("it can be encoded");
            let bytes = bytes_per_second * TURN.as_millis() as usize / 1_000;
            for (gateway, bytes) in links[member].drain(bytes) {
                let mut input = BytesMut::from(&bytes[..]);
                if let Some(CoordinatorMessage::View(update)) =
                    frame::decode(&mut input).expect("it can be read")
                {
                    views[gateway].update(update);
                }
            }
        }
        now = now + TURN;
        assert!(now.since(Instant::ZERO) < Duration::from_secs(600));
    }
    let sent: usize = links.iter().map(|link| link.sent).sum();
    Outcome {
        took: now.since(Instant::ZERO),
        views_per_gateway: sent as f64 / (whole * gateways) as f64,
    }
}

/// A gateway without a view leaves a member for another after 0.7 s, while the view from the former
/// is still in flight. On links of 600 Mbit/s, as coordinators have, few gateways do.
#[gtest]
fn after_a_restart_of_a_site_each_gateway_is_sent_about_one_whole_view() {
    let outcome = restart(250, 3_000, 6, 600 * 125_000);
    println!(
        "{:?}, {:.2} whole views each",
        outcome.took, outcome.views_per_gateway
    );
    expect_that!(outcome.views_per_gateway, le(1.5));
    expect_that!(outcome.took, le(Duration::from_secs(6)));
}
