//! Case 6: trainers submit one step each, one after the other, and end it when it is due. What the
//! coordinators remember of ended jobs grows; the stand-in for the platform ends a process that
//! exceeds its `MemoryMb` and starts it again, with its disk.

use crate::base::*;
use crate::platform::{Limits, Platform, STORAGE_MB};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Trainers, as in the users' first letter; each asks for one step, every 1.6 s another trainer.
const TRAINERS: usize = 31;
const TRAINER_GAP: Duration = Duration::from_millis(1_600);
/// Items of a job: the samples of a step in the users' first letter; without the disruption 54
/// groups of 4, as in the sheet of raspored-hr.
const ITEMS: usize = 16_384;
const FEW_ITEMS: usize = 216;
/// Bytes of the body of an item.
const ITEM_BYTES: usize = 8;
/// `DueMs`: the trainers end their jobs then.
const DUE: Duration = Duration::from_millis(7_500);
/// The rest after the last job is due (`RecoverS` is 12 s), and the time in which all is read (`FinishS` is 10 s).
const REST: Duration = Duration::from_secs(16);
const FINISH: Duration = Duration::from_secs(18);

pub fn run(folder: &str) -> i32 {
    let record = Record::create(&format!("{folder}/record.txt"));
    let items = if trouble() { ITEMS } else { FEW_ITEMS };
    let mut site = Site::new(Shape {
        coordinators: 3,
        gateways: 6,
        coordinator_memory_mb: STORAGE_MB,
        behind_proxies: false,
    });
    site.start();
    let (controls, fronts) = (site.controls(), site.fronts());
    if !insist(Duration::from_secs(10), &controls, "PUT", "/config", configuration(1).as_bytes()) {
        record.say("the first configuration is not acknowledged");
        return CANNOT_RUN;
    }
    let seen = Arc::new(Seen::default());
    for index in 0..3 {
        server(&site, index, "engines", true, &seen);
    }
    thread::sleep(Duration::from_secs(2));
    let platform = Platform::start(site, Limits::default(), Arc::clone(&record));
    record.say(format!("{TRAINERS} trainers, {items} items in a job"));
    let begun = Instant::now();
    let accepted: Arc<Mutex<Vec<String>>> = Arc::default();
    let over = Arc::new(AtomicBool::new(false));
    let mut jobs = Vec::new();
    for trainer in 0..TRAINERS {
        let (fronts, record) = (fronts.clone(), Arc::clone(&record));
        let (accepted, over) = (Arc::clone(&accepted), Arc::clone(&over));
        jobs.push(thread::spawn(move || {
            thread::sleep(TRAINER_GAP * trainer as u32);
            one_step(trainer, items, &fronts, &accepted, &over, &record);
        }));
    }
    thread::sleep((TRAINER_GAP * TRAINERS as u32 + DUE).saturating_sub(begun.elapsed()));
    thread::sleep(REST);
    over.store(true, Ordering::Relaxed);
    let ends_before = platform.ends().len();
    for job in jobs {
        let _ = job.join();
    }
    // The end of the day: the configuration and some of the accepted jobs are read.
    let accepted = accepted.lock().unwrap().clone();
    let sample: Vec<&String> = accepted.iter().step_by((accepted.len() / 4).max(1)).take(4).collect();
    let finish = Instant::now();
    let mut config = None;
    let mut reads = vec![None; sample.len()];
    while finish.elapsed() < FINISH && (config != Some(200) || reads.iter().any(|read| *read != Some(200))) {
        for to in &controls {
            if config != Some(200) {
                config = control(Duration::from_secs(1), *to, "GET", "/config", b"").map(|answer| answer.status);
            }
        }
        for (index, id) in sample.iter().enumerate() {
            if reads[index] != Some(200) {
                let to = fronts[(index + finish.elapsed().as_millis() as usize) % fronts.len()];
                let target = format!("/lots/{id}?AfterRev=0");
                reads[index] = call(Duration::from_millis(2_500), to, "GET", &target, &[("Host", HOST)], b"")
                    .map(|answer| answer.status);
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    record.say(format!("end of the day: GET /config {config:?}; reads of accepted jobs: {:?}", sample.iter().zip(&reads).collect::<Vec<_>>()));
    seen.stopped.store(true, Ordering::Relaxed);
    record.say(format!("jobs accepted: {}; items that ran at the servers: {}", accepted.len(), seen.runs.lock().unwrap().len()));
    let ends = platform.stop();
    record.say(format!(
        "ends of processes for memory: {}, {} of them since the last job was due",
        ends.len(),
        ends.len() - ends_before
    ));
    let is_lost = reads.iter().any(|read| *read != Some(200));
    let is_config_broken = config != Some(200);
    let machines: std::collections::BTreeSet<&String> = ends.iter().collect();
    let is_fault = ends.len() >= 3 && machines.len() >= 2;
    record.say(format!("LOST broken: {is_lost}; CONFIG broken: {is_config_broken}; Fault: {is_fault}"));
    i32::from(is_fault || is_lost || is_config_broken)
}

/// One step of a trainer: submits its job until it is taken, and ends it when it is due.
fn one_step(
    trainer: usize,
    items: usize,
    fronts: &[SocketAddr],
    accepted: &Mutex<Vec<String>>,
    over: &AtomicBool,
    record: &Record,
) {
    let id = format!("7c41e09b0000{trainer:04x}");
    let body = job(0, items, ITEM_BYTES, &mut Draw::new(trainer as u64 + 11), &id);
    let begun = Instant::now();
    let mut turn = trainer;
    let mut is_accepted = false;
    while begun.elapsed() < DUE && !is_accepted && !over.load(Ordering::Relaxed) {
        let to = fronts[turn % fronts.len()];
        let headers = [("Host", HOST), ("Request-Id", id.as_str()), ("Content-Type", "application/json")];
        let answer = call(Duration::from_secs(4), to, "POST", "/roll/7c41e0", &headers, &body);
        let status = answer.as_ref().map(|answer| answer.status);
        record.say(format!("job {id}, {} bytes, submitted at {to}: {status:?}", body.len()));
        is_accepted = status == Some(202);
        turn += 1;
        let pause = answer.and_then(|answer| answer.header("retry-after")?.parse::<f64>().ok()).unwrap_or(0.5);
        if !is_accepted {
            thread::sleep(Duration::from_secs_f64(pause.clamp(0.3, 2.0)));
        }
    }
    if !is_accepted {
        return;
    }
    accepted.lock().unwrap().push(id.clone());
    thread::sleep(DUE.saturating_sub(begun.elapsed()));
    while !over.load(Ordering::Relaxed) {
        turn += 1;
        let to = fronts[turn % fronts.len()];
        let answer = call(Duration::from_millis(2_500), to, "DELETE", &format!("/lots/{id}"), &[("Host", HOST)], b"");
        let status = answer.map(|answer| answer.status);
        record.say(format!("job {id} is ended: {status:?}"));
        if status == Some(200) {
            return;
        }
        thread::sleep(Duration::from_millis(500));
    }
}
