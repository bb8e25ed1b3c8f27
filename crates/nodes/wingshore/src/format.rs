//! The `format` command: initializes the data folder of a founding member.

use crate::arguments::FormatArguments;
use crate::failure::{ArgumentSnafu, Failure, FormatSnafu, SettingsSnafu};
use crate::output;
use crate::settings_file;
use snafu::{ResultExt, ensure};
use std::sync::Arc;
use wingshore_settings::{Overrides, ReplicaSettings, replica_from_text};
use wingshore_storage::{DataFolder, FileSystem, RealFileSystem};
use wingshore_types::ReplicaId;
use wingshore_types::protocol::membership::{Member, Membership};

/// Formats an empty data folder for a founding member.
///
/// # Errors
/// When the settings are invalid, the identity is not that of a founding member, or the folder
/// cannot be formatted, for example because it is not empty.
pub fn run(flags: &FormatArguments) -> Result<(), Failure> {
    let text = settings_file::read(&flags.settings)?;
    let overrides = Overrides {
        data: flags.data.clone(),
        ..Overrides::default()
    };
    let settings = replica_from_text(&flags.settings, &text, &overrides).context(SettingsSnafu)?;
    let id = ReplicaId(flags.id);
    let membership = founding_membership(&settings);
    ensure!(
        membership.voters.iter().any(|member| member.id == id),
        ArgumentSnafu {
            argument: "--id",
            found: id.to_string(),
            allowed: founding_ids(&membership),
        }
    );
    let file_system: Arc<dyn FileSystem> = Arc::new(RealFileSystem);
    DataFolder::format(&file_system, &settings.data, &settings.site, id, membership)
        .context(FormatSnafu)?;
    output::print_line(&format!(
        "{}: formatted as founding member {id} of site `{}`",
        settings.data.display(),
        settings.site
    ));
    Ok(())
}

/// Returns the allowed identities as the text of an error message.
fn founding_ids(membership: &Membership) -> String {
    let ids = membership.voters.iter().map(|member| member.id.to_string());
    let ids: Vec<String> = ids.collect();
    format!(
        "the `id` of one of the [[founding]] members: {}",
        ids.join(", ")
    )
}

fn founding_membership(settings: &ReplicaSettings) -> Membership {
    let member = |founding: &wingshore_settings::FoundingMember| Member {
        id: founding.id,
        address: founding.address,
    };
    Membership {
        voters: settings.founding.iter().map(member).collect(),
        learners: Vec::new(),
    }
}
