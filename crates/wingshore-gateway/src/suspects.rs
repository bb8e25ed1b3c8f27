//! Requests that end the servers that run them: what is learned of them here, told to the leader,
//! and done about it.

use crate::coordinators::send;
use crate::exchange::Exchange;
use crate::ids::ExchangeId;
use crate::process::Gateway;
use crate::upstream::LostSend;
use slog::warn;
use std::time::Duration;
use wingshore_coordination::{
    AssignmentId, GatewayMessage, InstanceId, ItemAssignment, REJECTED_FROM, RequestContent,
    RequestFingerprint, SeenCrash, TenantName, ViewChange,
};
use wingshore_types::Instant;

/// A stream that has brought events for this long is not what ends its server: such a request does
/// that as it begins to run (30 to 200 ms after it was sent in all cases seen).
pub(crate) const INNOCENT_AFTER: Duration = Duration::from_secs(1);

/// A request that was sent less than this long before the connection was lost did not bring it on:
/// where several servers end at once, it was sent to the next one while word of its end was on
/// the way. Request and reset alone need as long as this between two zones of one region.
const GUILTY_FROM: Duration = Duration::from_millis(2);

impl Gateway {
    /// What a request asks, whatever its identity; `None` before the site's key is known.
    pub(crate) fn fingerprint_of(&self, exchange: &Exchange) -> Option<RequestFingerprint> {
        let key = self.site.view.fingerprint_key()?;
        let request = &exchange.request;
        let head = &request.head;
        let shown = head
            .headers
            .get(self.site.protocol.header_names().authorization);
        let tenant = exchange.tenant.as_ref();
        let caller = tenant.map_or(shown, |tenant| Some(tenant.as_str().as_bytes()));
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
        let key = self.site.view.fingerprint_key()?;
        let name = self.site.protocol.header_names().authorization;
        let mut headers = item.headers.iter();
        let shown = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        let shown = shown.map(|(_, value)| value.as_str());
        let tenant = item.item.job.tenant().map(TenantName::as_str);
        let caller = tenant.or(shown).unwrap_or_default();
        let content = RequestContent {
            method: "POST",
            host: &item.host,
            target: &item.path,
            caller: caller.as_bytes(),
            body: &item.body,
        };
        Some(content.fingerprint(key))
    }

    /// Runs of servers that ended under a request, by the leader's word and by what was seen here.
    fn ended_under(&self, request: RequestFingerprint) -> Vec<InstanceId> {
        let told = self.site.view.suspect(request);
        let mut ended = told.map_or_else(Vec::new, |suspect| suspect.ended.clone());
        let untold = self.servers.crashes.untold();
        let untold = untold.filter(|evidence| evidence.fingerprint == request);
        for evidence in untold {
            if !ended.contains(&evidence.instance) {
                ended.push(evidence.instance.clone());
            }
        }
        ended
    }

    /// Whether no other server is to run a request. The leader decides that, who knows more; where
    /// there is none now, what was told and what was seen here must do.
    fn is_known_rejected(&self, request: RequestFingerprint) -> bool {
        let told = self.site.view.suspect(request);
        told.is_some_and(|suspect| suspect.rejected)
            || (self.site.coordinators.leader().is_none()
                && self.ended_under(request).len() >= REJECTED_FROM)
    }

    /// Whether any request is known under which servers have ended; usually there is none.
    fn knows_suspects(&self) -> bool {
        self.site.view.has_suspects() || self.servers.crashes.untold().next().is_some()
    }

    /// Whether so many servers have ended under this request that no other one is to run it.
    pub(crate) fn is_rejected(&self, exchange: &Exchange) -> bool {
        self.knows_suspects()
            && self
                .fingerprint_of(exchange)
                .is_some_and(|known| self.is_known_rejected(known))
    }

    /// Whether so many servers have ended under this request that one attempt sends it to one
    /// server only: if it is the cause, each more would end the next one before the leader could
    /// tell.
    pub(crate) fn is_suspect(&self, exchange: &Exchange) -> bool {
        self.knows_suspects()
            && self
                .fingerprint_of(exchange)
                .is_some_and(|known| self.site.view.suspect(known).is_some())
    }

    /// As [`Gateway::is_rejected`], for an item.
    pub(crate) fn is_item_rejected(&self, item: &ItemAssignment) -> bool {
        self.knows_suspects()
            && self
                .fingerprint_of_item(item)
                .is_some_and(|known| self.is_known_rejected(known))
    }

    /// One line for a request that is not sent to any server.
    pub(crate) fn log_rejected(&self, exchange: &Exchange) {
        let known = self.fingerprint_of(exchange);
        let ended = known.map(|known| self.ended_under(known));
        let ended: Vec<String> = ended.iter().flatten().map(ToString::to_string).collect();
        warn!(self.runtime.logger, "request rejected"; "request" => exchange.id_text(),
            "fingerprint" => known.map(|known| known.to_string()), "ended" => ended.join(","),
            "route" => &exchange.route.name, "service" => %exchange.service);
    }

    /// What an item asks whose connection was lost; `None` if it ran for so long that it is not what
    /// ends engines.
    pub(crate) fn possible_cause(
        &self,
        now: Instant,
        id: AssignmentId,
    ) -> Option<RequestFingerprint> {
        let run = self.items.run(id)?;
        let streamed_for = run.first_event.map(|first| now.since(first));
        if streamed_for.is_some_and(|time| time >= INNOCENT_AFTER) {
            return None;
        }
        self.fingerprint_of_item(&run.assignment)
    }

