//! A coordination group of one member that commits its proposals at once, and test data for it.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use wingshore_coordination::{
    Command, CoordinationLeader, CoordinationState, CoordinatorMessage, Effect, EngineProfile,
    Event, GatewayHello, GatewayId, GatewayStatus, Heartbeat, IngressLimits, InstanceId,
    ItemAssignment, ItemId, ItemOutcome, JobId, JobItem, JobSubmission, LeaderSettings, ModelName,
    ModelVersion, Reply, Request, Route, RouteKind, RouteTarget, Scorer, ServerRecord, Service,
    ServiceName, SiteConfiguration, ViewChange,
};
use wingshore_types::machine::{
    LeaderMachine, LeaderOutput, LeaderOutputs, ProposalTag, ReplicatedState, RequestTag,
};
use wingshore_types::{Epoch, Instant, LogIndex};

/// Longer than the time for which a new leader waits for reports of gateways.
const GATEWAY_REPORT_TIME: Duration = Duration::from_secs(1);

/// A group of one member.
pub struct Group {
    pub now: Instant,
    pub state: CoordinationState,
    pub leader: CoordinationLeader,
    pub effects: Vec<Effect>,
    pub replies: Vec<(RequestTag, Reply)>,
    /// View changes that are announced to gateways, in order: those of each entry once it is
    /// applied.
    pub announced: Vec<ViewChange>,
    pub settings: LeaderSettings,
    /// Whether proposals wait for [`Group::commit`].
    pub defers_commits: bool,
    uncommitted: VecDeque<(ProposalTag, Command)>,
    index: u64,
    epoch: u64,
    next_tag: u64,
    sequence: u64,
}

impl Group {
    /// Creates a group with the default configuration of the tests.
    pub fn new() -> Self {
        Self::with_settings(LeaderSettings {
            engines_check_fences: true,
            ..LeaderSettings::default()
        })
    }

    /// Creates a group whose leaders have these settings.
    pub fn with_settings(settings: LeaderSettings) -> Self {
        let settings = LeaderSettings {
            node: "coordinator-a".to_owned(),
            ..settings
        };
        let mut group = Self {
            now: Instant::ZERO,
            state: CoordinationState::default(),
            leader: CoordinationLeader::new(settings.clone()),
            effects: Vec::new(),
            replies: Vec::new(),
            announced: Vec::new(),
            settings,
            defers_commits: false,
            uncommitted: VecDeque::new(),
            index: 0,
            epoch: 0,
            next_tag: 0,
            sequence: 0,
        };
        group.change_leader("coordinator-a");
        group.ask(Request::PutConfiguration(Arc::new(configuration(1))));
        group
    }

    /// Puts a configuration with one more route in force.
    pub fn configure_with(&mut self, route: Route) {
        let mut next = configuration(2);
        next.routes.push(route);
        self.ask(Request::PutConfiguration(Arc::new(next)));
    }

    /// Makes another machine the leader. All volatile data and uncommitted proposals are lost.
    pub fn change_leader(&mut self, node: &str) {
        self.epoch += 1;
        self.uncommitted.clear();
        self.settings.node = node.to_owned();
        self.leader = CoordinationLeader::new(self.settings.clone());
        self.effects.clear();
        let mut out = Vec::new();
        let epoch = Epoch(self.epoch);
        self.leader
            .on_leadership(self.now, epoch, &self.state, &mut out);
        self.process_outputs(out);
    }

    /// Sends a request and returns the reply, if there is one at once.
    pub fn ask(&mut self, request: Request) -> Option<Reply> {
        self.next_tag += 1;
        let tag = RequestTag(self.next_tag);
        let mut out = Vec::new();
        self.leader
            .on_request(self.now, tag, request, &self.state, &mut out);
        self.process_outputs(out);
        let position = self.replies.iter().position(|(known, _)| *known == tag)?;
        Some(self.replies.remove(position).1)
    }

    /// Passes an event to the leader.
    pub fn event(&mut self, event: Event) {
        let mut out = Vec::new();
        self.leader.on_event(self.now, event, &self.state, &mut out);
        self.process_outputs(out);
    }

