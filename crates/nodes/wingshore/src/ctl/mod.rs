//! The `ctl` command: intents, plans, confirmations, status and members.

pub mod arguments;
mod diff;
mod members;
mod plans;
mod render;
mod session;
mod site_status;

use crate::failure::Failure;
use arguments::{CtlArguments, CtlCommand};
use session::Session;
use wingshore_types::protocol::control::Intent;

/// Runs one subcommand of `ctl`.
///
/// # Errors
/// When an argument is invalid, or a group does not answer or refuses.
pub fn run(flags: &CtlArguments) -> Result<(), Failure> {
    let session = Session::open(flags)?;
    match &flags.command {
        CtlCommand::Status(_) => site_status::show(&session),
        CtlCommand::Configuration(_) => plans::configuration(&session),
        CtlCommand::Plan(plan) => plans::propose(&session, plan),
        CtlCommand::Drain(drain) => {
            let intent = Intent::Drain(drain.server.as_str().into());
            plans::propose_intent(&session, drain.intent.as_deref(), None, intent)
        }
        CtlCommand::Show(show) => plans::show(&session, show.plan),
        CtlCommand::Plans(_) => plans::list(&session),
        CtlCommand::Confirm(confirm) => plans::confirm(&session, confirm),
        CtlCommand::Cancel(cancel) => plans::cancel(&session, cancel),
        CtlCommand::Members(members) => members::run(&session, members),
        CtlCommand::DumpLog(_) => members::dump_logs(&session),
    }
}
