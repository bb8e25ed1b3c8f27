//! Simulated operators: they change the configuration by plans, race with each other, and send
//! again what was not answered.

use super::client::{CallResult, GroupCalls};
use super::observer::{ObserverHandle, SimPromise};
use super::slot::{Boot, Maker};
use super::task_list::{Task, TaskList};
use crate::process::{Call, CallId, Process, ProcessInput, ProcessOutput};
use crate::wiring::send_call;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::configuration::{Admission, ConfigurationChange, Server};
use wingshore_types::protocol::control::{
    ControlRefusal, ControlReply, ControlRequest, Intent, Plan, PlanState,
};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{GroupId, Instant, IntentId, PlanId, Revision, ServerId, ServiceId, ZoneId};

/// Longest time of one call; what is not answered then is sent again under the same identity.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Backoff before a call is sent again.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);
/// Longest time an operator thinks between two calls.
const MAX_THINKING: Duration = Duration::from_millis(40);
/// Chance that an answered intent is sent once more.
const RESEND_CHANCE: f64 = 0.5;
/// The server that racing operators change.
const CONTESTED: &str = "contested";
/// Where that is.
const CONTESTED_ADDRESS: SocketAddr = SocketAddr::new(
    std::net::IpAddr::V4(std::net::Ipv4Addr::new(127, 99, 0, 1)),
    1,
);

/// What a call is for.
#[derive(Clone, Debug)]
enum Purpose {
    Status {
        floor: Revision,
    },
    Propose {
        intent: IntentId,
    },
    Confirm {
        intent: IntentId,
        plan: Box<Plan>,
    },
    Follow {
        plan: PlanId,
    },
    Publish {
        intent: IntentId,
    },
    /// An intent once more, for its answer alone.
    Again {
        intent: IntentId,
    },
}

/// One call: kept until it is answered.
#[derive(Clone, Debug)]
struct OperatorCall {
    purpose: Purpose,
    request: ControlRequest,
}

struct Operator {
    number: u8,
    tasks: TaskList,
    calls: GroupCalls<OperatorCall>,
    observer: ObserverHandle,
    random: ChaCha8Rng,
    waiting: VecDeque<(Instant, OperatorCall)>,
    /// What the current intent adds.
    server: Option<ServerId>,
}

/// Makes an operator who works from `tasks`.
pub fn maker(
    number: u8,
    replicas: Vec<SocketAddr>,
    tasks: TaskList,
    observer: ObserverHandle,
) -> Maker {
    Box::new(move |boot| {
        let mut operator = Operator {
            number,
            tasks: tasks.clone(),
            calls: GroupCalls::new(replicas.clone(), boot.seed),
            observer: observer.clone(),
            random: random_of(boot),
            waiting: VecDeque::new(),
            server: None,
        };
        operator.begin(boot.now);
        Ok(Box::new(operator))
    })
}

fn random_of(boot: Boot) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(boot.seed)
}

impl Operator {
    /// Asks for the site's status first; everything else follows from the answer.
    fn begin(&mut self, now: Instant) {
        let floor = self.observer.acknowledged_revision();
        let call = OperatorCall {
            purpose: Purpose::Status { floor },
            request: ControlRequest::Status,
        };
        self.later(now, call);
    }

    fn later(&mut self, now: Instant, call: OperatorCall) {
        let thinking = self.random.random_range(Duration::ZERO..MAX_THINKING);
        self.waiting.push_back((now + thinking, call));
    }

    fn send(&mut self, now: Instant, mut call: OperatorCall, out: &mut Vec<ProcessOutput>) {
        if let Purpose::Status { floor } = &mut call.purpose {
            *floor = self.observer.acknowledged_revision();
        }
        if let Purpose::Publish { .. } = call.purpose {
            self.store_weights(out);
        }
        let body = GroupRequest::Control(call.request.clone());
        self.calls
            .call(now, GroupId::Control, body, CALL_TIMEOUT, call, out);
    }

