//! The `check` command: validates a settings file.

use crate::arguments::CheckArguments;
use crate::failure::{Failure, SettingsSnafu};
use crate::output;
use crate::settings_file;
use snafu::ResultExt;
use wingshore_settings::{AnySettings, any_from_text};

/// Checks a settings file of any role or a site file, and prints what it configures.
///
/// # Errors
/// When the file cannot be read, or its settings are invalid; the failure lists every error.
pub fn run(flags: &CheckArguments) -> Result<(), Failure> {
    let text = settings_file::read(&flags.settings)?;
    let settings = any_from_text(&flags.settings, &text).context(SettingsSnafu)?;
    let subject = describe(&settings);
    output::print_line(&format!("{}: good settings of {subject}", flags.settings));
    Ok(())
}

fn describe(settings: &AnySettings) -> String {
    match settings {
        AnySettings::Replica(replica) => format!("replica `{}`", replica.name),
        AnySettings::Relay(relay) => format!("relay `{}`", relay.name),
        AnySettings::Node(node) => format!("node `{}`", node.node),
        AnySettings::Site(site) => format!(
            "a site: {} services, {} servers, {} pools",
            site.services.len(),
            site.servers.len(),
            site.pools.len()
        ),
    }
}
