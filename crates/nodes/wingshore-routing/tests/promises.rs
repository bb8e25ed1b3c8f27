//! Invariants of the router under random sequences of events: no requests to a server that is
//! leaving, unhealthy or of unknown version, no retry of a request that must not be repeated, and
//! slots and guarantees respected. The router is checked against a simple model of the reported
//! server states; the model must detect each injected fault.

mod support;

use googletest::prelude::*;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use std::collections::BTreeMap;
use support::*;
use wingshore_routing::{Admitted, AttemptOutcome, Class, Faults, RouteRequest, Router};
use wingshore_types::configuration::{Admission, Configuration};
use wingshore_types::platform::{CacheEvent, CacheEventKind, CacheEvents};
use wingshore_types::{ServerId, Verdict, WeightVersion};

const SERVERS: usize = 6;
const SLOTS: u32 = 6;
/// Time between two events in milliseconds: one round of probes.
const EVENT_INTERVAL_MS: u64 = 1000;

#[derive(Clone, Debug)]
enum Event {
    Admission(usize, bool),
    MachineList {
        as_of: u64,
        leaving: Vec<usize>,
    },
    State {
        server: usize,
        boot: u64,
        version: Option<u64>,
        draining: bool,
    },
    ProbeFailed(usize),
    CacheEvents {
        server: usize,
        boot: u64,
        sequence: u64,
        prefix: u64,
    },
    Requests {
        rollouts: bool,
        count: usize,
        prefix: u64,
        no_repeat: bool,
    },
    End {
        count: usize,
        outcome: u8,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let server = 0..SERVERS;
    let servers = prop::collection::vec(0..SERVERS, 0..3);
    prop_oneof![
        1 => (server.clone(), any::<bool>()).prop_map(|(server, open)| Event::Admission(server, open)),
        1 => (0_u64..20, servers).prop_map(|(as_of, leaving)| Event::MachineList { as_of, leaving }),
        4 => (server.clone(), 1_u64..3, prop::option::weighted(0.8, 3_u64..8), prop::bool::weighted(0.1))
            .prop_map(|(server, boot, version, draining)| Event::State { server, boot, version, draining }),
        2 => server.clone().prop_map(Event::ProbeFailed),
        2 => (server, 1_u64..3, 1_u64..50, 0_u64..4)
            .prop_map(|(server, boot, sequence, prefix)| Event::CacheEvents { server, boot, sequence, prefix }),
        8 => (any::<bool>(), 1_usize..12, 0_u64..4, any::<bool>())
            .prop_map(|(rollouts, count, prefix, no_repeat)| Event::Requests { rollouts, count, prefix, no_repeat }),
        4 => (1_usize..12, 0_u8..6).prop_map(|(count, outcome)| Event::End { count, outcome }),
    ]
}

/// State of one server as reported by the events.
#[derive(Clone, Debug, Default)]
struct ServerModel {
    closed: bool,
    draining: bool,
    refused_at: Option<u64>,
    failed_probes: u32,
    unhealthy: bool,
    good_probes: u32,
    boot: Option<u64>,
    version: Option<(u64, u64)>,
}

/// Number of violations by invariant.
type Violations = BTreeMap<&'static str, u32>;

struct ModelChecker {
    router: Router,
    configuration: Configuration,
    model: BTreeMap<ServerId, ServerModel>,
    list: (u64, Vec<ServerId>),
    running: Vec<(Admitted, RouteRequest)>,
    now: u64,
    violations: Violations,
}

impl ModelChecker {
    fn new(faults: Faults) -> Self {
        let configuration = site(SERVERS, 2, SLOTS, 500);
        let mut router = Router::new(Default::default(), "zone-0".into(), SEED).with_faults(faults);
        router.on_configuration(at(0), &configuration);
        Self {
            router,
            model: configuration
                .servers
                .keys()
                .map(|id| (id.clone(), ServerModel::default()))
                .collect(),
            configuration,
            list: (0, Vec::new()),
            running: Vec::new(),
            now: 0,
            violations: Violations::new(),
        }
    }

