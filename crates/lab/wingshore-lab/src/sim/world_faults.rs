//! What is done to processes and links from outside: starts, kills, freezes, cuts, traps.

use super::network::{CutKind, Departure};
use super::observer::SimPromise;
use super::slot::{Boot, Frozen, Trap};
use super::world::{Happening, World};
use crate::events::Event;
use crate::process::{ProcessFault, ProcessInput};
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

impl World {
    /// Starts the process, unless it runs.
    pub fn start(&mut self, address: SocketAddr) {
        let seed = self.random.random();
        let Some(slot) = self.slots.get_mut(&address) else {
            return;
        };
        if slot.process.is_some() {
            return;
        }
        let boot = Boot {
            now: slot.clock.local(self.now),
            seed,
            number: slot.boots,
        };
        slot.boots += 1;
        slot.is_stopping = false;
        slot.refuses = true;
        slot.wake_at = None;
        let made = (slot.maker)(boot);
        let name = slot.name.clone();
        match made {
            Ok(process) => {
                slot.process = Some(process);
                self.record_action(&name, "start");
                self.schedule_wake(address);
            }
            Err(reason) => {
                let detail = format!("{name} does not start: {reason}");
                self.note(&detail);
                self.observer().violate(SimPromise::NoCrash, detail);
            }
        }
    }

    /// Kills the process: all it knew is gone. Where `noticed`, its connections break; otherwise
    /// the machine itself is gone and there is silence.
    pub fn kill(&mut self, address: SocketAddr, noticed: bool) {
        let Some(slot) = self.slots.get_mut(&address) else {
            return;
        };
        if slot.process.take().is_none() {
            return;
        }
        slot.frozen = None;
        slot.wake_at = None;
        slot.trap = None;
        slot.refuses = noticed;
        let name = slot.name.clone();
        self.record_action(&name, "kill");
        let departure = match noticed {
            true => Departure::Broken,
            false => Departure::Silent,
        };
        let arrivals = self.network.process_gone(self.now, address, departure);
        self.schedule_arrivals(arrivals);
    }

    /// Begins a planned stop.
    pub fn stop(&mut self, address: SocketAddr) {
        let Some(slot) = self.slots.get_mut(&address) else {
            return;
        };
        slot.is_stopping = true;
        let name = slot.name.clone();
        self.record_action(&name, "stop");
        self.give(address, ProcessInput::Stop);
    }

    /// Lets the process stand still for a while: what reaches it waits.
    pub fn freeze(&mut self, address: SocketAddr, duration: Duration) {
        let Some(slot) = self.slots.get_mut(&address) else {
            return;
        };
        if slot.process.is_none() || slot.frozen.is_some() {
            return;
        }
        slot.frozen = Some(Frozen::default());
        let (name, boot) = (slot.name.clone(), slot.boots);
        self.record_action(&name, "freeze");
        let thaw = Happening::Thaw {
            process: address,
            boot,
        };
        self.schedule(self.now + duration, thaw);
    }

    /// Waits for an output of the process.
    pub fn set_trap(&mut self, address: SocketAddr, trap: Trap) {
        if let Some(slot) = self.slots.get_mut(&address) {
            slot.trap = Some(trap);
        }
    }

    /// Whether a trap still waits.
    pub fn has_trap(&self, address: SocketAddr) -> bool {
        let slot = self.slots.get(&address);
        slot.is_some_and(|slot| slot.trap.is_some())
    }

    /// Switches a fault of a stand-in on.
    pub fn inject(&mut self, address: SocketAddr, fault: ProcessFault) {
        self.give(address, ProcessInput::Fault(fault));
    }

    /// Lets some time pass.
    pub fn pause(&mut self, shortest_ms: u64, longest_ms: u64) {
        let time = self.random.random_range(shortest_ms..=longest_ms);
        self.run_for(Duration::from_millis(time));
    }

    /// Draws a kind of cut.
    pub fn any_cut(&mut self) -> CutKind {
        match self.random.random_bool(0.5) {
            true => CutKind::Silent,
            false => CutKind::Stalled,
        }
    }

    /// Cuts all links of a machine, to it and from it.
    pub fn isolate(&mut self, address: SocketAddr, kind: CutKind) {
        for other in self.slots.keys().copied().collect::<Vec<_>>() {
            self.cut(address, other, kind);
            self.cut(other, address, kind);
        }
    }

    /// Cuts one link in one direction.
    pub fn cut(&mut self, from: SocketAddr, to: SocketAddr, kind: CutKind) {
        if from != to {
            self.network.cut(from, to, kind);
        }
    }

    /// Heals all links of a machine.
    pub fn rejoin(&mut self, address: SocketAddr) {
        for (from, to) in self.network.cuts() {
            if from == address || to == address {
                let arrivals = self.network.heal(self.now, from, to);
                self.schedule_arrivals(arrivals);
            }
        }
    }

    /// Heals all links, lets all frozen processes go on and starts all that are down.
    pub fn heal_all(&mut self) {
        for address in self.slots.keys().copied().collect::<Vec<_>>() {
            self.rejoin(address);
            self.thaw(address);
            if let Some(slot) = self.slots.get_mut(&address) {
                slot.trap = None;
            }
            self.start(address);
        }
    }

    /// Records what was done to a process.
    pub fn record_action(&mut self, process: &str, action: &str) {
        let event = Event::ProcessAction {
            process: process.to_owned(),
            action: action.to_owned(),
        };
        self.record("world", event);
    }
}
