//! Requests that end the servers that run them: what is learned of them here, told to the leader,
//! and done about it.

use crate::exchange::{Exchange, ExchangeId};
use crate::process::Gateway;
use slog::warn;
use std::time::Duration;
use wingshore_coordination::{
    AssignmentId, GatewayMessage, IncomingFrame, InstanceId, ItemAssignment, REJECTED_FROM,
    RequestContent, RequestFingerprint, SeenCrash, ViewChange,
};
use wingshore_net::http::WholeRequest;
use wingshore_types::Instant;

/// A stream that has brought events for this long is not what ends its server: such a request does
/// that as it begins to run (30 to 200 ms after it was sent in all cases seen).
pub(crate) const INNOCENT_AFTER: Duration = Duration::from_secs(1);

impl Gateway {
    /// What a request asks, whatever its identity; `None` before the site's key is known.
    pub(crate) fn fingerprint_of(&self, request: &WholeRequest) -> Option<RequestFingerprint> {
        let key = self.view.fingerprint_key()?;
        let head = &request.head;
        let caller = head.headers.get(self.protocol.header_names().caller);
        let content = RequestContent {
            method: &head.method,
            host: head.headers.text("host").unwrap_or_default(),
            target: &head.target,
            caller: caller.unwrap_or_default(),
            body: &request.body,
        };
        Some(content.fingerprint(key))
    }

    /// As [`Gateway::fingerprint_of`], for an item.
    pub(crate) fn fingerprint_of_item(&self, item: &ItemAssignment) -> Option<RequestFingerprint> {
        let key = self.view.fingerprint_key()?;
        let name = self.protocol.header_names().caller;
        let mut headers = item.headers.iter();
        let caller = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        let content = RequestContent {
            method: "POST",
            host: &item.host,
            target: &item.path,
            caller: caller.map_or(&[], |(_, value)| value.as_bytes()),
            body: &item.body,
        };
        Some(content.fingerprint(key))
    }

    /// Runs of servers that ended under a request, by the leader's word. Where there is none now,
    /// what was seen here counts too: the leader weighs it, and knows more.
    pub(crate) fn ended_under(&self, request: RequestFingerprint) -> Vec<InstanceId> {
        let mut ended = self.view.ended_under(request).to_vec();
        if self.coordinators.leader().is_some() {
            return ended;
        }
        let untold = self.crashes.untold();
        let untold = untold.filter(|evidence| evidence.fingerprint == request);
        for evidence in untold {
            if !ended.contains(&evidence.instance) {
                ended.push(evidence.instance.clone());
            }
        }
        ended
    }

    /// Whether any request is known under which servers have ended; usually there is none.
    fn knows_suspects(&self) -> bool {
        self.view.has_suspects() || self.crashes.untold().next().is_some()
    }

    /// Whether so many servers have ended under this request that no other one is to run it.
    pub(crate) fn is_rejected(&self, request: &WholeRequest) -> bool {
        self.knows_suspects()
            && self
                .fingerprint_of(request)
                .is_some_and(|known| self.ended_under(known).len() >= REJECTED_FROM)
    }

    /// As [`Gateway::is_rejected`], for an item.
    pub(crate) fn is_item_rejected(&self, item: &ItemAssignment) -> bool {
        self.knows_suspects()
            && self
                .fingerprint_of_item(item)
                .is_some_and(|known| self.ended_under(known).len() >= REJECTED_FROM)
    }

    /// One line for a request that is not sent to any server.
    pub(crate) fn log_rejected(&self, exchange: &Exchange) {
        let known = self.fingerprint_of(&exchange.request);
        let ended = known.map(|known| self.ended_under(known));
        let ended: Vec<String> = ended.iter().flatten().map(ToString::to_string).collect();
        warn!(self.logger, "request rejected"; "request" => exchange.id_text(),
            "fingerprint" => known.map(|known| known.to_string()), "ended" => ended.join(","),
            "route" => &exchange.route.name, "service" => %exchange.service);
    }

    /// The connection of a live request or a scoring was lost while a server ran it.
    pub(crate) fn exchange_broke_off(
        &mut self,
        now: Instant,
        id: ExchangeId,
        instance: &InstanceId,
    ) {
        let known = self.exchanges.get(id);
        let suspect = known.filter(|exchange| !exchange.has_streamed_long(now));
        let request = suspect.and_then(|exchange| self.fingerprint_of(&exchange.request));
        self.run_broke_off(now, instance, request);
    }