    fn model(&mut self, server: usize) -> &mut ServerModel {
        self.model.entry(server_id(server)).or_default()
    }

    fn check_invariant(&mut self, invariant: &'static str, is_kept: bool) {
        if !is_kept {
            *self.violations.entry(invariant).or_default() += 1;
        }
    }

    fn handle(&mut self, event: &Event) {
        self.now += EVENT_INTERVAL_MS;
        match event {
            Event::Admission(server, open) => self.on_admission(*server, *open),
            Event::MachineList { as_of, leaving } => self.on_list(*as_of, leaving),
            Event::State {
                server,
                boot,
                version,
                draining,
            } => {
                self.on_state(*server, *boot, *version, *draining);
            }
            Event::ProbeFailed(server) => self.on_probe_failed(*server),
            Event::CacheEvents {
                server,
                boot,
                sequence,
                prefix,
            } => {
                self.on_cache_events(*server, *boot, *sequence, *prefix);
            }
            Event::Requests {
                rollouts,
                count,
                prefix,
                no_repeat,
            } => {
                let base = if *rollouts { rollout() } else { live() };
                let request = RouteRequest {
                    prefix_hash: Some(*prefix),
                    no_repeat: *no_repeat,
                    ..base
                };
                (0..*count).for_each(|_| self.request(&request));
            }
            Event::End { count, outcome } => (0..*count).for_each(|_| self.end(*outcome)),
        }
    }

    fn on_admission(&mut self, server: usize, open: bool) {
        let admission = if open {
            Admission::Open
        } else {
            Admission::Draining
        };
        self.configuration = with_admission(&self.configuration, server, admission);
        self.model(server).closed = !open;
        self.router
            .on_configuration(at(self.now), &self.configuration);
    }

    fn on_list(&mut self, as_of: u64, leaving: &[usize]) {
        if as_of >= self.list.0 {
            self.list = (
                as_of,
                leaving.iter().map(|number| server_id(*number)).collect(),
            );
        }
        self.router
            .on_machine_list(at(self.now), &machine_list(as_of, leaving, &[]));
    }

    fn on_state(&mut self, server: usize, boot: u64, version: Option<u64>, draining: bool) {
        let now = self.now;
        let model = self.model(server);
        if model.boot.is_some_and(|known| known != boot) {
            let closed = model.closed;
            *model = ServerModel {
                closed,
                ..ServerModel::default()
            };
        }
        model.boot = Some(boot);
        model.draining = draining;
        model.version = version.map(|version| (version, now));
        model.failed_probes = 0;
        model.good_probes += 1;
        if model.good_probes >= 2 {
            model.unhealthy = false;
        }
        let report = state(boot, version.map(WeightVersion), draining);
        self.router
            .on_engine_state(at(now), &server_id(server), &report);
    }

    fn on_probe_failed(&mut self, server: usize) {
        let model = self.model(server);
        model.good_probes = 0;
        model.failed_probes += 1;
        model.unhealthy |= model.failed_probes >= 3;
        self.router
            .on_probe_failed(at(self.now), &server_id(server));
    }

    fn on_cache_events(&mut self, server: usize, boot_id: u64, sequence: u64, prefix_hash: u64) {
        self.model(server).boot.get_or_insert(boot_id);
        let (kind, tokens) = (CacheEventKind::Stored, 100);
        let events = vec![CacheEvent {
            sequence,
            prefix_hash,
            tokens,
            kind,
        }];
        let events = CacheEvents { boot_id, events };
        self.router
            .on_cache_events(at(self.now), &server_id(server), &events);
    }

    fn request(&mut self, request: &RouteRequest) {
        match self.router.admit(at(self.now), request) {
            Ok(admitted) => {
                self.check_choice(&admitted, request);
                self.running.push((admitted, request.clone()));
            }
            Err(refusal) => {
                let is_kept = refusal.verdict() == Verdict::NotRun;
                self.check_invariant("refused requests did not run", is_kept);
            }
        }
    }

