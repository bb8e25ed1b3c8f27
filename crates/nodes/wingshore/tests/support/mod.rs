//! Runs the real program: single commands, and a site of three replicas.
#![allow(dead_code, reason = "each test file uses its own part")]

pub mod back_end;

use serde_json::Value;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time limit for every awaited condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// First port to try. The range of ports lies below the ephemeral ports of the system.
const FIRST_PORT: u16 = 14_000;
const PORT_COUNT: u16 = 16_000;

/// Exit status and output of a command.
#[derive(Debug)]
pub struct CommandOutput {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

impl CommandOutput {
    /// Parses standard output as JSON; returns null when it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_default()
    }
}

impl From<Output> for CommandOutput {
    fn from(output: Output) -> Self {
        Self {
            code: output.status.code(),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

/// Runs the program until it exits.
pub fn wingshore(arguments: &[&str]) -> CommandOutput {
    command(arguments)
        .output()
        .expect("the program runs")
        .into()
}

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wingshore"));
    command.args(arguments).stdin(Stdio::null());
    command
}

/// Returns an address of the loopback interface on which nobody listens and that no other call
/// returns.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = (std::process::id() % 400) as u16 * 40;
    loop {
        let offset = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + offset));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Waits until `condition` returns a value.
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// A process of the program, killed on drop.
pub struct Process {
    child: Child,
    stderr_file: PathBuf,
}

impl Process {
    /// Starts the program; its standard error goes to `stderr_file`.
    pub fn start(arguments: &[&str], stderr_file: &Path) -> Self {
        let file = File::create(stderr_file).expect("a file for standard error");
        let child = command(arguments)
            .stdout(Stdio::null())
            .stderr(file)
            .spawn();
        Self {
            child: child.expect("the program starts"),
            stderr_file: stderr_file.to_owned(),
        }
    }

    /// Returns what the process has written to standard error so far.
    pub fn stderr(&self) -> String {
        std::fs::read_to_string(&self.stderr_file).unwrap_or_default()
    }

    /// Sends SIGTERM, waits for the exit, and returns the exit status and standard error.
    pub fn stop(mut self) -> (Option<i32>, String) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(sent.is_ok_and(|status| status.success()));
        let status = wait_for("the end of a process", || {
            self.child.try_wait().ok().flatten()
        });
        (status.code(), self.stderr())
    }

    /// Kills the process with SIGKILL, by dropping it.
    pub fn kill(self) {}
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A site of three replicas in a temporary folder.
pub struct Site {
    folder: tempfile::TempDir,
    pub listen: Vec<SocketAddr>,
    pub admin: Vec<SocketAddr>,
    pub replicas: Vec<Option<Process>>,
}

impl Site {
    /// Formats and starts the replicas, and waits until they have a leader.
    pub fn start() -> Self {
        let mut site = Self {
            folder: tempfile::tempdir().expect("a folder"),
            listen: (0..3).map(|_| free_address()).collect(),
            admin: (0..3).map(|_| free_address()).collect(),
            replicas: vec![None, None, None],
        };
        for number in 1..=3 {
            let file = site.write(&format!("replica-{number}.toml"), &site.settings(number));
            let formatted =
                wingshore(&["format", "--settings", &file, "--id", &number.to_string()]);
            assert_eq!(formatted.code, Some(0), "{formatted:?}");
        }
        for number in 1..=3 {
            site.start_replica(number);
        }
        site.ctl(&["status"]);
        site
    }

    fn settings(&self, number: usize) -> String {
        let mut text = format!(
            "role = \"replica\"\nsite = \"test\"\nname = \"replica-{number}\"\nzone = \"hall\"\n\
             listen = \"{}\"\nadmin = \"{}\"\ndata = \"{}\"\nconfiguration_lease = \"1s\"\n",
            self.listen[number - 1],
            self.admin[number - 1],
            self.data_folder(number).display(),
        );
        for (position, address) in self.listen.iter().enumerate() {
            let id = position + 1;
            text.push_str(&format!(
                "[[founding]]\nid = {id}\naddress = \"{address}\"\n"
            ));
        }
        text
    }

    pub fn data_folder(&self, number: usize) -> PathBuf {
        self.path(&format!("data-{number}"))
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Writes a file into the site's folder and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.path(name);
        std::fs::write(&path, text).expect("a file is written");
        path_text(&path)
    }

    pub fn start_replica(&mut self, number: usize) {
        let file = path_text(&self.path(&format!("replica-{number}.toml")));
        let stderr_file = self.path(&format!("replica-{number}.errors"));
        let process = Process::start(&["replica", "--settings", &file], &stderr_file);
        self.replicas[number - 1] = Some(process);
    }

    /// Removes a replica's process from the site and returns it.
    pub fn take_replica(&mut self, number: usize) -> Process {
        self.replicas[number - 1].take().expect("it runs")
    }

    /// Returns what a running replica has written to standard error.
    pub fn replica_stderr(&self, number: usize) -> String {
        let process = self.replicas[number - 1].as_ref();
        process.map(Process::stderr).unwrap_or_default()
    }

    fn replicas_flag(&self) -> String {
        let addresses: Vec<String> = self.listen.iter().map(SocketAddr::to_string).collect();
        addresses.join(",")
    }

    /// Runs `wingshore ctl` with its plain output.
    pub fn try_ctl(&self, words: &[&str]) -> CommandOutput {
        let replicas = self.replicas_flag();
        let mut all = vec!["ctl", "--replicas", &replicas, "--timeout", "30"];
        all.extend(words);
        wingshore(&all)
    }

    /// Runs `wingshore ctl` with its plain output and asserts that it succeeds.
    pub fn ctl(&self, words: &[&str]) -> CommandOutput {
        let answer = self.try_ctl(words);
        assert_eq!(answer.code, Some(0), "{words:?}: {answer:?}");
        answer
    }

    /// Runs `wingshore ctl --json`, asserts that it succeeds, and returns the parsed output.
    pub fn ctl_json(&self, words: &[&str]) -> Value {
        let mut all = vec!["--json"];
        all.extend(words);
        self.ctl(&all).json()
    }

    /// Proposes a plan and returns its number.
    pub fn propose(&self, words: &[&str]) -> String {
        let mut all = vec!["plan"];
        all.extend(words);
        self.ctl_json(&all)["id"].to_string()
    }

    /// Proposes and confirms a plan, waits until it has ended, and returns it.
    pub fn propose_and_confirm(&self, words: &[&str]) -> Value {
        let plan = self.propose(words);
        self.ctl_json(&["confirm", &plan, "--wait"])
    }
}

/// Returns a path as text.
pub fn path_text(path: &Path) -> String {
    path.to_string_lossy().into_owned()
}