    /// Advances the time, with a tick every 50 ms.
    pub fn wait(&mut self, duration: Duration) {
        const TICK: Duration = Duration::from_millis(50);
        let until = self.now + duration;
        while self.now < until {
            self.now = self.now + TICK;
            let mut out = Vec::new();
            self.leader.on_tick(self.now, &self.state, &mut out);
            self.process_outputs(out);
        }
    }

    fn process_outputs(&mut self, out: LeaderOutputs<CoordinationLeader>) {
        let mut queue = VecDeque::from(out);
        while let Some(output) = queue.pop_front() {
            match output {
                LeaderOutput::Propose { tag, command } if self.defers_commits => {
                    self.uncommitted.push_back((tag, command));
                }
                LeaderOutput::Propose { tag, command } => queue.extend(self.apply(tag, command)),
                LeaderOutput::Reply { tag, reply } => self.replies.push((tag, reply)),
                LeaderOutput::Effect(effect) => self.effects.push(effect),
            }
        }
    }

    fn apply(&mut self, tag: ProposalTag, command: Command) -> LeaderOutputs<CoordinationLeader> {
        self.index += 1;
        let before = LogIndex(self.index - 1);
        self.state.apply(LogIndex(self.index), command);
        let changes = self.state.view_changes(before);
        self.announced
            .extend(changes.expect("the entry before is remembered"));
        let mut out = Vec::new();
        self.leader
            .on_applied(self.now, tag, (), &self.state, &mut out);
        out
    }

    /// Commits the proposals that were deferred.
    pub fn commit(&mut self) {
        for (tag, command) in std::mem::take(&mut self.uncommitted) {
            let out = self.apply(tag, command);
            self.process_outputs(out);
        }
    }

    /// Commits the oldest proposal that was deferred.
    pub fn commit_next(&mut self) {
        if let Some((tag, command)) = self.uncommitted.pop_front() {
            let out = self.apply(tag, command);
            self.process_outputs(out);
        }
    }

    /// Connects a gateway that reports that it runs nothing, and waits until a new leader places
    /// items.
    pub fn add_gateway(&mut self, id: u64) -> GatewayId {
        let gateway = self.connect_gateway(id);
        self.event(Event::GatewayRunning {
            gateway,
            items: Vec::new(),
            scorings: Vec::new(),
        });
        self.wait(GATEWAY_REPORT_TIME);
        gateway
    }

    /// Connects a gateway that has not reported yet what it runs.
    pub fn connect_gateway(&mut self, id: u64) -> GatewayId {
        self.connect_restarted_gateway(id, id)
    }

    /// Connects a gateway process with identity `id` from the machine of gateway `machine`.
    pub fn connect_restarted_gateway(&mut self, machine: u64, id: u64) -> GatewayId {
        let gateway = GatewayId(id);
        self.event(Event::GatewayConnected(GatewayHello {
            gateway,
            node: format!("edge-{machine}"),
            front: ([10, 1, 0, 1], 80).into(),
            zone: "a".to_owned(),
            region: "r".to_owned(),
            status: GatewayStatus {
                ready: true,
                takes_items: true,
                configuration: 1,
            },
        }));
        gateway
    }

    /// Creates a group with a gateway, an engine, and a job with `items` items.
    pub fn with_job(items: u32) -> (Self, GatewayId) {
        let mut group = Self::new();
        let gateway = group.add_gateway(1);
        group.heartbeat(engine("e1", 1));
        group.ask(Request::SubmitJob(job("j", items)));
        (group, gateway)
    }

    /// Reports the end of an attempt at an item.
    pub fn end_item(
        &mut self,
        gateway: GatewayId,
        assignment: &ItemAssignment,
        outcome: ItemOutcome,
    ) {
        self.event(Event::ItemEnded {
            gateway,
            assignment: assignment.assignment,
            item: assignment.item.clone(),
            outcome,
        });
    }

    /// Sends a heartbeat of a server, with the next sequence number.
    pub fn heartbeat(&mut self, server: ServerRecord) -> Option<Reply> {
        self.sequence += 1;
        let sequence = self.sequence;
        self.ask(Request::Heartbeat(Heartbeat { server, sequence }))
    }

