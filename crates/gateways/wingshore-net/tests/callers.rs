//! Whose connections are closed when callers use too much.
//!
//! Guards against a process that fills up, since nobody or too few are closed, and against ordinary
//! callers that are closed in the place of those that use the memory.

use googletest::prelude::*;
use proptest::prelude::*;
use wingshore_net::account::{Account, Part, SMALL_BODY_BYTES};
use wingshore_net::callers::{CallerBounds, CallerState, Cause, Stage, connections_to_close};
use wingshore_net::{ConnectOptions, ConnectionId, Reactor};
use wingshore_types::Instant;

/// Memory of the bounds in these tests, in bytes, and their connections.
const MEMORY: usize = 16 << 20;
const CONNECTIONS: usize = 30;

fn bounds() -> CallerBounds {
    CallerBounds::new(MEMORY, CONNECTIONS * 4 / 3)
}

/// Returns different identifiers of connections.
fn identifiers(count: usize) -> Vec<ConnectionId> {
    let mut reactor = Reactor::new().expect("a reactor");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let options = ConnectOptions {
        unacknowledged_limit: std::time::Duration::from_secs(5),
    };
    let connections = (0..count).map(|_| reactor.connect(address, options));
    connections.map(|id| id.expect("a connection")).collect()
}

fn receiving(connection: ConnectionId, body: usize, received_at: u64) -> CallerState {
    CallerState {
        connection,
        stage: Stage::Receiving,
        body,
        input: 0,
        unsent: 0,
        received_at: Instant(received_at),
        sent_at: Instant(received_at),
    }
}

/// Counts what callers hold as the account of a process does.
fn counted(callers: &[CallerState]) -> (Account, Vec<wingshore_net::account::Charge>) {
    let account = Account::default();
    let charges = callers.iter().flat_map(|caller| {
        let small = caller.body.min(SMALL_BODY_BYTES);
        [
            account.charge(Part::Bodies, small),
            account.charge(Part::LargeBodies, caller.body - small),
            account.charge(Part::Input, caller.input),
            account.charge(Part::Output, caller.unsent),
        ]
    });
    let charges = charges.collect();
    (account, charges)
}

fn closed(callers: &[CallerState]) -> Vec<(ConnectionId, Cause)> {
    let (account, _charges) = counted(callers);
    connections_to_close(&bounds(), &account, callers, callers.len())
}

#[gtest]
fn the_large_body_without_progress_for_longest_goes_first() {
    let ids = identifiers(3);
    let callers = [
        receiving(ids[0], 6 << 20, 30),
        receiving(ids[1], 6 << 20, 10),
        receiving(ids[2], 6 << 20, 20),
    ];
    expect_that!(
        closed(&callers),
        elements_are![eq(&(ids[1], Cause::LargeBody))]
    );
}

#[gtest]
fn small_requests_stay_while_large_bodies_can_go() {
    let ids = identifiers(3);
    let callers = [
        receiving(ids[0], 1000, 1),
        receiving(ids[1], 8 << 20, 50),
        receiving(ids[2], 8 << 20, 60),
    ];
    expect_that!(
        closed(&callers),
        elements_are![eq(&(ids[1], Cause::LargeBody))]
    );
}

#[gtest]
fn nobody_goes_within_the_bounds() {
    let ids = identifiers(2);
    let callers = [receiving(ids[0], 6 << 20, 1), receiving(ids[1], 6 << 20, 1)];
    expect_that!(closed(&callers), is_empty());
}

#[gtest]
fn those_that_read_their_answers_stay_while_others_do_not() {
    let ids = identifiers(2);
    let unread = |connection, sent_at| CallerState {
        stage: Stage::Idle { was_served: true },
        unsent: 10 << 20,
        sent_at: Instant(sent_at),
        ..receiving(connection, 0, 100)
    };
    let callers = [unread(ids[0], 90), unread(ids[1], 20)];
    expect_that!(
        closed(&callers),
        elements_are![eq(&(ids[1], Cause::UnreadAnswer))]
    );
}

