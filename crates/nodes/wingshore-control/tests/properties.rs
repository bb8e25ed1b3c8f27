//! Properties over random histories: outdated watchers, racing operators, restarted members.

mod support;

use googletest::prelude::*;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use support::site::{POOL, Site, engine_name, server, set_admission};
use support::{Group, apply, plan_of};
use wingshore_control::{CHANGES_KEPT, ControlCommand, ControlState, Faults, StepResult};
use wingshore_types::configuration::{Admission, Configuration, ConfigurationChange};
use wingshore_types::ids::{IntentId, LogIndex, PlanId, Revision, WeightVersion};
use wingshore_types::machine::ReplicatedState;
use wingshore_types::protocol::control::{
    ConfigurationUpdate, ControlRefusal, ControlReply, Intent, PlanState,
};

/// Returns the configuration of a watcher after it has applied `update`.
fn apply_update(mut held: Configuration, update: ConfigurationUpdate) -> Configuration {
    match update {
        ConfigurationUpdate::Unchanged => held,
        ConfigurationUpdate::Snapshot(whole) => *whole,
        ConfigurationUpdate::Delta { from, changes } => {
            assert_eq!(from, held.revision);
            for change in changes {
                held.apply(&change).unwrap();
            }
            held
        }
    }
}

fn random_change(random: &mut ChaCha8Rng) -> ConfigurationChange {
    let engine = engine_name(random.random_range(0..8));
    match random.random_range(0..3) {
        0 => set_admission(&engine, Admission::Draining),
        1 => set_admission(&engine, Admission::Open),
        _ => {
            let number = random.random_range(0..50);
            ConfigurationChange::PutServer(server(
                &format!("extra-{number}"),
                "fare-lm",
                1_000 + number,
            ))
        }
    }
}

#[gtest]
fn watchers_behind_by_any_number_of_changes_come_to_the_same_configuration() {
    let mut group = Group::new(&Site::default());
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut held = vec![Configuration::default(), group.configuration().clone()];
    for number in 0..CHANGES_KEPT + 600 {
        if number % 1_000 == 0 {
            group.advance_time(6_000);
        }
        group.apply_change(random_change(&mut random));
        held.push(group.configuration().clone());
    }
    let newest = group.configuration().clone();
    let mut kinds = BTreeMap::new();
    for behind in [
        0,
        1,
        2,
        499,
        500,
        501,
        4_000,
        CHANGES_KEPT + 500,
        held.len() - 1,
    ] {
        let watcher = held[held.len() - 1 - behind].clone();
        let update = group.state.update_since(watcher.revision);
        let kind = format!("{update:?}")
            .chars()
            .take_while(|c| c.is_alphabetic())
            .collect::<String>();
        *kinds.entry(kind).or_insert(0) += 1;
        expect_true!(apply_update(watcher, update) == newest, "{behind} behind");
    }
    expect_that!(kinds.len(), eq(3), "{kinds:?}");
    let ahead = group.state.update_since(Revision(newest.revision.0 + 5));
    expect_that!(ahead, eq(&ConfigurationUpdate::Unchanged));
}

/// An action of an operator or of the leader.
#[derive(Clone, Debug)]
enum Action {
    Propose { server: u32, stated_base: bool },
    Confirm { plan: u64 },
    Cancel { plan: u64 },
    Publish { version: u64 },
    Advance { plan: u64 },
    Resend,
    Restart,
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => (0..4_u32, any::<bool>()).prop_map(|(server, stated_base)| Action::Propose { server, stated_base }),
        4 => (2..12_u64).prop_map(|plan| Action::Confirm { plan }),
        1 => (2..12_u64).prop_map(|plan| Action::Cancel { plan }),
        1 => (1..6_u64).prop_map(|version| Action::Publish { version }),
        3 => (2..12_u64).prop_map(|plan| Action::Advance { plan }),
        2 => Just(Action::Resend),
        1 => Just(Action::Restart),
    ]
}

/// The state of a plan in the model.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PlanModel {
    Proposed,
    Stale,
    Running,
    Closed,
}