    /// Returns the items that were assigned since the last call.
    pub fn assignments(&mut self) -> Vec<ItemAssignment> {
        let effects = std::mem::take(&mut self.effects);
        let (assigned, others): (Vec<Effect>, Vec<Effect>) =
            effects.into_iter().partition(|effect| {
                matches!(effect, Effect::ToGateway(_, CoordinatorMessage::Assign(_)))
            });
        self.effects = others;
        assigned
            .into_iter()
            .filter_map(|effect| match effect {
                Effect::ToGateway(_, CoordinatorMessage::Assign(assignment)) => Some(*assignment),
                _ => None,
            })
            .collect()
    }
}

/// Returns a configuration with one engine service and one batch route.
pub fn configuration(version: u64) -> SiteConfiguration {
    let service = ServiceName::from("llm");
    SiteConfiguration {
        version,
        routes: vec![Route {
            name: "rollouts".to_owned(),
            host: "site.example".to_owned(),
            path_prefix: "/rollouts/".to_owned(),
            kind: RouteKind::Batch,
            timeout: Duration::from_secs(10),
            target_latency: Duration::from_millis(400),
            priority: 1,
            targets: vec![RouteTarget {
                service: service.clone(),
                weight: 1,
            }],
            max_attempts: 3,
            max_queue: Some(Duration::from_secs(40)),
            due: Some(Duration::from_millis(7500)),
            single_version: false,
            resumable: true,
            public: false,
        }],
        services: vec![Service {
            name: service,
            health_path: "/health".to_owned(),
            max_connections: 100,
            engine: Some(EngineProfile {
                slots: 4,
                cache_tokens: 50_000,
                models: vec![ModelName::from("m")],
            }),
            scaling: None,
        }],
        limits: IngressLimits::default(),
        tenants: Vec::new(),
        document: format!("version {version}").into_bytes(),
    }
}

/// Returns an address derived from the name of a server.
pub fn address_of(name: &str) -> SocketAddr {
    let number = name.bytes().fold(0_u16, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    });
    let [high, low] = number.to_be_bytes();
    ([10, 2, high, low], 9000).into()
}

/// Returns an engine of the service with one model.
pub fn engine(name: &str, version: u64) -> ServerRecord {
    ServerRecord {
        instance: InstanceId::from(name),
        service: ServiceName::from("llm"),
        address: address_of(name),
        zone: "a".to_owned(),
        slots: 4,
        draining: false,
        reclaimable: false,
        models: vec![ModelVersion {
            model: ModelName::from("m"),
            version,
        }],
    }
}

/// Returns a batch job with `items` items in one group.
pub fn job(id: &str, items: u32) -> Arc<JobSubmission> {
    Arc::new(JobSubmission {
        id: JobId::from(id),
        host: "site.example".to_owned(),
        step: 0,
        model: Some(ModelName::from("m")),
        min_version: 1,
        desired: 1,
        items: (0..items)
            .map(|number| JobItem {
                id: ItemId::from(format!("{id}-{number}")),
                path: "/rollouts/x".to_owned(),
                headers: Vec::new(),
                body: vec![1, 2, 3],
                tokens: 100,
                expected_output: None,
                group: "g".to_owned(),
                scorer: None,
            })
            .collect(),
    })
}

/// Returns the same job as [`job`], with a scorer for each item.
pub fn scored_job(id: &str, items: u32) -> Arc<JobSubmission> {
    let mut submission = JobSubmission::clone(&job(id, items));
    for item in &mut submission.items {
        item.scorer = Some(Box::new(Scorer {
            request: ItemId::from(format!("score-{}", item.id)),
            host: "site.example".to_owned(),
            path: "/score/1".to_owned(),
            body: vec![7],
        }));
    }
    Arc::new(submission)
}

/// Returns the route to the scorers, which allows four attempts.
pub fn scoring_route() -> Route {
    Route {
        name: "scores".to_owned(),
        path_prefix: "/score/".to_owned(),
        kind: RouteKind::Safe,
        max_attempts: 4,
        max_queue: None,
        due: None,
        resumable: false,
        ..configuration(1).routes.remove(0)
    }
}
