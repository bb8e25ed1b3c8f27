//! Standard output.

use std::io::{ErrorKind, Write, stdout};

/// Prints a line. Whoever read the output may be gone, as in `wingshore ctl status | head -1`:
/// the command was carried out all the same.
pub fn line(text: &str) {
    let mut stdout = stdout().lock();
    let written = writeln!(stdout, "{text}").and_then(|()| stdout.flush());
    if let Err(error) = written
        && error.kind() != ErrorKind::BrokenPipe
    {
        eprintln!("cannot write to standard output: {error}");
    }
}
