//! Metrics and log lines about what callers use, and about those that were shed for it.

use crate::account::{Account, Part};
use crate::callers::{CallerBounds, Cause};
use crate::id::ConnectionId;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use slog::{Logger, warn};

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct CauseLabel {
    cause: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct PartLabel {
    part: &'static str,
}

/// Metrics about what callers use.
pub struct CallerMetrics {
    closed: Family<CauseLabel, Counter>,
    used: Family<PartLabel, Gauge>,
    allowed: Gauge,
}

impl CallerMetrics {
    /// Registers the metrics, all at zero.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            closed: Family::default(),
            used: Family::default(),
            allowed: Gauge::default(),
        };
        registry.register(
            "callers_closed",
            "Callers refused or closed because all used too much or one did not read, by cause",
            metrics.closed.clone(),
        );
        registry.register(
            "caller_memory_bytes",
            "Memory that callers use, by what it is used for",
            metrics.used.clone(),
        );
        registry.register(
            "caller_memory_limit_bytes",
            "Memory that callers may use",
            metrics.allowed.clone(),
        );
        // Most processes close no caller for long; a rate needs the zero before the first.
        for cause in Cause::ALL {
            metrics.counter(cause).inc_by(0);
        }
        metrics
    }

    /// Sets the gauges.
    pub fn read(&self, account: &Account, bounds: &CallerBounds) {
        for part in Part::ALL {
            let label = PartLabel { part: part.name() };
            let gauge = self.used.get_or_create(&label);
            gauge.set(saturated(account.used(part)));
        }
        self.allowed.set(saturated(bounds.memory));
    }

    fn counter(&self, cause: Cause) -> Counter {
        let label = CauseLabel {
            cause: cause.name(),
        };
        let counter = self.closed.get_or_create(&label);
        counter.clone()
    }

    /// Counts and logs callers that are refused or closed, with one line for each cause. `used` is the
    /// memory of all callers in bytes before.
    pub fn report_closed(
        &self,
        logger: &Logger,
        closed: &[(ConnectionId, Cause)],
        used: usize,
        bounds: &CallerBounds,
    ) {
        for cause in Cause::ALL {
            let count = closed.iter().filter(|(_, other)| *other == cause).count();
            if count == 0 {
                continue;
            }
            self.counter(cause).inc_by(count as u64);
            warn!(logger, "callers closed"; "cause" => cause.name(), "count" => count,
                "used_bytes" => used, "allowed_bytes" => bounds.memory,
                "allowed_connections" => bounds.connections);
        }
    }
}

/// Converts a count to the type of a gauge; the largest value stands for larger counts.
fn saturated(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
