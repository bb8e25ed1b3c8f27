//! The command line of `wingshore ctl`.

use argh::FromArgs;

/// Operate a site: state an intent, get a plan, confirm it.
///
/// Exit status: 0 done, 1 failed, 2 wrong arguments, 3 refused (nothing was changed).
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "ctl",
    example = "State what a site is made of, look at the plan, and confirm it:\n\
               {command_name} --replicas 127.0.0.1:7101,127.0.0.1:7102 plan apply site.toml\n\
               {command_name} --replicas 127.0.0.1:7101,127.0.0.1:7102 confirm 1 --wait"
)]
pub struct CtlArguments {
    /// addresses of replicas, separated by commas
    #[argh(option)]
    pub replicas: String,
    /// name of the site; without it the replicas' own site is taken
    #[argh(option, default = "String::new()")]
    pub site: String,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// how long to wait for an answer, in seconds (10)
    #[argh(option, default = "10")]
    pub timeout: u64,
    /// what to do
    #[argh(subcommand)]
    pub command: CtlCommand,
}

/// What to do.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum CtlCommand {
    /// The site at a glance.
    Status(StatusArguments),
    /// The configuration.
    Configuration(ConfigurationArguments),
    /// Make a plan.
    Plan(PlanArguments),
    /// Plan a drain.
    Drain(DrainArguments),
    /// One plan.
    Show(ShowArguments),
    /// All plans.
    Plans(PlansArguments),
    /// Carry a plan out.
    Confirm(ConfirmArguments),
    /// Withdraw or stop a plan.
    Cancel(CancelArguments),
    /// Members of groups.
    Members(MembersArguments),
    /// Write log rings out.
    DumpLog(DumpLogArguments),
}

/// Show the site at a glance: leader, configuration in force, nodes, engines, open plans.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArguments {}

/// Show the configuration.
#[derive(FromArgs)]
#[argh(subcommand, name = "configuration")]
pub struct ConfigurationArguments {}

/// Show all plans that are kept.
#[derive(FromArgs)]
#[argh(subcommand, name = "plans")]
pub struct PlansArguments {}

/// Make every replica write its log ring out.
#[derive(FromArgs)]
#[argh(subcommand, name = "dump-log")]
pub struct DumpLogArguments {}

/// Show one plan with its steps.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowArguments {
    /// number of the plan
    #[argh(positional)]
    pub plan: u64,
}

/// Make a plan. Nothing happens until it is confirmed.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct PlanArguments {
    /// identity of the intent, to ask again after a lost answer: 1 to 32 hexadecimal digits
    #[argh(option)]
    pub intent: Option<String>,
    /// revision that you saw; the plan is refused when it is no longer the newest
    #[argh(option)]
    pub base: Option<u64>,
    /// what is wanted
    #[argh(subcommand)]
    pub wanted: PlanCommand,
}

/// What is wanted.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum PlanCommand {
    /// Make the configuration that of a site file.
    Apply(ApplyArguments),
    /// Move a pool to a version.
    MovePool(MovePoolArguments),
    /// Drain a server.
    Drain(PlanDrainArguments),
    /// Open a drained server again.
    Restore(PlanRestoreArguments),
}

/// Plan to bring the configuration to that of a site file.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply", example = "{command_name} site.toml")]
pub struct ApplyArguments {
    /// site file
    #[argh(positional)]
    pub file: String,
    /// also remove what the file does not name
    #[argh(switch)]
    pub prune: bool,
}

/// Plan to move all engines of a pool to a weight version.
#[derive(FromArgs)]
#[argh(subcommand, name = "move-pool", example = "{command_name} disputes 17")]
pub struct MovePoolArguments {
    /// name of the pool
    #[argh(positional)]
    pub pool: String,
    /// weight version
    #[argh(positional)]
    pub version: u64,
}

/// Plan to give a server no new work and wait until it is idle.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain", example = "{command_name} fare-lm-3")]
pub struct PlanDrainArguments {
    /// name of the server
    #[argh(positional)]
    pub server: String,
}

/// Plan to open a drained server again.
#[derive(FromArgs)]
#[argh(subcommand, name = "restore", example = "{command_name} fare-lm-3")]
pub struct PlanRestoreArguments {
    /// name of the server
    #[argh(positional)]
    pub server: String,
}

/// Plan to drain a server; the same as `plan drain`.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain", example = "{command_name} fare-lm-3")]
pub struct DrainArguments {
    /// name of the server
    #[argh(positional)]
    pub server: String,
    /// identity of the intent, to ask again after a lost answer
    #[argh(option)]
    pub intent: Option<String>,
}

/// Carry a plan out.
#[derive(FromArgs)]
#[argh(subcommand, name = "confirm", example = "{command_name} 7 --wait")]
pub struct ConfirmArguments {
    /// number of the plan
    #[argh(positional)]
    pub plan: u64,
    /// identity of the confirmation, to ask again after a lost answer
    #[argh(option)]
    pub intent: Option<String>,
    /// wait until the plan has ended; `--timeout` does not limit this
    #[argh(switch)]
    pub wait: bool,
}

/// Withdraw a proposed plan, or stop a running one where it is.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel", example = "{command_name} 7")]
pub struct CancelArguments {
    /// number of the plan
    #[argh(positional)]
    pub plan: u64,
    /// identity of the cancellation, to ask again after a lost answer
    #[argh(option)]
    pub intent: Option<String>,
}

/// Show or change the members of replicated groups.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "members",
    example = "Replace member 2, whose disk was lost, by the new member at its address:\n\
               {command_name} replace 2 4711000000001 127.0.0.1:7102"
)]
pub struct MembersArguments {
    /// number of ledger groups of the site (1)
    #[argh(option, default = "1")]
    pub ledger_groups: u16,
    /// number of claims groups of the site (1)
    #[argh(option, default = "1")]
    pub claims_groups: u16,
    /// what to do
    #[argh(subcommand)]
    pub command: MembersCommand,
}

/// What to do with members.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum MembersCommand {
    /// Show them.
    Show(MembersShowArguments),
    /// Wait for them.
    Wait(MembersWaitArguments),
    /// Replace one.
    Replace(MembersReplaceArguments),
    /// Hand leadership over.
    Transfer(MembersTransferArguments),
}

/// Show the members of every group and how far each has come.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct MembersShowArguments {}

/// Wait until every member has on its disk what its group's leader has: then the next one may be
/// stopped. `--timeout` does not limit this.
#[derive(FromArgs)]
#[argh(subcommand, name = "wait")]
pub struct MembersWaitArguments {}

/// Replace a member in every group: takes the new one in, waits until it has caught up, lets it
/// vote, and removes the old one. Ends only when the loss of any one further machine is harmless.
#[derive(FromArgs)]
#[argh(subcommand, name = "replace")]
pub struct MembersReplaceArguments {
    /// identity of the member to remove
    #[argh(positional)]
    pub old: u64,
    /// identity of the new member, as it printed at its start
    #[argh(positional)]
    pub new: u64,
    /// address of the new member
    #[argh(positional)]
    pub address: String,
}

/// Hand the leadership of every group to a member.
#[derive(FromArgs)]
#[argh(subcommand, name = "transfer")]
pub struct MembersTransferArguments {
    /// identity of the member
    #[argh(positional)]
    pub to: u64,
}
