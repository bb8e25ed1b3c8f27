//! Why a command failed, and the exit status that says so.

use snafu::Snafu;
use wingshore_client::CallError;
use wingshore_settings::SettingsErrors;
use wingshore_storage::StorageError;
use wingshore_types::GroupId;

/// Exit status of a bad command line or bad settings.
pub const EXIT_USAGE: u8 = 2;
/// Exit status of a request that the control group refused; nothing was changed.
pub const EXIT_REFUSED: u8 = 3;
/// Exit status of anything else.
const EXIT_FAILED: u8 = 1;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Failure {
    /// A file cannot be read.
    #[snafu(display("cannot read {path}: {source}"))]
    ReadFile {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// Settings are wrong.
    #[snafu(display("{source}"))]
    Settings {
        /// All that is wrong.
        source: SettingsErrors,
    },
    /// A flag or argument is wrong.
    #[snafu(display("{argument}: found {found}; allowed: {allowed}"))]
    Argument {
        /// Which one.
        argument: &'static str,
        /// What was found.
        found: String,
        /// What is allowed.
        allowed: String,
    },
    /// Signals cannot be taken.
    #[snafu(display("cannot take signals: {source}"))]
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
        /// Which role.
        role: &'static str,
        /// Why.
        message: String,
    },
    /// A group did not answer.
    #[snafu(display("{source}{hint}"))]
    Call {
        /// The cause.
        source: CallError,
        /// How to ask again safely, when that needs more than the same command.
        hint: String,
    },
    /// A group refused; nothing was changed.
    #[snafu(display("refused, nothing was changed: {message}"))]
    Refused {
        /// Why.
        message: String,
    },
    /// A group refused to change its members; what was done before stays.
    #[snafu(display(
        "group {group} refused: {message}\nnext: mend that and run the same command again; steps \
         that are done are left out"
    ))]
    MembersRefused {
        /// Which group.
        group: GroupId,
        /// Why.
        message: String,
    },
    /// A plan ended otherwise than done.
    #[snafu(display("plan {plan} {message}"))]
    PlanEnded {
        /// Which plan.
        plan: u64,
        /// How.
        message: String,
    },
    /// The answer was not one to the question.
    #[snafu(display("unexpected answer: {answer}"))]
    UnexpectedAnswer {
        /// The answer.
        answer: String,
    },
}

impl Failure {
    /// The exit status of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::ReadFile { .. } | Self::Settings { .. } | Self::Argument { .. } => EXIT_USAGE,
            Self::Refused { .. } => EXIT_REFUSED,
            _ => EXIT_FAILED,
        }
    }
}
