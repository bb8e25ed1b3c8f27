//! Runs a role until a planned stop: reads the settings, sets up diagnostics and signals, then
//! starts the role.

use crate::arguments::{NodeArguments, RelayArguments, ReplicaArguments};
use crate::failure::{Failure, SettingsSnafu, SignalsSnafu};
use crate::settings_file;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snafu::ResultExt;
use std::path::Path;
use wingshore_diagnostics::{Diagnostics, StopSignal};
use wingshore_settings::{Overrides, node_from_text, relay_from_text, replica_from_text};

/// Runs a replica.
///
/// # Errors
/// When the settings are invalid or the role fails.
pub fn replica(flags: &ReplicaArguments) -> Result<(), Failure> {
    let text = settings_file::read(&flags.settings)?;
    let overrides = Overrides::from(flags);
    let settings = replica_from_text(&flags.settings, &text, &overrides).context(SettingsSnafu)?;
    let logs = settings.data.join("logs");
    let (diagnostics, stop) = prepare(&settings.name, settings.log_lines, Some(&logs))?;
    let result = wingshore_replica::run(settings, diagnostics.clone(), stop);
    finish("replica", &diagnostics, result)
}

/// Runs a relay.
///
/// # Errors
/// When the settings are invalid or the role fails.
pub fn relay(flags: &RelayArguments) -> Result<(), Failure> {
    let text = settings_file::read(&flags.settings)?;
    let overrides = Overrides::from(flags);
    let settings = relay_from_text(&flags.settings, &text, &overrides).context(SettingsSnafu)?;
    let folder = settings.dump_folder.as_deref();
    let (diagnostics, stop) = prepare(&settings.name, settings.log_lines, folder)?;
    let result = wingshore_relay::run(settings, diagnostics.clone(), stop);
    finish("relay", &diagnostics, result)
}

/// Runs a node.
///
/// # Errors
/// When the settings are invalid or the role fails.
pub fn node(flags: &NodeArguments) -> Result<(), Failure> {
    let text = settings_file::read(&flags.settings)?;
    let overrides = Overrides::from(flags);
    let settings = node_from_text(&flags.settings, &text, &overrides).context(SettingsSnafu)?;
    let folder = settings.dump_folder.as_deref();
    let name = settings.node.as_str();
    let (diagnostics, stop) = prepare(name, settings.log_lines, folder)?;
    let result = wingshore_node::run(settings, diagnostics.clone(), stop);
    finish("node", &diagnostics, result)
}

/// Creates the diagnostics, and a stop signal that SIGTERM and SIGINT set.
fn prepare(
    name: &str,
    log_lines: usize,
    folder: Option<&Path>,
) -> Result<(Diagnostics, StopSignal), Failure> {
    let diagnostics = Diagnostics::new(name, log_lines, folder);
    diagnostics.dump_on_panic();
    let stop = StopSignal::new();
    let mut signals = Signals::new([SIGTERM, SIGINT]).context(SignalsSnafu)?;
    let stop_on_signal = stop.clone();
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for _ in signals.forever() {
                stop_on_signal.stop();
            }
        })
        .context(SignalsSnafu)?;
    Ok((diagnostics, stop))
}

/// Converts the result of a role; after a failure, first writes the log ring to a file.
fn finish<E: std::fmt::Display>(
    role: &'static str,
    diagnostics: &Diagnostics,
    result: Result<(), E>,
) -> Result<(), Failure> {
    let Err(error) = result else { return Ok(()) };
    let message = error.to_string();
    match diagnostics.dump(&message) {
        Ok(path) => eprintln!("log ring written to {path}"),
        Err(error) => eprintln!("{error}"),
    }
    Err(Failure::Role { role, message })
}
