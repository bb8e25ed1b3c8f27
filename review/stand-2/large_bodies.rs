//! Case 8: clients send large bodies to one gateway while the servers read slowly. The stand-in
//! for the platform ends a process that exceeds its `MemoryMb` and starts it again.

use crate::base::*;
use crate::platform::{Limits, Platform, STORAGE_MB};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

/// Requests at the same time at one gateway.
const CLIENTS: usize = 4;
/// Bytes of a body; `MaxBodyBytes` is 33,554,432.
const BODY_BYTES: usize = 33_000_000;
const ROUNDS: usize = 6;
const ROUND_TIME: Duration = Duration::from_secs(11);

pub fn run(folder: &str) -> i32 {
    let record = Record::create(&format!("{folder}/record.txt"));
    let is_trouble = trouble();
    let mut site = Site::new(Shape {
        coordinators: 3,
        gateways: 2,
        coordinator_memory_mb: STORAGE_MB,
        behind_proxies: false,
    });
    site.start();
    if !insist(Duration::from_secs(10), &site.controls(), "PUT", "/config", configuration(1).as_bytes()) {
        record.say("the first configuration is not acknowledged");
        return CANNOT_RUN;
    }
    let seen = Arc::new(Seen::default());
    seen.reads_slowly.store(is_trouble, Ordering::Relaxed);
    for index in 0..3 {
        server(&site, index, "charges", false, &seen);
    }
    thread::sleep(Duration::from_secs(2));
    let fronts = site.fronts();
    let platform = Platform::start(site, Limits::default(), Arc::clone(&record));
    record.say(format!("servers read slowly, and clients come at the same moment: {is_trouble}"));
    let begun = Instant::now();
    let barrier = Arc::new(Barrier::new(CLIENTS));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (fronts, record, barrier) = (fronts.clone(), Arc::clone(&record), Arc::clone(&barrier));
            thread::spawn(move || {
                let body = vec![b'x'; BODY_BYTES];
                for round in 0..ROUNDS {
                    thread::sleep((ROUND_TIME * round as u32).saturating_sub(begun.elapsed()));
                    // Without the disruption the servers read at once, and the clients come one after the other.
                    if is_trouble {
                        barrier.wait();
                    } else {
                        thread::sleep(Duration::from_millis(2_000 * index as u64));
                    }
                    let to = fronts[round % fronts.len()];
                    let id = format!("9c41d07b{round:04x}{index:04x}");
                    let headers = [("Host", HOST), ("Request-Id", id.as_str()), ("Deadline-Ms", "9000")];
                    let answer = call(Duration::from_secs(9), to, "POST", "/charge/2f", &headers, &body);
                    let status = answer.map(|answer| answer.status);
                    record.say(format!("request {id}, {BODY_BYTES} bytes, sent to {to}: {status:?}"));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    seen.stopped.store(true, Ordering::Relaxed);
    let ends = platform.stop();
    record.say(format!("requests that ran at the servers: {}", seen.runs.lock().unwrap().len()));
    record.say(format!("processes that ended for memory: {}", ends.join(", ")));
    let machines: std::collections::BTreeSet<&String> = ends.iter().collect();
    let is_broken = ends.len() >= 3 && machines.len() >= 2;
    record.say(format!("Fault: {} ends on {} machines of 5; broken: {is_broken}", ends.len(), machines.len()));
    i32::from(is_broken)
}
