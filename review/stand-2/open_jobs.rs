//! Case 7: trainers submit one batch job each at the same moment, step by step. The stand-in for
//! the platform ends a process that exceeds its `MemoryMb` and starts it again, as the pages say.

use crate::base::*;
use crate::platform::{Limits, Platform, STORAGE_MB};
use std::net::SocketAddr;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

/// Trainers: four, as in the sheets of pawbook and mwakilema.
const TRAINERS: usize = 4;
/// Steps of each trainer, and the time between two of them; a trainer asks for a step each 4 s.
const STEPS: usize = 6;
const STEP_TIME: Duration = Duration::from_secs(12);
/// Items of a job: 56 groups of 4, as in the sheet of laksalari.
const ITEMS: usize = 224;
/// Bytes of the body of an item: the whole job, in base64, stays below `MaxBodyBytes`, 33,554,432.
const ITEM_BYTES: usize = 108_000;
/// `DueMs`: the trainers end their jobs then.
const DUE: Duration = Duration::from_millis(7_500);

pub fn run(folder: &str) -> i32 {
    let record = Record::create(&format!("{folder}/record.txt"));
    let is_trouble = trouble();
    let mut site = Site::new(Shape {
        coordinators: 3,
        gateways: 6,
        coordinator_memory_mb: STORAGE_MB,
        behind_proxies: false,
    });
    site.start();
    if !insist(Duration::from_secs(10), &site.controls(), "PUT", "/config", configuration(1).as_bytes()) {
        record.say("the first configuration is not acknowledged");
        return CANNOT_RUN;
    }
    let seen = Arc::new(Seen::default());
    for index in 0..3 {
        server(&site, index, "engines", true, &seen);
    }
    thread::sleep(Duration::from_secs(2));
    let fronts = site.fronts();
    let platform = Platform::start(site, Limits::default(), Arc::clone(&record));
    record.say(format!("{TRAINERS} trainers, {ITEMS} items in a job; at the same moment: {is_trouble}"));
    let begun = Instant::now();
    let barrier = Arc::new(Barrier::new(TRAINERS));
    let trainers: Vec<_> = (0..TRAINERS)
        .map(|index| {
            let (fronts, record, barrier) = (fronts.clone(), Arc::clone(&record), Arc::clone(&barrier));
            thread::spawn(move || {
                for step in 0..STEPS {
                    let id = format!("7c41e09b{step:04x}{index:04x}");
                    let body = job(step as u64, ITEMS, ITEM_BYTES, &mut Draw::new((step * 16 + index) as u64 + 11), &id);
                    let start = STEP_TIME * step as u32;
                    // Without the disruption the trainers take turns: a job is ended before the next one comes.
                    let turn = if is_trouble { Duration::ZERO } else { STEP_TIME / TRAINERS as u32 * index as u32 };
                    thread::sleep((start + turn).saturating_sub(begun.elapsed()));
                    if is_trouble {
                        barrier.wait();
                    }
                    let time = if is_trouble { DUE } else { Duration::from_millis(1_500) };
                    one_step(index, &id, &fronts, &body, time, &record);
                }
            })
        })
        .collect();
    for trainer in trainers {
        let _ = trainer.join();
    }
    seen.stopped.store(true, std::sync::atomic::Ordering::Relaxed);
    let ends = platform.stop();
    record.say(format!("items that ran at the servers: {}", seen.runs.lock().unwrap().len()));
    record.say(format!("processes that ended for memory: {}", ends.join(", ")));
    let machines: std::collections::BTreeSet<&String> = ends.iter().collect();
    let is_broken = ends.len() >= 3 && machines.len() >= 2;
    record.say(format!("Fault: {} ends on {} machines of 9; broken: {is_broken}", ends.len(), machines.len()));
    i32::from(is_broken)
}

/// One step of a trainer: submits its job until it is taken, and ends it when it is due.
fn one_step(index: usize, id: &str, fronts: &[SocketAddr], body: &[u8], due: Duration, record: &Record) {
    let begun = Instant::now();
    let mut turn = index;
    let mut is_accepted = false;
    while begun.elapsed() < due && !is_accepted {
        let to = fronts[turn % fronts.len()];
        let headers = [("Host", HOST), ("Request-Id", id), ("Content-Type", "application/json")];
        let answer = call(Duration::from_secs(4), to, "POST", "/roll/7c41e0", &headers, body);
        let status = answer.as_ref().map(|answer| answer.status);
        record.say(format!("job {id}, {} bytes, submitted at {to}: {status:?}", body.len()));
        is_accepted = status == Some(202);
        turn += 1;
        let pause = answer.and_then(|answer| answer.header("retry-after")?.parse::<f64>().ok()).unwrap_or(0.5);
        if !is_accepted {
            thread::sleep(Duration::from_secs_f64(pause.clamp(0.2, 2.0)));
        }
    }
    if !is_accepted {
        return;
    }
    thread::sleep(due.saturating_sub(begun.elapsed()));
    for _ in 0..8 {
        turn += 1;
        let to = fronts[turn % fronts.len()];
        let answer = call(Duration::from_millis(2_500), to, "DELETE", &format!("/lots/{id}"), &[("Host", HOST)], b"");
        let status = answer.map(|answer| answer.status);
        record.say(format!("job {id} is ended: {status:?}"));
        if status == Some(200) {
            return;
        }
        thread::sleep(Duration::from_millis(300));
    }
}
