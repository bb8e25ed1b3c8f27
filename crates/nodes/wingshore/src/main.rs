//! Entry point of the `wingshore` program: parses the command line and runs the command.

mod arguments;
mod check;
mod ctl;
mod failure;
mod format;
mod output;
mod roles;
mod settings_file;

use arguments::{Arguments, Command};
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        output::print_line(concat!("wingshore ", env!("CARGO_PKG_VERSION")));
        return ExitCode::SUCCESS;
    }
    let Some(command) = arguments.command else {
        eprintln!("wingshore: no command; see `wingshore --help`");
        return ExitCode::from(failure::EXIT_USAGE);
    };
    let result = match command {
        Command::Replica(flags) => roles::replica(&flags),
        Command::Relay(flags) => roles::relay(&flags),
        Command::Node(flags) => roles::node(&flags),
        Command::Format(flags) => format::run(&flags),
        Command::Check(flags) => check::run(&flags),
        Command::Ctl(flags) => ctl::run(&flags),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}
