//! The control group: configuration at the beginning, published versions, orders to engines.

use super::{COMMIT_TIME, Event, LEADER_TICK, ToEngine, World};
use crate::bench::group::GroupNews;
use wingshore_control::{ControlEffect, ControlEvent, ControlLeader};
use wingshore_rollout::{PoolBinding, RolloutInput};
use wingshore_types::machine::RequestTag;
use wingshore_types::protocol::control::{ControlReply, ControlRequest, Intent};
use wingshore_types::{IntentId, PlanId, Revision, ServerId, WeightVersion};

/// What the run remembers of the control group.
#[derive(Debug, Default)]
pub(super) struct ControlPlane {
    /// The newest revision that nodes were told of.
    announced: Revision,
    intents: u128,
}

impl ControlPlane {
    fn next_intent(&mut self) -> IntentId {
        self.intents += 1;
        IntentId(self.intents)
    }
}

impl World {
    /// Applies the site's configuration before the run, and tells the nodes.
    pub(super) fn begin_control(&mut self) {
        let news = self.control.begin(self.now);
        self.control_news(news);
        let changes = self.scenario.site.changes();
        let intent_id = self.plane.next_intent();
        let propose = ControlRequest::Propose {
            intent_id,
            base_revision: None,
            intent: Intent::Apply(changes),
        };
        if let Some(ControlReply::Plan(plan)) = self.control_at_once(propose) {
            self.confirm(plan.id);
        }
        self.on_configuration();
    }

    fn confirm(&mut self, plan: PlanId) {
        let intent_id = self.plane.next_intent();
        self.control_at_once(ControlRequest::Confirm { intent_id, plan });
    }

    /// A request that is committed without time passing.
    fn control_at_once(&mut self, request: ControlRequest) -> Option<ControlReply> {
        let tag = self.control.next_tag();
        let mut news = self.control.request(self.now, tag, request);
        let mut answer = None;
        loop {
            let mut replies = std::mem::take(&mut news.replies);
            if let Some(position) = replies.iter().position(|(to, _)| *to == tag) {
                answer = Some(replies.remove(position).1);
            }
            let is_done = news.proposals == 0;
            self.control_effects(news);
            if is_done {
                return answer;
            }
            news = self.control.commit(self.now);
        }
    }

    /// A trainer publishes a version.
    pub(super) fn publish_to_control(&mut self, version: WeightVersion) {
        let request = ControlRequest::Publish {
            intent_id: self.plane.next_intent(),
            pool: self.scenario.pool.id.clone(),
            version,
        };
        let tag: RequestTag = self.control.next_tag();
        let news = self.control.request(self.now, tag, request);
        self.control_news(news);
    }

    pub(super) fn on_control_news(&mut self, event: ControlEvent) {
        let news = self.control.event(self.now, event);
        self.control_news(news);
    }

    pub(super) fn on_control_commit(&mut self) {
        let news = self.control.commit(self.now);
        self.control_news(news);
        let revision = self.control.state.configuration().revision;
        if revision > self.plane.announced {
            self.plane.announced = revision;
            let one_way = self.scenario.one_way;
            self.after(one_way, Event::Configuration);
        }
    }

    pub(super) fn on_leader_tick(&mut self) {
        if !self.is_baseline() {
            let news = self.control.tick(self.now);
            self.control_news(news);
            self.tick_ledger();
        }
        self.after(LEADER_TICK, Event::LeaderTick);
    }

    /// Nodes hear of the newest configuration.
    pub(super) fn on_configuration(&mut self) {
        let configuration = self.control.state.configuration().clone();
        for node in &mut self.nodes {
            node.router.on_configuration(self.now, &configuration);
        }
        self.plane.announced = configuration.revision;
        let Some(pool) = configuration.pools.get(&self.scenario.pool.id) else {
            return;
        };
        let binding = PoolBinding {
            revision: configuration.revision,
            pool: pool.clone(),
            model: self.scenario.model.clone(),
        };
        if !self.is_baseline() {
            self.runner_input(RolloutInput::Pool(Box::new(binding)));
        }
    }

    fn control_news(&mut self, news: GroupNews<ControlLeader>) {
        for _ in 0..news.proposals {
            self.after(COMMIT_TIME, Event::ControlCommit);
        }
        self.control_effects(news);
    }

    fn control_effects(&mut self, news: GroupNews<ControlLeader>) {
        if self.is_baseline() {
            return;
        }
        for effect in news.effects {
            match effect {
                ControlEffect::SendOrder { server, order, .. } => {
                    self.control_to_engine(&server, ToEngine::Order(order));
                }
                ControlEffect::ReadState { server, .. } => {
                    self.control_to_engine(&server, ToEngine::ReadState(self.now));
                }
                ControlEffect::ReadLoad { .. } => {}
            }
        }
    }

    fn control_to_engine(&mut self, server: &ServerId, message: ToEngine) {
        if let Some(engine) = self.engine_index.get(server).copied() {
            let one_way = self.scenario.one_way;
            self.after(one_way, Event::ToEngine(engine, message));
        }
    }
}
