//! Scenarios: what is done to a site, as a function of a seed.

mod clients;
mod control;
mod data_path;
mod disks;
mod faults;
mod ledger_leader;
mod mixed;

use self::data_path::DataScenario;
use super::data_site::SimFaults;
use super::replica::ReplicaFaults;
use super::site::{Site, SiteSettings};
use serde::Serialize;

/// One scenario.
#[derive(Clone, Copy)]
pub struct Scenario {
    /// Its name on the command line.
    pub name: &'static str,
    play: Play,
}

/// What kind of site it plays on.
#[derive(Clone, Copy)]
enum Play {
    Control(ControlScenario),
    Data(DataScenario),
}

/// A scenario of the control group.
#[derive(Clone, Copy)]
pub struct ControlScenario {
    /// Its name on the command line.
    pub name: &'static str,
    /// What the site consists of.
    pub settings: SiteSettings,
    /// What is done to it, once it is founded and before it is healed.
    pub run: fn(&mut Site),
}

impl From<ControlScenario> for Scenario {
    fn from(scenario: ControlScenario) -> Self {
        Self {
            name: scenario.name,
            play: Play::Control(scenario),
        }
    }
}

impl From<DataScenario> for Scenario {
    fn from(scenario: DataScenario) -> Self {
        Self {
            name: scenario.name,
            play: Play::Data(scenario),
        }
    }
}

/// All scenarios.
pub fn all() -> Vec<Scenario> {
    let mut control = control::scenarios();
    control.extend(disks::scenarios());
    control.extend(clients::scenarios());
    control.extend(mixed::scenarios());
    let control = control.into_iter().map(Scenario::from);
    let data = data_path::scenarios().into_iter().map(Scenario::from);
    control.chain(data).collect()
}

/// What came of one seed of one scenario.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// The scenario.
    pub scenario: &'static str,
    /// The seed.
    pub seed: u64,
    /// Events handled.
    pub events: u64,
    /// Simulated time, in milliseconds.
    pub simulated_ms: u64,
    /// Hash of the whole history.
    pub history: u64,
    /// Broken promises, and what was found.
    pub violations: Vec<(String, String)>,
}

/// Runs one seed of a scenario, with deliberate faults where a test asks for them.
pub fn run(scenario: &Scenario, seed: u64, faults: impl Into<SimFaults>, trace: bool) -> Outcome {
    let faults = faults.into();
    match &scenario.play {
        Play::Control(scenario) => run_control(scenario, seed, faults.replica, trace),
        Play::Data(scenario) => data_path::run(scenario, seed, faults, trace),
    }
}

fn run_control(
    scenario: &ControlScenario,
    seed: u64,
    faults: ReplicaFaults,
    trace: bool,
) -> Outcome {
    let mut site = Site::new(scenario.settings, faults, seed, trace);
    site.found();
    (scenario.run)(&mut site);
    site.settle();
    Outcome {
        scenario: scenario.name,
        seed,
        events: site.world.handled(),
        simulated_ms: site.world.now().as_millis(),
        violations: site.judge(),
        history: site.world.history_hash(),
    }
}
