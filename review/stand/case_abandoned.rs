//! Batch jobs of which a few items can never be done (422), while one server of four sends some of
//! its answers twice: the copy comes late, in the place where the next answer on that connection is
//! due.

use crate::common::*;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Share of the answers of a faulty server that come twice, and how long it is faulty.
const SHARE: f64 = 0.03;
const FAULTY: Duration = Duration::from_secs(5);
const SERVERS: usize = 4;
const JOBS: usize = 6;
const ITEMS: usize = 80;
const EVENTS: u64 = 8;
const PAUSE: Duration = Duration::from_millis(15);
/// Every so many items one can never be done.
const HOPELESS: usize = 8;

pub fn configuration() -> String {
    format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"rollout\",\"Host\":\"{HOST}\",\
         \"PathPrefix\":\"/rollouts/\",\"Kind\":\"rollout\",\"TimeoutMs\":10000,\
         \"TargetLatencyMs\":400,\"Priority\":1,\"Service\":\"lm\",\"MaxAttempts\":3,\
         \"MaxQueueS\":40.0,\"DueMs\":7500,\"SingleVersion\":false,\"Sticky\":true,\
         \"Resumable\":true}}],\"Services\":[{{\"Name\":\"lm\",\"HealthPath\":\"/health\",\
         \"MaxConnections\":150,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"Slots\":4,\
         \"KvTokens\":100000,\"KvTokenBytes\":163840,\"LinkMbps\":4400000.0,\
         \"Models\":[{{\"Name\":\"{MODEL}\"}}]}}}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":33554432,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}"
    )
}

fn is_hopeless(id: &str) -> bool {
    id.starts_with("never-")
}

fn serve(server: &Arc<Server>, message: &Message, wire: &mut Wire, kept: &mut Kept) -> bool {
    let id = message.id();
    if let Some(late) = kept.late.take() {
        server.record.add(format!(
            "server {} sends a surplus answer in the place of that to {id}",
            server.name
        ));
        wire.send(&late);
    }
    server.note_begun(&id);
    if is_hopeless(&id) {
        let bytes = answer(
            422,
            &[
                ("Request-Id", &id),
                ("Server-Stamp", &server.stamp(&id)),
                ("Keep-Alive", "timeout=10"),
            ],
            b"",
        );
        server.note_answer(&id, 422);
        if server.may_add_surplus(SHARE) {
            server.surplus.fetch_add(1, Ordering::SeqCst);
            kept.late = Some(bytes.clone());
        }
        return wire.send(&bytes);
    }
    stream_events(server, message, wire, (EVENTS, PAUSE))
}

pub fn play(record: &Arc<Record>) -> i32 {
    let mut site = Site::start(record);
    site.configure(&configuration());
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|index| {
            let address = site.server_address(index);
            let name = format!("i-{index}");
            let server = Server::new(&name, "lm", address, (4, 12), true, record);
            server.run(site.controls(), Arc::new(serve));
            server
        })
        .collect();
    site.wait_ready();
    thread::sleep(Duration::from_secs(2));
    if is_troubled() {
        servers[0].be_faulty(FAULTY);
    }
    let mut broken = Vec::new();
    let mut listed = 0;
    for job in 0..JOBS {
        let name = format!("job-{job}");
        let items: Vec<Item> = (0..ITEMS)
            .map(|number| {
                let kind = if number % HOPELESS == 3 {
                    "never"
                } else {
                    "item"
                };
                Item {
                    id: format!("{kind}-{job}-{number}"),
                    path: format!("/rollouts/{job}/{number}"),
                    body: format!("prompt {job} {number}").into_bytes(),
                    events: EVENTS,
                    group: format!("g{}", number / 4),
                }
            })
            .collect();
        let sent_at = Instant::now();
        let body = submission(&items, ITEMS / 4);
        if submit(&site, &name, "/rollouts/x", &body) != 202 {
            record.save();
            cannot_run("a job was not accepted");
        }
        let mut results: Vec<Json> = Vec::new();
        while results.len() < ITEMS && sent_at.elapsed() < Duration::from_secs(12) {
            if let Some(page) = read_results(&site, job % GATEWAYS, &name, results.len()) {
                results.extend(page.get("Results").list().iter().cloned());
            }
        }
        listed += results.len();
        // The job is still open and its route in force; MaxQueueS is 40 s, far from over.
        for result in &results {
            let (id, state) = (result.get("Id").text(), result.get("State").text());
            record.add(format!("trainer read {name}: {id} {state}"));
            if state == "abandoned" {
                let gave: BTreeMap<u16, usize> = gave(&servers, id);
                let failures = gave.get(&500).copied().unwrap_or(0);
                if !gave.contains_key(&422) && failures < 3 {
                    broken.push(format!(
                        "MIXED: {id} is listed as abandoned {} ms after its job was sent, and \
                         servers gave it these answers: {gave:?}",
                        sent_at.elapsed().as_millis()
                    ));
                }
            } else if result.get("Text").text() != whole_text(id, EVENTS) {
                broken.push(format!("MIXED: {id} is succeeded without its whole text"));
            }
        }
    }
    for server in &servers {
        record.add(format!(
            "server {} gave {} answers and {} surplus ones",
            server.name,
            server.answers.load(Ordering::SeqCst),
            server.surplus.load(Ordering::SeqCst)
        ));
    }
    if !site.ended().is_empty() {
        record.add(format!("site ended by itself: {:?}", site.ended()));
    }
    if listed < JOBS * ITEMS / 2 {
        record.save();
        cannot_run("fewer than half of the items were listed");
    }
    verdict(record, &broken)
}

/// The answers that servers gave to a request, by status.
fn gave(servers: &[Arc<Server>], id: &str) -> BTreeMap<u16, usize> {
    let mut gave = BTreeMap::new();
    for server in servers {
        for (known, status) in server.gave.lock().unwrap().iter() {
            if known == id {
                *gave.entry(*status).or_default() += 1;
            }
        }
    }
    gave
}
