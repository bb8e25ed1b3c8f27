//! The command line of the roles, `format` and `check`.

use crate::ctl::arguments::CtlArguments;
use argh::FromArgs;

/// Rollout service for reinforcement learning.
#[derive(FromArgs)]
#[argh(
    example = "Check a settings file, then start a replica, a node, and ask how things stand:\n\
               {command_name} check --settings replica-1.toml\n\
               {command_name} format --settings replica-1.toml --id 1\n\
               {command_name} replica --settings replica-1.toml\n\
               {command_name} node --settings node-1.toml\n\
               {command_name} ctl --replicas 127.0.0.1:7101 status"
)]
pub struct Arguments {
    /// print the version
    #[argh(switch)]
    pub version: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Run a replica.
    Replica(ReplicaArguments),
    /// Run a relay.
    Relay(RelayArguments),
    /// Run a node.
    Node(NodeArguments),
    /// Format a data folder.
    Format(FormatArguments),
    /// Check settings.
    Check(CheckArguments),
    /// Operate a site.
    Ctl(CtlArguments),
}

/// Declares the command line of a role; all roles take the same flags.
macro_rules! role_arguments {
    ($(#[$doc:meta])* $name:ident, $command:literal) => {
        $(#[$doc])*
        #[derive(FromArgs)]
        #[argh(subcommand, name = $command)]
        pub struct $name {
            /// settings file
            #[argh(option)]
            pub settings: String,
            /// name of this process, instead of `name` in the file
            #[argh(option)]
            pub id: Option<String>,
            /// zone it stands in, instead of `zone` in the file
            #[argh(option)]
            pub zone: Option<String>,
            /// IP address and port to listen on, instead of `listen` in the file
            #[argh(option)]
            pub listen: Option<String>,
            /// data folder, instead of `data` in the file
            #[argh(option)]
            pub data: Option<String>,
        }

        impl From<&$name> for wingshore_settings::Overrides {
            fn from(flags: &$name) -> Self {
                Self {
                    name: flags.id.clone(),
                    zone: flags.zone.clone(),
                    listen: flags.listen.clone(),
                    data: flags.data.clone(),
                }
            }
        }
    };
}

role_arguments! {
    /// Run a replica: one member of the replicated groups, on a machine with a disk. SIGTERM is
    /// a planned stop.
    ReplicaArguments, "replica"
}
role_arguments! {
    /// Run a relay: passes the configuration on to the nodes of a zone. SIGTERM is a planned
    /// stop.
    RelayArguments, "relay"
}
role_arguments! {
    /// Run a node beside a caller. SIGTERM is a planned stop.
    NodeArguments, "node"
}

/// Make an empty data folder that of a founding member. Done once in a member's life; a replica
/// that starts on an empty folder without it joins as a new member.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "format",
    example = "{command_name} --settings replica-1.toml --id 1"
)]
pub struct FormatArguments {
    /// settings file of the replica
    #[argh(option)]
    pub settings: String,
    /// identity, one of the `[[founding]]` members
    #[argh(option)]
    pub id: u64,
    /// data folder, instead of `data` in the file
    #[argh(option)]
    pub data: Option<String>,
}

/// Check a settings file or a site file and name every error in it.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} --settings node-1.toml"
)]
pub struct CheckArguments {
    /// settings file of a replica, relay or node, or a site file
    #[argh(option)]
    pub settings: String,
}
