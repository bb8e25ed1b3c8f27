//! One run: the site is started, measured at rest, under changes, and while all engines swap.

use super::crowd::{Clock, Crowd};
use super::error::{HollowError, LateSnafu};
use super::node::{HollowNode, NodeCopy};
use super::operator::ControlClient;
use super::processes::{Processes, Role};
use super::report::{HttpRates, Rates, Report, RunFacts, SampleRates, Window, by_role};
use super::servers::{HollowServers, HttpCounters};
use super::sizes::Sizes;
use super::trainers::{TrainerLoad, Trainers};
use super::usage::{FrameCounts, Usage, status_number};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};
use wingshore_types::configuration::ConfigurationChange;

/// Changes of one plan while the site is filled.
const CHANGES_PER_PLAN: usize = 5_000;
/// Longest time until the site is filled and all nodes have joined.
const START_LIMIT: Duration = Duration::from_secs(120);
/// Between two looks at a condition.
pub(super) const LOOK_PAUSE: Duration = Duration::from_millis(5);
/// The hollow nodes start spread over this time.
const JOIN_SPREAD: Duration = Duration::from_secs(2);
/// Time in which trainers come to their pace.
const TRAINERS_WARM: Duration = Duration::from_secs(3);
/// Where the weight store would listen; nobody calls it.
const WEIGHT_STORE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 9);

/// What a run is to do.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// Sizes of the site.
    pub sizes: Sizes,
    /// Nodes that are real processes.
    pub real_nodes: usize,
    /// Hollow nodes with a whole copy.
    pub whole_copies: usize,
    /// Changes an hour during the window `changes`.
    pub changes_per_hour: u32,
    /// Single changes that are timed.
    pub timed_changes: usize,
    /// Length of the windows at rest and under changes.
    pub window: Duration,
    /// Time of one fetch of weights.
    pub fetch_time: Duration,
    /// Time between the joining of the last node and the first measurement.
    pub settle: Duration,
    /// Whether faults are timed at the end.
    pub faults: bool,
    /// Samples through the ledgers; none leaves that window out.
    pub samples: Option<TrainerLoad>,
    /// Threads that serve hollow nodes, and as many that serve hollow servers.
    pub threads: usize,
}

impl RunOptions {
    fn ledgers(&self) -> usize {
        self.samples.map_or(1, |load| load.ledgers)
    }
}

/// A site that runs.
pub(super) struct Running<'a> {
    pub(super) options: &'a RunOptions,
    pub(super) servers: HollowServers,
    pub(super) processes: Processes,
    pub(super) control: ControlClient,
    pub(super) crowd: Crowd,
}

/// What everything had used at one moment.
struct Reading {
    at: Instant,
    processes: Vec<(Role, Usage)>,
    hollow: FrameCounts,
    leader_http: (u64, u64),
    node_http: (u64, u64),
}

/// Runs a site under `folder` with the program `wingshore` at `program`.
///
/// # Errors
/// When it cannot be started, or does not come about in time.
pub fn run(options: &RunOptions, folder: &Path, program: &Path) -> Result<Report, HollowError> {
    let load_average = load_average();
    let sizes = &options.sizes;
    let servers = HollowServers::start(sizes.servers, options.threads, options.fetch_time)?;
    let mut processes = Processes::start(folder, program, sizes, options.ledgers())?;
    let control = ControlClient::new(processes.replicas());
    fill(
        &control,
        sizes.configuration(servers.addresses(), WEIGHT_STORE),
    )?;
    eprintln!("the site is filled; {} nodes join", sizes.nodes);
    let began = Instant::now();
    let crowd = start_crowd(options, &processes)?;
    let hollow = sizes.nodes - options.real_nodes;
    wait_for("all nodes under a lease", || {
        let leases = crowd.leases();
        (leases == hollow)
            .then_some(())
            .ok_or_else(|| format!("{leases} of {hollow} nodes"))
    })?;
    let joined_seconds = began.elapsed().as_secs_f64();
    processes.start_nodes(options.real_nodes, hollow, sizes)?;
    processes.set_leader(control.status()?.leader.0);
    thread::sleep(options.settle);
    let mut running = Running {
        options,
        servers,
        processes,
        control,
        crowd,
    };
    let mut report = running.measure()?;
    let lab = Usage::read(std::process::id(), None)?;
    running.processes.stop()?;
    report.run = RunFacts {
        nodes: sizes.nodes,
        real_nodes: options.real_nodes,
        whole_copies: options.whole_copies,
        servers: sizes.servers,
        zones: sizes.zones,
        pools: sizes.pools,
        relays: sizes.relays,
        changes_per_hour: options.changes_per_hour,
        load_average,
        joined_seconds,
        lab_resident_megabytes: lab.resident_bytes as f64 / 1e6,
        lab_threads: lab.threads,
    };
    Ok(report)
}

fn fill(control: &ControlClient, changes: Vec<ConfigurationChange>) -> Result<(), HollowError> {
    for part in changes.chunks(CHANGES_PER_PLAN) {
        let plan = control.propose(part.to_vec())?;
        control.confirm(plan)?;
        control.wait_until_done(plan, START_LIMIT)?;
    }
    Ok(())
}

