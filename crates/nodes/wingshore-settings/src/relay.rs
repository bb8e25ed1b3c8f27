//! Settings of the relay role, and the keys that every role has.

use crate::Overrides;
use crate::document::parse_role;
use crate::error::SettingsErrors;
use crate::reader::TableReader;
use crate::replica::LOG_LINES;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Settings of one relay process.
#[derive(Clone, Debug, PartialEq)]
pub struct RelaySettings {
    /// The site's name.
    pub site: String,
    /// This process's name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens for frames.
    pub listen: SocketAddr,
    /// Where it serves `/healthz`, `/readyz` and `/metrics`; absent is nowhere.
    pub admin: Option<SocketAddr>,
    /// Replicas, or relays nearer to them; at least one.
    pub upstream: Vec<SocketAddr>,
    /// Folder that the log ring is written to; absent is standard error.
    pub dump_folder: Option<PathBuf>,
    /// Lines kept in the log ring. Default 4096, 64 to 1,000,000.
    pub log_lines: usize,
}

/// The keys that every role has.
pub(crate) struct CommonSettings {
    pub(crate) site: String,
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) listen: SocketAddr,
}

/// Reads the keys that every role has; `role` must be the one meant.
pub(crate) fn read_common(keys: &TableReader<'_>, role: &str) -> Option<CommonSettings> {
    let role = keys.required_choice("role", &[(role, ())]);
    let site = keys.name::<Name>("site");
    let name = keys.name::<Name>("name");
    let zone = keys.name::<Name>("zone");
    let listen = keys.address("listen");
    role?;
    Some(CommonSettings {
        site: site?.0,
        name: name?.0,
        zone: zone?.0,
        listen: listen?,
    })
}

/// A checked name as plain text.
struct Name(String);

impl From<&str> for Name {
    fn from(name: &str) -> Self {
        Self(name.to_owned())
    }
}

/// Parses the settings of a relay.
///
/// # Errors
/// All that is wrong with them.
pub fn relay_from_text(
    file: &str,
    text: &str,
    overrides: &Overrides,
) -> Result<RelaySettings, SettingsErrors> {
    parse_role(file, text, overrides, read)
}

pub(crate) fn read(keys: TableReader<'_>) -> Option<RelaySettings> {
    let common = read_common(&keys, "relay");
    let admin = keys.optional_address("admin");
    let upstream = keys.non_empty_addresses("upstream");
    let dump_folder = keys.optional_text("data").map(PathBuf::from);
    let log_lines = keys.ranged_integer(&LOG_LINES);
    keys.finish();
    let common = common?;
    Some(RelaySettings {
        site: common.site,
        name: common.name,
        zone: common.zone,
        listen: common.listen,
        admin,
        upstream,
        dump_folder,
        log_lines,
    })
}