#[gtest]
fn of_too_many_connections_incomplete_requests_go_first_and_waiting_ones_never() {
    let ids = identifiers(CONNECTIONS + 2);
    let callers: Vec<CallerState> = ids
        .iter()
        .enumerate()
        .map(|(number, connection)| {
            let state = receiving(*connection, 10, number as u64);
            let stage = match number {
                0 | 1 => Stage::Waiting,
                2 => Stage::Idle { was_served: true },
                3 => Stage::Idle { was_served: false },
                _ => Stage::Receiving,
            };
            CallerState { stage, ..state }
        })
        .collect();
    let expected = [
        (ids[4], Cause::IncompleteRequest),
        (ids[5], Cause::IncompleteRequest),
    ];
    expect_that!(closed(&callers), eq(&expected.to_vec()));
    let mut waiting = callers;
    for caller in &mut waiting {
        caller.stage = Stage::Waiting;
        caller.body = 0;
    }
    expect_that!(closed(&waiting), is_empty());
}

#[gtest]
fn a_body_that_cannot_fit_is_known_at_its_head() {
    let account = Account::default();
    let bounds = bounds();
    let large = CallerBounds::largest_body_within(MEMORY);
    expect_true!(bounds.may_fit(&account, 0, large));
    let _passed_on = account.charge(Part::LargeBodies, large / 2);
    expect_false!(bounds.may_fit(&account, 0, large));
    expect_true!(bounds.may_fit(&account, large / 2, large));
    expect_true!(bounds.may_fit(&account, 0, SMALL_BODY_BYTES));
    expect_true!(bounds.admits(&account, large / 2));
    let _more = account.charge(Part::LargeBodies, large / 2 + 2);
    expect_false!(bounds.admits(&account, large / 2));
    expect_true!(bounds.admits(&account, 1000));
}

fn any_stage() -> impl Strategy<Value = Stage> {
    prop_oneof![
        any::<bool>().prop_map(|was_served| Stage::Idle { was_served }),
        Just(Stage::Receiving),
        Just(Stage::Waiting),
    ]
}

proptest! {
    /// What is left fits, or nobody is left who may be closed; and nobody goes who waits and holds
    /// nothing.
    #[test]
    fn what_stays_fits(
        drawn in proptest::collection::vec(
            (any_stage(), 0..2_000_000_usize, 0..70_000_usize, 0..900_000_usize, 0..100_u64),
            0..60,
        ),
    ) {
        let ids = identifiers(drawn.len());
        let callers: Vec<CallerState> = drawn
            .into_iter()
            .zip(ids)
            .map(|((stage, body, input, unsent, at), connection)| CallerState {
                stage,
                body: if stage == Stage::Receiving { body } else { 0 },
                input,
                unsent,
                ..receiving(connection, 0, at)
            })
            .collect();
        let closed = closed(&callers);
        let is_closed = |id: ConnectionId| closed.iter().any(|(other, _)| *other == id);
        let (gone, left): (Vec<CallerState>, Vec<CallerState>) =
            callers.iter().partition(|caller| is_closed(caller.connection));
        prop_assert_eq!(gone.len(), closed.len());
        for caller in &gone {
            let holds = caller.body + caller.input + caller.unsent > 0;
            prop_assert!(holds || caller.stage != Stage::Waiting);
        }
        let held: usize = left.iter().map(|left| left.body + left.input + left.unsent).sum();
        let may_go = |caller: &&CallerState| caller.stage != Stage::Idle { was_served: true }
            && caller.stage != Stage::Idle { was_served: false }
            || caller.unsent > 0;
        let closable: usize = left.iter().filter(may_go).map(|left| left.body + left.unsent).sum();
        prop_assert!(held <= bounds().memory || closable == 0);
        let idle_or_receiving = left.iter().filter(|left| left.stage != Stage::Waiting).count();
        prop_assert!(left.len() <= CONNECTIONS || idle_or_receiving == 0);
    }
}
