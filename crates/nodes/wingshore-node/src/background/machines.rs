//! Polls the platform's machine list.

use crate::state::NodeState;
use slog::warn;
use std::time::Duration;
use wingshore_types::platform::MachineList;

/// Path of the machine list on the platform.
const MACHINES_PATH: &str = "/machines";
/// Timeout of one read of the machine list.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Polls the machine list until the node stops.
pub fn read_machine_list(node: &NodeState) {
    let Some(address) = node.settings.machine_list else {
        return;
    };
    loop {
        match node
            .upstream
            .get_json::<MachineList>(address, MACHINES_PATH, TIMEOUT)
        {
            Ok(list) => node.router().on_machine_list(node.clock.now(), &list),
            Err(error) => {
                warn!(node.diagnostics.logger(), "cannot read the machine list";
                    "error" => error.to_string());
            }
        }
        if node.stop.wait_timeout(node.settings.machine_list_poll) {
            return;
        }
    }
}
