//! The machine list of the platform as a process, which lags behind the truth.

use crate::events::Event;
use crate::process::{
    Answer, Call, Process, ProcessFault, ProcessInput, ProcessOutput, SimMessage,
};
use crate::stand_ins::machine_list::MachineListSettings;
use crate::stand_ins::machine_list::core::MachineListCore;
use crate::wiring::{InboundCall, not_run, record};
use wingshore_types::Instant;
use wingshore_types::platform::MachineState;

/// The process.
pub struct MachineListProcess {
    core: MachineListCore,
    boot_id: u64,
    started_at: Option<Instant>,
}

impl MachineListProcess {
    /// A machine list that starts at `now`.
    pub fn new(now: Instant, settings: MachineListSettings, boot_id: u64) -> Self {
        Self {
            core: MachineListCore::new(settings),
            boot_id,
            started_at: Some(now),
        }
    }
}

impl Process for MachineListProcess {
    fn step(&mut self, now: Instant, input: ProcessInput, out: &mut Vec<ProcessOutput>) {
        if self.started_at.take().is_some() {
            let boot_id = self.boot_id;
            record(Event::Started { boot_id }, out);
        }
        match input {
            ProcessInput::Message {
                from,
                message: SimMessage::Call { id, call },
            } => {
                let caller = InboundCall { from, id };
                let answer = match call {
                    Call::Machines => Answer::Machines(self.core.list(now, now.as_millis())),
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
                self.core.change(now, server, state);
            }
            ProcessInput::Stop => out.push(ProcessOutput::Exit),
            ProcessInput::Message { .. } | ProcessInput::Fault(_) | ProcessInput::Wake => {}
        }
    }

    fn next_wake(&self) -> Option<Instant> {
        self.started_at
    }
}
