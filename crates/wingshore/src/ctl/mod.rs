//! `wingshore ctl`: intents, plans, confirmations, status, members.

pub mod arguments;
mod members;
mod plans;
mod render;
mod session;

use crate::failure::Failure;
use arguments::{CtlArguments, CtlCommand};
use session::Session;
use wingshore_types::protocol::control::{Intent, PlanStep};

/// Runs one operator's command.
///
/// # Errors
/// When an argument is wrong, the group does not answer, or it refuses.
pub fn run(flags: &CtlArguments) -> Result<(), Failure> {
    let session = Session::open(flags)?;
    match &flags.command {
        CtlCommand::Status(_) => plans::status(&session),
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

/// A plan's step in a few words.
fn step_text(step: &PlanStep) -> String {
    match step {
        PlanStep::Change(change) => format!("change {}", render::change_text(change)),
        PlanStep::Swap { server, version } => format!("swap {server} to version {version}"),
        PlanStep::AwaitInForce => "wait until in force on every node".to_owned(),
        PlanStep::AwaitIdle(server) => format!("wait until {server} is idle"),
    }
}
