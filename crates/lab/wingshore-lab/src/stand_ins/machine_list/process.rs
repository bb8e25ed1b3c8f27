//! The machine list of the platform as a process, which lags behind the truth.

use super::MachineListSettings;
use crate::events::Event;
use crate::process::{Answer, Call, Message, Process, ProcessFault, ProcessInput, ProcessOutput};
use crate::wiring::{InboundCall, Start, not_run, record};
use wingshore_types::platform::{MachineList, MachineState};
use wingshore_types::{Instant, ServerId};

/// The process.
pub struct MachineListProcess {
    settings: MachineListSettings,
    /// Each machine's states, and since when.
    changes: Vec<(Instant, ServerId, MachineState)>,
    start: Start,
}

impl MachineListProcess {
    /// A machine list that starts at `now`.
    pub fn new(now: Instant, settings: MachineListSettings, boot_id: u64) -> Self {
        Self {
            settings,
            changes: Vec::new(),
            start: Start::new(now, boot_id),
        }
    }

    /// The list as it was one lag ago.
    fn list(&self, now: Instant) -> MachineList {
        let lag = self.settings.lag;
        let mut machines = self.settings.machines.clone();
        for (at, server, state) in &self.changes {
            if now.since(*at) < lag {
                continue;
            }
            for machine in machines.iter_mut().filter(|machine| machine.id == *server) {
                machine.state = *state;
            }
        }
        let lag_ms = lag.as_millis() as u64;
        MachineList {
            as_of: now.as_millis().saturating_sub(lag_ms),
            machines,
        }
    }
}

impl Process for MachineListProcess {
    fn step(&mut self, now: Instant, input: ProcessInput, out: &mut Vec<ProcessOutput>) {
        self.start.record_once(out);
        match input {
            ProcessInput::Message {
                from,
                message: Message::Call { id, call },
            } => {
                let caller = InboundCall { from, id };
                let answer = match call {
                    Call::Machines => Answer::Machines(self.list(now)),
                    _ => not_run("no_such_path", None),
                };
                caller.answer(answer, out);
            }
            ProcessInput::Fault(ProcessFault::Machine { server, state }) => {
                let name = server.to_string();
                let event = match state {
                    MachineState::Leaving => Event::Leaving { server: name },
                    MachineState::Live => Event::Staying { server: name },
                };
                record(event, out);
                self.changes.push((now, server, state));
            }
            ProcessInput::Stop => out.push(ProcessOutput::Exit),
            ProcessInput::Message { .. } | ProcessInput::Fault(_) | ProcessInput::Wake => {}
        }
    }

    fn next_wake(&self) -> Option<Instant> {
        self.start.next_wake()
    }
}
