//! Who gives orders to engines after a change of leaders.
//!
//! A new leader must wait until no order of the machine before it can still arrive. Where that
//! machine is well again, as after a restart of all, it need not wait for itself: leadership goes
//! back to it.

use super::Coordinator;
use slog::info;
use std::time::Duration;
use wingshore_types::protocol::membership::MembershipRequest;
use wingshore_types::{Instant, ReplicaId};

/// Leadership goes back only where that saves more than this much waiting.
const WORTH_RETURNING: Duration = Duration::from_millis(1500);
/// The machine must have been heard of within this time.
const HEARD_WITHIN: Duration = Duration::from_millis(400);

impl Coordinator {
    /// Hands leadership back to the machine that gave the last orders, once a leadership.
    pub(super) fn return_leadership(&mut self, now: Instant) {
        let machine = self.host.leader_machine();
        let Some(wait) = machine.and_then(|machine| machine.order_wait(now)) else {
            return;
        };
        let may_return = self.settings.returns_leadership && !self.has_returned_leadership;
        if !may_return || wait < WORTH_RETURNING {
            return;
        }
        let Some(member) = self.ready_order_holder(now) else {
            return;
        };
        self.has_returned_leadership = true;
        info!(self.logger, "leadership goes back"; "member" => member.0,
            "reason" => "it may give orders at once", "wait_ms" => wait.as_millis() as u64);
        self.change_under_way = true;
        self.request_change(MembershipRequest::TransferLeadership(member));
    }

    /// The machine that gave the last orders, if it could lead now.
    fn ready_order_holder(&self, now: Instant) -> Option<ReplicaId> {
        let holder = self.host.state().order_holder()?;
        let hello = self
            .hellos
            .values()
            .find(|hello| hello.node == holder.node)?;
        let voters = &self.host.membership().voters;
        let is_voter = voters.iter().any(|voter| voter.id == hello.id);
        let is_heard = self
            .heard
            .get(&hello.id)
            .is_some_and(|joiner| now.since(joiner.heard) <= HEARD_WITHIN);
        let is_ready = is_voter
            && is_heard
            && self.route_to(hello.id).is_some()
            && self.host.is_caught_up(hello.id)
            && !self.retired_members().contains(&hello.id);
        is_ready.then_some(hello.id)
    }
}