    fn store_weights(&mut self, out: &mut Vec<ProcessOutput>) {
        let tasks = self.tasks.lock();
        if let Some(Task::Publish {
            version,
            model,
            store,
            ..
        }) = tasks.queue.front()
        {
            let call = Call::StoreWeights {
                model: model.clone(),
                version: *version,
            };
            send_call(*store, CallId(version.0), call, out);
        }
    }

    fn on_result(&mut self, now: Instant, call: OperatorCall, result: CallResult) {
        let Ok(GroupReply::Control(reply)) = result else {
            self.waiting.push_back((now + RETRY_BACKOFF, call));
            return;
        };
        match call.purpose {
            Purpose::Status { floor } => self.on_status(now, floor, &reply),
            Purpose::Propose { intent } => self.on_proposed(now, intent, call.request, reply),
            Purpose::Confirm { intent, plan } => {
                self.on_confirmed(now, intent, &plan, call.request, &reply);
            }
            Purpose::Follow { plan } => self.on_followed(now, plan, &reply),
            Purpose::Publish { intent } => {
                self.note_answer(intent, &reply);
                self.maybe_again(now, intent, &call.request);
                self.end_intent(now, false);
            }
            Purpose::Again { intent } => self.note_answer(intent, &reply),
        }
    }

    fn on_status(&mut self, now: Instant, floor: Revision, reply: &ControlReply) {
        let ControlReply::Status(status) = reply else {
            return self.begin(now);
        };
        let committed = status.in_force.committed;
        self.observer.revision_told(committed, floor);
        self.observer.in_force_told(status.in_force.everywhere);
        let intent_id = IntentId(self.random.random());
        let call = match self.next_task() {
            Some(Task::Publish { pool, version, .. }) => OperatorCall {
                purpose: Purpose::Publish { intent: intent_id },
                request: ControlRequest::Publish {
                    intent_id,
                    pool,
                    version,
                },
            },
            Some(Task::State(intent)) => OperatorCall {
                purpose: Purpose::Propose { intent: intent_id },
                request: ControlRequest::Propose {
                    intent_id,
                    base_revision: self.server.as_ref().map(|_| committed),
                    intent,
                },
            },
            None => return self.begin(now + MAX_THINKING * 4),
        };
        self.later(now, call);
    }

    /// The next thing to do. Changes of the operator's own are stated against what they saw.
    fn next_task(&mut self) -> Option<Task> {
        let mut tasks = self.tasks.lock();
        self.server = None;
        if let Some(task) = tasks.queue.front() {
            return Some(task.clone());
        }
        if tasks.changes == 0 {
            return None;
        }
        tasks.drawn += 1;
        let zone = format!("operator-{}-{}", self.number, tasks.drawn);
        let server = match tasks.races {
            true => new_server(CONTESTED, &zone, CONTESTED_ADDRESS),
            false => new_server(&zone, &zone, own_address(self.number, tasks.drawn)),
        };
        self.server = Some(server.id.clone());
        let change = ConfigurationChange::PutServer(server);
        Some(Task::State(Intent::Apply(vec![change])))
    }

    fn on_proposed(
        &mut self,
        now: Instant,
        intent: IntentId,
        request: ControlRequest,
        reply: ControlReply,
    ) {
        self.note_answer(intent, &reply);
        self.maybe_again(now, intent, &request);
        let ControlReply::Plan(plan) = reply else {
            return self.end_intent(now, false);
        };
        let confirm_id = IntentId(self.random.random());
        let request = ControlRequest::Confirm {
            intent_id: confirm_id,
            plan: plan.id,
        };
        let purpose = Purpose::Confirm {
            intent: confirm_id,
            plan,
        };
        self.later(now, OperatorCall { purpose, request });
    }

