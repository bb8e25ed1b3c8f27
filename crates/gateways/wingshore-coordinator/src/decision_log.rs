//! Log lines of the leader's decisions, one line per decision.
//!
//! Operators search for these lines to find out why something happened, so messages and keys are a
//! stable interface. The caller selects by sampling which lines of items are written.

use slog::{Logger, info, warn};
use wingshore_coordination::{Decision, ModelName, NoBody, ScoringDecision, TenantName};

/// Outcome of a read of an item's body that is answered with the body.
pub(crate) const BODY_RETURNED: &str = "open";

/// Logs a decision.
pub(crate) fn log(logger: &Logger, decision: &Decision) {
    match decision {
        Decision::JobAccepted { .. }
        | Decision::JobRefused { .. }
        | Decision::JobLate { .. }
        | Decision::JobEnded { .. } => log_job(logger, decision),
        Decision::ItemAssigned { .. }
        | Decision::ItemRetried { .. }
        | Decision::ItemMoved { .. }
        | Decision::ItemListed { .. }
        | Decision::ItemBodyRead { .. }
        | Decision::ItemAbandoned { .. } => log_item(logger, decision),
        Decision::RequestSuspected { .. }
        | Decision::RequestRejected(_)
        | Decision::RequestCleared { .. } => log_suspicion(logger, decision),
        Decision::TrialGranted { .. }
        | Decision::TrialCrashed { .. }
        | Decision::TrialReverted { .. } => log_trial(logger, decision),
        Decision::ServerChanged { .. }
        | Decision::VersionNamed { .. }
        | Decision::VersionReached { .. }
        | Decision::CapacityWanted { .. }
        | Decision::UsageClosed { .. }
        | Decision::Configured { .. } => log_site(logger, decision),
        Decision::Scoring(decision) => log_scoring(logger, decision),
    }
}

/// Returns the outcome of a read of an item's body as a name for logs and metrics.
pub(crate) fn body_read_outcome(body_bytes: Result<usize, NoBody>) -> &'static str {
    body_bytes.map_or_else(NoBody::name, |_| BODY_RETURNED)
}

/// Logs decisions on whole batch jobs; ignores all others.
fn log_job(logger: &Logger, decision: &Decision) {
    match decision {
        Decision::JobAccepted {
            job,
            items,
            step,
            model,
            min_version,
            named_version,
        } => {
            info!(logger, "job accepted"; "job" => %job,
                "tenant" => job.tenant().map(TenantName::as_str), "items" => items, "step" => step,
                "model" => model.as_ref().map(ModelName::as_str), "min_version" => min_version,
                "named_version" => named_version);
        }
        Decision::JobRefused {
            job,
            bytes,
            open_bytes,
            most_bytes,
            retry_after,
        } => {
            warn!(logger, "job refused: no room in memory"; "job" => %job, "bytes" => bytes,
                "open_bytes" => open_bytes, "most_bytes" => most_bytes,
                "retry_after_ms" => retry_after.as_millis() as u64);
        }
        Decision::JobLate {
            job,
            waiting,
            due_in_ms,
        } => {
            warn!(logger, "job late"; "job" => %job, "waiting" => waiting,
                "due_in_ms" => due_in_ms);
        }
        Decision::JobEnded {
            job,
            items,
            listed,
            running,
        } => {
            info!(logger, "job ended"; "job" => %job, "items" => items, "listed" => listed,
                "running" => running);
        }
        _ => {}
    }
}

/// Logs decisions on items of batch jobs; ignores all others.
fn log_item(logger: &Logger, decision: &Decision) {
    match decision {
        Decision::ItemAssigned {
            assignment,
            job,
            item,
            instance,
            engine_running,
            engine_version,
            engine_pace_us,
            is_long,
            urgency,
            age,
            gateway,
            after_event,
        } => {
            info!(logger, "item assigned"; "job" => %job, "item" => %item,
                "epoch" => assignment.epoch.0, "try" => assignment.number, "engine" => %instance,
                "engine_running" => engine_running, "engine_version" => engine_version,
                "engine_pace_us" => engine_pace_us, "is_long" => is_long,
                "urgency" => urgency, "age_ms" => age.as_millis() as u64,
                "gateway" => gateway.0, "after_event" => after_event);
        }
        Decision::ItemRetried {
            assignment,
            job,
            index,
            instance,
            reason,
        } => {
            info!(logger, "item retried"; "job" => %job, "index" => index,
                "epoch" => assignment.epoch.0, "try" => assignment.number, "engine" => %instance,
                "reason" => reason);
        }
        Decision::ItemMoved {
            assignment,
            job,
            index,
            instance,
            target,
            reason,
            ends_here_in,
            ends_there_in,
            step_ends_in,
        } => {
            info!(logger, "item moved"; "job" => %job, "index" => index,
                "epoch" => assignment.epoch.0, "try" => assignment.number, "engine" => %instance,
                "reason" => reason.as_str(), "target" => %target,
                "ends_here_in_ms" => ends_here_in.as_millis() as u64,
                "ends_there_in_ms" => ends_there_in.as_millis() as u64,
                "step_ends_in_ms" => step_ends_in.as_millis() as u64);
        }
        Decision::ItemListed {
            job,
            item,
            position,
            versions,
            age,
        } => {
            info!(logger, "item listed"; "job" => %job, "item" => %item, "position" => position,
                "versions" => ?versions, "age_ms" => age.as_millis() as u64);
        }
        Decision::ItemBodyRead {
            job,
            item,
            epoch,
            body_bytes,
        } => {
            info!(logger, "item body read"; "job" => %job, "item" => %item, "epoch" => epoch.0,
                "found" => body_read_outcome(*body_bytes), "bytes" => body_bytes.ok());
        }
        Decision::ItemAbandoned { job, index, reason } => {
            info!(logger, "item abandoned"; "job" => %job, "index" => index, "reason" => reason);
        }
        _ => {}
    }
}

