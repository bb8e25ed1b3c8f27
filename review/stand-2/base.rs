//! A small site on loopback: the project's programs as processes, and stand-ins for the platform,
//! for servers, engines, the operator and clients. Standard library only.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const HOST: &str = "site.example";
pub const MODEL: &str = "model-a";
pub const CONTROL: u16 = 18_166;
pub const DIRECTORY: u16 = 18_164;
pub const INTERNAL: u16 = 17_720;
pub const FRONT: u16 = 18_161;
pub const READY: u16 = 18_167;
pub const METRICS: u16 = 18_170;
pub const SERVER: u16 = 19_000;
pub const KIND_COORDINATOR: u8 = 1;
pub const KIND_GATEWAY: u8 = 2;
pub const KIND_SERVER: u8 = 3;
pub const KIND_BEHIND: u8 = 9;

/// Writes lines with the time since the start to record.txt and to standard output.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Arc<Self> {
        let file = Mutex::new(File::create(path).expect("record.txt can be written"));
        Arc::new(Self { file, start: Instant::now() })
    }

    pub fn say(&self, line: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.start.elapsed().as_secs_f64(), line.as_ref());
        println!("{line}");
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
    }
}

unsafe extern "C" {
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Exit code of a case that could not run.
pub const CANNOT_RUN: i32 = 2;

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Draws numbers; the seed is the process's own.
pub struct Draw(u64);

impl Draw {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
}

/// One of the project's processes.
pub struct Process {
    pub name: String,
    log: PathBuf,
    pub child: Child,
}

impl Process {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([format!("-{name}"), self.id().to_string()]).status();
    }

    /// The file that the process writes its log to.
    pub fn log_path(&self) -> PathBuf {
        self.log.clone()
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Resident memory in bytes without mapped files: 0 once the process has ended.
    pub fn resident(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("RssAnon:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|number| number.parse::<u64>().ok()).unwrap_or(0) * 1024
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Shape {
    pub coordinators: usize,
    pub gateways: usize,
    pub coordinator_memory_mb: u64,
    /// Whether the coordinators' links pass through proxies.
    pub behind_proxies: bool,
}

pub struct Site {
    pub folder: PathBuf,
    pub block: u8,
    pub shape: Shape,
    pub coordinators: Vec<Process>,
    pub gateways: Vec<Process>,
    program: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.coordinators.clear();
        self.gateways.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Site {
    /// Prepares a site at addresses that are free; nothing runs yet.
    pub fn new(shape: Shape) -> Self {
        let program = PathBuf::from("target/release/wingshore-platform");
        if !program.exists() {
            eprintln!("no {}: run the build of the deploy file first", program.display());
            std::process::exit(CANNOT_RUN);
        }
        let pid = std::process::id();
        let block = (0..200_u32).map(|step| 20 + ((pid + step) % 200) as u8).find(|block| {
            [CONTROL, INTERNAL, DIRECTORY, METRICS].iter().all(|port| {
                TcpListener::bind(address(*block, KIND_COORDINATOR, 0, *port)).is_ok()
            }) && TcpListener::bind(address(*block, KIND_GATEWAY, 0, FRONT)).is_ok()
                && TcpListener::bind(address(*block, KIND_SERVER, 0, SERVER)).is_ok()
        });
        let Some(block) = block else {
            eprintln!("no free addresses");
            std::process::exit(CANNOT_RUN);
        };
        let folder = std::env::temp_dir().join(format!("wingshore-review-2-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let program = fs::canonicalize(program).expect("the program");
        Self { folder, block, shape, coordinators: Vec::new(), gateways: Vec::new(), program }
    }

    pub fn start(&mut self) {
        for index in 0..self.shape.coordinators {
            let process = self.spawn(KIND_COORDINATOR, index, true);
            self.coordinators.push(process);
        }
        for index in 0..self.shape.gateways {
            let process = self.spawn(KIND_GATEWAY, index, true);
            self.gateways.push(process);
        }
    }

    pub fn at(&self, kind: u8, index: usize, port: u16) -> SocketAddr {
        address(self.block, kind, index, port)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.shape.coordinators).map(|index| self.at(KIND_COORDINATOR, index, CONTROL)).collect()
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        (0..self.shape.gateways).map(|index| self.at(KIND_GATEWAY, index, FRONT)).collect()
    }

    /// Fills the template of the deploy file for one machine, as the platform does.
    fn write_settings(&self, kind: u8, index: usize, bootstrap: bool) -> PathBuf {
        let name = format!("machine-{kind}-{index}");
        let seeds: Vec<String> = self.controls().iter().take(3).map(|seed| format!("\"{seed}\"")).collect();
        let mut text = String::new();
        let _ = write!(
            text,
            "node = \"{name}\"\nzone = \"zone-{index}\"\nregion = \"r\"\nip = \"{}\"\ninternal_port = {INTERNAL}\n\
             seeds = [{}]\nfounding = {bootstrap}\nlosses_borne = 1\nengines_check_fences = true\n",
            self.at(kind, index, METRICS).ip(),
            seeds.join(", ")
        );
        if kind == KIND_COORDINATOR {
            let _ = write!(
                text,
                "control = \"{}\"\ndirectory = \"{}\"\ndata = \"{}\"\nmemory_limit_mb = {}\n",
                self.at(kind, index, CONTROL),
                self.at(kind, index, DIRECTORY),
                self.folder.join(format!("data-{index}")).display(),
                self.shape.coordinator_memory_mb
            );
            if self.shape.behind_proxies {
                let _ = writeln!(text, "internal_bind = \"{}\"", self.at(KIND_BEHIND, index, INTERNAL));
            }
        } else {
            let _ = write!(
                text,
                "front = \"{}\"\nready = \"{}\"\ndirectory = \"{}\"\nmemory_limit_mb = 260\n",
                self.at(kind, index, FRONT),
                self.at(kind, index, READY),
                self.at(kind, index, DIRECTORY)
            );
        }
        let _ = write!(
            text,
            "metrics = \"{}\"\nmost_descriptors = 4100\n[timing]\nheartbeat_ms = 1200\norder_handover_ms = 3000\n\
             stop_limit_s = 8\njob_retention_s = 120\ndirectory_ttl_limit_s = 5\n",
            self.at(kind, index, METRICS)
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, text).expect("the settings file");
        path
    }

    fn spawn(&self, kind: u8, index: usize, bootstrap: bool) -> Process {
        let settings = self.write_settings(kind, index, bootstrap);
        let role = if kind == KIND_COORDINATOR { "coordinator" } else { "gateway" };
        let log = self.folder.join(format!("{role}-{index}.log"));
        let child = launch(&self.program, role, &settings, &log);
        Process { name: format!("{role}-{index}"), log, child }
    }

    /// Starts a process again that has ended, with its disk as it was.
    pub fn start_again(&mut self, kind: u8, index: usize) {
        let process = self.spawn(kind, index, false);
        let processes = if kind == KIND_COORDINATOR { &mut self.coordinators } else { &mut self.gateways };
        processes[index] = process;
    }
}

fn launch(program: &PathBuf, role: &str, settings: &PathBuf, log: &PathBuf) -> Child {
    let log = File::options().create(true).append(true).open(log).expect("a log file");
    let errors = log.try_clone().expect("a log file");
    let mut command = Command::new(program);
    // The process ends with this one, also when this one is killed.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command
        // The platform sets this variable; 1 keeps the memory of a process smallest.
        .env("MALLOC_ARENA_MAX", "1")
        .args([role, "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(Stdio::from(log))
        .stderr(Stdio::from(errors))
        .spawn()
        .expect("the program starts")
}

pub fn address(block: u8, kind: u8, index: usize, port: u16) -> SocketAddr {
    format!("127.{block}.{kind}.{}:{port}", index + 1).parse().expect("an address")
}

/// An answer that arrived whole.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

/// Makes one call on a connection of its own; `None` without a whole answer in time.
pub fn call(
    limit: Duration,
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Answer> {
    let deadline = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1))).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    let mut head = format!("{method} {target} HTTP/1.1\r\nConnection: close\r\nContent-Length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        let _ = write!(head, "Host: {to}\r\n");
    }
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let mut bytes = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        if let Some(answer) = whole(&bytes) {
            return Some(answer);
        }
        let left = deadline.checked_duration_since(Instant::now())?;
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return whole(&bytes),
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}

fn whole(bytes: &[u8]) -> Option<Answer> {
    let end = find(bytes, b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..end]).ok()?;
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"))?;
    let length: usize = length.1.parse().ok()?;
    (bytes.len() >= end + 4 + length).then_some(Answer { status, headers })
}

pub fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

/// Makes a call of the operator, a trainer or a server: follows 307 twice.
pub fn control(limit: Duration, to: SocketAddr, method: &str, target: &str, body: &[u8]) -> Option<Answer> {
    let mut to = to;
    for _ in 0..3 {
        let answer = call(limit, to, method, target, &[("Content-Type", "application/json")], body)?;
        if answer.status != 307 {
            return Some(answer);
        }
        let location = answer.header("location")?.strip_prefix("http://")?;
        to = location.split('/').next()?.parse().ok()?;
    }
    None
}

/// Sends a call of the operator to one coordinator after the other until it is acknowledged.
pub fn insist(limit: Duration, controls: &[SocketAddr], method: &str, target: &str, body: &[u8]) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        for to in controls {
            let answer = control(Duration::from_secs(1), *to, method, target, body);
            if answer.is_some_and(|answer| (200..300).contains(&answer.status)) {
                return true;
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// The configuration: a `safe` route to `charges` and a `rollout` route to `engines`.
pub fn configuration(version: u64) -> String {
    format!(
        concat!(
            r#"{{"Version":{},"Routes":["#,
            r#"{{"Name":"charge","Host":"{host}","PathPrefix":"/charge/","Kind":"safe","TimeoutMs":10000,"#,
            r#""TargetLatencyMs":4000,"Priority":2,"Service":"charges","MaxAttempts":2}},"#,
            r#"{{"Name":"roll","Host":"{host}","PathPrefix":"/roll/","Kind":"rollout","TimeoutMs":10000,"#,
            r#""TargetLatencyMs":400,"Priority":1,"Service":"engines","MaxAttempts":3,"MaxQueueS":40.0,"#,
            r#""DueMs":7500,"SingleVersion":false,"Sticky":true,"Resumable":true}}],"#,
            r#""Services":[{{"Name":"charges","HealthPath":"/health","MaxConnections":100,"Protocol":"h1","Tls":false}},"#,
            r#"{{"Name":"engines","HealthPath":"/health","MaxConnections":150,"Protocol":"h1","Tls":false,"#,
            r#""Engine":{{"Slots":12,"KvTokens":114759,"Models":[{{"Name":"{model}"}}]}}}}],"#,
            r#""Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":33554432,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
        ),
        version,
        host = HOST,
        model = MODEL
    )
}

/// What servers have seen: how often each request ran.
#[derive(Default)]
pub struct Seen {
    pub runs: Mutex<BTreeMap<String, u32>>,
    pub stopped: AtomicBool,
    /// Whether bodies are read at 8 MB a second, rather than at once.
    pub reads_slowly: AtomicBool,
    sequence: AtomicU64,
}

/// Starts a stand-in for a server; an engine if `model` is set.
pub fn server(site: &Site, index: usize, service: &'static str, is_engine: bool, seen: &Arc<Seen>) {
    let own = site.at(KIND_SERVER, index, SERVER);
    let instance = format!("i-{index:08x}");
    let listener = TcpListener::bind(own).expect("the stand-in listens");
    let (shared, name) = (Arc::clone(seen), instance.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (shared, name) = (Arc::clone(&shared), name.clone());
            thread::spawn(move || serve(stream, &name, is_engine, &shared));
        }
    });
    let (controls, seen) = (site.controls(), Arc::clone(seen));
    thread::spawn(move || {
        while !seen.stopped.load(Ordering::Relaxed) {
            let sequence = seen.sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let models = if is_engine {
                format!(r#"[{{"Name":"{MODEL}","Version":1,"Adapters":[]}}]"#)
            } else {
                "[]".to_owned()
            };
            let body = format!(
                r#"{{"Service":"{service}","Address":"{own}","Zone":"zone-0","Version":"v1","Slots":12,"State":"ready","ColdRemainingMs":0,"Stage":"both","Models":{models},"Seq":{sequence}}}"#
            );
            let target = format!("/instances/{instance}");
            for to in &controls {
                let answer = control(Duration::from_secs(1), *to, "PUT", &target, body.as_bytes());
                if answer.is_some_and(|answer| (200..300).contains(&answer.status)) {
                    break;
                }
            }
            thread::sleep(Duration::from_millis(1200));
        }
    });
}

/// Serves the requests of one connection.
fn serve(mut stream: TcpStream, instance: &str, is_engine: bool, seen: &Seen) {
    let mut bytes: Vec<u8> = Vec::new();
    let mut chunk = vec![0; 64 * 1024];
    loop {
        let end = loop {
            if let Some(end) = find(&bytes, b"\r\n\r\n") {
                break end;
            }
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => return,
                Ok(count) => bytes.extend_from_slice(&chunk[..count]),
            }
        };
        let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
        bytes.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers: BTreeMap<String, String> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let length: usize = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while bytes.len() < length {
            if seen.reads_slowly.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(8));
            }
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => return,
                Ok(count) => bytes.extend_from_slice(&chunk[..count]),
            }
        }
        bytes.drain(..length);
        let id = headers.get("request-id").cloned().unwrap_or_default();
        let path = first.split(' ').nth(1).unwrap_or_default();
        let plain = |status: u16, body: &str| {
            format!(
                "HTTP/1.1 {status} -\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-of-{instance}\r\nInstance-Id: {instance}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        if headers.get("expect-instance").is_some_and(|expected| expected != instance) {
            if stream.write_all(plain(421, "").as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let answer = match path {
            "/health" => plain(200, ""),
            "/report" => plain(
                200,
                &format!(r#"{{"Stage":"both","Models":[{{"Name":"{MODEL}","Version":1,"Adapters":[]}}],"Busy":false,"Seq":0,"QueueDepth":0,"Running":0,"KvUsed":0,"KvTotal":90000,"Handles":0}}"#),
            ),
            _ => {
                *seen.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
                if is_engine {
                    stream_events(&headers, &id, instance)
                } else {
                    plain(200, &format!("charged {id} with {length} bytes"))
                }
            }
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// The events of an item after the last one that the request names.
fn stream_events(headers: &BTreeMap<String, String>, id: &str, instance: &str) -> String {
    let count = headers.get("token-count").and_then(|text| text.split(',').nth(1)?.parse::<u64>().ok()).unwrap_or(3);
    let from = headers.get("last-event-id").and_then(|text| text.parse::<u64>().ok()).unwrap_or(0) + 1;
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-of-{instance}\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    for number in from..=count {
        let event = format!("id: {number}\ndata: {id}-{number}\n\n");
        let _ = write!(text, "{:x}\r\n{event}\r\n", event.len());
    }
    text.push_str("0\r\n\r\n");
    text
}

/// A proxy in front of one address. Once `silence` is called, the connections that are open at
/// that time carry nothing more and stay open; new ones work.
#[derive(Clone)]
pub struct Proxy {
    epoch: Arc<AtomicU64>,
    pub silenced: Arc<AtomicU64>,
    pub opened: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(front: SocketAddr, behind: SocketAddr) -> Self {
        let proxy = Self { epoch: Arc::default(), silenced: Arc::default(), opened: Arc::default() };
        let listener = TcpListener::bind(front).expect("the proxy listens");
        let shared = proxy.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || {
                    let Ok(far) = TcpStream::connect_timeout(&behind, Duration::from_millis(500)) else {
                        return;
                    };
                    let _ = near.set_nodelay(true);
                    let _ = far.set_nodelay(true);
                    let epoch = shared.epoch.load(Ordering::SeqCst);
                    shared.opened.fetch_add(1, Ordering::SeqCst);
                    let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else {
                        return;
                    };
                    let back = shared.clone();
                    thread::spawn(move || back.copy(epoch, far_too, near_too));
                    shared.copy(epoch, near, far);
                });
            }
        });
        proxy
    }

    pub fn silence(&self) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
    }

    fn copy(&self, epoch: u64, mut from: TcpStream, mut to: TcpStream) {
        let mut chunk = vec![0; 32 * 1024];
        while let Ok(count) = from.read(&mut chunk) {
            if self.epoch.load(Ordering::SeqCst) != epoch {
                // Neither bytes nor the end of either side pass any more.
                self.silenced.fetch_add(1, Ordering::SeqCst);
                while count > 0 && matches!(from.read(&mut chunk), Ok(1..)) {}
                thread::sleep(Duration::from_secs(120));
                return;
            }
            if count == 0 || to.write_all(&chunk[..count]).is_err() {
                break;
            }
        }
        if self.epoch.load(Ordering::SeqCst) != epoch {
            thread::sleep(Duration::from_secs(120));
            return;
        }
        let _ = to.shutdown(Shutdown::Write);
        let _ = from.shutdown(Shutdown::Read);
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() / 3 * 4 + 4);
    for group in bytes.chunks(3) {
        let value = (u32::from(group[0]) << 16)
            | (u32::from(*group.get(1).unwrap_or(&0)) << 8)
            | u32::from(*group.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= group.len() {
                text.push(LETTERS[(value >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// The body of a batch job of `items` items with `body_bytes` each.
pub fn job(step: u64, items: usize, body_bytes: usize, draw: &mut Draw, name: &str) -> Vec<u8> {
    let mut text = format!(r#"{{"Step":{step},"Model":"{MODEL}","MinVersion":1,"Desired":{items},"Requests":["#);
    for item in 0..items {
        if item > 0 {
            text.push(',');
        }
        let body: Vec<u8> = (0..body_bytes).map(|_| draw.next() as u8).collect();
        let _ = write!(
            text,
            r#"{{"Id":"{name}-{item:04x}","Path":"/roll/3/{item:04x}","Headers":{{"Model":"{MODEL}","Token-Count":"16,4","Prompt-Prefix":"9c2e41:16"}},"Body":"{}","Tokens":20,"Group":"g{item}"}}"#,
            base64(&body)
        );
    }
    text.push_str("]}");
    text.into_bytes()
}
