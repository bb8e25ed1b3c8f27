//! The kinds of groups, and what each wants done outside.

use crate::process::{Answer, Call};
use crate::sim::observed::ObservableState;
use std::net::SocketAddr;
use wingshore_control::{ControlEffect, ControlEvent, ControlLeader, LeaderSettings, OrderAnswer};
use wingshore_ledger::claims::ClaimsLeader;
use wingshore_ledger::samples::LedgerLeader;
use wingshore_types::machine::LeaderMachine;
use wingshore_types::platform::OrderFence;
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{Instant, ReplicaId, ServerId, Verdict};

/// What a call to a back end was for.
#[derive(Clone, Debug)]
pub enum EffectOrigin {
    Order {
        /// The engine.
        server: ServerId,
        /// The order's fence.
        fence: OrderFence,
    },
    /// A reading of an engine's state.
    State {
        /// The engine.
        server: ServerId,
        /// When it was asked.
        polled_at: Instant,
    },
    /// A reading of a live server's load.
    Load {
        server: ServerId,
        /// When it was asked.
        polled_at: Instant,
    },
}

/// A call to a back end.
pub struct EffectCall {
    pub to: SocketAddr,
    /// What is asked.
    pub call: Call,
    pub origin: EffectOrigin,
}

/// A leader machine that a simulated replica can host.
pub trait SimLeader:
    LeaderMachine<
        State: ObservableState + Default,
        Request: TryFrom<GroupRequest>,
        Reply: Into<GroupReply>,
    > + Default
    + 'static
{
    /// What the leader machine is told first.
    fn first_event(_replica: ReplicaId, _settings: &LeaderSettings) -> Option<Self::Event> {
        None
    }
    fn call_of(_now: Instant, _effect: Self::Effect) -> Option<EffectCall> {
        None
    }
    /// What an answer to it means; no answer is [`Answer::Broken`].
    fn event_of(_origin: EffectOrigin, _answer: Answer) -> Option<Self::Event> {
        None
    }
}

impl SimLeader for ControlLeader {
    fn first_event(replica: ReplicaId, settings: &LeaderSettings) -> Option<ControlEvent> {
        Some(ControlEvent::Configured {
            replica,
            settings: Box::new(settings.clone()),
        })
    }

    fn call_of(now: Instant, effect: ControlEffect) -> Option<EffectCall> {
        let (to, call, origin) = match effect {
            ControlEffect::SendOrder {
                server,
                address,
                order,
            } => {
                let fence = order.fence;
                let origin = EffectOrigin::Order { server, fence };
                (address, Call::Order(order), origin)
            }
            ControlEffect::ReadState { server, address } => {
                let polled_at = now;
                (
                    address,
                    Call::State,
                    EffectOrigin::State { server, polled_at },
                )
            }
            ControlEffect::ReadLoad { server, address } => {
                let polled_at = now;
                (
                    address,
                    Call::Load,
                    EffectOrigin::Load { server, polled_at },
                )
            }
        };
        Some(EffectCall { to, call, origin })
    }

    fn event_of(origin: EffectOrigin, answer: Answer) -> Option<ControlEvent> {
        Some(match origin {
            EffectOrigin::Order { server, fence } => ControlEvent::OrderAnswered {
                server,
                fence,
                answer: order_answer(answer),
            },
            EffectOrigin::State { server, polled_at } => ControlEvent::StateRead {
                server,
                polled_at,
                state: match answer {
                    Answer::State(state) => Ok(state),
                    other => Err(verdict_of(&other)),
                },
            },
            EffectOrigin::Load { server, polled_at } => ControlEvent::LoadRead {
                server,
                polled_at,
                load: match answer {
                    Answer::Load(load) => Ok(load),
                    other => Err(verdict_of(&other)),
                },
            },
        })
    }
}

fn order_answer(answer: Answer) -> OrderAnswer {
    match answer {
        Answer::OrderAccepted => OrderAnswer::Accepted,
        Answer::OrderFenced(reply) => OrderAnswer::Fenced(reply),
        other => OrderAnswer::Failed(verdict_of(&other)),
    }
}

fn verdict_of(answer: &Answer) -> Verdict {
    match answer {
        Answer::Unreachable => Verdict::NotRun,
        Answer::Refused { verdict, .. } => *verdict,
        _ => Verdict::MayHaveRun,
    }
}

impl SimLeader for LedgerLeader {}
impl SimLeader for ClaimsLeader {}
