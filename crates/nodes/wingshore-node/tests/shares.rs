//! Live requests and rollouts share an engine, and neither starves the other.

mod common;

use common::back_end::{BackEnd, write_end, write_event, write_response, write_stream_head};
use common::caller::post;
use common::{ENGINES, MODEL, TestNode, engine_site, wait_until};
use googletest::prelude::*;
use serde_json::{Value, json};
use std::io::ErrorKind;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use wingshore_types::configuration::{ConfigurationChange, Permille, Service, ServiceKind};
use wingshore_types::protocol::ledger::{LedgerReply, LedgerRequest, SampleLease};
use wingshore_types::{Generation, LeaseId, Prompt, SampleNumber, ServiceId, WeightVersion};

/// Number of slots of the engine, half of them guaranteed to live requests.
const SLOTS: u32 = 4;
/// Time that the engine takes for each request.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Priority of live requests, by which the engine tells them from rollouts.
const LIVE_PRIORITY: i64 = 5;
/// Number of requests of the busier class before the two classes are compared.
const MIN_SERVED: usize = 300;

/// Numbers of requests that the engine served, and its open requests.
#[derive(Default)]
struct Served {
    live: AtomicUsize,
    rollout: AtomicUsize,
    open: OpenRequests,
}

/// Requests in progress at the engine. A request whose connection the node has closed no longer
/// counts, because an engine drops it.
#[derive(Default)]
struct OpenRequests {
    streams: Mutex<Vec<(usize, TcpStream)>>,
    next: AtomicUsize,
    max_open: AtomicUsize,
}

impl OpenRequests {
    fn begin(&self, stream: &TcpStream) -> usize {
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        let own = stream.try_clone().expect("a socket can be cloned");
        let mut streams = self.streams.lock().unwrap();
        streams.retain(|(_, stream)| is_open(stream));
        streams.push((number, own));
        self.max_open.fetch_max(streams.len(), Ordering::SeqCst);
        number
    }

    fn end(&self, number: usize) {
        let mut streams = self.streams.lock().unwrap();
        streams.retain(|(open, _)| *open != number);
    }

    fn max_open(&self) -> usize {
        self.max_open.load(Ordering::SeqCst)
    }
}

/// Returns whether the peer has not closed the connection. Nothing else
/// reads from the connection at this point.
fn is_open(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a socket has flags");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("a socket has flags");
    matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
}

fn engine(served: Arc<Served>) -> BackEnd {
    BackEnd::start(move |arrived, stream| {
        if arrived.target == "/score" {
            return write_response(stream, 200, "", br#"{"score":1.0}"#);
        }
        if arrived.target != "/v1/completions" {
            return write_response(stream, 200, "", b"{}");
        }
        let number = served.open.begin(stream);
        thread::sleep(SERVICE_TIME);
        served.open.end(number);
        let body: Value = serde_json::from_slice(&arrived.body).unwrap_or_default();
        let is_live = body["priority"] == json!(LIVE_PRIORITY);
        let class = if is_live {
            &served.live
        } else {
            &served.rollout
        };
        class.fetch_add(1, Ordering::SeqCst);
        write_stream_head(stream);
        write_event(stream, r#"{"tokens":[7],"weight_version":1}"#);
        let usage = r#"{"prompt_tokens":1,"completion_tokens":1}"#;
        write_event(
            stream,
            &format!(r#"{{"finish_reason":"length","usage":{usage}}}"#),
        );
        write_end(stream);
    })
}

/// Scripts a ledger that always has samples to lease while `is_open`.
fn endless_ledger(is_open: Arc<AtomicBool>) -> impl Fn(LedgerRequest) -> LedgerReply {
    let next = AtomicU64::new(1);
    move |request| match request {
        LedgerRequest::Lease { most, .. } if is_open.load(Ordering::SeqCst) => {
            let leases = (0..most).map(|_| lease(next.fetch_add(1, Ordering::SeqCst)));
            LedgerReply::Leases(leases.collect())
        }
        LedgerRequest::Lease { .. } => LedgerReply::Leases(Vec::new()),
        LedgerRequest::Renew { .. } => LedgerReply::Lost(Vec::new()),
        LedgerRequest::Finish { .. } | LedgerRequest::Score { .. } => LedgerReply::First(true),
        LedgerRequest::Unscored { .. } => LedgerReply::Unscored(Vec::new()),
        _ => LedgerReply::Done,
    }
}

fn lease(number: u64) -> SampleLease {
    SampleLease {
        lease: LeaseId(number),
        prompt: Prompt {
            number: SampleNumber(number),
            tokens: vec![1],
            max_tokens: 1,
            seed: number,
        },
        partial: Generation::default(),
        oldest_useful: WeightVersion(1),
        duration_ms: 60_000,
    }
}

#[gtest]
fn neither_class_starves_the_other() {
    let served = Arc::new(Served::default());
    let engine = engine(Arc::clone(&served));
    let groups = engine_site(&[&engine]);
    groups.commit(ConfigurationChange::PutService(Service {
        id: ServiceId::new(ENGINES),
        kind: ServiceKind::Engines {
            model: MODEL.to_owned(),
        },
        slots_per_server: SLOTS,
        live_share: Permille(500),
        default_deadline_ms: 10_000,
    }));
    let is_open = Arc::new(AtomicBool::new(true));
    groups.script_ledger(endless_ledger(Arc::clone(&is_open)));
    let rollouts = "rollout = { pools = [\"disputes\"], over_issue = false }";
    let node = TestNode::start(&groups, "node-a", rollouts);
    wait_until("rollouts run", || {
        served.rollout.load(Ordering::SeqCst) > 20
    });

    let address = node.address();
    let ask = move || {
        let headers = format!("X-Wingshore-Priority: {LIVE_PRIORITY}\r\n");
        let body = json!({ "model": MODEL, "prompt": [1], "max_tokens": 1 }).to_string();
        post(address, "/v1/completions", &headers, &body)
    };
    // One live caller gets its share while rollouts use all remaining capacity.
    let alone: Vec<u16> = (0..30).map(|_| ask().status).collect();
    expect_that!(alone, each(eq(&200)));

    let before = [&served.live, &served.rollout].map(|count| count.load(Ordering::SeqCst));
    let is_flooding = Arc::new(AtomicBool::new(true));
    let callers: Vec<_> = (0..3 * SLOTS)
        .map(|_| {
            let is_flooding = Arc::clone(&is_flooding);
            thread::spawn(move || {
                while is_flooding.load(Ordering::SeqCst) {
                    ask();
                }
            })
        })
        .collect();
    let since = || {
        let live = served.live.load(Ordering::SeqCst) - before[0];
        (live, served.rollout.load(Ordering::SeqCst) - before[1])
    };
    wait_until("enough was served", || {
        since().0.max(since().1) >= MIN_SERVED
    });
    let (live, rollout) = since();
    is_flooding.store(false, Ordering::SeqCst);
    println!("under both floods: {live} live, {rollout} rollout requests served");
    expect_that!(
        live,
        ge((live + rollout) / 3),
        "live has its half of the slots"
    );
    expect_that!(
        rollout,
        ge((live + rollout) / 3),
        "rollouts have their half"
    );
    expect_that!(served.open.max_open(), le(SLOTS as usize));
    for caller in callers {
        caller.join().expect("a caller ends");
    }
    is_open.store(false, Ordering::SeqCst);
    node.finish();
}
