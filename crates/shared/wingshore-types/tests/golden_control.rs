//! Encodings of requests to control groups and their replies, and the JSON that operators read.

mod golden;

use golden::examples::{configuration, pool_id};
use golden::{check, check_json};
use googletest::prelude::*;
use wingshore_types::configuration::ConfigurationChange;
use wingshore_types::protocol::control::{
    ConfigurationUpdate, ControlRefusal, ControlReply, ControlRequest, EngineStatus, InForce,
    Intent, NodeAcknowledgement, Plan, PlanCost, PlanState, PlanStep, Status, WatchRequest,
};
use wingshore_types::{
    Epoch, IntentId, NodeId, PlanId, ReplicaId, Revision, ServerId, WeightVersion,
};

fn intents() -> Vec<Intent> {
    vec![
        Intent::Apply(vec![ConfigurationChange::RemovePool(pool_id())]),
        Intent::MovePool {
            pool: pool_id(),
            version: WeightVersion(131),
        },
        Intent::Drain(ServerId::new("server-1")),
        Intent::Restore(ServerId::new("server-1")),
    ]
}

fn name_of_intent(intent: &Intent) -> &'static str {
    match intent {
        Intent::Apply(_) => "apply",
        Intent::MovePool { .. } => "move_pool",
        Intent::Drain(_) => "drain",
        Intent::Restore(_) => "restore",
    }
}

#[gtest]
fn intent_encodings_and_json_are_stable() {
    let golden = include_str!("golden/intents.txt");
    check(golden, &intents(), name_of_intent);
    let golden = include_str!("golden/intents.json.txt");
    check_json(golden, &intents(), name_of_intent);
}

fn plan_steps() -> Vec<PlanStep> {
    vec![
        PlanStep::Change(ConfigurationChange::RemovePool(pool_id())),
        PlanStep::Swap {
            server: ServerId::new("server-1"),
            version: WeightVersion(131),
        },
        PlanStep::AwaitInForce,
        PlanStep::AwaitIdle(ServerId::new("server-1")),
    ]
}

fn name_of_plan_step(step: &PlanStep) -> &'static str {
    match step {
        PlanStep::Change(_) => "change",
        PlanStep::Swap { .. } => "swap",
        PlanStep::AwaitInForce => "await_in_force",
        PlanStep::AwaitIdle(_) => "await_idle",
    }
}

#[gtest]
fn plan_step_encodings_and_json_are_stable() {
    let golden = include_str!("golden/plan_steps.txt");
    check(golden, &plan_steps(), name_of_plan_step);
    let golden = include_str!("golden/plan_steps.json.txt");
    check_json(golden, &plan_steps(), name_of_plan_step);
}

fn plan(state: PlanState) -> Plan {
    Plan {
        id: PlanId(7),
        intent_id: IntentId(0x0123_4567_89ab_cdef_0123_4567_89ab_cdef),
        intent: Intent::Drain(ServerId::new("server-1")),
        base_revision: Revision(300),
        steps: vec![PlanStep::AwaitInForce],
        cost: PlanCost {
            servers_affected: 1,
            servers_away_at_once: 2,
            slots_away_at_once: 3,
            slots_total: 400,
            duration_ms: 5000,
            trainer_idle_ms: 6,
            staleness_versions: 7,
        },
        state,
    }
}

fn plans() -> Vec<Plan> {
    vec![
        plan(PlanState::Proposed),
        plan(PlanState::Running { next_step: 2 }),
        plan(PlanState::Done),
        plan(PlanState::Stale {
            reason: "the reason".to_owned(),
        }),
        plan(PlanState::Failed {
            step: 1,
            reason: "the reason".to_owned(),
        }),
        plan(PlanState::Cancelled),
    ]
}

fn name_of_plan(plan: &Plan) -> &'static str {
    match plan.state {
        PlanState::Proposed => "proposed",
        PlanState::Running { .. } => "running",
        PlanState::Done => "done",
        PlanState::Stale { .. } => "stale",
        PlanState::Failed { .. } => "failed",
        PlanState::Cancelled => "cancelled",
    }
}

#[gtest]
fn plan_encodings_and_json_are_stable() {
    let golden = include_str!("golden/plans.txt");
    check(golden, &plans(), name_of_plan);
    let golden = include_str!("golden/plans.json.txt");
    check_json(golden, &plans(), name_of_plan);
}

fn acknowledgement() -> NodeAcknowledgement {
    NodeAcknowledgement {
        node: NodeId::new("node-1"),
        boot_id: 0x0123_4567_89ab_cdef,
        in_force: Revision(299),
    }
}

