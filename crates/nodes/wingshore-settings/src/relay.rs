//! Settings of the relay role, and the keys that all process roles share.

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
    /// Name of the site.
    pub site: String,
    /// Name of this process.
    pub name: String,
    /// Zone of this process.
    pub zone: String,
    /// Address on which the process accepts frames.
    pub listen: SocketAddr,
    /// Address of `/healthz`, `/readyz` and `/metrics`; `None` does not serve them.
    pub admin: Option<SocketAddr>,
    /// Replicas, or relays closer to the replicas; at least one.
    pub upstream: Vec<SocketAddr>,
    /// Directory that the log ring buffer is dumped to; `None` dumps it to standard error.
    pub dump_folder: Option<PathBuf>,
    /// Capacity of the log ring buffer, in lines. Default 4096, 64 to 1,000,000.
    pub log_lines: usize,
}

/// The settings that all process roles share.
pub(crate) struct CommonSettings {
    pub(crate) site: String,
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) listen: SocketAddr,
}

/// Reads the keys that all process roles share; the file must declare `role`.
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

/// A validated name, for names that have no type of their own.
struct Name(String);

impl From<&str> for Name {
    fn from(name: &str) -> Self {
        Self(name.to_owned())
    }
}

/// Parses the settings of a relay.
///
/// # Errors
/// Returns every error in the file.
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
