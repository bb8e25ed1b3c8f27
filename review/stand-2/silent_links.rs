//! Case 4: the connections that are open between the machines at one moment go silent for good,
//! without a reset, while new ones work.

use crate::base::*;
use crate::platform::STORAGE_MB;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Time from the silence to the end of the day: many times `ContactMs` (3 s) and `RecoverS` (12 s).
const REST: Duration = Duration::from_secs(40);
/// `FinishS`: how long the operator and the trainer ask at the end of the day.
const FINISH: Duration = Duration::from_secs(15);
const JOB: &str = "7c41e09b52d6a3f8";

pub fn run(folder: &str) -> i32 {
    let record = Record::create(&format!("{folder}/record.txt"));
    let is_trouble = trouble();
    let mut site = Site::new(Shape {
        coordinators: 3,
        gateways: 2,
        coordinator_memory_mb: STORAGE_MB,
        behind_proxies: true,
    });
    let proxies: Vec<Proxy> = (0..3)
        .map(|index| Proxy::start(site.at(KIND_COORDINATOR, index, INTERNAL), site.at(KIND_BEHIND, index, INTERNAL)))
        .collect();
    site.start();
    let controls = site.controls();
    let fronts = site.fronts();
    if !insist(Duration::from_secs(10), &controls, "PUT", "/config", configuration(1).as_bytes()) {
        record.say("the first configuration is not acknowledged");
        return CANNOT_RUN;
    }
    let seen = Arc::new(Seen::default());
    for index in 0..2 {
        server(&site, index, "engines", true, &seen);
    }
    thread::sleep(Duration::from_secs(2));
    let body = job(0, 8, 600, &mut Draw::new(5), JOB);
    let headers = [("Host", HOST), ("Request-Id", JOB), ("Content-Type", "application/json")];
    let begun = Instant::now();
    let accepted = (0..10).any(|turn| {
        let answer = call(Duration::from_secs(3), fronts[turn % 2], "POST", "/roll/7c41e0", &headers, &body);
        thread::sleep(Duration::from_millis(200));
        answer.is_some_and(|answer| answer.status == 202)
    });
    thread::sleep(Duration::from_secs(2));
    let listed = read(fronts[0]);
    record.say(format!("job accepted: {accepted}; read: {listed:?}"));
    let version_2 = insist(Duration::from_secs(4), &controls, "PUT", "/config", configuration(2).as_bytes());
    record.say(format!("configuration 2 acknowledged: {version_2}"));
    if !accepted || !version_2 || listed != Some(200) {
        return CANNOT_RUN;
    }
    if is_trouble {
        proxies.iter().for_each(Proxy::silence);
        record.say("the connections that are open between the machines go silent; new ones work");
    }
    let opened_before: u64 = proxies.iter().map(|proxy| proxy.opened.load(Ordering::SeqCst)).sum();
    let end = Instant::now() + REST;
    let mut version = 2;
    while Instant::now() < end {
        version += 1;
        let is_acknowledged = insist(Duration::from_secs(5), &controls, "PUT", "/config", configuration(version).as_bytes());
        record.say(format!("configuration {version} acknowledged: {is_acknowledged}; read of the job: {:?}", read(fronts[0])));
        thread::sleep(Duration::from_secs(2));
    }
    let opened: u64 = proxies.iter().map(|proxy| proxy.opened.load(Ordering::SeqCst)).sum();
    record.say(format!("connections between the machines that were opened since: {}", opened - opened_before));
    let finish = Instant::now();
    let (mut config, mut job_read) = (None, None);
    while finish.elapsed() < FINISH && (config != Some(200) || job_read != Some(200)) {
        for to in &controls {
            if config != Some(200) {
                config = control(Duration::from_secs(1), *to, "GET", "/config", b"").map(|answer| answer.status);
            }
        }
        for to in &fronts {
            if job_read != Some(200) {
                job_read = read(*to);
            }
        }
        thread::sleep(Duration::from_millis(300));
    }
    let ended: Vec<&str> = site
        .coordinators
        .iter_mut()
        .chain(&mut site.gateways)
        .filter_map(|process| process.has_ended().then_some("one"))
        .collect();
    record.say(format!(
        "end of the day, {:.0} s after the job was accepted: GET /config {config:?}, GET /lots {job_read:?}; processes that ended: {}",
        begun.elapsed().as_secs_f64(),
        ended.len()
    ));
    record.say(format!("items that ran at the servers: {}", seen.runs.lock().unwrap().len()));
    let (is_lost, is_config_broken) = (job_read != Some(200), config != Some(200));
    record.say(format!("LOST broken: {is_lost}; CONFIG broken: {is_config_broken}"));
    seen.stopped.store(true, Ordering::Relaxed);
    i32::from(is_lost || is_config_broken)
}

fn read(to: std::net::SocketAddr) -> Option<u16> {
    let target = format!("/lots/{JOB}?AfterRev=0");
    call(Duration::from_millis(2_500), to, "GET", &target, &[("Host", HOST)], b"").map(|answer| answer.status)
}
