//! The simulated world: one queue of events, ordered by time, and all processes.
//!
//! Owns the queue, the machines ([`super::slot`]), the network and every draw that scenarios make.
//! Relies on processes for all that happens: it only moves messages and time.

use super::clock::LocalClock;
use super::history::HistoryHash;
use super::network::{Arrivals, CutKind, Departure, Network, NetworkSettings, Parcel};
use super::observer::ObserverHandle;
use super::slot::{Maker, Slot, TrapAction};
use super::trace;
use crate::events::{Event, Record};
use crate::process::{ProcessInput, ProcessOutput};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use wingshore_types::platform::OrderFence;
use wingshore_types::{Epoch, Instant, OrderSequence};

/// Shortest time between two wakes of a process.
const MIN_SLEEP: Duration = Duration::from_micros(20);

/// Events after which a world stands still: something goes round in circles.
const MAX_EVENTS: u64 = 3_000_000;

/// How fast a machine's clock may run, in millionths.
const MAX_DRIFT_PPM: i64 = 15_000;

pub(super) enum Happening {
    Arrive(Parcel),
    Wake { process: SocketAddr },
    Thaw { process: SocketAddr, boot: u64 },
}

/// All processes, the network between them, and what is to happen.
pub struct World {
    pub(super) now: Instant,
    queue: BTreeMap<(Instant, u64), Happening>,
    next_sequence: u64,
    pub(super) random: ChaCha8Rng,
    pub(super) network: Network,
    pub(super) slots: BTreeMap<SocketAddr, Slot>,
    pub(super) records: Vec<Record>,
    history: HistoryHash,
    handled: u64,
    pub(super) observer: ObserverHandle,
    trace: bool,
}

