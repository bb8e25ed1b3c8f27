//! Failures of a command and the exit status of each.

use snafu::Snafu;
use wingshore_client::CallError;
use wingshore_settings::SettingsErrors;
use wingshore_storage::StorageError;
use wingshore_types::GroupId;

/// Exit status for an invalid command line or invalid settings.
pub const EXIT_USAGE: u8 = 2;
/// Exit status for a request that the control group refused; nothing was changed.
pub const EXIT_REFUSED: u8 = 3;
/// Exit status for every other failure.
const EXIT_FAILED: u8 = 1;

/// Failure of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Failure {
    /// A file cannot be read.
    #[snafu(display("cannot read {path}: {source}"))]
    ReadFile {
        /// Path of the file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The settings are invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// Every error in the settings.
        source: SettingsErrors,
    },
    /// A flag or argument is invalid.
    #[snafu(display("{argument}: found {found}; allowed: {allowed}"))]
    Argument {
        /// Name of the flag or argument.
        argument: &'static str,
        /// The invalid value.
        found: String,
        /// Description of the allowed values.
        allowed: String,
    },
    /// The signal handler cannot be installed.
    #[snafu(display("cannot install the signal handler: {source}"))]
    Signals {
        /// The cause.
        source: std::io::Error,
    },
    /// The data folder cannot be formatted.
    #[snafu(display("cannot format the data folder: {source}"))]
    Format {
        /// The cause.
        source: StorageError,
    },
    /// A role ended with an error.
    #[snafu(display("{role} stopped: {message}"))]
    Role {
        /// Name of the role.
        role: &'static str,
        /// Error of the role.
        message: String,
    },
    /// A call to a group or a replica failed.
    #[snafu(display("{source}{hint}"))]
    Call {
        /// The cause.
        source: CallError,
        /// What to check, and how to repeat the request without applying it twice.
        hint: String,
    },
    /// A group refused the request; nothing was changed.
    #[snafu(display("refused, nothing was changed: {message}"))]
    Refused {
        /// Reason of the refusal.
        message: String,
    },
    /// A group refused a change of its members; steps that completed earlier stay in effect.
    #[snafu(display(
        "group {group} refused: {message}\nnext: mend that and run the same command again; steps \
         that are done are left out"
    ))]
    MembersRefused {
        /// The group that refused.
        group: GroupId,
        /// Reason of the refusal.
        message: String,
    },
    /// A plan ended in a state other than done.
    #[snafu(display("plan {plan} {message}"))]
    PlanEnded {
        /// Number of the plan.
        plan: u64,
        /// State in which the plan ended.
        message: String,
    },
    /// The type of the answer does not match the request.
    #[snafu(display("unexpected answer: {answer}"))]
    UnexpectedAnswer {
        /// The answer in debug format.
        answer: String,
    },
}

impl Failure {
    /// Returns the exit status of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::ReadFile { .. } | Self::Settings { .. } | Self::Argument { .. } => EXIT_USAGE,
            Self::Refused { .. } => EXIT_REFUSED,
            _ => EXIT_FAILED,
        }
    }
}
