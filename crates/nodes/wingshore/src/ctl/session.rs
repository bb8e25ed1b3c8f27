//! One operator's connection to the groups of a site.

use crate::ctl::arguments::CtlArguments;
use crate::failure::{ArgumentSnafu, CallSnafu, Failure};
use crate::output;
use rand::RngExt;
use serde::Serialize;
use snafu::{OptionExt, ResultExt};
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_client::GroupClient;
use wingshore_types::protocol::control::{ControlRefusal, ControlReply, ControlRequest};
use wingshore_types::protocol::membership::{MembershipReply, MembershipRequest};
use wingshore_types::protocol::wire::{GroupReply, GroupRequest};
use wingshore_types::{GroupId, IntentId};

/// Client, replicas and how to print.
pub struct Session {
    client: GroupClient,
    replicas: Vec<SocketAddr>,
    timeout: Duration,
    json: bool,
}

impl Session {
    /// Parses the addresses and makes the client; connections are opened by the first call.
    ///
    /// # Errors
    /// When an address is wrong.
    pub fn open(flags: &CtlArguments) -> Result<Self, Failure> {
        let replicas = parse_replicas(&flags.replicas)?;
        let seed = rand::rng().random();
        Ok(Self {
            client: GroupClient::new(&flags.site, replicas.clone(), seed),
            replicas,
            timeout: Duration::from_secs(flags.timeout),
            json: flags.json,
        })
    }

    /// The replicas named on the command line.
    pub fn replicas(&self) -> &[SocketAddr] {
        &self.replicas
    }

    /// How long one answer is waited for.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Whether output is for scripts.
    pub fn prints_json(&self) -> bool {
        self.json
    }

    /// Asks the control group.
    ///
    /// # Errors
    /// When it does not answer, or refuses.
    pub fn control(&self, request: ControlRequest) -> Result<ControlReply, Failure> {
        let hint = no_answer_hint(&request);
        let request = GroupRequest::Control(request);
        let reply = self
            .client
            .call(GroupId::Control, request, self.timeout)
            .context(CallSnafu { hint })?;
        match reply {
            GroupReply::Control(ControlReply::Refused(refusal)) => Err(Failure::Refused {
                message: refusal_text(&refusal),
            }),
            GroupReply::Control(reply) => Ok(reply),
            other => Err(unexpected(&other)),
        }
    }

    /// Asks a group about its members.
    ///
    /// # Errors
    /// When it does not answer, or refuses.
    pub fn membership(
        &self,
        group: GroupId,
        request: MembershipRequest,
    ) -> Result<MembershipReply, Failure> {
        let request = GroupRequest::Membership(request);
        let reply = self
            .client
            .call(group, request, self.timeout)
            .context(CallSnafu { hint: NO_ANSWER })?;
        match reply {
            GroupReply::Membership(MembershipReply::Refused { message }) => {
                Err(Failure::MembersRefused { group, message })
            }
            GroupReply::Membership(reply) => Ok(reply),
            other => Err(unexpected(&other)),
        }
    }

    /// Asks one process.
    ///
    /// # Errors
    /// When it does not answer.
    pub fn at(&self, address: SocketAddr, request: GroupRequest) -> Result<GroupReply, Failure> {
        self.client
            .call_at(address, GroupId::Control, request, self.timeout)
            .context(CallSnafu { hint: NO_ANSWER })
    }

    /// Prints `value` as JSON, or what `text` makes of it.
    pub fn print<T: Serialize>(&self, value: &T, text: impl FnOnce(&T) -> String) {
        if self.json {
            match serde_json::to_string(value) {
                Ok(json) => output::line(&json),
                Err(error) => eprintln!("cannot print as JSON: {error}"),
            }
        } else {
            output::line(&text(value));
        }
    }
}

/// The intent named on the command line, or a new one.
///
/// # Errors
/// When it is not hexadecimal.
pub fn intent_id(named: Option<&str>) -> Result<IntentId, Failure> {
    match named {
        None => Ok(IntentId(rand::rng().random())),
        Some(text) => IntentId::from_hex(text).context(ArgumentSnafu {
            argument: "--intent",
            found: text,
            allowed: "1 to 32 hexadecimal digits",
        }),
    }
}

/// The failure of an answer that does not fit its question.
pub fn unexpected(answer: &impl std::fmt::Debug) -> Failure {
    Failure::UnexpectedAnswer {
        answer: format!("{answer:?}"),
    }
}

fn parse_replicas(text: &str) -> Result<Vec<SocketAddr>, Failure> {
    text.split(',')
        .map(|part| {
            part.trim().parse().ok().context(ArgumentSnafu {
                argument: "--replicas",
                found: format!("\"{part}\""),
                allowed: "IP addresses and ports separated by commas",
            })
        })
        .collect()
}

/// What to look at when nobody answers.
const NO_ANSWER: &str = "\nnext: are the addresses of --replicas right, and does more than half \
                         of the members run? GET /readyz at a replica's `admin` address says \
                         whether it knows a leader";

/// What to look at, and how to ask again without asking twice.
fn no_answer_hint(request: &ControlRequest) -> String {
    match request {
        ControlRequest::Propose { intent_id, .. }
        | ControlRequest::Confirm { intent_id, .. }
        | ControlRequest::Cancel { intent_id, .. } => {
            format!("{NO_ANSWER}\nto ask again safely, add: --intent {intent_id}")
        }
        _ => NO_ANSWER.to_owned(),
    }
}

fn refusal_text(refusal: &ControlRefusal) -> String {
    match refusal {
        ControlRefusal::Conflict { current, message } => {
            format!(
                "conflict, the configuration is at revision {current} now: {message}\n\
                 next: look at `configuration`, and plan again"
            )
        }
        ControlRefusal::Invalid { message } => message.clone(),
        ControlRefusal::UnknownPlan(plan) => {
            format!("there is no plan {plan}; `plans` lists those that are kept")
        }
        ControlRefusal::WrongState { state } => {
            let state = super::render::state_text(state);
            format!("the plan is {state}; next: plan again if it is still wanted")
        }
    }
}