fn control_requests() -> Vec<ControlRequest> {
    let intent_id = IntentId(0x0123_4567_89ab_cdef_0123_4567_89ab_cdef);
    vec![
        ControlRequest::Watch(WatchRequest {
            have: Revision(299),
            acknowledgements: vec![acknowledgement()],
            wait_ms: 5000,
        }),
        ControlRequest::Propose {
            intent_id,
            base_revision: Some(Revision(300)),
            intent: Intent::Drain(ServerId::new("server-1")),
        },
        ControlRequest::Confirm {
            intent_id,
            plan: PlanId(7),
        },
        ControlRequest::Cancel {
            intent_id,
            plan: PlanId(7),
        },
        ControlRequest::ShowPlan(PlanId(7)),
        ControlRequest::ListPlans,
        ControlRequest::Status,
        ControlRequest::ReadConfiguration,
        ControlRequest::Publish {
            intent_id,
            pool: pool_id(),
            version: WeightVersion(131),
        },
    ]
}

fn name_of_control_request(request: &ControlRequest) -> &'static str {
    match request {
        ControlRequest::Watch(_) => "watch",
        ControlRequest::Propose { .. } => "propose",
        ControlRequest::Confirm { .. } => "confirm",
        ControlRequest::Cancel { .. } => "cancel",
        ControlRequest::ShowPlan(_) => "show_plan",
        ControlRequest::ListPlans => "list_plans",
        ControlRequest::Status => "status",
        ControlRequest::ReadConfiguration => "read_configuration",
        ControlRequest::Publish { .. } => "publish",
    }
}

fn status() -> Status {
    Status {
        leader: ReplicaId(2),
        epoch: Epoch(30),
        in_force: InForce {
            committed: Revision(300),
            everywhere: Revision(299),
            waiting_for: vec![NodeId::new("node-1")],
        },
        nodes: vec![acknowledgement()],
        engines: vec![EngineStatus {
            server: ServerId::new("server-1"),
            version: Some(WeightVersion(130)),
            ordered: Some(WeightVersion(131)),
            failures: 2,
        }],
        open_plans: vec![plan(PlanState::Proposed)],
    }
}

fn control_replies() -> Vec<ControlReply> {
    let update = |update| ControlReply::Update {
        update,
        lease_ms: 4000,
    };
    vec![
        update(ConfigurationUpdate::Unchanged),
        update(ConfigurationUpdate::Delta {
            from: Revision(299),
            changes: vec![ConfigurationChange::RemovePool(pool_id())],
        }),
        update(ConfigurationUpdate::Snapshot(Box::new(configuration()))),
        ControlReply::Plan(Box::new(plan(PlanState::Done))),
        ControlReply::Plans(vec![plan(PlanState::Done)]),
        ControlReply::Status(Box::new(status())),
        ControlReply::Configuration(Box::new(configuration())),
        ControlReply::Published(Revision(300)),
        ControlReply::Refused(ControlRefusal::UnknownPlan(PlanId(7))),
    ]
}

fn name_of_control_reply(reply: &ControlReply) -> &'static str {
    match reply {
        ControlReply::Update { update, .. } => match update {
            ConfigurationUpdate::Unchanged => "update_unchanged",
            ConfigurationUpdate::Delta { .. } => "update_delta",
            ConfigurationUpdate::Snapshot(_) => "update_snapshot",
        },
        ControlReply::Plan(_) => "plan",
        ControlReply::Plans(_) => "plans",
        ControlReply::Status(_) => "status",
        ControlReply::Configuration(_) => "configuration",
        ControlReply::Published(_) => "published",
        ControlReply::Refused(_) => "refused",
    }
}

#[gtest]
fn control_encodings_are_stable() {
    let golden = include_str!("golden/control_requests.txt");
    check(golden, &control_requests(), name_of_control_request);
    let golden = include_str!("golden/control_replies.txt");
    check(golden, &control_replies(), name_of_control_reply);
}

#[gtest]
fn status_json_is_stable() {
    let golden = include_str!("golden/status.json.txt");
    check_json(golden, &[status()], |_| "status");
}

fn control_refusals() -> Vec<ControlRefusal> {
    vec![
        ControlRefusal::Conflict {
            current: Revision(300),
            message: "the reason".to_owned(),
        },
        ControlRefusal::Invalid {
            message: "the reason".to_owned(),
        },
        ControlRefusal::UnknownPlan(PlanId(7)),
        ControlRefusal::WrongState {
            state: PlanState::Running { next_step: 2 },
        },
    ]
}

fn name_of_control_refusal(refusal: &ControlRefusal) -> &'static str {
    match refusal {
        ControlRefusal::Conflict { .. } => "conflict",
        ControlRefusal::Invalid { .. } => "invalid",
        ControlRefusal::UnknownPlan(_) => "unknown_plan",
        ControlRefusal::WrongState { .. } => "wrong_state",
    }
}

#[gtest]
fn control_refusal_encodings_and_json_are_stable() {
    let golden = include_str!("golden/control_refusals.txt");
    check(golden, &control_refusals(), name_of_control_refusal);
    let golden = include_str!("golden/control_refusals.json.txt");
    check_json(golden, &control_refusals(), name_of_control_refusal);
}
