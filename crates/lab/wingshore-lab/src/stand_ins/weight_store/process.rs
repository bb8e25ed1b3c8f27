//! The weight store as a process: keeps published versions and hands them out at a limited rate.

use crate::events::Event;
use crate::process::{Answer, Call, Message, Process, ProcessInput, ProcessOutput};
use crate::stand_ins::weight_store::WeightStoreSettings;
use crate::wiring::{InboundCall, Start, Timers, not_run, record};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wingshore_types::{Instant, WeightVersion};

/// Retry-after of a store that is full.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A version of a model.
type Key = (String, WeightVersion);

/// The process. Every version has the size of the first one.
pub struct WeightStoreProcess {
    settings: WeightStoreSettings,
    start: Start,
    versions: BTreeSet<Key>,
    fetches: BTreeMap<InboundCall, Key>,
    ends: Timers<InboundCall>,
}

impl WeightStoreProcess {
    /// A store that starts at `now`.
    pub fn new(now: Instant, settings: WeightStoreSettings, boot_id: u64) -> Self {
        Self {
            settings,
            start: Start::new(now, boot_id),
            versions: BTreeSet::new(),
            fetches: BTreeMap::new(),
            ends: Timers::default(),
        }
    }

    fn on_call(
        &mut self,
        now: Instant,
        caller: InboundCall,
        call: Call,
        out: &mut Vec<ProcessOutput>,
    ) {
        match call {
            Call::StoreWeights { model, version } => {
                self.versions.insert((model.clone(), version));
                record(Event::WeightsStored { model, version }, out);
                caller.answer(Answer::Done, out);
            }
            Call::FetchWeights { model, version } => self.send(now, caller, (model, version), out),
            _ => caller.answer(not_run("no_such_path", None), out),
        }
    }

    /// Sends a version at this fetch's share of the rate.
    fn send(&mut self, now: Instant, caller: InboundCall, key: Key, out: &mut Vec<ProcessOutput>) {
        let is_known = key.1 == WeightVersion(0) || self.versions.contains(&key);
        if !is_known {
            return caller.answer(not_run("no_such_version", None), out);
        }
        if self.fetches.len() >= self.settings.most_fetches {
            return caller.answer(not_run("too_many_fetches", Some(RETRY_AFTER)), out);
        }
        self.fetches.insert(caller, key);
        let sharing = self.fetches.len() as f64;
        let bytes = self.settings.initial_bytes as f64;
        let rate = self.settings.bytes_per_second.max(1) as f64;
        let time = Duration::from_secs_f64(bytes * sharing / rate);
        self.ends.set(now + time, caller);
    }
}

impl Process for WeightStoreProcess {
    fn step(&mut self, now: Instant, input: ProcessInput, out: &mut Vec<ProcessOutput>) {
        self.start.record_once(out);
        while let Some(caller) = self.ends.take_due(now) {
            if let Some((model, version)) = self.fetches.remove(&caller) {
                record(Event::WeightsSent { model, version }, out);
                caller.answer(Answer::Done, out);
            }
        }
        match input {
            ProcessInput::Message { from, message } => match message {
                Message::Call { id, call } => {
                    self.on_call(now, InboundCall { from, id }, call, out);
                }
                Message::HangUp { id } => {
                    self.fetches.remove(&InboundCall { from, id });
                }
                _ => {}
            },
            ProcessInput::Stop => out.push(ProcessOutput::Exit),
            ProcessInput::Fault(_) | ProcessInput::Wake => {}
        }
    }

    fn next_wake(&self) -> Option<Instant> {
        self.start.next_wake().or(self.ends.next())
    }
}
