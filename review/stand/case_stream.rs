//! Resumable streams, while two servers of four break some answers off and send some answers twice:
//! the copy comes late, in the place where the next answer on that connection is due.

use crate::common::*;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Share of the answers of a faulty server that it breaks off or sends twice, and how long it is
/// faulty.
const SHARE: f64 = 0.03;
const FAULTY: Duration = Duration::from_secs(5);
const FAULTY_SERVERS: usize = 2;
const SERVERS: usize = 4;
const CLIENTS: usize = 16;
const STREAMS: usize = 100;
const EVENTS: u64 = 8;
const PAUSE: Duration = Duration::from_millis(5);

fn configuration() -> String {
    format!(
        "{{\"Version\":7,\"Routes\":[{{\"Name\":\"chat\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/chat/\",\
         \"Kind\":\"streaming\",\"TimeoutMs\":5000,\"TargetLatencyMs\":400,\"Priority\":1,\
         \"Service\":\"chat-app\",\"MaxAttempts\":3,\"Resumable\":true}}],\
         \"Services\":[{{\"Name\":\"chat-app\",\
         \"HealthPath\":\"/health\",\"MaxConnections\":96,\"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":33554432,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}}}}"
    )
}

/// Serves a stream. While the server is faulty, it breaks a few streams off after their first event,
/// and a few answers come twice: where a resumed stream follows on the same connection.
fn serve(server: &Arc<Server>, message: &Message, wire: &mut Wire, kept: &mut Kept) -> bool {
    let id = message.id();
    let is_resumed = message.header("Last-Event-Id").is_some();
    if let Some(late) = kept.late.take().filter(|_| is_resumed) {
        server.surplus.fetch_add(1, Ordering::SeqCst);
        server.record.add(format!(
            "server {} sends a surplus answer in the place of that to {id}",
            server.name
        ));
        wire.send(&late);
    }
    server.note_begun(&id);
    if !is_resumed && server.may_add_surplus(SHARE / 2.0) {
        server.surplus.fetch_add(1, Ordering::SeqCst);
        // Breaks this stream off after its first event.
        wire.send(stream_head(server, &id).as_bytes());
        wire.send(event_chunk(&id, 1).as_bytes());
        server
            .record
            .add(format!("server {} breaks {id} off", server.name));
        return false;
    }
    let is_kept = stream_events(server, message, wire, (EVENTS, PAUSE));
    if server.may_add_surplus(SHARE) {
        kept.late = Some(whole_stream(server, &id, EVENTS));
    }
    is_kept
}

pub fn play(record: &Arc<Record>) -> i32 {
    let site = Site::start(record);
    site.configure(&configuration());
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|index| {
            let name = format!("i-{index}");
            let address = site.server_address(index);
            let server = Server::new(&name, "chat-app", address, (6, 12), false, record);
            server.run(site.controls(), Arc::new(serve));
            server
        })
        .collect();
    site.wait_ready();
    thread::sleep(Duration::from_secs(2));
    if is_troubled() {
        for server in &servers[..FAULTY_SERVERS] {
            server.be_faulty(FAULTY);
        }
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (fronts, record) = (site.fronts(), Arc::clone(record));
            thread::spawn(move || {
                let mut broken = Vec::new();
                for number in 0..STREAMS {
                    let id = format!("chat-{client}-{number}");
                    let headers = [("Host", HOST), ("Request-Id", &id), ("Deadline-Ms", "5000")];
                    let front = fronts[(client + number) % fronts.len()];
                    let limit = Duration::from_secs(6);
                    let got = call(front, "POST", "/chat/1", &headers, b"hello", limit);
                    let status = got.as_ref().map_or(0, |got| got.status);
                    record.add(format!("client sent {id}: answer {status}"));
                    let Some(got) = got.filter(|got| got.status == 200) else {
                        continue;
                    };
                    let text = String::from_utf8_lossy(&got.body).into_owned();
                    let pieces = text.matches("data: ").count();
                    if pieces as u64 != EVENTS {
                        broken.push(format!(
                            "ORDER: the stream {id} ended as complete with {pieces} of {EVENTS} events"
                        ));
                    }
                }
                broken
            })
        })
        .collect();
    let mut broken = Vec::new();
    for client in clients {
        broken.extend(client.join().unwrap_or_default());
    }
    verdict(record, &broken)
}
