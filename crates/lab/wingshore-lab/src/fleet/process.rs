//! A process of a fleet, and what is done to it by signals.

use super::error::{FleetError, NotReadySnafu, ProcessSnafu, WriteFileSnafu};
use crate::event_log::EventLog;
use crate::events::Event;
use snafu::ResultExt;
use std::fs::OpenOptions;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// How often a condition is checked.
const POLL: Duration = Duration::from_millis(20);
/// Longest attempt to connect to a process.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How much of a process's output an error shows, in bytes.
const OUTPUT_SHOWN: usize = 2000;

/// How to start a process.
#[derive(Clone, Debug)]
pub struct ProcessPlan {
    pub name: String,
    pub program: PathBuf,
    pub arguments: Vec<String>,
    /// Where it listens, when it does.
    pub listen: Option<SocketAddr>,
    /// Where its output goes.
    pub output: PathBuf,
}

/// A process that was started here; only these are ever signalled.
pub struct ManagedProcess {
    plan: ProcessPlan,
    child: Option<Child>,
    log: EventLog,
}

/// Signals that a fleet sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Signal {
    Terminate,
    Freeze,
    Wake,
}

impl Signal {
    fn flag(self) -> &'static str {
        match self {
            Self::Terminate => "-TERM",
            Self::Freeze => "-STOP",
            Self::Wake => "-CONT",
        }
    }
}

impl ManagedProcess {
    pub fn start(plan: ProcessPlan, log: EventLog) -> Result<Self, FleetError> {
        let mut process = Self {
            plan,
            child: None,
            log,
        };
        process.start_again()?;
        Ok(process)
    }

    /// Starts it once more, after it has ended.
    pub fn start_again(&mut self) -> Result<(), FleetError> {
        let plan = &self.plan;
        let path = &plan.output;
        let output = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .context(WriteFileSnafu { path })?;
        let errors = output.try_clone().context(WriteFileSnafu { path })?;
        let child = Command::new(&plan.program)
            .args(&plan.arguments)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .context(ProcessSnafu { name: &plan.name })?;
        self.child = Some(child);
        self.note("start");
        Ok(())
    }

    pub fn name(&self) -> &str {
        &self.plan.name
    }

    /// Its process number, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn listen(&self) -> Option<SocketAddr> {
        self.plan.listen
    }

    pub fn wait_until_listening(&mut self, limit: Duration) -> Result<(), FleetError> {
        let Some(address) = self.plan.listen else {
            return Ok(());
        };
        let end = Instant::now() + limit;
        while Instant::now() < end && self.is_running() {
            if TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).is_ok() {
                return Ok(());
            }
            thread::sleep(POLL);
        }
        NotReadySnafu {
            name: self.name(),
            seconds: limit.as_secs(),
            output: self.output_end(),
        }
        .fail()
    }

    /// Whether it runs; one that ended by itself does not.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// The end of what it wrote.
    pub fn output_end(&self) -> String {
        let output = std::fs::read(&self.plan.output).unwrap_or_default();
        let start = output.len().saturating_sub(OUTPUT_SHOWN);
        String::from_utf8_lossy(&output[start..]).into_owned()
    }

    /// Planned stop: SIGTERM, then waits; kills it after `limit`. A stop that does not end by
    /// itself with success is noted as `stop_failed`, and the run fails.
    pub fn stop(&mut self, limit: Duration) -> Result<(), FleetError> {
        if !self.end(limit)? {
            self.note("stop_failed");
        }
        Ok(())
    }

    /// SIGTERM, then waits; kills it after `limit`. Says whether it ended by itself with success.
    pub fn end(&mut self, limit: Duration) -> Result<bool, FleetError> {
        if !self.is_running() {
            return Ok(false);
        }
        self.note("stop");
        self.signal(Signal::Terminate)?;
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Some(status) = self.ended()? {
                self.child = None;
                self.note("stopped");
                return Ok(status.success());
            }
            thread::sleep(POLL);
        }
        self.kill()?;
        Ok(false)
    }

    /// Kills it at once.
    pub fn kill(&mut self) -> Result<(), FleetError> {
        let name = self.plan.name.clone();
        if let Some(mut child) = self.child.take() {
            child.kill().context(ProcessSnafu { name: &name })?;
            child.wait().context(ProcessSnafu { name: &name })?;
            self.note("kill");
        }
        Ok(())
    }

    /// Stops its threads where they are.
    pub fn freeze(&self) -> Result<(), FleetError> {
        self.note("freeze");
        self.signal(Signal::Freeze)
    }

    /// Lets its threads go on.
    pub fn wake(&self) -> Result<(), FleetError> {
        self.note("wake");
        self.signal(Signal::Wake)
    }

    fn ended(&mut self) -> Result<Option<ExitStatus>, FleetError> {
        match &mut self.child {
            Some(child) => child.try_wait().context(ProcessSnafu {
                name: &self.plan.name,
            }),
            None => Ok(None),
        }
    }

    /// Signals by the `kill` program: the standard library sends none but SIGKILL.
    fn signal(&self, signal: Signal) -> Result<(), FleetError> {
        let Some(id) = self.id() else {
            return Ok(());
        };
        Command::new("kill")
            .arg(signal.flag())
            .arg(id.to_string())
            .status()
            .map(|_| ())
            .context(ProcessSnafu {
                name: &self.plan.name,
            })
    }

    fn note(&self, action: &str) {
        self.log.write(Event::ProcessAction {
            process: self.plan.name.clone(),
            action: action.to_owned(),
        });
    }
}

impl Drop for ManagedProcess {
    /// Whatever way a run ends, no process of it stays.
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ended = child.kill();
            let _reaped = child.wait();
        }
    }
}
