//! Scenarios: what is done to a site, as a function of a seed.

mod clients;
mod control;
mod data_path;
mod disks;
mod faults;
mod ledger_leader;
mod mixed;

use super::data_site::{DataSite, SimFaults};
use super::site::{Site, SiteSettings};
use super::world::World;
use serde::Serialize;

/// What is done to a site of the control group, once it is founded and before it is healed.
type ControlAct = fn(&mut Site);
/// The same, of a site with its whole data path.
type DataAct = fn(&mut DataSite);

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
    Control(SiteSettings, ControlAct),
    Data(DataAct),
}

impl Scenario {
    const fn control(name: &'static str, settings: SiteSettings, act: ControlAct) -> Self {
        let play = Play::Control(settings, act);
        Self { name, play }
    }

    const fn data(name: &'static str, act: DataAct) -> Self {
        let play = Play::Data(act);
        Self { name, play }
    }
}

/// All scenarios.
pub fn all() -> Vec<Scenario> {
    [
        control::scenarios(),
        disks::scenarios(),
        clients::scenarios(),
        mixed::scenarios(),
        data_path::scenarios(),
    ]
    .concat()
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
    let outcome = |world: &World, violations| Outcome {
        scenario: scenario.name,
        seed,
        events: world.handled(),
        simulated_ms: world.now().as_millis(),
        violations,
        history: world.history_hash(),
    };
    match scenario.play {
        Play::Control(settings, act) => {
            let mut site = Site::new(settings, faults.replica, seed, trace);
            site.found();
            act(&mut site);
            site.settle();
            let violations = site.judge();
            outcome(&site.world, violations)
        }
        Play::Data(act) => {
            let mut site = DataSite::new(faults, seed, trace);
            site.found();
            site.world.pause(1_000, 3_000);
            act(&mut site);
            site.settle();
            let violations = site.judge();
            outcome(&site.world, violations)
        }
    }
}
