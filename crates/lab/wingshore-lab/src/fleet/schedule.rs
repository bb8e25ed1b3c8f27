//! What happens to a running site and when: operations of every run, and the faults asked for.

use super::error::FleetError;
use super::faults::Fault;
use super::lab_settings::LabSettings;
use super::running::RunningSite;
use crate::events::Event;
use crate::http_client::HttpClient;
use crate::stand_ins::machine_list::LeavingRequest;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use wingshore_types::ServerId;
use wingshore_types::platform::MachineState;

/// How long an operator goes on trying during a run.
const OPERATION_LIMIT: Duration = Duration::from_secs(15);
/// How long a planned stop of a node may take.
const NODE_STOP_LIMIT: Duration = Duration::from_secs(30);
/// Longest call to a stand-in.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// One thing that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// An operator drains a server by a confirmed plan.
    Drain,
    /// An operator opens it again.
    Restore,
    /// The machine list learns that a machine is leaving.
    Leave,
    /// The machine list learns that it stays after all.
    Stay,
    /// A node has a planned stop and is started again.
    RestartNode,
    /// A fault begins.
    Fault(Fault),
}

/// An action and when it is due, counted from the start of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueAction {
    pub at: Duration,
    pub action: Action,
}

/// Operations at fixed parts of the run, faults spread evenly between.
pub fn schedule(length: Duration, faults: &[Fault]) -> Vec<DueAction> {
    /// The part of the run after which an operation is due, and the operation.
    const OPERATIONS: [(f64, Action); 5] = [
        (0.15, Action::Drain),
        (0.20, Action::Leave),
        (0.55, Action::RestartNode),
        (0.70, Action::Restore),
        (0.80, Action::Stay),
    ];
    let mut due: Vec<DueAction> = OPERATIONS
        .iter()
        .map(|(part, action)| DueAction {
            at: length.mul_f64(*part),
            action: *action,
        })
        .collect();
    let parts = faults.len() as f64;
    due.extend(faults.iter().enumerate().map(|(number, fault)| DueAction {
        at: length.mul_f64(0.1 + 0.8 * number as f64 / parts),
        action: Action::Fault(*fault),
    }));
    due.sort_by_key(|due| due.at);
    due
}

/// Carries actions out.
pub struct Performer<'a> {
    /// How the stand-ins behave.
    pub lab: &'a LabSettings,
    /// Data folders.
    pub data: &'a Path,
}

impl Performer<'_> {
    /// Carries one action out.
    pub fn perform(&self, site: &mut RunningSite, action: Action) -> Result<(), FleetError> {
        let operations = &self.lab.operations;
        match action {
            Action::Drain => self.drain(site, &operations.drained_server),
            Action::Restore => self.restore(site, &operations.drained_server),
            Action::Leave => self.list(&operations.leaving_server, MachineState::Leaving),
            Action::Stay => self.list(&operations.leaving_server, MachineState::Live),
            Action::RestartNode => restart_node(site, &operations.restarted_node),
            Action::Fault(fault) => fault.inject(site, self.data),
        }
    }

    fn drain(&self, site: &RunningSite, server: &str) -> Result<(), FleetError> {
        site.operator
            .carry_out(&["drain", server], OPERATION_LIMIT)?;
        site.log.write(Event::Leaving {
            server: server.to_owned(),
        });
        Ok(())
    }

    fn restore(&self, site: &RunningSite, server: &str) -> Result<(), FleetError> {
        site.log.write(Event::Staying {
            server: server.to_owned(),
        });
        site.operator
            .carry_out(&["restore", server], OPERATION_LIMIT)
            .map(|_| ())
    }

    fn list(&self, server: &str, state: MachineState) -> Result<(), FleetError> {
        let request = LeavingRequest {
            server: ServerId::new(server),
            state,
        };
        post(self.lab.network.machine_list, "/lab/leaving", &request)
    }
}

/// Posts JSON to a stand-in.
pub fn post<T: serde::Serialize>(
    address: SocketAddr,
    path: &str,
    body: &T,
) -> Result<(), FleetError> {
    let url = format!("http://{address}{path}");
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let answer = HttpClient::new(CALL_TIMEOUT).post(&url, &[], &bytes);
    let problem = match answer {
        Ok(answer) if answer.is_success() => return Ok(()),
        Ok(answer) => format!("status {}", answer.status),
        Err(error) => error.to_string(),
    };
    Err(FleetError::Process {
        name: url,
        source: std::io::Error::other(problem),
    })
}

fn restart_node(site: &mut RunningSite, name: &str) -> Result<(), FleetError> {
    let node = site.node(name)?;
    node.stop(NODE_STOP_LIMIT)?;
    node.start_again()
}
