//! `wingshore-lab bench`: a site in simulated time, by the product's policy or by a simple one,
//! measured against the lower bound of any policy.
//!
//! * `settings`, `scenario`: the load and what a run varies
//! * `world`: one run; `queue`, `random`, `group`, `engines`, `store`, `live`, `trainer` serve it
//! * `baseline`: the simple policy
//! * `bound`, `figures`, `report`: what comes of it
//! * `plot`: idle time against staleness at several weights
//! * `hot_path`: the cost of one routing decision
//! * `runs`, `command`: runs over seeds, the command line

pub mod baseline;
pub mod bound;
pub mod command;
pub mod engines;
pub mod figures;
pub mod group;
pub mod hot_path;
pub mod live;
pub mod plot;
pub mod queue;
pub mod random;
pub mod report;
pub mod runs;
pub mod scenario;
pub mod settings;
pub mod store;
pub mod trainer;
pub mod world;

pub use command::BenchCommand;
