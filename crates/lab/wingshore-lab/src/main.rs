//! Entry point of the `wingshore-lab` program: parses the command line and wires subcommands.

use argh::FromArgs;
use std::error::Error;
use std::process::ExitCode;
use wingshore_lab::fleet::FleetCommand;
use wingshore_lab::sim::command::SimCommand;
use wingshore_lab::stand_ins::StandInCommand;

/// Proof harness of wingshore: stand-ins, fleets, simulations, checks.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    StandIn(StandInCommand),
    Fleet(FleetCommand),
    Sim(SimCommand),
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match run(arguments.command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("wingshore-lab: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a command; says whether what it proves held.
fn run(command: Command) -> Result<bool, Box<dyn Error>> {
    match command {
        Command::StandIn(command) => {
            command.run()?;
            Ok(true)
        }
        Command::Fleet(command) => Ok(command.run()?),
        Command::Sim(command) => Ok(command.run()?),
    }
}
