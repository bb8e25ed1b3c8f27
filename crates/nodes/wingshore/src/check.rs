//! `wingshore check`.

use crate::arguments::CheckArguments;
use crate::failure::{Failure, SettingsSnafu};
use crate::output;
use crate::settings_file;
use snafu::ResultExt;
use wingshore_settings::{AnySettings, any_from_text};

/// Checks a settings file of any role.
///
/// # Errors
/// All that is wrong with the file.
pub fn run(flags: &CheckArguments) -> Result<(), Failure> {
    let text = settings_file::read(&flags.settings)?;
    let settings = any_from_text(&flags.settings, &text).context(SettingsSnafu)?;
    let kind = kind(&settings);
    output::line(&format!("{}: good settings of {kind}", flags.settings));
    Ok(())
}

fn kind(settings: &AnySettings) -> String {
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