    /// The connection of a live request or a scoring was lost while a server ran it.
    pub(crate) fn exchange_broke_off(&mut self, now: Instant, id: ExchangeId, lost: &LostSend) {
        let known = self.exchanges.get(id);
        let suspect = known.filter(|exchange| !exchange.has_streamed_long(now));
        let request = suspect.and_then(|exchange| self.fingerprint_of(exchange));
        self.run_broke_off(now, lost, request);
    }

    /// A connection was lost while a server ran a request: finds out whether the server has ended.
    /// Servers that are leaving end by themselves.
    pub(crate) fn run_broke_off(
        &mut self,
        now: Instant,
        lost: &LostSend,
        request: Option<RequestFingerprint>,
    ) {
        let instance = &lost.instance;
        if now.since(lost.sent_at) < GUILTY_FROM {
            return;
        }
        let server = self
            .site
            .view
            .server(instance)
            .filter(|server| !server.draining);
        let (Some(request), Some(server)) = (request, server) else {
            return;
        };
        let address = server.address;
        let evidence = self
            .servers
            .crashes
            .broke_off(now, instance, address, request);
        self.take_evidence(evidence.into_iter().collect());
        self.look_at(now, instance);
    }

    /// Opens a connection to a server whose connections were lost, unless it is known to have
    /// ended: it is refused if the server has, and kept for the next request otherwise.
    pub(crate) fn look_at(&mut self, now: Instant, instance: &InstanceId) {
        if let Some(address) = self.servers.crashes.look(instance) {
            self.servers
                .upstreams
                .open(now, &mut self.runtime.reactor, instance, address);
        }
    }

    /// A run of a server is seen to have ended.
    pub(crate) fn server_has_ended(&mut self, now: Instant, instance: &InstanceId) {
        let evidence = self.servers.crashes.server_ended(now, instance);
        self.take_evidence(evidence);
    }

    /// What the leader has told may explain lost connections.
    pub(crate) fn servers_registered(&mut self, now: Instant) {
        let servers = self.site.view.servers();
        let servers: Vec<_> = servers
            .map(|server| (server.instance.clone(), server.address))
            .collect();
        for (instance, address) in servers {
            let evidence = self.servers.crashes.registered(now, &instance, address);
            self.take_evidence(evidence);
        }
    }

    /// The leader has told a change of the view.
    pub(crate) fn note_change(&mut self, now: Instant, change: &ViewChange) {
        match change {
            ViewChange::Server(server) => {
                let evidence =
                    self.servers
                        .crashes
                        .registered(now, &server.instance, server.address);
                self.take_evidence(evidence);
            }
            ViewChange::Suspect(suspect) => {
                self.servers
                    .crashes
                    .told(suspect.fingerprint, &suspect.ended);
            }
            ViewChange::Cleared(request) => self.servers.crashes.cleared(*request),
            ViewChange::Configuration(_) | ViewChange::Gone(_) | ViewChange::FingerprintKey(_) => {}
        }
    }

    fn take_evidence(&mut self, seen: Vec<SeenCrash>) {
        if seen.is_empty() {
            return;
        }
        for SeenCrash { evidence, ago } in &seen {
            warn!(self.runtime.logger, "server ended under request";
                "fingerprint" => %evidence.fingerprint, "server" => %evidence.instance,
                "ago_ms" => ago.as_millis() as u64);
        }
        self.tell_evidence(seen);
    }

    /// Tells a new leader what was found here.
    pub(crate) fn tell_untold_evidence(&mut self, now: Instant) {
        let untold = self.servers.crashes.to_tell(now);
        if !untold.is_empty() {
            self.tell_evidence(untold);
        }
    }

    fn tell_evidence(&mut self, seen: Vec<SeenCrash>) {
        if let Some(leader) = self.site.coordinators.leader() {
            let message = GatewayMessage::RequestsCrashed(seen);
            send(&mut self.runtime, leader, message);
        }
    }

    /// A run of a request went well: if servers had ended under it, it was not the cause.
    fn ran_well(&mut self, request: Option<RequestFingerprint>) {
        let is_suspect = |request: &RequestFingerprint| !self.ended_under(*request).is_empty();
        let Some(request) = request.filter(is_suspect) else {
            return;
        };
        self.servers.crashes.cleared(request);
        if let Some(leader) = self.site.coordinators.leader() {
            let message = GatewayMessage::RequestsRan(vec![request]);
            send(&mut self.runtime, leader, message);
        }
    }

    /// An item that has brought events for long enough is not what ends servers.
    pub(crate) fn clear_long_item(&mut self, now: Instant, id: AssignmentId) {
        if !self.knows_suspects() {
            return;
        }
        let is_long = |first: Instant| now.since(first) >= INNOCENT_AFTER;
        let run = self.items.run_mut(id).filter(|run| !run.cleared);
        if let Some(run) = run.filter(|run| run.first_event.is_some_and(is_long)) {
            run.cleared = true;
            self.item_ran_well(id);
        }
    }

    /// As [`Gateway::clear_long_item`], for a client's stream.
    pub(crate) fn clear_long_stream(&mut self, now: Instant, id: ExchangeId) {
        if !self.knows_suspects() {
            return;
        }
        let exchange = self.exchanges.get_mut(id);
        let exchange = exchange.filter(|exchange| exchange.has_streamed_long(now));
        let Some(stream) = exchange.and_then(|exchange| exchange.stream.as_mut()) else {
            return;
        };
        if !std::mem::replace(&mut stream.cleared, true)
            && let Some(exchange) = self.exchanges.get(id)
        {
            self.ran_well(self.fingerprint_of(exchange));
        }
    }

    /// A live request or a scoring went well.
    pub(crate) fn exchange_ran_well(&mut self, exchange: &Exchange) {
        if self.knows_suspects() {
            self.ran_well(self.fingerprint_of(exchange));
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
