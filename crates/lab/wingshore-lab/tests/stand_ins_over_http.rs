//! Stand-ins as programs of their own: what platforms, nodes and fleets see of them over HTTP.

use googletest::prelude::*;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command};
use std::thread;
use std::time::{Duration, Instant};
use tempfile::{TempDir, tempdir};
use wingshore_types::platform::NOT_RUN_HEADER;

/// How long a stand-in may take until it listens, or until a fetch has ended.
const LIMIT: Duration = Duration::from_secs(20);

/// A running stand-in; it ends with the test.
struct StandIn {
    child: Child,
    address: SocketAddr,
    folder: TempDir,
}

/// An answer: status, headers that matter, body.
#[derive(Debug)]
struct Answer {
    status: u16,
    is_not_run: bool,
    retry_after: Option<String>,
    body: String,
}

impl StandIn {
    fn start(kind: &str, behaviour: &str) -> Self {
        let folder = tempdir().expect("a folder");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let log = folder.path().join("log.jsonl");
        let settings = folder.path().join("settings.toml");
        let text = format!(
            "[process]\nname = \"one\"\nlisten = \"{address}\"\nlog = \"{}\"\n\n[behaviour]\n{behaviour}",
            log.display()
        );
        std::fs::write(&settings, text).expect("settings");
        drop(listener);
        let child = Command::new(env!("CARGO_BIN_EXE_wingshore-lab"))
            .args(["stand-in", kind, "--settings"])
            .arg(&settings)
            .spawn()
            .expect("the program starts");
        let stand_in = Self {
            child,
            address,
            folder,
        };
        stand_in.await_that("it listens", |one| {
            std::net::TcpStream::connect(one.address).is_ok()
        });
        stand_in
    }

    fn await_that(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let end = Instant::now() + LIMIT;
        while !holds(self) {
            assert!(Instant::now() < end, "{what}");
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn ask(&self, method: &str, path: &str, body: &str) -> Answer {
        let config = ureq::Agent::config_builder().http_status_as_error(false);
        let agent: ureq::Agent = config.build().into();
        let url = format!("http://{}{path}", self.address);
        let sent = match method {
            "GET" => agent.get(&url).call(),
            "PUT" => agent.put(&url).send(body),
            _ => agent.post(&url).send(body),
        };
        let mut response = sent.expect("an answer");
        let header = |name: &str| {
            let value = response.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        Answer {
            status: response.status().as_u16(),
            is_not_run: header(NOT_RUN_HEADER).as_deref() == Some("true"),
            retry_after: header("retry-after"),
            body: response.body_mut().read_to_string().expect("a whole body"),
        }
    }

    fn status(&self, method: &str, path: &str, body: &str) -> u16 {
        self.ask(method, path, body).status
    }

    fn log(&self) -> String {
        read(self.folder.path())
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

fn read(folder: &Path) -> String {
    std::fs::read_to_string(folder.join("log.jsonl")).unwrap_or_default()
}

fn completion(request_id: &str, model: &str) -> String {
    let text = r#"{"request_id":"ID","model":"MODEL","prompt":[1,2,3],"resume":[],"max_tokens":12,
        "priority":0,"stream":true,"deadline_ms":5000,"seed":7}"#;
    text.replace("ID", request_id).replace("MODEL", model)
}

#[gtest]
fn an_engine_streams_refuses_and_obeys() {
    let store = StandIn::start("weight-store", "initial_bytes = 1024\n");
    let engine = StandIn::start("engine", "model = \"drafts\"\n");
    let whole = engine.ask("POST", "/v1/completions", &completion("a", "drafts"));
    expect_that!(whole.status, eq(200));
    let events: Vec<&str> = whole.body.lines().filter(|line| !line.is_empty()).collect();
    let has_tokens = |line: &&str| line.starts_with("data: {\"tokens\":[");
    expect_that!(events.first(), some(predicate(has_tokens)));
    expect_that!(events.last(), some(contains_substring("finish_reason")));

    let refused = engine.ask("POST", "/v1/completions", &completion("b", "other"));
    expect_that!(refused.status, eq(503));
    expect_true!(refused.is_not_run);
    expect_that!(refused.retry_after, some(eq("1")));
    expect_that!(refused.body, eq(r#"{"error":{"code":"unknown_model"}}"#));
    expect_that!(engine.status("POST", "/v1/completions", "{}"), eq(400));
    expect_that!(engine.status("GET", "/nowhere", ""), eq(404));

    let order = |sequence: u64| {
        let source = format!("http://{}/weights/drafts/0", store.address);
        let order = format!(r#"{{"load_weights":{{"version":0,"source":"{source}"}}}}"#);
        format!(r#"{{"epoch":2,"sequence":{sequence},"order":{order}}}"#)
    };
    expect_that!(engine.status("POST", "/orders", &order(5)), eq(202));
    expect_that!(engine.status("POST", "/orders", &order(4)), eq(409));
    engine.await_that("the version is fetched", |engine| {
        engine.log().contains("version_in_force")
    });
    let fault = r#"{"fault":"fail_next_swap"}"#;
    expect_that!(engine.status("POST", "/lab/faults", fault), eq(200));
    expect_that!(engine.log(), contains_substring("fault_injected"));
}

#[gtest]
fn a_weight_store_keeps_versions_and_refuses_beyond_its_limit() {
    let slow = "initial_bytes = 1000\nbytes_per_second = 500\nmost_fetches = 1\n";
    let store = StandIn::start("weight-store", slow);
    expect_that!(store.status("GET", "/weights/drafts/3", ""), eq(404));
    expect_that!(store.status("PUT", "/weights/drafts/3", "abc"), eq(200));
    // A fetch takes 2 s: of two at once one is refused, whichever comes second.
    let mut answers: Vec<Answer> = thread::scope(|scope| {
        let fetch = || store.ask("GET", "/weights/drafts/3", "");
        let fetches = [scope.spawn(fetch), scope.spawn(fetch)];
        let answers = fetches.map(|fetch| fetch.join().expect("an answer"));
        answers.into()
    });
    answers.sort_by_key(|answer| answer.status);
    let seen: Vec<(u16, Option<&str>)> = answers
        .iter()
        .map(|answer| (answer.status, answer.retry_after.as_deref()))
        .collect();
    expect_that!(seen, eq(&[(200, None), (429, Some("1"))]));
}

#[gtest]
fn a_live_server_answers_any_path_but_those_of_the_lab() {
    let server = StandIn::start("live-server", "slots = 32\n");
    let answer = server.ask("GET", "/cards/0815", "");
    expect_that!(answer.status, eq(200));
    expect_that!(answer.body, contains_substring(r#""path":"/cards/0815""#));
    expect_that!(server.log(), contains_substring(r#""charge":false"#));
    expect_that!(server.status("POST", "/lab/faults", "{}"), eq(404));
    expect_that!(server.status("GET", "/load", ""), eq(200));
}
