//! The operator of a site: `wingshore ctl` as people use it.

use super::error::{FleetError, OperatorSnafu, RefusedSnafu};
use rand::RngExt;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};
use wingshore_types::IntentId;
use wingshore_types::protocol::control::{Plan, Status};

/// Backoff before a command is run again.
const RETRY_BACKOFF: Duration = Duration::from_millis(200);
/// How long one command waits for an answer, in seconds.
const COMMAND_TIMEOUT: &str = "5";
/// Exit status of a command that was refused: nothing was changed.
const REFUSED: i32 = 3;

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

    /// States an intent and confirms its plan; answers the plan as it stood after that.
    ///
    /// # Errors
    /// When a command still fails at the end of `limit`.
    pub fn carry_out(&self, intent: &[&str], limit: Duration) -> Result<Plan, FleetError> {
        self.propose_and_confirm(intent, &[], limit)
    }

    /// States an intent, confirms its plan and waits until it is done.
    ///
    /// # Errors
    /// When a command still fails at the end of `limit`.
    pub fn carry_out_whole(&self, intent: &[&str], limit: Duration) -> Result<Plan, FleetError> {
        self.propose_and_confirm(intent, &["--wait"], limit)
    }

    /// A refused plan or confirmation is an answer: what follows it is a new plan.
    fn propose_and_confirm(
        &self,
        intent: &[&str],
        confirm_flags: &[&str],
        limit: Duration,
    ) -> Result<Plan, FleetError> {
        let end = Instant::now() + limit;
        loop {
            let confirmed = self.answered(&["plan"], intent, end).and_then(|plan| {
                let id = plan.id.to_string();
                self.answered(&["confirm", &id], confirm_flags, end)
            });
            match confirmed {
                Err(FleetError::Refused { .. }) if Instant::now() < end => {
                    thread::sleep(RETRY_BACKOFF);
                }
                confirmed => return confirmed,
            }
        }
    }

    /// Runs a command under an identity of its own, and asks again under the same identity while
    /// no answer comes: so it takes effect once.
    fn answered(&self, command: &[&str], rest: &[&str], end: Instant) -> Result<Plan, FleetError> {
        let identity = IntentId(rand::rng().random()).to_string();
        let words = [command, &["--intent", &identity], rest].concat();
        loop {
            match self.ask(&words) {
                Err(FleetError::Operator { .. }) if Instant::now() < end => {
                    thread::sleep(RETRY_BACKOFF);
                }
                answer => return answer,
            }
        }
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
        let refused = output.status.code() == Some(REFUSED);
        let output = String::from_utf8_lossy(&output.stderr).into_owned();
        if refused {
            return RefusedSnafu { command, output }.fail();
        }
        OperatorSnafu { command, output }.fail()
    }
}