    fn check_choice(&mut self, admitted: &Admitted, request: &RouteRequest) {
        let model = self.model[&admitted.server].clone();
        let listed = self.list.1.contains(&admitted.server);
        // The backoff after a refusal takes 200 ms, and events are one second apart, so a refusal
        // closes the server only during the same event.
        let refused = model.refused_at == Some(self.now);
        let leaving = model.closed || model.draining || listed || refused;
        self.check_invariant("no requests to leaving servers", !leaving);
        self.check_invariant("no requests to unhealthy servers", !model.unhealthy);
        if request.class == Class::Rollout {
            let known = model.version.filter(|(_, at)| self.now - at < 10_000);
            let useful = known.is_some_and(|(version, _)| version >= VERSION.0);
            self.check_invariant("rollouts only to known and usable versions", useful);
        }
        let view = self.router.server_view(at(self.now), &admitted.server);
        let view = view.expect("the server was selected");
        self.check_invariant(
            "own requests within the slots",
            view.live + view.rollouts <= SLOTS,
        );
        self.check_invariant(
            "live reserve left free",
            view.live > 0 || view.rollouts < SLOTS,
        );
    }

    fn end(&mut self, outcome: u8) {
        if self.running.is_empty() {
            return;
        }
        let (admitted, request) = self.running.remove(0);
        let outcome = match outcome {
            0 | 1 => success(100),
            2 => AttemptOutcome::Refused,
            3 => AttemptOutcome::Cancelled,
            4 => AttemptOutcome::Failed(Verdict::NotRun),
            _ => AttemptOutcome::Failed(Verdict::MayHaveRun),
        };
        self.router
            .on_finished(at(self.now), admitted.ticket, outcome);
        if outcome == AttemptOutcome::Refused {
            let now = self.now;
            self.model.entry(admitted.server).or_default().refused_at = Some(now);
            self.request(&live());
        }
        if let AttemptOutcome::Failed(verdict) = outcome {
            let repeats = self.router.may_retry(at(self.now), &request, verdict);
            let is_kept = !repeats || !request.no_repeat || verdict == Verdict::NotRun;
            self.check_invariant("no retry of non-repeatable requests", is_kept);
        }
    }
}

fn violations_of(events: &[Event], faults: Faults) -> Violations {
    let mut checker = ModelChecker::new(faults);
    events.iter().for_each(|event| checker.handle(event));
    checker.violations
}

fn event_sequences() -> impl Strategy<Value = Vec<Event>> {
    prop::collection::vec(event(), 1..120)
}

proptest! {
    #![proptest_config(property(500))]

    #[test]
    fn invariants_hold(events in event_sequences()) {
        prop_assert_eq!(violations_of(&events, Faults::default()), Violations::new());
    }
}

#[gtest]
fn each_deliberate_fault_is_caught() {
    let none = Faults::default();
    let cases = [
        (
            "no retry of non-repeatable requests",
            Faults {
                retry_on_may_have_run: true,
                ..none
            },
        ),
        (
            "no requests to leaving servers",
            Faults {
                ignore_draining: true,
                ..none
            },
        ),
        (
            "rollouts only to known and usable versions",
            Faults {
                ignore_unknown_version: true,
                ..none
            },
        ),
        (
            "live reserve left free",
            Faults {
                no_share_guarantee: true,
                ..none
            },
        ),
    ];
    for (invariant, faults) in cases {
        let mut runner = TestRunner::new(property(1));
        let caught = (0..50).any(|_| {
            let events = event_sequences()
                .new_tree(&mut runner)
                .expect("the sequence is generated")
                .current();
            violations_of(&events, faults).contains_key(invariant)
        });
        expect_that!(caught, eq(true), "{invariant}");
    }
}
