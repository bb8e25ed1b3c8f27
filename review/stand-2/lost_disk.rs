//! Case 5: a coordinator freezes, and while it does, another one loses power and its disk. No more
//! disks are lost than `FaultTolerance` allows: one. The moment is that at which the leader begins
//! to replace the frozen one; it is met by chance, so that the pair of losses comes again, once all
//! have been back for longer than `CatchUpS`, as often as the time allows.

use crate::base::*;
use std::io::{Read, Seek, SeekFrom};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// `MemoryMb` of a `storage` machine (laksalari-prod).
const STORAGE_MB: u64 = 310;
/// Length of the freeze, and the time after which the machine without a disk is back: the doses of
/// the site file for store machines.
const FREEZE: Duration = Duration::from_millis(3_200);
const BACK: Duration = Duration::from_millis(2_000);
/// Longer than `CatchUpS`, 5.1 s.
const BETWEEN: Duration = Duration::from_secs(6);
/// Longer than `RecoverS` (12 s): after it all must be served again.
const RECOVERY: Duration = Duration::from_secs(16);
/// `FinishS`.
const FINISH: Duration = Duration::from_secs(10);
/// No further pair of losses begins after this time.
const LAST_BEGIN: Duration = Duration::from_secs(64);
const JOB: &str = "7c41e09b52d6a3f8";