/// A model of drains of a few servers by racing operators: the state of each plan, and the draining
/// servers. The model has no footprints: each plan concerns one server.
struct RaceModel {
    state: ControlState,
    faults: Faults,
    plans: BTreeMap<u64, (u32, PlanModel)>,
    draining: BTreeMap<u32, bool>,
    sent: Vec<(ControlCommand, ControlReply)>,
    last_intent: u128,
}

impl RaceModel {
    fn new(faults: Faults) -> Self {
        let mut state = ControlState::with_faults(faults);
        let site = ControlCommand::Propose {
            intent_id: IntentId(1),
            base_revision: None,
            intent: Intent::Apply(Site::default().changes()),
        };
        let plan = plan_of(apply(&mut state, site)).id;
        apply(
            &mut state,
            ControlCommand::Confirm {
                intent_id: IntentId(2),
                plan,
            },
        );
        Self {
            state,
            faults,
            plans: BTreeMap::new(),
            draining: BTreeMap::new(),
            sent: Vec::new(),
            last_intent: 10,
        }
    }

    fn send(&mut self, command: ControlCommand) -> ControlReply {
        let reply = apply(&mut self.state, command.clone());
        self.sent.push((command, reply.clone()));
        reply
    }

    fn act(&mut self, action: &Action) -> std::result::Result<(), String> {
        self.last_intent += 1;
        let intent_id = IntentId(self.last_intent);
        match *action {
            Action::Propose {
                server,
                stated_base,
            } => {
                let newest = self.state.configuration().revision;
                let command = ControlCommand::Propose {
                    intent_id,
                    base_revision: stated_base.then_some(newest),
                    intent: Intent::Drain(engine_name(server).as_str().into()),
                };
                let plan = plan_of(self.send(command));
                self.plans.insert(plan.id.0, (server, PlanModel::Proposed));
            }
            Action::Confirm { plan } => self.confirm(intent_id, plan)?,
            Action::Cancel { plan } => {
                self.send(ControlCommand::Cancel {
                    intent_id,
                    plan: PlanId(plan),
                });
                if let Some((_, model @ (PlanModel::Proposed | PlanModel::Running))) =
                    self.plans.get_mut(&plan)
                {
                    *model = PlanModel::Closed;
                }
            }
            Action::Publish { version } => {
                self.send(ControlCommand::Publish {
                    intent_id,
                    pool: POOL.into(),
                    version: WeightVersion(version),
                });
            }
            Action::Advance { plan } => self.advance(plan),
            Action::Resend => self.resend()?,
            Action::Restart => {
                let restored =
                    ControlState::restore(&self.state.snapshot()).map_err(|e| e.message)?;
                self.state = restored;
                self.state.set_faults(self.faults);
            }
        }
        self.compare()
    }

    fn confirm(&mut self, intent_id: IntentId, plan: u64) -> std::result::Result<(), String> {
        let reply = self.send(ControlCommand::Confirm {
            intent_id,
            plan: PlanId(plan),
        });
        let Some((server, model)) = self.plans.get(&plan).copied() else {
            return expect_reply(
                matches!(reply, ControlReply::Refused(ControlRefusal::UnknownPlan(_))),
                &reply,
            );
        };
        let in_use = self
            .plans
            .values()
            .any(|(other, model)| *other == server && *model == PlanModel::Running);
        let is_conflict = matches!(
            reply,
            ControlReply::Refused(ControlRefusal::Conflict { .. })
        );
        match model {
            PlanModel::Running | PlanModel::Closed => expect_reply(
                matches!(
                    reply,
                    ControlReply::Refused(ControlRefusal::WrongState { .. })
                ),
                &reply,
            ),
            PlanModel::Stale => expect_reply(is_conflict, &reply),
            PlanModel::Proposed if in_use => expect_reply(is_conflict, &reply),
            PlanModel::Proposed => {
                let is_change = !self.draining.get(&server).copied().unwrap_or(false);
                for (other, model) in self.plans.values_mut() {
                    if is_change && *other == server && *model == PlanModel::Proposed {
                        *model = PlanModel::Stale;
                    }
                }
                self.plans.insert(plan, (server, PlanModel::Running));
                self.draining.insert(server, true);
                expect_reply(matches!(reply, ControlReply::Plan(_)), &reply)
            }
        }
    }

