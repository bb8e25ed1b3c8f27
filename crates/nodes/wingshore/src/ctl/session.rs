//! Session of one `ctl` command with the groups of a site.

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

/// Client, addresses of the replicas, timeout and output format of one `ctl` command.
pub struct Session {
    client: GroupClient,
    replicas: Vec<SocketAddr>,
    timeout: Duration,
    json: bool,
}

impl Session {
    /// Parses the addresses and creates the client; connections are opened by the first call.
    ///
    /// # Errors
    /// When an address is invalid.
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

    /// Returns the addresses of the replicas that the command line names.
    pub fn replicas(&self) -> &[SocketAddr] {
        &self.replicas
    }

    /// Returns the timeout of one call.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Returns whether the output is JSON.
    pub fn prints_json(&self) -> bool {
        self.json
    }

    /// Sends a request to the control group.
    ///
    /// # Errors
    /// When the group does not answer, or refuses.
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
            other => Err(unexpected_answer(&other)),
        }
    }

    /// Sends a request about the members of a group.
    ///
    /// # Errors
    /// When the group does not answer, or refuses.
    pub fn membership(
        &self,
        group: GroupId,
        request: MembershipRequest,
    ) -> Result<MembershipReply, Failure> {
        let request = GroupRequest::Membership(request);
        let reply = self
            .client
            .call(group, request, self.timeout)
            .context(CallSnafu {
                hint: NO_ANSWER_HINT,
            })?;
        match reply {
            GroupReply::Membership(MembershipReply::Refused { message }) => {
                Err(Failure::MembersRefused { group, message })
            }
            GroupReply::Membership(reply) => Ok(reply),
            other => Err(unexpected_answer(&other)),
        }
    }

    /// Sends a request to one replica.
    ///
    /// # Errors
    /// When the replica does not answer.
    pub fn call_replica(
        &self,
        address: SocketAddr,
        request: GroupRequest,
    ) -> Result<GroupReply, Failure> {
        self.client
            .call_at(address, GroupId::Control, request, self.timeout)
            .context(CallSnafu {
                hint: NO_ANSWER_HINT,
            })
    }

    /// Prints `value` as JSON, or as the text that `text` returns.
    pub fn print<T: Serialize>(&self, value: &T, text: impl FnOnce(&T) -> String) {
        if self.json {
            match serde_json::to_string(value) {
                Ok(json) => output::print_line(&json),
                Err(error) => eprintln!("cannot print as JSON: {error}"),
            }
        } else {
            output::print_line(&text(value));
        }
    }
}

/// Parses the intent identity of the command line, or generates a random one.
///
/// # Errors
/// When the identity is not 1 to 32 hexadecimal digits.
pub fn intent_id(hex_id: Option<&str>) -> Result<IntentId, Failure> {
    match hex_id {
        None => Ok(IntentId(rand::rng().random())),
        Some(text) => IntentId::from_hex(text).context(ArgumentSnafu {
            argument: "--intent",
            found: text,
            allowed: "1 to 32 hexadecimal digits",
        }),
    }
}

/// Returns the failure for an answer whose type does not match the request.
pub fn unexpected_answer(answer: &impl std::fmt::Debug) -> Failure {
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

/// Hint of what to check when no replica answers.
const NO_ANSWER_HINT: &str = "\nnext: are the addresses of --replicas right, and does more than \
                              half of the members run? GET /readyz at a replica's `admin` address \
                              says whether it knows a leader";

/// Returns the hint for a request without an answer: what to check and, for a request that changes
/// state, the intent identity that lets it be repeated without being applied twice.
fn no_answer_hint(request: &ControlRequest) -> String {
    match request {
        ControlRequest::Propose { intent_id, .. }
        | ControlRequest::Confirm { intent_id, .. }
        | ControlRequest::Cancel { intent_id, .. } => {
            format!("{NO_ANSWER_HINT}\nto ask again safely, add: --intent {intent_id}")
        }
        _ => NO_ANSWER_HINT.to_owned(),
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
