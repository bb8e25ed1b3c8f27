//! Requests to live services, forwarded as they are.

use super::core::NodeContext;
use super::requests::{Attempts, Progress, refused};
use super::upstream::{News, failure_of};
use crate::hashing::hash_bytes;
use crate::process::{Answer, Call, LiveCall};
use crate::wiring::{InboundCall, NotTaken, failed};
use std::time::Duration;
use wingshore_request::{
    AnswerBody, AttemptEnd, ClaimIntent, FinalAnswer, RequestSpecification, claims_group,
};
use wingshore_routing::{Class, RouteRequest};
use wingshore_types::configuration::ServiceKind;
use wingshore_types::protocol::claims::{ClaimKey, StoredAnswer};

/// Claims groups of a simulated site.
const CLAIMS_GROUPS: u16 = 1;
/// Largest answer that is kept for repeats of an idempotency key.
const MAX_KEPT_ANSWER: usize = 64 * 1024;

/// A request on its way to a live server.
pub struct Forward {
    call: LiveCall,
    answered: Option<(u16, Vec<u8>)>,
}

impl Forward {
    /// Admits a request.
    pub fn take_in(
        context: &mut NodeContext<'_>,
        call: LiveCall,
    ) -> Result<(Self, RequestSpecification), NotTaken> {
        context.core.may_admit(context.now)?;
        let configuration = context.core.configuration();
        let service = configuration.services.get(&call.service);
        let Some(service) = service.filter(|service| service.kind == ServiceKind::Live) else {
            return Err(NotTaken {
                code: "unknown_service",
                retry_after: None,
            });
        };
        let route = RouteRequest {
            service: service.id.clone(),
            class: Class::Live,
            prefix_hash: None,
            tokens_estimate: 0,
            deadline: context.now + call.deadline,
            no_repeat: call.no_repeat,
            excluded: Vec::new(),
            oldest_useful: None,
        };
        let claim = claim_of(context, &call);
        let answered = None;
        Ok((
            Self { call, answered },
            RequestSpecification { route, claim },
        ))
    }

    fn on_answer(&mut self, status: u16, body: Vec<u8>, whole: bool) -> AttemptEnd {
        let is_kept = self.call.key.is_some() && body.len() <= MAX_KEPT_ANSWER;
        let stored_answer = is_kept.then(|| StoredAnswer {
            status,
            content_type: "application/json".to_owned(),
            body: body.clone(),
        });
        self.answered = Some((status, body));
        AttemptEnd::Answered {
            status,
            body: if whole {
                AnswerBody::Complete
            } else {
                AnswerBody::Truncated
            },
            stored_answer,
        }
    }
}

impl Attempts for Forward {
    fn call(&mut self, _context: &mut NodeContext<'_>, timeout: Duration) -> Call {
        Call::Live(LiveCall {
            deadline: timeout,
            ..self.call.clone()
        })
    }

    fn on_news(
        &mut self,
        _context: &mut NodeContext<'_>,
        _caller: InboundCall,
        news: News,
    ) -> Progress {
        Progress::Ended(match news {
            News::Answer(Answer::Live {
                status,
                body,
                whole,
            }) => self.on_answer(status, body, whole),
            other => AttemptEnd::Failed(failure_of(&other)),
        })
    }

    fn engine_attempt(&self) -> Option<&str> {
        None
    }

    /// The answer is written once it is whole: until then nobody notices.
    fn on_caller_gone(&mut self) {}

    fn answer(&mut self, answer: FinalAnswer) -> Answer {
        let (status, body) = match answer {
            FinalAnswer::Forward { .. } => match self.answered.take() {
                Some(answered) => answered,
                None => return failed("internal"),
            },
            FinalAnswer::Replay(kept) => (kept.status, kept.body),
            FinalAnswer::Error(error) => return refused(&error),
        };
        Answer::Live {
            status,
            body,
            whole: true,
        }
    }
}

/// The claim that the caller's idempotency key makes, if it gave one. The caller of a key always
/// asks the same.
fn claim_of(context: &mut NodeContext<'_>, call: &LiveCall) -> Option<ClaimIntent> {
    let key = ClaimKey {
        service: call.service.as_str().to_owned(),
        key: call.key.clone()?,
    };
    Some(ClaimIntent {
        group: claims_group(&key, CLAIMS_GROUPS),
        fingerprint: hash_bytes(key.key.as_bytes()),
        key,
        claimant: context.core.next_claimant(),
    })
}
