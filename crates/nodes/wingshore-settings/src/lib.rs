//! Parses settings files (TOML) and reports all errors of a file together.
//!
//! Every error names the file, line and key, what was found and what is allowed. Durations
//! (`"250ms"`) and sizes (`"16MiB"`) carry their units. Command-line flags override some settings
//! of a role through [`Overrides`].

mod catalogue;
mod document;
mod error;
mod node;
mod reader;
mod relay;
mod replica;
mod rules;
mod site;
mod units;

pub use catalogue::{KeyDescription, RoleDescription, catalogue};
pub use error::{SettingsError, SettingsErrors};
pub use node::{
    HttpSettings, NodeSettings, RolloutSettings, RoutingSettings, WithoutLease, node_from_text,
};
pub use relay::{RelaySettings, relay_from_text};
pub use replica::{
    FoundingMember, OrderSettings, ReplicaSettings, TimingSettings, replica_from_text,
};
pub use site::{SiteFile, site_from_text};

use document::Document;
use error::ErrorSink;

/// Values of command-line flags, which take precedence over the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Overrides {
    /// Replaces `name`.
    pub name: Option<String>,
    /// Replaces `zone`.
    pub zone: Option<String>,
    /// Replaces `listen`.
    pub listen: Option<String>,
    /// Replaces `data`.
    pub data: Option<String>,
}

/// The settings of one process, or a site's configuration file.
#[derive(Clone, Debug, PartialEq)]
pub enum AnySettings {
    /// `role = "replica"`.
    Replica(Box<ReplicaSettings>),
    /// `role = "relay"`.
    Relay(Box<RelaySettings>),
    /// `role = "node"`.
    Node(Box<NodeSettings>),
    /// `role = "site"`.
    Site(Box<SiteFile>),
}

/// Parses a settings file of any role; its `role` key decides which.
///
/// # Errors
/// Returns every error in the file.
pub fn any_from_text(file: &str, text: &str) -> Result<AnySettings, SettingsErrors> {
    const ROLES: &[(&str, Role)] = &[
        ("replica", Role::Replica),
        ("relay", Role::Relay),
        ("node", Role::Node),
        ("site", Role::Site),
    ];
    let none = Overrides::default();
    let sink = ErrorSink::new(file);
    let role = Document::parse(text, &sink).and_then(|document| {
        let reader = document.reader(&sink);
        reader.required_choice("role", ROLES)
    });
    match role {
        Some(Role::Replica) => {
            replica_from_text(file, text, &none).map(|s| AnySettings::Replica(Box::new(s)))
        }
        Some(Role::Relay) => {
            relay_from_text(file, text, &none).map(|s| AnySettings::Relay(Box::new(s)))
        }
        Some(Role::Node) => {
            node_from_text(file, text, &none).map(|s| AnySettings::Node(Box::new(s)))
        }
        Some(Role::Site) => site_from_text(file, text).map(|s| AnySettings::Site(Box::new(s))),
        None => Err(sink.into_errors()),
    }
}

#[derive(Clone, Copy)]
enum Role {
    Replica,
    Relay,
    Node,
    Site,
}