pub fn run(folder: &str) -> i32 {
    let record = Record::create(&format!("{folder}/record.txt"));
    let is_trouble = trouble();
    let begun = Instant::now();
    let mut site = Site::new(Shape {
        coordinators: 4,
        gateways: 2,
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
    for index in 0..2 {
        server(&site, index, "engines", true, &seen);
    }
    thread::sleep(Duration::from_secs(2));
    let body = job(0, 8, 600, &mut Draw::new(5), JOB);
    let headers = [("Host", HOST), ("Request-Id", JOB), ("Content-Type", "application/json")];
    let accepted = (0..10).any(|turn| {
        let answer = call(Duration::from_secs(3), fronts[turn % 2], "POST", "/roll/7c41e0", &headers, &body);
        thread::sleep(Duration::from_millis(200));
        answer.is_some_and(|answer| answer.status == 202)
    });
    // The fourth coordinator joins as the spare.
    thread::sleep(Duration::from_secs(6));
    let listed = read(fronts[0]);
    record.say(format!("job accepted: {accepted}; read: {listed:?}"));
    if !accepted || listed != Some(200) {
        return CANNOT_RUN;
    }
    let mut version = 1;
    let mut pairs = 0;
    while is_trouble && begun.elapsed() < LAST_BEGIN {
        version += 1;
        let is_acknowledged = insist(Duration::from_secs(4), &controls, "PUT", "/config", configuration(version).as_bytes());
        record.say(format!("configuration {version} acknowledged: {is_acknowledged}"));
        let Some((leader, frozen, wiped)) = choose(&site) else {
            record.say("not three voters and a learner now");
            thread::sleep(Duration::from_secs(1));
            continue;
        };
        pairs += 1;
        lose(&mut site, leader, frozen, wiped, &record);
        let back = Instant::now();
        while back.elapsed() < RECOVERY && !(is_configured(&controls) && read(fronts[0]) == Some(200)) {
            thread::sleep(Duration::from_millis(200));
        }
        record.say(format!("served again {:.1} s after all are back: {}", back.elapsed().as_secs_f64(), back.elapsed() < RECOVERY));
        if back.elapsed() >= RECOVERY {
            break;
        }
        thread::sleep(BETWEEN);
    }
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
    let processes = site.coordinators.iter_mut().chain(&mut site.gateways);
    let ended = processes.filter_map(|process| process.has_ended().then_some(())).count();
    record.say(format!("items that ran at the servers: {}", seen.runs.lock().unwrap().len()));
    record.say(format!(
        "end of the day after {pairs} pairs of losses: GET /config {config:?}, GET /lots {job_read:?}; processes that are not running: {ended}"
    ));
    let (is_lost, is_config_broken) = (job_read != Some(200), config != Some(200));
    record.say(format!("LOST broken: {is_lost}; CONFIG broken: {is_config_broken}"));
    seen.stopped.store(true, Ordering::Relaxed);
    i32::from(is_lost || is_config_broken)
}

/// Freezes one coordinator, and lets another one lose its disk at the moment that is sought.
fn lose(site: &mut Site, leader: usize, frozen: usize, wiped: usize, record: &Record) {
    let log = site.coordinators[leader].log_path();
    let known = std::fs::metadata(&log).map(|data| data.len()).unwrap_or(0);
    let mut log = std::fs::File::open(&log).expect("the log");
    let _ = log.seek(SeekFrom::Start(known));
    site.coordinators[frozen].signal("STOP");
    let begun = Instant::now();
    record.say(format!("coordinator-{leader} leads; coordinator-{frozen} freezes"));
    let mut text = Vec::new();
    while begun.elapsed() < FREEZE - Duration::from_millis(200) && find(&text, b"Remove(").is_none() {
        let _ = log.read_to_end(&mut text);
        thread::sleep(Duration::from_micros(100));
    }
    site.coordinators[wiped].kill();
    let lost = Instant::now();
    let _ = std::fs::remove_dir_all(site.folder.join(format!("data-{wiped}")));
    record.say(format!("coordinator-{wiped} loses power and its disk, {} ms after that", (lost - begun).as_millis()));
    thread::sleep(FREEZE.saturating_sub(begun.elapsed()));
    site.coordinators[frozen].signal("CONT");
    record.say(format!("coordinator-{frozen} wakes"));
    thread::sleep(BACK.saturating_sub(lost.elapsed()));
    site.start_again(KIND_COORDINATOR, wiped);
    record.say(format!("coordinator-{wiped} is back, with an empty disk"));
}

/// Chooses the leader and the other two voters; `None` unless there are three voters and a learner.
fn choose(site: &Site) -> Option<(usize, usize, usize)> {
    let count = site.shape.coordinators;
    let leader = (0..count).find(|index| {
        let to = site.at(KIND_COORDINATOR, *index, CONTROL);
        call(Duration::from_secs(1), to, "GET", "/config", &[], b"").is_some_and(|answer| answer.status == 200)
    })?;
    let (voters, learners) = members(&site.coordinators[leader].log_path(), site)?;
    let others: Vec<usize> = voters.iter().copied().filter(|voter| *voter != leader).collect();
    (voters.len() == 3 && others.len() == 2 && !learners.is_empty()).then(|| (leader, others[0], others[1]))
}

/// The voters and learners that a coordinator logged last.
fn members(log: &Path, site: &Site) -> Option<(Vec<usize>, Vec<usize>)> {
    let text = std::fs::read_to_string(log).ok()?;
    let line = text.lines().rev().find(|line| line.contains("\"msg\":\"members\""))?;
    let (voters, learners) = line.split_once("learners:")?;
    let named = |part: &str| -> Vec<usize> {
        (0..site.shape.coordinators)
            .filter(|index| part.contains(&format!(" {}", site.at(KIND_COORDINATOR, *index, INTERNAL))))
            .collect()
    };
    Some((named(voters), named(learners)))
}

fn is_configured(controls: &[SocketAddr]) -> bool {
    controls.iter().any(|to| {
        let answer = control(Duration::from_secs(1), *to, "GET", "/config", b"");
        answer.is_some_and(|answer| answer.status == 200)
    })
}

fn read(to: SocketAddr) -> Option<u16> {
    let target = format!("/lots/{JOB}?AfterRev=0");
    call(Duration::from_millis(2_500), to, "GET", &target, &[("Host", HOST)], b"").map(|answer| answer.status)
}
