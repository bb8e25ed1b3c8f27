//! Membership of the group: changes that the leader requests, and the retirement of machines.
//! [`MembershipPlanner`](crate::MembershipPlanner) decides which changes are made.

use super::{Coordinator, ReplyTarget};
use crate::membership::{MembershipView, Shortage, losses_borne_by, members};
use crate::protocol::ControlAnswer;
use crate::sent_states::SendingPhase;
use slog::{info, warn};
use std::collections::BTreeSet;
use wingshore_coordination::{CoordinationLeader, Request};
use wingshore_group::{Host, HostInput};
use wingshore_net::ConnectionId;
use wingshore_types::protocol::membership::{Member, MembershipRequest};
use wingshore_types::{Instant, ReplicaId};

impl Coordinator {
    /// On the leader, requests the next membership change that is needed.
    pub(super) fn plan_members(&mut self, now: Instant) {
        if !self.host.is_leader() {
            return;
        }
        if !self.members.is_change_pending {
            self.describe_members();
        }
        let retired = self.retired_members();
        let view = self.membership_view(&retired);
        let planner = &self.members.planner;
        let planned = if self.members.is_change_pending {
            planner.plan_concurrent(now, &view)
        } else {
            planner.plan(now, &view)
        };
        if let Some(request) = planned {
            self.metrics.member_change();
            info!(self.logger, "member change"; "request" => ?request);
            self.request_change(request);
        }
    }

    /// Logs when there are too few coordinators to tolerate the losses that the settings ask for,
    /// and when there are enough again. The same shortage is logged once.
    pub(super) fn report_shortage(&mut self, now: Instant) {
        if !self.host.is_leader() || !self.members.planner.is_discovery_complete(now) {
            return;
        }
        let retired = self.retired_members();
        let shortage = self.membership_view(&retired).shortage(now);
        if shortage == self.members.reported_shortage {
            return;
        }
        self.members.reported_shortage = shortage;
        let losses_to_bear = self.settings.losses_borne;
        match shortage {
            Some(Shortage {
                coordinators,
                needed,
            }) => {
                warn!(self.logger, "too few coordinators to tolerate the required losses";
                    "coordinators" => coordinators, "needed" => needed,
                    "losses_borne" => losses_borne_by(coordinators),
                    "losses_to_bear" => losses_to_bear);
            }
            None => {
                info!(self.logger, "enough coordinators to tolerate the required losses";
                    "losses_to_bear" => losses_to_bear);
            }
        }
    }

    /// Logs and counts the progress of sending the state to members that lag too far behind the
    /// log.
    pub(super) fn report_sent_states(&mut self, now: Instant) {
        let sendings = self.host.outgoing_snapshots();
        let update = self.sent_states.update(now, &sendings);
        self.metrics.state_sent(update.sent, update.sent_again);
        for report in update.reports {
            let phase = match report.phase {
                SendingPhase::Started => "state sending begun",
                SendingPhase::InProgress => "state under way",
                SendingPhase::Ended => "state sending over",
            };
            let sending = report.sending;
            info!(self.logger, "{}", phase; "member" => sending.to.0,
                "index" => sending.index.0, "bytes" => sending.total,
                "received" => sending.received, "sent" => sending.sent,
                "sent_again" => sending.sent_again, "age_ms" => report.age.as_millis() as u64);
        }
    }

    fn membership_view<'a>(&'a self, retired: &'a BTreeSet<ReplicaId>) -> MembershipView<'a> {
        let membership = self.host.membership();
        MembershipView {
            own: self.folder.identity().replica,
            own_zone: &self.settings.zone,
            membership,
            known_coordinators: self.peers.known_coordinators(),
            caught_up: members(membership)
                .map(|member| member.id)
                .filter(|id| self.host.is_caught_up(*id))
                .collect(),
            losses_borne: self.settings.losses_borne,
            retired,
        }
    }

    fn retired_members(&self) -> BTreeSet<ReplicaId> {
        let retired = self.host.state().retired_members();
        retired.values().copied().collect()
    }

    /// Records the nodes of coordinators in the group's state where it does not have them yet.
    fn describe_members(&mut self) {
        let own = (self.folder.identity().replica, self.settings.node.clone());
        let nodes = self.peers.nodes();
        let others = nodes.map(|(id, node)| (id, node.to_owned()));
        let known = self.host.state().member_nodes();
        let unrecorded: Vec<(ReplicaId, String)> = others
            .chain([own])
            .filter(|(id, node)| known.get(id) != Some(node))
            .collect();
        for (member, node) in unrecorded {
            let request = Request::DescribeMember { member, node };
            self.submit(request, ReplyTarget::Nobody);
        }
    }

    /// Handles a call to retire a machine: answers at once, or after the group has recorded the
    /// retirement.
    pub(super) fn begin_retirement(&mut self, now: Instant, connection: ConnectionId, node: &str) {
        let retired = self.retired_members();
        let view = self.membership_view(&retired);
        let own = (view.own, self.settings.node.as_str());
        let known = coordinator_on_node(&self.host, own, node).or_else(|| self.peers.on_node(node));
        let answer = match known {
            _ if !self.host.holds_lease(now) => ControlAnswer::Unavailable,
            None => ControlAnswer::NoSuchMachine,
            Some(id) if retired.contains(&id) => ControlAnswer::Retiring,
            Some(id) if !self.members.planner.can_retire(now, id, &view) => {
                ControlAnswer::TooFewLeft
            }
            Some(member) => {
                info!(self.logger, "retirement"; "node" => node, "member" => member.0);
                let node = node.to_owned();
                let request = Request::RetireMember { member, node };
                return self.submit(request, ReplyTarget::Caller(connection));
            }
        };
        let answer = self.protocol.write(&answer);
        self.answer(connection, &answer);
    }

    /// Returns whether the retirement of a machine is complete: its coordinator is not a member any
    /// more, and the group tolerates a loss without it.
    pub(super) fn retirement_progress(&self, now: Instant, node: &str) -> ControlAnswer {
        if !self.host.holds_lease(now) {
            return ControlAnswer::Unavailable;
        }
        let Some(member) = self.host.state().retired_members().get(node) else {
            return ControlAnswer::NoSuchMachine;
        };
        let retired = self.retired_members();
        if self
            .membership_view(&retired)
            .is_fault_tolerant_without(now, *member)
        {
            ControlAnswer::Retired
        } else {
            ControlAnswer::Retiring
        }
    }

    /// Requests a membership change. Further changes need not wait for the reply to an addition.
    fn request_change(&mut self, request: MembershipRequest) {
        let reply_target = if matches!(request, MembershipRequest::AddLearner(_)) {
            ReplyTarget::Nobody
        } else {
            self.members.is_change_pending = true;
            ReplyTarget::Planner
        };
        let tag = self.register_call(reply_target, "change_members", None);
        self.inputs.push(HostInput::Membership { tag, request });
    }
}

/// Returns the coordinator on a node: this one, a member of the group, or one whose retirement is
/// recorded.
fn coordinator_on_node(
    host: &Host<CoordinationLeader>,
    own: (ReplicaId, &str),
    node: &str,
) -> Option<ReplicaId> {
    if own.1 == node {
        return Some(own.0);
    }
    let nodes = host.state().member_nodes();
    let is_on_node = |member: &&Member| nodes.get(&member.id).is_some_and(|name| name == node);
    let found = members(host.membership()).find(is_on_node);
    found.map(|member| member.id).or_else(|| {
        let retired = host.state().retired_members();
        retired.get(node).copied()
    })
}