fn start_crowd(options: &RunOptions, processes: &Processes) -> Result<Crowd, HollowError> {
    let clock = Clock::start();
    let sizes = &options.sizes;
    let hollow = sizes.nodes - options.real_nodes;
    let nodes = (0..hollow).map(|number| {
        let seed = 1 + number as u64;
        let copy = if number < options.whole_copies {
            NodeCopy::whole(sizes.zone(number), seed)
        } else {
            NodeCopy::Counted(wingshore_types::Revision(0))
        };
        let delay = JOIN_SPREAD * number as u32 / hollow as u32;
        let targets = processes.watched().to_vec();
        HollowNode::new(
            Sizes::node(number),
            seed,
            copy,
            targets,
            number,
            clock.now() + delay,
        )
    });
    Crowd::start(nodes.collect(), options.threads, clock)
}

/// Looks until `look` is satisfied; it says how far things are otherwise.
pub(super) fn wait_for<T>(
    what: &'static str,
    mut look: impl FnMut() -> Result<T, String>,
) -> Result<T, HollowError> {
    let end = Instant::now() + START_LIMIT;
    loop {
        match look() {
            Ok(value) => return Ok(value),
            Err(state) if Instant::now() >= end => {
                let seconds = START_LIMIT.as_secs();
                return LateSnafu {
                    what,
                    seconds,
                    state,
                }
                .fail();
            }
            Err(_) => thread::sleep(LOOK_PAUSE),
        }
    }
}

impl Running<'_> {
    fn measure(&mut self) -> Result<Report, HollowError> {
        let mut report = Report::default();
        let rest = self.window("rest", |_| Ok(0))?;
        eprintln!("measured at rest");
        report.windows.push(rest);
        if self.options.changes_per_hour > 0 {
            let changes = self.window("changes", Self::change_steadily)?;
            report.windows.push(changes);
            eprintln!("measured under changes");
        }
        if let Some(load) = self.options.samples {
            report.samples = Some(self.measure_samples(load, &mut report.windows)?);
            eprintln!("measured with trainers");
        }
        report.changes = self.time_changes()?;
        let swap = self.window("weights", |running| {
            report.weights = running.time_weights()?;
            Ok(running.options.sizes.pools as u64)
        })?;
        report.windows.push(swap);
        if self.options.faults {
            report.faults = Some(self.time_faults()?);
        }
        Ok(report)
    }

    fn measure_samples(
        &mut self,
        load: TrainerLoad,
        windows: &mut Vec<Window>,
    ) -> Result<SampleRates, HollowError> {
        let trainers = Trainers::start(load, self.processes.replicas())?;
        thread::sleep(TRAINERS_WARM);
        let before = trainers.acknowledged();
        let window = self.window("samples", |_| Ok(0))?;
        let acknowledged = trainers.acknowledged() - before;
        let rates = SampleRates {
            trainers: load.trainers,
            ledgers: load.ledgers,
            tokens: load.tokens,
            wanted: load.samples_per_second,
            acknowledged: acknowledged as f64 / window.seconds,
            failed: trainers.failed(),
        };
        windows.push(window);
        Ok(rates)
    }

    /// Measures while `work` runs, and on until the usual length of a window.
    fn window(
        &mut self,
        name: &str,
        work: impl FnOnce(&mut Self) -> Result<u64, HollowError>,
    ) -> Result<Window, HollowError> {
        let before = self.read()?;
        let changes = work(self)?;
        let least = match name {
            "weights" => Duration::from_secs(1),
            _ => self.options.window,
        };
        thread::sleep(least.saturating_sub(before.at.elapsed()));
        let after = self.read()?;
        let seconds = (after.at - before.at).as_secs_f64();
        let hollow = self.options.sizes.nodes - self.options.real_nodes;
        let node_http = http_rates(before.node_http, after.node_http, seconds);
        let real_nodes = self.options.real_nodes.max(1) as f64;
        Ok(Window {
            name: name.to_owned(),
            seconds,
            changes,
            roles: by_role(&before.processes, &after.processes, seconds),
            per_hollow_node: Rates::between(before.hollow, after.hollow, seconds).per(hollow),
            leader_http: http_rates(before.leader_http, after.leader_http, seconds),
            node_http: HttpRates {
                requests: node_http.requests / real_nodes,
                bytes: node_http.bytes / real_nodes,
            },
        })
    }

    fn read(&self) -> Result<Reading, HollowError> {
        let traffic = self.crowd.traffic();
        let http = self.servers.traffic();
        let load = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
        let both = |counters: &HttpCounters| (load(&counters.requests), load(&counters.bytes));
        Ok(Reading {
            at: Instant::now(),
            processes: self.processes.usage()?,
            hollow: FrameCounts {
                frames_sent: load(&traffic.frames_sent),
                bytes_sent: load(&traffic.bytes_sent),
                frames_received: load(&traffic.frames_received),
                bytes_received: load(&traffic.bytes_received),
            },
            leader_http: both(&http.replica),
            node_http: both(&http.node),
        })
    }
}

fn http_rates(before: (u64, u64), after: (u64, u64), seconds: f64) -> HttpRates {
    HttpRates {
        requests: (after.0 - before.0) as f64 / seconds,
        bytes: (after.1 - before.1) as f64 / seconds,
    }
}

/// The machine's load average over a minute.
fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|word| word.parse().ok()).unwrap_or(0.0)
}

/// Free memory of the machine, in bytes.
pub fn available_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    status_number(&text, "MemAvailable:") * 1024
}