impl World {
    /// An empty world. With `trace`, all that happens is printed.
    pub fn new(seed: u64, observer: ObserverHandle, trace: bool) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let network_random = ChaCha8Rng::seed_from_u64(random.random());
        Self {
            now: Instant::ZERO,
            queue: BTreeMap::new(),
            next_sequence: 0,
            random,
            network: Network::new(NetworkSettings::default(), network_random),
            slots: BTreeMap::new(),
            records: Vec::new(),
            history: HistoryHash::default(),
            handled: 0,
            observer,
            trace,
        }
    }

    /// The simulation's own time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Draws what scenarios leave to chance.
    pub fn random(&mut self) -> &mut ChaCha8Rng {
        &mut self.random
    }

    /// How many events were handled.
    pub fn handled(&self) -> u64 {
        self.handled
    }

    /// Hash of all that happened.
    pub fn history_hash(&self) -> u64 {
        self.history.value()
    }

    /// What the simulator itself has seen.
    pub fn observer(&self) -> &ObserverHandle {
        &self.observer
    }

    /// Sets chances and times of the network from now on.
    pub fn set_network(&mut self, settings: NetworkSettings) {
        self.network.set_settings(settings);
    }

    /// Adds a machine and starts its process.
    pub fn add(&mut self, name: &str, address: SocketAddr, maker: Maker) {
        let offset = Instant(self.random.random_range(0..1_000_000_000_000));
        let drift = self.random.random_range(-MAX_DRIFT_PPM..=MAX_DRIFT_PPM);
        let clock = LocalClock::new(offset, drift);
        self.slots.insert(address, Slot::new(name, clock, maker));
        self.start(address);
    }

    /// Whether the process runs.
    pub fn is_up(&self, address: SocketAddr) -> bool {
        let slot = self.slots.get(&address);
        slot.is_some_and(|slot| slot.process.is_some())
    }

    /// Addresses of all machines whose names begin with `prefix`, in order.
    pub fn addresses(&self, prefix: &str) -> Vec<SocketAddr> {
        let named = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.name.starts_with(prefix));
        named.map(|(address, _)| *address).collect()
    }

    /// Handles all that happens within `duration`.
    pub fn run_for(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.step_before(until) {}
        self.now = until;
    }

    /// Runs until `condition` holds, for `limit` at most; says whether it holds.
    pub fn run_until(&mut self, limit: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let until = self.now + limit;
        while !condition(self) {
            if !self.step_before(until) {
                self.now = until;
                return condition(self);
            }
        }
        true
    }

    /// Records what happened, for the checkers.
    pub fn record(&mut self, source: &str, event: Event) {
        self.note_with(source, &event);
        self.show(source, &event);
        self.records.push(Record {
            at_us: self.now.0 / 1000,
            source: source.to_owned(),
            event,
        });
    }

    /// Shows the observer what it judges by.
    fn show(&self, source: &str, event: &Event) {
        match event {
            Event::Started { .. } => self.observer.process_started(source),
            Event::OrderAnswered {
                epoch,
                sequence,
                accepted: true,
                repeated: false,
            } => {
                let fence = OrderFence {
                    epoch: Epoch(*epoch),
                    sequence: OrderSequence(*sequence),
                };
                self.observer.order_taken(source, fence);
            }
            _ => {}
        }
    }

    fn step_before(&mut self, until: Instant) -> bool {
        if self.handled >= MAX_EVENTS {
            return false;
        }
        let Some(entry) = self.queue.first_entry() else {
            return false;
        };
        if entry.key().0 > until {
            return false;
        }
        let ((at, _), happening) = entry.remove_entry();
        self.now = at;
        self.handled += 1;
        self.history.number(at.0);
        self.observer.set_now(at);
        match happening {
            Happening::Arrive(parcel) => self.arrive(parcel),
            Happening::Wake { process } => self.wake(process, at),
            Happening::Thaw { process, boot } => {
                let slot = self.slots.get(&process);
                if slot.is_some_and(|slot| slot.boots == boot) {
                    self.thaw(process);
                }
            }
        }
        true
    }

    fn arrive(&mut self, parcel: Parcel) {
        let Some(slot) = self.slots.get(&parcel.to) else {
            return;
        };
        if slot.process.is_none() {
            if slot.refuses {
                let arrivals = self.network.refuse(self.now, &parcel);
                self.schedule_arrivals(arrivals);
            }
            return;
        }
        let Some(parcel) = self.network.arrive(parcel) else {
            return;
        };
        self.history.message(&parcel.message);
        if self.trace {
            self.print_parcel(&parcel);
        }
        let input = ProcessInput::Message {
            from: parcel.from,
            message: parcel.message,
        };
        self.give(parcel.to, input);
    }

    fn wake(&mut self, address: SocketAddr, at: Instant) {
        let Some(slot) = self.slots.get_mut(&address) else {
            return;
        };
        if slot.wake_at == Some(at) && slot.frozen.is_none() {
            slot.wake_at = None;
            self.give(address, ProcessInput::Wake);
        }
    }

    pub(super) fn thaw(&mut self, address: SocketAddr) {
        let Some(slot) = self.slots.get_mut(&address) else {
            return;
        };
        let Some(frozen) = slot.frozen.take() else {
            return;
        };
        let name = slot.name.clone();
        self.record_action(&name, "wake");
        self.carry_out(address, frozen.outputs);
        for input in frozen.inputs {
            self.give(address, input);
        }
        self.give(address, ProcessInput::Wake);
    }

    /// Gives an input to the process, or keeps it while it stands still.
    pub(super) fn give(&mut self, address: SocketAddr, input: ProcessInput) {
        let Some(slot) = self.slots.get_mut(&address) else {
            return;
        };
        if let Some(frozen) = &mut slot.frozen {
            frozen.inputs.push(input);
            return;
        }
        let Some(process) = &mut slot.process else {
            return;
        };
        let mut outputs = Vec::new();
        let now = slot.clock.local(self.now);
        process.step(now, input, &mut outputs);
        self.carry_out(address, outputs);
        self.schedule_wake(address);
    }

    fn carry_out(&mut self, address: SocketAddr, outputs: Vec<ProcessOutput>) {
        let mut outputs = outputs.into_iter();
        while let Some(output) = outputs.next() {
            let Some(slot) = self.slots.get_mut(&address) else {
                return;
            };
            match slot.springs(&output) {
                None => self.carry_out_one(address, output),
                Some(action) => {
                    let name = slot.name.clone();
                    self.note(&format!("trap: {action:?} at {name}"));
                    match action {
                        TrapAction::FreezeBefore(duration) => {
                            self.freeze(address, duration);
                            self.hold(address, std::iter::once(output).chain(outputs).collect());
                            return;
                        }
                        TrapAction::KillBefore => return self.kill(address, true),
                        TrapAction::KillAfter => {
                            self.carry_out_one(address, output);
                            return self.kill(address, true);
                        }
                        TrapAction::CutOffAfter => {
                            self.carry_out_one(address, output);
                            self.isolate(address, CutKind::Silent);
                        }
                    }
                }
            }
        }
    }

    fn hold(&mut self, address: SocketAddr, outputs: Vec<ProcessOutput>) {
        let slot = self.slots.get_mut(&address);
        if let Some(frozen) = slot.and_then(|slot| slot.frozen.as_mut()) {
            frozen.outputs = outputs;
        }
    }

    fn carry_out_one(&mut self, address: SocketAddr, output: ProcessOutput) {
        let Some(slot) = self.slots.get(&address) else {
            return;
        };
        match output {
            ProcessOutput::Send { to, message } => {
                let arrivals = self.network.send(self.now, address, to, message);
                self.schedule_arrivals(arrivals);
            }
            ProcessOutput::Record(event) => {
                let name = slot.name.clone();
                self.record(&name, event);
            }
            ProcessOutput::Exit if slot.is_stopping => {
                let name = slot.name.clone();
                self.note(&format!("{name} has stopped"));
                if let Some(slot) = self.slots.get_mut(&address) {
                    slot.process = None;
                }
                let departure = Departure::InOrder;
                let arrivals = self.network.process_gone(self.now, address, departure);
                self.schedule_arrivals(arrivals);
            }
            // A process that ends by itself has crashed.
            ProcessOutput::Exit => self.kill(address, true),
        }
    }

    pub(super) fn schedule_wake(&mut self, address: SocketAddr) {
        let now = self.now;
        let Some(slot) = self.slots.get_mut(&address) else {
            return;
        };
        let Some(wanted) = slot
            .process
            .as_ref()
            .and_then(|process| process.next_wake())
        else {
            slot.wake_at = None;
            return;
        };
        let at = slot.clock.global(wanted).max(now + MIN_SLEEP);
        if slot.wake_at != Some(at) {
            slot.wake_at = Some(at);
            self.schedule(at, Happening::Wake { process: address });
        }
    }

    pub(super) fn schedule_arrivals(&mut self, arrivals: Arrivals) {
        for (at, parcel) in arrivals {
            self.schedule(at, Happening::Arrive(parcel));
        }
    }

    pub(super) fn schedule(&mut self, at: Instant, happening: Happening) {
        self.queue.insert((at, self.next_sequence), happening);
        self.next_sequence += 1;
    }

    pub(super) fn note(&mut self, text: &str) {
        self.note_with("world", &text);
    }

    fn note_with(&mut self, source: &str, what: &impl std::fmt::Debug) {
        self.history.bytes(source.as_bytes());
        self.history.value_of(what);
        if self.trace {
            println!("{:>14} {source}: {what:?}", self.now.0 / 1000);
        }
    }

    fn print_parcel(&self, parcel: &Parcel) {
        let name = |address| self.slots.get(&address).map_or("?", |slot| &slot.name);
        trace::print(
            self.now,
            name(parcel.from),
            name(parcel.to),
            &parcel.message,
        );
    }
}
