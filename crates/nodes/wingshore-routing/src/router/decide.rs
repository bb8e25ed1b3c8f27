//! Admission of requests and granting of retries.

use super::Router;
use crate::admission::Borrowing;
use crate::affinity::{Hint, MAX_SERVERS_PER_PREFIX};
use crate::balance::{NoServerFound, ServerSelection};
use crate::class::Class;
use crate::fleet::{CachedRefusal, ServerIndex, ServiceIndex, ServiceState};
use crate::request::{Admitted, Refusal, RefusalCode, RouteRequest};
use crate::retry::verdict_allows;
use crate::tickets::Attempt;
use std::time::Duration;
use wingshore_types::{Instant, Verdict};

/// Lifetime of a cached refusal. It is short because external load estimates and reclaim windows
/// expire without an event that changes the epoch.
const CACHED_REFUSAL_LIFETIME: Duration = Duration::from_millis(10);
/// Minimum time between two growth steps of a subset.
const GROWTH_INTERVAL: Duration = Duration::from_secs(1);

impl Router {
    /// Selects a server and takes a slot on it, or refuses the request immediately.
    ///
    /// # Errors
    /// Returns a [`Refusal`] if no server can take the request. Nothing was sent, so the verdict is
    /// `NotRun`.
    pub fn admit(&mut self, now: Instant, request: &RouteRequest) -> Result<Admitted, Refusal> {
        let service = self.configured_service(request)?;
        self.fleet.service_mut(service).last_requested_at = now;
        if now >= request.deadline {
            return Err(deadline_passed());
        }
        self.refresh_if_due(now, service);
        if let Some(refusal) = self.cached_refusal(now, service, request) {
            return Err(self.refuse_without_slot(now, service, request, refusal.below_guarantee));
        }
        match self.choose(now, service, request) {
            Ok(server) => Ok(self.take_slot(now, service, server, request)),
            Err(reasons) => Err(self.refuse(now, service, request, reasons)),
        }
    }

    /// Returns whether an attempt that ended with `verdict` may be repeated now. A result of `true`
    /// takes a token from the retry budget, so call this once per retry.
    pub fn may_retry(&mut self, now: Instant, request: &RouteRequest, verdict: Verdict) -> bool {
        let Some(service) = self.fleet.service_index(&request.service) else {
            return false;
        };
        let by_fault = self.faults.retry_on_may_have_run && verdict == Verdict::MayHaveRun;
        let is_allowed = by_fault || verdict_allows(request, verdict);
        if !is_allowed || now >= request.deadline {
            return false;
        }
        self.fleet.service_mut(service).budget.try_take(now)
    }

    fn configured_service(&self, request: &RouteRequest) -> Result<ServiceIndex, Refusal> {
        self.fleet
            .service_index(&request.service)
            .filter(|index| self.fleet.service(*index).is_configured)
            .ok_or_else(|| Refusal {
                code: RefusalCode::UnknownService,
                message: format!("service `{}` is not configured", request.service),
                retry_after: None,
            })
    }

    fn choose(
        &mut self,
        now: Instant,
        service: ServiceIndex,
        request: &RouteRequest,
    ) -> Result<ServerIndex, NoServerFound> {
        let (hints, count) = self.hints(now, service, request);
        let state = self.fleet.service(service);
        let selection = ServerSelection {
            now,
            settings: &self.settings,
            servers: &self.fleet.servers,
            service: state,
            request,
            borrowing: self.borrowing(now, state, request.class),
            dedicated_count: state.dedicated_count(now, self.settings.burst_memory),
            check_version: !self.faults.ignore_unknown_version,
            ignore_leaving: self.faults.ignore_draining,
        };
        selection.choose(&mut self.rng, &hints[..count])
    }

    /// Returns the conditions under which a class may currently borrow slots.
    fn borrowing(&self, now: Instant, state: &ServiceState, class: Class) -> Borrowing {
        let burst = match class {
            Class::Live => 0,
            Class::Rollout => {
                let peak = state.live_peak.value(now, self.settings.burst_memory);
                let missing = peak.saturating_sub(state.live_demand(now));
                match state.dedicated_count(now, self.settings.burst_memory) {
                    0 => missing.div_ceil(state.open.len().max(1) as u32),
                    // The dedicated engines have free slots for the burst.
                    _ => 0,
                }
            }
        };
        Borrowing {
            is_allowed: !state.reclaim_requests.get(class.other()).is_active(now),
            burst,
        }
    }

