//! Why a hollow run cannot be made.

use crate::fleet::FleetError;
use snafu::Snafu;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a hollow run cannot be made.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum HollowError {
    /// Sizes that make no site.
    #[snafu(display("{argument} is {found}; allowed is {allowed}"))]
    Size {
        /// The flag.
        argument: &'static str,
        /// Its value.
        found: usize,
        /// What it may be.
        allowed: &'static str,
    },
    /// A process cannot be started.
    #[snafu(display("{source}"), context(false))]
    Fleet {
        /// Why.
        source: FleetError,
    },
    /// A file of the run cannot be written.
    #[snafu(display("cannot write {}: {source}", path.display()))]
    WriteFile {
        /// Which one.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A socket cannot be had.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Where.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[snafu(display("cannot start a thread: {source}"))]
    Thread {
        /// Why.
        source: io::Error,
    },
    /// The control group did not do what was asked.
    #[snafu(display("the control group did not {wanted}: {answer}"))]
    Control {
        /// What was asked.
        wanted: &'static str,
        /// What came instead.
        answer: String,
    },
    /// Something did not come about in time.
    #[snafu(display("{what} did not come about within {seconds} s; {state}"))]
    Late {
        /// What was waited for.
        what: &'static str,
        /// How long.
        seconds: u64,
        /// How far it came.
        state: String,
    },
    /// The operating system does not tell what a process uses.
    #[snafu(display("cannot read what process {id} uses: {source}"))]
    Usage {
        /// The process.
        id: u32,
        /// Why.
        source: io::Error,
    },
    /// The result cannot be printed.
    #[snafu(display("cannot print the result: {source}"))]
    Print {
        /// Why.
        source: serde_json::Error,
    },
}