    /// The connection of an item was lost while an engine ran it.
    pub(crate) fn item_broke_off(&mut self, now: Instant, id: AssignmentId) {
        let Some(run) = self.items.run(id) else {
            return;
        };
        let streamed_for = run.first_event.map(|first| now.since(first));
        if streamed_for.is_some_and(|time| time >= INNOCENT_AFTER) {
            return;
        }
        let instance = run.assignment.instance.clone();
        let request = self.fingerprint_of_item(&run.assignment);
        self.run_broke_off(now, &instance, request);
    }

    /// A connection was lost while a server ran a request: finds out whether the server has ended.
    /// Servers that are leaving end by themselves.
    fn run_broke_off(
        &mut self,
        now: Instant,
        instance: &InstanceId,
        request: Option<RequestFingerprint>,
    ) {
        let server = self.view.server(instance).filter(|server| !server.draining);
        let (Some(request), Some(server)) = (request, server) else {
            return;
        };
        let address = server.address;
        let is_first = !self.crashes.is_unexplained(instance);
        let evidence = self.crashes.broke_off(now, instance, address, request);
        let is_open = evidence.is_none();
        self.take_evidence(evidence.into_iter().collect());
        if is_first && is_open {
            self.upstreams
                .open(now, &mut self.reactor, instance, address);
        }
    }

    /// A run of a server is seen to have ended.
    pub(crate) fn server_has_ended(&mut self, now: Instant, instance: &InstanceId) {
        let evidence = self.crashes.server_ended(now, instance);
        self.take_evidence(evidence);
    }

    /// What the leader has told may explain lost connections.
    pub(crate) fn servers_registered(&mut self, now: Instant) {
        let servers = self.view.servers();
        let servers: Vec<_> = servers
            .map(|server| (server.instance.clone(), server.address))
            .collect();
        for (instance, address) in servers {
            let evidence = self.crashes.registered(now, &instance, address);
            self.take_evidence(evidence);
        }
    }

    /// The leader has told a change of the view.
    pub(crate) fn note_change(&mut self, now: Instant, change: &ViewChange) {
        match change {
            ViewChange::Server(server) => {
                let evidence = self
                    .crashes
                    .registered(now, &server.instance, server.address);
                self.take_evidence(evidence);
            }
            ViewChange::Suspect(suspect) => {
                self.crashes.told(suspect.fingerprint, &suspect.ended);
            }
            ViewChange::Cleared(request) => self.crashes.cleared(*request),
            ViewChange::Configuration(_) | ViewChange::Gone(_) | ViewChange::FingerprintKey(_) => {}
        }
    }

    fn take_evidence(&mut self, seen: Vec<SeenCrash>) {
        if seen.is_empty() {
            return;
        }
        for SeenCrash { evidence, ago } in &seen {
            warn!(self.logger, "server ended under request";
                "fingerprint" => %evidence.fingerprint, "server" => %evidence.instance,
                "ago_ms" => ago.as_millis() as u64);
        }
        self.tell_evidence(seen);
    }

    /// Tells a new leader what was found here.
    pub(crate) fn tell_untold_evidence(&mut self, now: Instant) {
        let untold = self.crashes.to_tell(now);
        if !untold.is_empty() {
            self.tell_evidence(untold);
        }
    }

    fn tell_evidence(&mut self, seen: Vec<SeenCrash>) {
        if let Some(leader) = self.coordinators.leader() {
            let message = GatewayMessage::RequestsCrashed(seen);
            self.send_frame(leader, &IncomingFrame::FromGateway(message));
        }
    }

    /// A run of a request went well: if servers had ended under it, it was not the cause.
    fn ran_well(&mut self, request: Option<RequestFingerprint>) {
        let is_suspect = |request: &RequestFingerprint| {
            let mut untold = self.crashes.untold();
            !self.view.ended_under(*request).is_empty()
                || untold.any(|evidence| evidence.fingerprint == *request)
        };
        let Some(request) = request.filter(is_suspect) else {
            return;
        };
        self.crashes.cleared(request);
        if let Some(leader) = self.coordinators.leader() {
            let message = GatewayMessage::RequestsRan(vec![request]);
            self.send_frame(leader, &IncomingFrame::FromGateway(message));
        }
    }

    /// A live request or a scoring went well.
    pub(crate) fn exchange_ran_well(&mut self, request: &WholeRequest) {
        if self.knows_suspects() {
            self.ran_well(self.fingerprint_of(request));
        }
    }

    /// An item went well.
    pub(crate) fn item_ran_well(&mut self, id: AssignmentId) {
        if self.knows_suspects()
            && let Some(run) = self.items.run(id)
        {
            self.ran_well(self.fingerprint_of_item(&run.assignment));
        }
    }
}