    fn hints(
        &self,
        now: Instant,
        service: ServiceIndex,
        request: &RouteRequest,
    ) -> ([Hint; MAX_SERVERS_PER_PREFIX], usize) {
        match request.prefix_hash {
            Some(prefix_hash) if self.settings.affinity_bonus > 0 => {
                let tokens = request.tokens_estimate;
                self.affinity.hints(now, service, prefix_hash, tokens)
            }
            _ => Default::default(),
        }
    }

    fn take_slot(
        &mut self,
        now: Instant,
        service: ServiceIndex,
        server: ServerIndex,
        request: &RouteRequest,
    ) -> Admitted {
        let class = request.class;
        let window = self.settings.burst_memory;
        let state = self.fleet.service_mut(service);
        *state.in_flight.get_mut(class) += 1;
        if class == Class::Live {
            let demand = state.live_demand(now);
            state.live_peak.observe(now, demand, window);
        }
        state.budget.on_attempt();
        state.reclaim_requests.get_mut(class).on_admitted();
        let ticket = self.tickets.issue(Attempt {
            server,
            service,
            class,
            prefix_hash: request.prefix_hash,
            tokens: request.tokens_estimate,
        });
        let chosen = self.fleet.server_mut(server);
        chosen.load.add(now, class);
        Admitted {
            ticket,
            server: chosen.id.clone(),
            address: chosen.address,
        }
    }

    /// Returns the cached refusal for the request's class, if it is still valid.
    fn cached_refusal(
        &self,
        now: Instant,
        service: ServiceIndex,
        request: &RouteRequest,
    ) -> Option<CachedRefusal> {
        let state = self.fleet.service(service);
        let refusal = *state.cached_refusals.get(request.class);
        (refusal.epoch == state.epoch && now < refusal.expires_at).then_some(refusal)
    }

    fn refuse(
        &mut self,
        now: Instant,
        service: ServiceIndex,
        request: &RouteRequest,
        reasons: NoServerFound,
    ) -> Refusal {
        if !reasons.any_open {
            let wait = self.settings.probe_interval * self.settings.healthy_after;
            return self.refuse_with(RefusalCode::NoServer, request, wait);
        }
        if !reasons.any_usable_version {
            let wait = self.settings.probe_interval;
            return self.refuse_with(RefusalCode::NoUsableVersion, request, wait);
        }
        if !reasons.any_free_slot {
            let state = self.fleet.service_mut(service);
            *state.cached_refusals.get_mut(request.class) = CachedRefusal {
                epoch: state.epoch,
                expires_at: now + CACHED_REFUSAL_LIFETIME,
                below_guarantee: reasons.below_guarantee,
            };
        }
        self.refuse_without_slot(now, service, request, reasons.below_guarantee)
    }

    /// Refuses a request because no slot is free. A class below its guarantee thereby reclaims it.
    fn refuse_without_slot(
        &mut self,
        now: Instant,
        service: ServiceIndex,
        request: &RouteRequest,
        below_guarantee: bool,
    ) -> Refusal {
        let window = self.settings.reclaim_window;
        let least = self.settings.retry_after_least;
        let state = self.fleet.service_mut(service);
        if below_guarantee {
            state
                .reclaim_requests
                .get_mut(request.class)
                .record(now, window);
        }
        let in_flight = *state.in_flight.get(request.class);
        let service_time = state.service_time.get_mut(request.class);
        let wait = service_time.on_refused(now, in_flight);
        self.grow_subset(now, service);
        self.refuse_with(RefusalCode::NoCapacity, request, wait.unwrap_or(least))
    }

    fn refuse_with(&self, code: RefusalCode, request: &RouteRequest, wait: Duration) -> Refusal {
        let service = &request.service;
        let message = match code {
            RefusalCode::NoServer => format!("no server of `{service}` is open to the request"),
            RefusalCode::NoUsableVersion => {
                format!("no engine of `{service}` is known to serve a version that is new enough")
            }
            _ => format!("all slots of `{service}` that the class may use are taken"),
        };
        let most = self.settings.retry_after_most;
        let least = self.settings.retry_after_least.min(most);
        Refusal {
            code,
            message,
            retry_after: Some(wait.clamp(least, most)),
        }
    }

    /// Grows the subset while all slots of its servers are taken.
    fn grow_subset(&mut self, now: Instant, service: ServiceIndex) {
        let state = self.fleet.service_mut(service);
        state.exhausted_at = now;
        let is_complete = state.members.len() == state.ranked.len();
        if is_complete || now.since(state.grown_at) < GROWTH_INTERVAL {
            return;
        }
        state.grown_at = now;
        if state.subset.grow() {
            self.refresh(now, service);
        }
    }
}

fn deadline_passed() -> Refusal {
    Refusal {
        code: RefusalCode::DeadlinePassed,
        message: "the deadline passed before a server was chosen".to_owned(),
        retry_after: None,
    }
}
