//! Gauges, which are read when metrics are scraped.

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Conversion of a value to that of a gauge.
trait GaugeValue {
    fn gauge_value(self) -> i64;
}

impl GaugeValue for bool {
    fn gauge_value(self) -> i64 {
        i64::from(self)
    }
}

impl GaugeValue for u64 {
    fn gauge_value(self) -> i64 {
        i64::try_from(self).unwrap_or(i64::MAX)
    }
}

impl GaugeValue for usize {
    fn gauge_value(self) -> i64 {
        i64::try_from(self).unwrap_or(i64::MAX)
    }
}

/// Description of a gauge, and how its value is read.
struct GaugeEntry {
    name: &'static str,
    help: &'static str,
    read: fn(&Readings) -> i64,
}

/// Declares [`Readings`] and, for each of its fields, the gauge of that name with its help text.
macro_rules! readings {
    ($($name:ident: $type:ty = $help:literal,)*) => {
        /// Values of the gauges at one scrape.
        #[derive(Clone, Copy, Debug, Default)]
        pub(crate) struct Readings {
            $(pub(crate) $name: $type,)*
        }

        /// Gauges, one for each field of [`Readings`].
        const GAUGES: &[GaugeEntry] = &[$(GaugeEntry {
            name: stringify!($name),
            help: $help,
            read: |readings| readings.$name.gauge_value(),
        },)*];
    };
}

readings! {
    leading: bool = "1 where this coordinator leads the group",
    leader_known: bool = "1 where it knows a leader",
    term: u64 = "Term of the group; the fence of orders",
    commit_index: u64 = "Last entry of the log known to be committed",
    applied_index: u64 = "Last entry of the log applied to the state",
    voters: usize = "Members that vote",
    learners: usize = "Members that only receive",
    losses_borne: usize = "Members whose loss at one time the voters bear",
    losses_to_bear: usize = "Members whose loss at one time the settings ask to bear",
    gateways: usize = "Gateways that are connected",
    view_followers: usize = "Gateways that follow the view here",
    servers: usize = "Servers in the registry",
    servers_draining: usize = "Servers in the registry that are leaving",
    jobs_open: usize = "Batch jobs that are not ended",
    jobs_late: usize = "Batch jobs that cannot be whole by the time they are due; 0 where it does not lead",
    items_waiting: usize = "Items without an engine; 0 where it does not lead",
    items_running: usize = "Items on engines; 0 where it does not lead",
    engines_loading: usize = "Engines that load weights; 0 where it does not lead",
    scorings_waiting: usize = "Texts that wait for a scoring; 0 where it does not lead",
    scorings_running: usize = "Scorings that gateways hold; 0 where it does not lead",
    scorings_limit: u64 = "Scorings that may be under way; 0 where it does not lead",
    scorings_longest_wait_ms: u64 = "Time for which the first text has waited for a scoring; 0 where it does not lead",
    suspect_requests: usize = "Requests under which servers have ended; at most 1,024",
    rejected_requests: usize = "Requests that no server is to run, since servers have ended under them",
    trials_open: usize = "Trials of suspect requests that have not ended; 0 where it does not lead",
    configuration_version: u64 = "Version of the configuration in force here",
    results: usize = "Results of batch jobs that are remembered",
    result_text_bytes: usize = "Bytes that the texts of results take in memory",
    log_bytes: usize = "Bytes that entries of the group's log take in memory",
    state_receivers: usize = "Members that are being sent the state; 0 where it does not lead",
    state_bytes_left: u64 = "Bytes of the state that these members lack",
    log_lines_left_out: u64 = "Log lines left out for want of budget",
}

/// Registered gauges of a coordinator.
pub(super) struct Gauges {
    /// In the order of [`GAUGES`].
    gauges: Vec<Gauge>,
}

impl Gauges {
    /// Registers all gauges, at zero.
    pub(super) fn register(registry: &mut Registry) -> Self {
        let entries = GAUGES.iter();
        let registered = entries.map(|entry| {
            let gauge = Gauge::default();
            registry.register(entry.name, entry.help, gauge.clone());
            gauge
        });
        Self {
            gauges: registered.collect(),
        }
    }

    /// Sets all gauges.
    pub(super) fn set(&self, readings: &Readings) {
        for (gauge, entry) in self.gauges.iter().zip(GAUGES) {
            gauge.set((entry.read)(readings));
        }
    }
}
