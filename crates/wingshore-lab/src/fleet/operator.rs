//! The operator of a site: `wingshore ctl` as people use it.

use super::error::{FleetError, OperatorSnafu};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};
use wingshore_types::protocol::control::{Plan, Status};

/// Pause before a command is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How long one command waits for an answer, in seconds.
const COMMAND_TIMEOUT: &str = "5";

/// Runs `wingshore ctl`.
#[derive(Clone, Debug)]
pub struct Operator {
    program: PathBuf,
    replicas: String,
}

impl Operator {
    /// An operator who knows these replicas.
    pub fn new(program: &Path, replicas: &[SocketAddr]) -> Self {
        let replicas: Vec<String> = replicas.iter().map(SocketAddr::to_string).collect();
        Self {
            program: program.to_owned(),
            replicas: replicas.join(","),
        }
    }

    /// Makes a data folder that of a founding member.
    ///
    /// # Errors
    /// When the command fails.
    pub fn format(&self, settings: &Path, id: u64) -> Result<(), FleetError> {
        let settings = settings.to_string_lossy();
        let id = id.to_string();
        self.run(&["format", "--settings", &settings, "--id", &id])
            .map(|_| ())
    }

    /// The site at a glance.
    ///
    /// # Errors
    /// When the control group does not answer.
    pub fn status(&self) -> Result<Status, FleetError> {
        self.ask(&["status"])
    }

    /// States an intent and confirms its plan; answers the plan as it stands after that.
    ///
    /// # Errors
    /// When a command still fails at the end of `limit`.
    pub fn carry_out(&self, intent: &[&str], limit: Duration) -> Result<Plan, FleetError> {
        let mut words = vec!["plan"];
        words.extend(intent);
        let plan: Plan = self.ask_until(&words, limit)?;
        let id = plan.id.to_string();
        self.ask_until(&["confirm", &id], limit)
    }

    /// States an intent, confirms its plan and waits until it is done.
    ///
    /// # Errors
    /// When a command still fails at the end of `limit`.
    pub fn carry_out_whole(&self, intent: &[&str], limit: Duration) -> Result<Plan, FleetError> {
        let plan = self.carry_out(intent, limit)?;
        let id = plan.id.to_string();
        self.ask_until(&["confirm", &id, "--wait"], limit)
    }

    /// Runs a command of `ctl` and gives its text.
    ///
    /// # Errors
    /// When it fails.
    pub fn control(&self, words: &[&str]) -> Result<String, FleetError> {
        let mut all = vec!["ctl", "--replicas", &self.replicas, "--json"];
        all.extend(["--timeout", COMMAND_TIMEOUT]);
        all.extend(words);
        self.run(&all)
    }

    fn ask<T: DeserializeOwned>(&self, words: &[&str]) -> Result<T, FleetError> {
        let output = self.control(words)?;
        serde_json::from_str(&output).map_err(|error| FleetError::Operator {
            command: words.join(" "),
            output: format!("{error} in: {output}"),
        })
    }

    fn ask_until<T: DeserializeOwned>(
        &self,
        words: &[&str],
        limit: Duration,
    ) -> Result<T, FleetError> {
        let end = Instant::now() + limit;
        loop {
            match self.ask(words) {
                Ok(answer) => return Ok(answer),
                Err(error) if Instant::now() >= end => return Err(error),
                Err(_) => thread::sleep(RETRY_PAUSE),
            }
        }
    }

    fn run(&self, words: &[&str]) -> Result<String, FleetError> {
        let command = words.join(" ");
        let output = Command::new(&self.program)
            .args(words)
            .stdin(Stdio::null())
            .output()
            .map_err(|error| FleetError::Operator {
                command: command.clone(),
                output: error.to_string(),
            })?;
        if output.status.success() {
            return Ok(String::from_utf8_lossy(&output.stdout).into_owned());
        }
        let output = String::from_utf8_lossy(&output.stderr).into_owned();
        OperatorSnafu { command, output }.fail()
    }
}
