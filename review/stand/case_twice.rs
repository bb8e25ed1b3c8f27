//! Payments on an `unsafe` route, while one server of three sends some of its answers twice: the
//! copy comes late, in the place where the next answer on that connection is due.

use crate::common::*;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Share of the answers of a faulty server that come twice, and how long it is faulty.
const SHARE: f64 = 0.03;
const FAULTY: Duration = Duration::from_secs(5);
const SERVERS: usize = 3;
const CLIENTS: usize = 12;
const PAYMENTS: usize = 120;
/// Time that a payment takes at its server.
const WORK: Duration = Duration::from_millis(25);
/// Time between the payments of one client.
const THINK: Duration = Duration::from_millis(40);

fn configuration() -> String {
    format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"pay\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/pay/\",\
         \"Kind\":\"unsafe\",\"TimeoutMs\":2000,\"TargetLatencyMs\":150,\"Priority\":1,\
         \"Service\":\"pay-app\",\"MaxAttempts\":2}}],\"Services\":[{{\"Name\":\"pay-app\",\
         \"HealthPath\":\"/health\",\"MaxConnections\":96,\"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":33554432,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}"
    )
}

/// Serves a payment. While the server is faulty, a few refusals are sent once more, in the place of
/// the next answer.
fn serve(server: &Arc<Server>, message: &Message, wire: &mut Wire, kept: &mut Kept) -> bool {
    if let Some(late) = kept.late.take() {
        server.record.add(format!(
            "server {} sends a surplus answer in the place of that to {}",
            server.name,
            message.id()
        ));
        wire.send(&late);
    }
    if !server.enter() {
        let Some(sent) = server.refuse(message, 503, wire) else {
            return false;
        };
        if server.may_add_surplus(SHARE) {
            server.surplus.fetch_add(1, Ordering::SeqCst);
            kept.late = Some(sent);
        }
        return true;
    }
    let id = message.id();
    server.note_begun(&id);
    thread::sleep(WORK);
    server.leave();
    server.note_answer(&id, 200);
    let load = server.load();
    wire.send(&answer(
        200,
        &[
            ("Request-Id", &id),
            ("Server-Stamp", &server.stamp(&id)),
            ("Server-Load", &load),
            ("Keep-Alive", "timeout=10"),
        ],
        b"paid",
    ))
}

pub fn play(record: &Arc<Record>) -> i32 {
    let mut site = Site::start(record);
    site.configure(&configuration());
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|index| {
            let server = Server::new(
                &format!("i-{index}"),
                "pay-app",
                site.server_address(index),
                (2, 1),
                false,
                record,
            );
            server.run(site.controls(), Arc::new(serve));
            server
        })
        .collect();
    site.wait_ready();
    thread::sleep(Duration::from_secs(2));
    if is_troubled() {
        servers[0].be_faulty(FAULTY);
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (fronts, record) = (site.fronts(), Arc::clone(record));
            thread::spawn(move || {
                for number in 0..PAYMENTS {
                    let id = format!("pay-{client}-{number}");
                    let headers = [("Host", HOST), ("Request-Id", &id), ("Deadline-Ms", "2000")];
                    let front = fronts[(client + number) % fronts.len()];
                    let limit = Duration::from_secs(3);
                    let got = call(front, "POST", "/pay/1", &headers, b"12.50 EUR", limit);
                    let status = got.as_ref().map_or(0, |got| got.status);
                    record.add(format!("client sent {id}: answer {status}"));
                    let retry_after = got.as_ref().and_then(|got| got.header("Retry-After"));
                    let retry_after = retry_after.and_then(|text| text.parse().ok());
                    thread::sleep(THINK + Duration::from_secs_f64(retry_after.unwrap_or(0.0)));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(500));
    let mut runs: BTreeMap<String, Vec<&str>> = BTreeMap::new();
    for server in &servers {
        for id in server.begun.lock().unwrap().iter() {
            runs.entry(id.clone()).or_default().push(&server.name);
        }
        record.add(format!(
            "server {} gave {} answers and {} surplus ones",
            server.name,
            server.answers.load(Ordering::SeqCst),
            server.surplus.load(Ordering::SeqCst)
        ));
    }
    let broken: Vec<String> = runs
        .iter()
        .filter(|(_, servers)| servers.len() > 1)
        .map(|(id, servers)| format!("TWICE: {id} was run by {}", servers.join(" and ")))
        .collect();
    if !site.ended().is_empty() {
        record.add(format!("site ended by itself: {:?}", site.ended()));
    }
    if runs.len() < CLIENTS * PAYMENTS / 2 {
        record.save();
        cannot_run("fewer than half of the payments were run");
    }
    verdict(record, &broken)
}
