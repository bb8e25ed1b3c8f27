//! Finds the `wingshore` program beside this one; under cargo it is built first.

use super::error::{FleetError, ProgramSnafu};
use std::path::{Path, PathBuf};
use std::process::Command;

/// Name of the program.
const PROGRAM: &str = "wingshore";

/// The program, built when this process was started by cargo or when it is missing.
pub fn find_or_build() -> Result<PathBuf, FleetError> {
    let own = std::env::current_exe().map_err(|error| FleetError::Program {
        message: error.to_string(),
    })?;
    let program = own.with_file_name(PROGRAM);
    let cargo = std::env::var_os("CARGO");
    if cargo.is_some() || !program.exists() {
        build(
            cargo.map_or_else(|| PathBuf::from("cargo"), PathBuf::from),
            &own,
        )?;
    }
    if program.exists() {
        return Ok(program);
    }
    let message = format!("{} does not exist", program.display());
    ProgramSnafu { message }.fail()
}

/// Builds it in the profile of this program.
fn build(cargo: PathBuf, own: &Path) -> Result<(), FleetError> {
    let profile = own.parent().and_then(Path::file_name);
    let mut command = Command::new(cargo);
    command
        .args(["build", "--quiet", "--package", PROGRAM])
        .current_dir(workspace());
    if profile.is_some_and(|name| name == "release") {
        command.arg("--release");
    }
    let status = command.status();
    match status {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => {
            let message = format!("`cargo build --package {PROGRAM}` ended with {status}");
            ProgramSnafu { message }.fail()
        }
        Err(error) => {
            let message = format!("cargo cannot be started: {error}");
            ProgramSnafu { message }.fail()
        }
    }
}

/// The workspace this program was built from.
pub fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../..")
}