    fn advance(&mut self, plan: u64) {
        let state = self
            .state
            .plan(PlanId(plan))
            .map(|plan| (plan.state.clone(), plan.steps.len()));
        let Some((PlanState::Running { next_step: step }, steps)) = state else {
            return;
        };
        let command = ControlCommand::AdvancePlan {
            plan: PlanId(plan),
            step,
            result: StepResult::Done { steps: 1 },
        };
        self.state.apply(LogIndex(1), command);
        let is_last = step as usize + 1 == steps;
        if let Some((_, model)) = self.plans.get_mut(&plan).filter(|_| is_last) {
            *model = PlanModel::Closed;
        }
    }

    fn resend(&mut self) -> std::result::Result<(), String> {
        let before = self.state.configuration().clone();
        for (command, first) in self.sent.clone() {
            let again = apply(&mut self.state, command);
            if again != first {
                return Err(format!("first {first:?}, then {again:?}"));
            }
        }
        if *self.state.configuration() != before {
            return Err("a retry changed the configuration".to_owned());
        }
        Ok(())
    }

    fn compare(&self) -> std::result::Result<(), String> {
        for (id, (_, model)) in &self.plans {
            let state = &self
                .state
                .plan(PlanId(*id))
                .ok_or("a plan of the model is missing")?
                .state;
            let real = match state {
                PlanState::Proposed => PlanModel::Proposed,
                PlanState::Stale { .. } => PlanModel::Stale,
                PlanState::Running { .. } => PlanModel::Running,
                PlanState::Done | PlanState::Failed { .. } | PlanState::Cancelled => {
                    PlanModel::Closed
                }
            };
            if real != *model {
                return Err(format!("plan {id} is {state:?}; the model says {model:?}"));
            }
        }
        for (server, draining) in &self.draining {
            let server = &self.state.configuration().servers[&engine_name(*server).as_str().into()];
            if (server.admission == Admission::Draining) != *draining {
                return Err(format!("{} is {:?}", server.id, server.admission));
            }
        }
        Ok(())
    }
}

fn expect_reply(is_right: bool, reply: &ControlReply) -> std::result::Result<(), String> {
    if is_right {
        Ok(())
    } else {
        Err(format!("unexpected reply {reply:?}"))
    }
}

fn run_race(faults: Faults, actions: &[Action]) -> std::result::Result<(), String> {
    let mut race = RaceModel::new(faults);
    for action in actions {
        race.act(action)
            .map_err(|error| format!("{action:?}: {error}"))?;
    }
    race.resend()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn racing_operators_match_the_model(actions in prop::collection::vec(action(), 1..60)) {
        prop_assert_eq!(run_race(Faults::default(), &actions), Ok(()));
    }

    #[test]
    fn members_that_apply_the_same_commands_are_equal(actions in prop::collection::vec(action(), 1..40)) {
        let mut first = RaceModel::new(Faults::default());
        let mut second = RaceModel::new(Faults::default());
        for action in &actions {
            prop_assert_eq!(first.act(action), Ok(()));
            prop_assert_eq!(second.act(action), Ok(()));
        }
        prop_assert_eq!(first.state.snapshot(), second.state.snapshot());
    }
}

/// Returns whether the model detects a violation in a race with one of the first seeds.
fn is_caught(faults: Faults) -> bool {
    let mut runner = proptest::test_runner::TestRunner::new_with_rng(
        ProptestConfig {
            failure_persistence: None,
            ..ProptestConfig::default()
        },
        proptest::test_runner::TestRng::deterministic_rng(
            proptest::test_runner::RngAlgorithm::ChaCha,
        ),
    );
    let strategy = prop::collection::vec(action(), 1..60);
    (0..100).any(|_| {
        let actions = strategy.new_tree(&mut runner).unwrap().current();
        run_race(faults, &actions).is_err()
    })
}

#[gtest]
fn faults_of_the_state_are_caught_by_the_model() {
    let off = Faults::default();
    let cases = [
        (off, false),
        (
            Faults {
                forget_intents: true,
                ..off
            },
            true,
        ),
        (
            Faults {
                confirm_stale_plans: true,
                ..off
            },
            true,
        ),
    ];
    for (faults, caught) in cases {
        expect_that!(is_caught(faults), eq(caught), "{faults:?}");
    }
}
