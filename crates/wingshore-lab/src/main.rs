//! Entry point of the `wingshore-lab` program: parses the command line and wires subcommands.

use argh::FromArgs;
use std::process::ExitCode;
use wingshore_lab::stand_ins::StandInCommand;

/// Proof harness of wingshore: stand-ins, fleets, checks.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    StandIn(StandInCommand),
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.command {
        Command::StandIn(command) => command.run().map(|()| ExitCode::SUCCESS),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("wingshore-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
