//! The platform's part of memory: "A process that exceeds `MemoryMb` is killed", and "when a
//! process ends or is killed, it is started again after a short delay".

use crate::base::{KIND_COORDINATOR, KIND_GATEWAY, Record, Site};
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// `MemoryMb` of a `storage` machine and of an `edge` machine (raspored-hr).
pub const STORAGE_MB: u64 = 290;
pub const EDGE_MB: u64 = 260;
const RESTART_DELAY: Duration = Duration::from_millis(600);

pub struct Limits {
    storage_mb: u64,
    edge_mb: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { storage_mb: STORAGE_MB, edge_mb: EDGE_MB }
    }
}

pub struct Platform {
    is_over: Arc<AtomicBool>,
    ends: Arc<Mutex<Vec<String>>>,
    thread: JoinHandle<()>,
}

impl Platform {
    pub fn start(site: Site, limits: Limits, record: Arc<Record>) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let ends = Arc::new(Mutex::new(Vec::new()));
        let (seen, noted) = (Arc::clone(&is_over), Arc::clone(&ends));
        let thread = thread::spawn(move || watch(site, &limits, &record, &seen, &noted));
        Self { is_over, ends, thread }
    }

    /// Returns the names of the processes that have ended so far.
    pub fn ends(&self) -> Vec<String> {
        self.ends.lock().unwrap().clone()
    }

    /// Ends the site; returns the names of the processes that ended for memory or by themselves.
    pub fn stop(self) -> Vec<String> {
        self.is_over.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
        let ends = self.ends.lock().unwrap();
        ends.clone()
    }
}

fn watch(mut site: Site, limits: &Limits, record: &Record, is_over: &AtomicBool, ends: &Mutex<Vec<String>>) {
    let mut most = (0, 0);
    let mut down: Vec<(u8, usize, Instant)> = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        for (kind, limit_mb) in [(KIND_COORDINATOR, limits.storage_mb), (KIND_GATEWAY, limits.edge_mb)] {
            let is_coordinator = kind == KIND_COORDINATOR;
            let processes = if is_coordinator { &mut site.coordinators } else { &mut site.gateways };
            for (index, process) in processes.iter_mut().enumerate() {
                if down.iter().any(|(other, place, _)| (*other, *place) == (kind, index)) {
                    continue;
                }
                let resident = process.resident();
                let peak = if is_coordinator { &mut most.0 } else { &mut most.1 };
                *peak = resident.max(*peak);
                let has_ended = process.has_ended();
                // The platform's megabytes are taken as 2^20 bytes, the larger reading.
                if resident <= limit_mb << 20 && !has_ended {
                    continue;
                }
                process.kill();
                let reason = if has_ended { "by itself" } else { "over MemoryMb" };
                record.say(format!("{} ended {reason}: {} MiB resident, MemoryMb {limit_mb}", process.name, resident >> 20));
                ends.lock().unwrap().push(process.name.clone());
                down.push((kind, index, Instant::now()));
            }
        }
        let is_due = |since: &Instant| since.elapsed() >= RESTART_DELAY;
        let due: Vec<(u8, usize, Instant)> = down.iter().filter(|(_, _, since)| is_due(since)).copied().collect();
        for (kind, index, _) in due {
            site.start_again(kind, index);
            down.retain(|(other, place, _)| (*other, *place) != (kind, index));
        }
        thread::sleep(Duration::from_millis(4));
    }
    record.say(format!("most resident: coordinators {} MiB, gateways {} MiB", most.0 >> 20, most.1 >> 20));
}