/// Logs decisions on requests during which servers crashed; ignores all others.
fn log_suspicion(logger: &Logger, decision: &Decision) {
    match decision {
        Decision::RequestSuspected {
            request,
            instance,
            gateway,
            ended_together,
            under_request,
            ended_before,
            counted,
        } => {
            warn!(logger, "server crashed while running request"; "fingerprint" => %request,
                "server" => %instance, "gateway" => gateway.0, "ended_before" => ended_before,
                "ended_together" => ended_together, "under_request" => under_request,
                "counted" => counted);
        }
        Decision::RequestRejected(suspect) => {
            let ended: Vec<String> = suspect.ended.iter().map(ToString::to_string).collect();
            warn!(logger, "request rejected from now on"; "fingerprint" => %suspect.fingerprint,
                "ended" => ended.join(","));
        }
        Decision::RequestCleared { request, reason } => {
            warn!(logger, "request cleared"; "fingerprint" => %request, "reason" => reason);
        }
        _ => {}
    }
}

/// Logs decisions on trials of suspect requests; ignores all others.
fn log_trial(logger: &Logger, decision: &Decision) {
    match decision {
        Decision::TrialGranted {
            request,
            instance,
            gateway,
            crashed_before,
        } => {
            warn!(logger, "trial granted"; "fingerprint" => %request, "server" => %instance,
                "gateway" => gateway.0, "ended_before" => crashed_before);
        }
        Decision::TrialCrashed { request, instance } => {
            warn!(logger, "trial crashed its server"; "fingerprint" => %request,
                "server" => %instance);
        }
        Decision::TrialReverted { request, reason } => {
            warn!(logger, "trial reverted"; "fingerprint" => %request, "reason" => reason);
        }
        _ => {}
    }
}

/// Logs decisions on servers, versions, capacity, usage and configurations; ignores all others.
fn log_site(logger: &Logger, decision: &Decision) {
    match decision {
        Decision::ServerChanged { instance, change } => {
            info!(logger, "server"; "server" => %instance, "change" => change);
        }
        Decision::VersionNamed { model, version } => {
            info!(logger, "version named"; "model" => %model, "version" => version);
        }
        Decision::VersionReached {
            instance,
            model,
            version,
        } => {
            info!(logger, "version reached"; "engine" => %instance, "model" => %model,
                "version" => version);
        }
        Decision::CapacityWanted {
            pool,
            count,
            before,
            open_items,
        } => {
            info!(logger, "servers wanted"; "service" => %pool.service, "zone" => &pool.zone,
                "reclaimable" => pool.reclaimable, "count" => count, "before" => before,
                "open_items" => open_items);
        }
        Decision::UsageClosed {
            window,
            tenants,
            requests,
        } => {
            info!(logger, "usage closed"; "window" => window.0, "tenants" => tenants,
                "requests" => requests);
        }
        Decision::Configured { version } => {
            info!(logger, "configuration in force"; "version" => version);
        }
        _ => {}
    }
}

/// Logs decisions on the scoring of texts.
fn log_scoring(logger: &Logger, decision: &ScoringDecision) {
    match decision {
        ScoringDecision::Assigned {
            scoring,
            item,
            id,
            request,
            gateway,
        } => {
            info!(logger, "scoring assigned"; "job" => %item.job, "item" => %id,
                "request" => %request, "epoch" => scoring.epoch.0, "scoring" => scoring.number,
                "gateway" => gateway.0);
        }
        ScoringDecision::Retried {
            scoring,
            item,
            reason,
            failures,
            pause,
        } => {
            info!(logger, "scoring retried"; "job" => %item.job, "index" => item.index,
                "epoch" => scoring.epoch.0, "scoring" => scoring.number, "reason" => reason,
                "failures" => failures, "pause_ms" => pause.as_millis() as u64);
        }
        ScoringDecision::Summary {
            service,
            limit,
            waiting,
            granted,
            refused,
            longest_wait,
        } => {
            info!(logger, "scorings"; "service" => %service, "limit" => limit,
                "waiting" => waiting, "granted" => granted, "refused" => refused,
                "longest_wait_ms" => longest_wait.as_millis() as u64);
        }
    }
}
