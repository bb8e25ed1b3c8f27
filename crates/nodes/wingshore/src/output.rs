//! Output on standard output.

use std::io::{ErrorKind, Write, stdout};

/// Prints a line to standard output. A closed pipe, as in `wingshore ctl status | head -1`, is no
/// error, because the command itself has completed.
pub fn print_line(text: &str) {
    let mut stdout = stdout().lock();
    let written = writeln!(stdout, "{text}").and_then(|()| stdout.flush());
    if let Err(error) = written
        && error.kind() != ErrorKind::BrokenPipe
    {
        eprintln!("cannot write to standard output: {error}");
    }
}