    fn on_confirmed(
        &mut self,
        now: Instant,
        intent: IntentId,
        proposed: &Plan,
        request: ControlRequest,
        reply: &ControlReply,
    ) {
        self.note_answer(intent, reply);
        self.maybe_again(now, intent, &request);
        let ControlReply::Plan(plan) = reply else {
            return self.end_intent(now, false);
        };
        if self.server.as_ref().map(ServerId::as_str) == Some(CONTESTED) {
            self.observer.contested_changed(proposed);
        }
        self.follow(now, plan);
    }

    /// Waits for the end of a plan that runs.
    fn follow(&mut self, now: Instant, plan: &Plan) {
        match plan.state {
            PlanState::Proposed | PlanState::Running { .. } => {
                let call = OperatorCall {
                    purpose: Purpose::Follow { plan: plan.id },
                    request: ControlRequest::ShowPlan(plan.id),
                };
                self.later(now + RETRY_BACKOFF, call);
            }
            _ => self.end_intent(now, plan.state == PlanState::Done),
        }
    }

    fn on_followed(&mut self, now: Instant, id: PlanId, reply: &ControlReply) {
        match reply {
            ControlReply::Plan(plan) => self.follow(now, plan),
            other => {
                let detail = format!("plan {id} was confirmed, then answered {other:?}");
                self.observer.violate(SimPromise::AcknowledgedKept, detail);
                self.end_intent(now, false);
            }
        }
    }

    /// One intent has ended. A refused one of the operator's own is stated anew, against what is
    /// found then.
    fn end_intent(&mut self, now: Instant, is_done: bool) {
        let server = self.server.take();
        if let Some(server) = server.clone().filter(|id| id.as_str() != CONTESTED) {
            self.observer.server_answered(server, is_done);
        }
        {
            let mut tasks = self.tasks.lock();
            match server {
                None => {
                    tasks.queue.pop_front();
                }
                Some(_) if is_done => tasks.changes = tasks.changes.saturating_sub(1),
                Some(_) => {}
            }
        }
        self.begin(now);
    }

    fn note_answer(&self, intent: IntentId, reply: &ControlReply) {
        let answer = match reply {
            ControlReply::Plan(plan) => format!("plan {}", plan.id),
            ControlReply::Refused(ControlRefusal::Conflict { .. }) => "conflict".to_owned(),
            other => format!("{other:?}"),
        };
        self.observer.intent_answered(intent, &answer);
    }

    fn maybe_again(&mut self, now: Instant, intent: IntentId, request: &ControlRequest) {
        if self.random.random_bool(RESEND_CHANCE) {
            let call = OperatorCall {
                purpose: Purpose::Again { intent },
                request: request.clone(),
            };
            self.later(now, call);
        }
    }
}

impl Process for Operator {
    fn step(&mut self, now: Instant, input: ProcessInput, out: &mut Vec<ProcessOutput>) {
        self.calls.on_input(now, input, out);
        for (call, result) in self.calls.take_results() {
            self.on_result(now, call, result);
        }
        let due: Vec<OperatorCall> = self.take_due(now);
        for call in due {
            self.send(now, call, out);
        }
    }

    fn next_wake(&self) -> Option<Instant> {
        let waiting = self.waiting.iter().map(|(at, _)| *at).min();
        [waiting, self.calls.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }
}

impl Operator {
    fn take_due(&mut self, now: Instant) -> Vec<OperatorCall> {
        let (due, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.waiting = waiting;
        let due: VecDeque<(Instant, OperatorCall)> = due;
        due.into_iter().map(|(_, call)| call).collect()
    }
}

/// The service that operators' own servers belong to.
pub fn service() -> ServiceId {
    ServiceId::new("changed")
}

fn own_address(operator: u8, drawn: u64) -> SocketAddr {
    let [.., high, low] = drawn.to_be_bytes();
    SocketAddr::from(([127, 100 + operator, high, low], 1))
}

fn new_server(name: &str, zone: &str, address: SocketAddr) -> Server {
    Server {
        id: ServerId::new(name),
        service: service(),
        address,
        zone: ZoneId::new(zone),
        admission: Admission::Open,
    }
}
