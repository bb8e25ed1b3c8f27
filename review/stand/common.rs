//! What all cases share: processes of the site, stand-ins for operator, servers, trainers and
//! clients, an HTTP/1.1 codec, a JSON reader and the record. Standard library only.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HOST: &str = "site.example";
pub const MODEL: &str = "model-a";
pub const COORDINATORS: usize = 3;
pub const GATEWAYS: usize = 3;

const CONTROL_PORT: u16 = 28_166;
const FRONT_PORT: u16 = 28_161;
const READY_PORT: u16 = 28_167;
const DIRECTORY_PORT: u16 = 28_164;
const INTERNAL_PORT: u16 = 27_720;
const METRICS_PORT: u16 = 29_464;
const SERVER_PORT: u16 = 29_000;

/// How often a server reports, as in the deployments' settings.
const HEARTBEAT_MS: u64 = 1200;

// ---------------------------------------------------------------- record

/// The record of a run: one line for each thing sent, answered or run.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<String>>,
    path: PathBuf,
}

impl Record {
    pub fn new(path: &Path) -> Arc<Self> {
        Arc::new(Self {
            started: Instant::now(),
            lines: Mutex::new(Vec::new()),
            path: path.to_owned(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let line = format!("{:>7} {}", self.now_ms(), line.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn save(&self) {
        let lines = self.lines.lock().unwrap();
        let _ = fs::write(&self.path, lines.join("\n") + "\n");
    }
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = Json::value(bytes, &mut at)?;
        Some(value)
    }

    fn space(bytes: &[u8], at: &mut usize) {
        while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
        Json::space(bytes, at);
        match *bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut table = Vec::new();
                loop {
                    Json::space(bytes, at);
                    match *bytes.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Table(table));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Json::Text(key) = Json::value(bytes, at)? else {
                                return None;
                            };
                            Json::space(bytes, at);
                            if *bytes.get(*at)? != b':' {
                                return None;
                            }
                            *at += 1;
                            table.push((key, Json::value(bytes, at)?));
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Json::space(bytes, at);
                    match *bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Json::value(bytes, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    match *bytes.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return Some(Json::Text(String::from_utf8(text).ok()?));
                        }
                        b'\\' => {
                            let escape = *bytes.get(*at + 1)?;
                            *at += 2;
                            match escape {
                                b'n' => text.push(b'\n'),
                                b't' => text.push(b'\t'),
                                b'r' => text.push(b'\r'),
                                b'b' => text.push(8),
                                b'f' => text.push(12),
                                b'u' => {
                                    let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                    let code = u32::from_str_radix(hex, 16).ok()?;
                                    let sign = char::from_u32(code).unwrap_or('?');
                                    text.extend(sign.to_string().bytes());
                                    *at += 4;
                                }
                                other => text.push(other),
                            }
                        }
                        other => {
                            text.push(other);
                            *at += 1;
                        }
                    }
                }
            }
            b't' => {
                *at += 4;
                Some(Json::Bool(true))
            }
            b'f' => {
                *at += 5;
                Some(Json::Bool(false))
            }
            b'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let start = *at;
                while *at < bytes.len() && b"+-0123456789.eE".contains(&bytes[*at]) {
                    *at += 1;
                }
                let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
                Some(Json::Number(text.parse().ok()?))
            }
        }
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(table) => {
                let found = table.iter().find(|(name, _)| name == key);
                found.map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..part.len()].copy_from_slice(part);
        let number = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            if place <= part.len() {
                let sign = (number >> (18 - 6 * place)) & 63;
                text.push(SIGNS[sign as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// `METHOD TARGET` of a request, the status of an answer.
    pub method: String,
    pub target: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn id(&self) -> String {
        self.header("Request-Id").unwrap_or("").to_owned()
    }
}

/// Reads messages of one connection.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn more(&mut self) -> Option<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk).ok()?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Some(count)
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Some(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.more()? == 0 {
                return None;
            }
        }
    }

    fn bytes(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if self.more()? == 0 {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    /// Reads one whole message; `None` when the connection ends before.
    pub fn read(&mut self) -> Option<Message> {
        let mut message = Message::default();
        let first = self.line()?;
        let mut words = first.split(' ');
        let word = words.next()?.to_owned();
        let is_answer = word.starts_with("HTTP/");
        if is_answer {
            message.status = words.next()?.parse().ok()?;
        } else {
            message.method = word;
            message.target = words.next()?.to_owned();
        }
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
        let is_chunked = message
            .header("Transfer-Encoding")
            .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            loop {
                let size = usize::from_str_radix(self.line()?.trim(), 16).ok()?;
                if size == 0 {
                    self.line()?;
                    break;
                }
                let chunk = self.bytes(size)?;
                message.body.extend(chunk);
                self.line()?;
            }
        } else if let Some(length) = message.header("Content-Length") {
            let length: usize = length.parse().ok()?;
            message.body = self.bytes(length)?;
        } else if is_answer {
            while self.more()? > 0 {}
            message.body = std::mem::take(&mut self.buffer);
        }
        Some(message)
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} -\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// One call on a connection of its own; `None` without a whole answer within `limit`.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut wire = Wire::new(stream);
    if !wire.send(&request(method, target, headers, body)) {
        return None;
    }
    wire.read()
}

/// A call to `control`: any coordinator, following up to two redirects.
pub fn control(
    controls: &[SocketAddr],
    method: &str,
    target: &str,
    body: &[u8],
    limit: Duration,
) -> Option<Message> {
    for start in controls {
        let mut address = *start;
        for _ in 0..3 {
            let Some(got) = call(address, method, target, &[("Host", "control")], body, limit)
            else {
                break;
            };
            if got.status != 307 {
                if got.status < 500 && got.status != 429 && got.status != 408 {
                    return Some(got);
                }
                break;
            }
            let location = got.header("Location").unwrap_or("").to_owned();
            let rest = location.trim_start_matches("http://");
            let Ok(next) = rest.split('/').next().unwrap_or("").parse() else {
                break;
            };
            address = next;
        }
    }
    None
}

// ---------------------------------------------------------------- site

/// The site's own processes, started with the commands of the deploy file.
pub struct Site {
    pub folder: PathBuf,
    block: u8,
    pub record: Arc<Record>,
    children: Vec<(String, Option<Child>)>,
}

/// The processes that were started and not waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the run because the case could not run, for this reason.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case cannot run: {reason}");
    for id in STARTED.lock().unwrap().iter() {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
    std::process::exit(2);
}

/// Writes the ids of the started processes to the file that `run.sh` names, so that it can end them
/// if this program is ended itself.
fn note_started(id: u32) {
    let mut started = STARTED.lock().unwrap();
    started.push(id);
    if let Ok(path) = std::env::var("PROCESSES") {
        let ids: Vec<String> = started.iter().map(u32::to_string).collect();
        let _ = fs::write(path, ids.join("\n") + "\n");
    }
}

impl Site {
    pub fn start(record: &Arc<Record>) -> Self {
        let seed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| u64::from(time.subsec_nanos()));
        let seed = seed / 1000 + u64::from(std::process::id());
        let free = (0..200_u64)
            .map(|step| 20 + ((seed + step * 7) % 220) as u8)
            .find(|block| is_free(*block));
        let Some(block) = free else {
            cannot_run("no free loopback addresses");
        };
        let folder = std::env::temp_dir().join(format!("review-{}-{block}", std::process::id()));
        if fs::create_dir_all(&folder).is_err() {
            cannot_run("no temporary folder");
        }
        let mut site = Self {
            folder,
            block,
            record: Arc::clone(record),
            children: Vec::new(),
        };
        for index in 0..COORDINATORS {
            site.spawn("coordinator", index, true);
        }
        for index in 0..GATEWAYS {
            site.spawn("gateway", index, false);
        }
        site
    }

    fn ip(&self, kind: u8, index: usize) -> String {
        format!("127.{}.{kind}.{}", self.block, index + 1)
    }

    fn at(&self, kind: u8, index: usize, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip(kind, index)).parse().unwrap()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..COORDINATORS)
            .map(|index| self.at(1, index, CONTROL_PORT))
            .collect()
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        (0..GATEWAYS)
            .map(|index| self.at(2, index, FRONT_PORT))
            .collect()
    }

    pub fn server_address(&self, index: usize) -> SocketAddr {
        self.at(3, index, SERVER_PORT)
    }

    fn settings(&self, role: &str, index: usize, founding: bool) -> String {
        let kind = if role == "coordinator" { 1 } else { 2 };
        let seeds: Vec<String> = self
            .controls()
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let mut text = format!(
            "node = \"{role}-{index}\"\nzone = \"zone-{index}\"\nregion = \"region\"\nip = \"{}\"\n\
             internal_port = {INTERNAL_PORT}\nseeds = [{}]\nfounding = {founding}\n\
             losses_borne = 1\nengines_check_fences = true\n",
            self.ip(kind, index),
            seeds.join(", ")
        );
        if role == "coordinator" {
            let data = self.folder.join(format!("data-{index}"));
            text += &format!(
                "control = \"{}\"\ndirectory = \"{}\"\ndata = \"{}\"\nmost_descriptors = 8200\n\
                 memory_limit_mb = 290\n",
                self.at(kind, index, CONTROL_PORT),
                self.at(kind, index, DIRECTORY_PORT),
                data.display()
            );
        } else {
            text += &format!(
                "front = \"{}\"\nready = \"{}\"\ndirectory = \"{}\"\nmost_descriptors = 4100\n\
                 memory_limit_mb = 260\n",
                self.at(kind, index, FRONT_PORT),
                self.at(kind, index, READY_PORT),
                self.at(kind, index, DIRECTORY_PORT)
            );
        }
        text += &format!("metrics = \"{}:{METRICS_PORT}\"\n", self.ip(kind, index));
        text += &format!(
            "\n[timing]\nheartbeat_ms = {HEARTBEAT_MS}\norder_handover_ms = 3000\n\
             stop_limit_s = 8\njob_retention_s = 120\ndirectory_ttl_limit_s = 5\n"
        );
        text
    }

    pub fn spawn(&mut self, role: &str, index: usize, founding: bool) {
        let name = format!("{role}-{index}");
        let path = self.folder.join(format!("{name}.toml"));
        if fs::write(&path, self.settings(role, index, founding)).is_err() {
            cannot_run("the settings cannot be written");
        }
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")));
        let Ok(log) = log else {
            cannot_run("no log file");
        };
        let errors = log.try_clone().map_or(Stdio::null(), Stdio::from);
        let child = Command::new("target/release/wingshore-platform")
            .arg(role)
            .env("WINGSHORE_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let Ok(child) = child else {
            cannot_run("target/release/wingshore-platform does not start: build it first");
        };
        note_started(child.id());
        self.record.add(format!("site started {name}"));
        self.children.retain(|(known, _)| *known != name);
        self.children.push((name, Some(child)));
    }

    /// The processes that have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for (name, child) in &mut self.children {
            if let Some(child) = child {
                if let Ok(Some(_)) = child.try_wait() {
                    ended.push(name.clone());
                }
            }
        }
        ended
    }

    /// Sends a configuration until it is taken.
    pub fn configure(&self, document: &str) {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let got = control(
                &self.controls(),
                "PUT",
                "/config",
                document.as_bytes(),
                Duration::from_secs(1),
            );
            if got.is_some_and(|got| got.status == 200) {
                self.record.add("operator configuration acknowledged");
                return;
            }
            thread::sleep(Duration::from_millis(200));
        }
        cannot_run("no configuration was taken within 20 s");
    }

    /// Waits until all gateways say that they are ready.
    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        for index in 0..GATEWAYS {
            let ready = self.at(2, index, READY_PORT);
            loop {
                let got = call(ready, "GET", "/ready", &[], b"", Duration::from_secs(1));
                if got.is_some_and(|got| got.status == 200) {
                    break;
                }
                if Instant::now() > until {
                    cannot_run("the gateways are not ready within 15 s");
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.add("platform all gateways are ready");
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for (_, child) in &mut self.children {
            if let Some(mut child) = child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Whether all addresses of a block are free.
fn is_free(block: u8) -> bool {
    let binds = |kind: u8, index: usize, port: u16| {
        TcpListener::bind(format!("127.{block}.{kind}.{}:{port}", index + 1)).is_ok()
    };
    (0..COORDINATORS).all(|index| {
        [CONTROL_PORT, DIRECTORY_PORT, INTERNAL_PORT, METRICS_PORT]
            .iter()
            .all(|port| binds(1, index, *port))
    }) && (0..GATEWAYS).all(|index| {
        [FRONT_PORT, READY_PORT, DIRECTORY_PORT, METRICS_PORT]
            .iter()
            .all(|port| binds(2, index, *port))
    }) && (0..32).all(|index| binds(3, index, SERVER_PORT))
}

// ---------------------------------------------------------------- servers

/// What a stand-in server counted, and its switches.
pub struct Server {
    pub name: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: usize,
    pub queue: usize,
    pub is_engine: bool,
    pub record: Arc<Record>,
    pub sequence: AtomicU64,
    /// Requests at work and requests that wait for a slot.
    pub places: Mutex<(usize, usize)>,
    pub freed: Condvar,
    /// Answers sent so far, and surplus ones among them.
    pub answers: AtomicUsize,
    pub surplus: AtomicUsize,
    /// Ids of the requests that it began to work on.
    pub begun: Mutex<Vec<String>>,
    /// Status of each answer by id.
    pub gave: Mutex<Vec<(String, u16)>>,
    /// While it is faulty: until when, and the answers that it had given before.
    pub faulty: Mutex<Option<(Instant, usize)>>,
}

/// How a server handles one request: it writes the answers and returns whether the connection is
/// kept.
pub type Handler = dyn Fn(&Arc<Server>, &Message, &mut Wire, &mut Kept) -> bool + Send + Sync;

/// What a server keeps for one connection.
#[derive(Default)]
pub struct Kept {
    /// A surplus answer that is sent in the place of the next one.
    pub late: Option<Vec<u8>>,
}

impl Server {
    pub fn new(
        name: &str,
        service: &str,
        address: SocketAddr,
        (slots, queue): (usize, usize),
        is_engine: bool,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        Arc::new(Self {
            name: name.to_owned(),
            service: service.to_owned(),
            address,
            slots,
            queue,
            is_engine,
            record: Arc::clone(record),
            sequence: AtomicU64::new(0),
            places: Mutex::new((0, 0)),
            freed: Condvar::new(),
            answers: AtomicUsize::new(0),
            surplus: AtomicUsize::new(0),
            begun: Mutex::new(Vec::new()),
            gave: Mutex::new(Vec::new()),
            faulty: Mutex::new(None),
        })
    }

    /// Listens, serves and sends heartbeats until the server goes down.
    pub fn run(self: &Arc<Self>, controls: Vec<SocketAddr>, handler: Arc<Handler>) {
        let Ok(listener) = TcpListener::bind(self.address) else {
            cannot_run("a stand-in server cannot listen");
        };
        let server = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let (server, handler) = (Arc::clone(&server), Arc::clone(&handler));
                thread::spawn(move || {
                    let mut wire = Wire::new(stream);
                    let mut kept = Kept::default();
                    while let Some(message) = wire.read() {
                        if !server.serve(&message, &mut wire, &mut kept, &handler) {
                            break;
                        }
                    }
                });
            }
        });
        let server = Arc::clone(self);
        thread::spawn(move || {
            let mut first = 0;
            loop {
                let sequence = server.sequence.fetch_add(1, Ordering::SeqCst) + 1;
                let models = if server.is_engine {
                    format!("[{{\"Name\":\"{MODEL}\",\"Version\":1,\"Adapters\":[]}}]")
                } else {
                    "[]".to_owned()
                };
                let body = format!(
                    "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"zone-0\",\
                     \"Version\":\"v1\",\"Slots\":{},\"State\":\"ready\",\"ColdRemainingMs\":0,\
                     \"Stage\":\"both\",\"Models\":{models},\"Seq\":{sequence}}}",
                    server.service, server.address, server.slots
                );
                let mut order: Vec<SocketAddr> = controls.clone();
                order.rotate_left(first % controls.len());
                let target = format!("/instances/{}", server.name);
                let limit = Duration::from_secs(1);
                let got = control(&order, "PUT", &target, body.as_bytes(), limit);
                if got.is_none() {
                    first += 1;
                }
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
    }

    fn serve(
        self: &Arc<Self>,
        message: &Message,
        wire: &mut Wire,
        kept: &mut Kept,
        handler: &Arc<Handler>,
    ) -> bool {
        let expected = message.header("Expect-Instance");
        if expected.is_some_and(|expected| expected != self.name) {
            return self.refuse(message, 421, wire).is_some();
        }
        if message.path() == "/report" {
            let body = format!(
                "{{\"Stage\":\"both\",\"Models\":[{{\"Name\":\"{MODEL}\",\"Version\":1,\
                 \"Adapters\":[]}}],\"Busy\":false,\"Seq\":0,\"QueueDepth\":0,\"Running\":0,\
                 \"KvUsed\":0,\"KvTotal\":100000,\"Handles\":0}}"
            );
            let headers = [("Content-Type", "application/json")];
            return wire.send(&answer(200, &headers, body.as_bytes()));
        }
        if message.path() == "/health" {
            return wire.send(&answer(200, &[("Instance-Id", &self.name)], b""));
        }
        handler(self, message, wire, kept)
    }

    /// Says that it has not run a request; returns the bytes that it sent.
    pub fn refuse(&self, message: &Message, status: u16, wire: &mut Wire) -> Option<Vec<u8>> {
        let (id, load) = (message.id(), self.load());
        let bytes = answer(
            status,
            &[
                ("Request-Id", &id),
                ("Server-Stamp", &self.stamp(&id)),
                ("Not-Run", "1"),
                ("Server-Load", &load),
                ("Keep-Alive", "timeout=10"),
            ],
            b"",
        );
        self.note_answer(&id, status);
        wire.send(&bytes).then_some(bytes)
    }

    pub fn stamp(&self, id: &str) -> String {
        format!("{}.{id}", self.name)
    }

    pub fn load(&self) -> String {
        let (running, waiting) = *self.places.lock().unwrap();
        format!("{running},{waiting},{}", self.slots)
    }

    /// Takes a slot, waiting in the queue if there is room; returns false if the server is full.
    pub fn enter(&self) -> bool {
        let mut places = self.places.lock().unwrap();
        if places.0 >= self.slots {
            if places.1 >= self.queue {
                return false;
            }
            places.1 += 1;
            while places.0 >= self.slots {
                places = self.freed.wait(places).unwrap();
            }
            places.1 -= 1;
        }
        places.0 += 1;
        true
    }

    pub fn leave(&self) {
        self.places.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }

    pub fn note_begun(&self, id: &str) {
        self.begun.lock().unwrap().push(id.to_owned());
        self.record.add(format!("server {} began {id}", self.name));
    }

    pub fn note_answer(&self, id: &str, status: u16) {
        self.answers.fetch_add(1, Ordering::SeqCst);
        self.gave.lock().unwrap().push((id.to_owned(), status));
        self.record
            .add(format!("server {} answered {id} with {status}", self.name));
    }

    /// Makes the server faulty for this long.
    pub fn be_faulty(&self, time: Duration) {
        let before = self.answers.load(Ordering::SeqCst);
        *self.faulty.lock().unwrap() = Some((Instant::now() + time, before));
        self.record.add(format!(
            "server {} is faulty for {} ms from now on",
            self.name,
            time.as_millis()
        ));
    }

    /// Whether the server is faulty, and one more surplus answer stays within `share` of the
    /// answers that it has given since it is.
    pub fn may_add_surplus(&self, share: f64) -> bool {
        let Some((until, before)) = *self.faulty.lock().unwrap() else {
            return false;
        };
        let answers = (self.answers.load(Ordering::SeqCst) - before) as f64;
        let surplus = self.surplus.load(Ordering::SeqCst) + 1;
        Instant::now() < until && surplus as f64 <= share * answers
    }
}

/// Streams the events of an item, as a server of tokens does: `count` events, from the one after
/// `Last-Event-Id` on.
pub fn stream_events(
    server: &Arc<Server>,
    message: &Message,
    wire: &mut Wire,
    (count, pause): (u64, Duration),
) -> bool {
    let id = message.id();
    let head = stream_head(server, &id);
    if !wire.send(head.as_bytes()) {
        return false;
    }
    let from = message
        .header("Last-Event-Id")
        .and_then(|id| id.parse().ok());
    for number in from.unwrap_or(0) + 1..=count {
        thread::sleep(pause);
        if !wire.send(event_chunk(&id, number).as_bytes()) {
            return false;
        }
    }
    server.note_answer(&id, 200);
    wire.send(b"0\r\n\r\n")
}

/// Returns the whole answer to a stream, as [`stream_events`] sends it piece by piece.
pub fn whole_stream(server: &Server, id: &str, count: u64) -> Vec<u8> {
    let mut text = stream_head(server, id);
    for number in 1..=count {
        text += &event_chunk(id, number);
    }
    text += "0\r\n\r\n";
    text.into_bytes()
}

pub fn stream_head(server: &Server, id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {}\r\n\
         Content-Type: text/event-stream\r\nWeight-Versions: 1\r\nKeep-Alive: timeout=10\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        server.stamp(id)
    )
}

pub fn event_chunk(id: &str, number: u64) -> String {
    let event = format!("id: {number}\ndata: {}\n\n", event_text(id, number));
    format!("{:x}\r\n{event}\r\n", event.len())
}

pub fn event_text(id: &str, number: u64) -> String {
    format!("{id}.{number}")
}

pub fn whole_text(id: &str, count: u64) -> String {
    let texts: Vec<String> = (1..=count).map(|number| event_text(id, number)).collect();
    texts.join("\n")
}

// ---------------------------------------------------------------- trainers

/// One item as a trainer submits it.
pub struct Item {
    pub id: String,
    pub path: String,
    pub body: Vec<u8>,
    pub events: u64,
    pub group: String,
}

pub fn submission(items: &[Item], desired: usize) -> String {
    let items: Vec<String> = items
        .iter()
        .map(|item| {
            format!(
                "{{\"Id\":\"{}\",\"Path\":\"{}\",\"Headers\":{{\"Model\":\"{MODEL}\",\
                 \"Token-Count\":\"255,{}\",\"Prompt-Prefix\":\"9c2e41:255\"}},\"Body\":\"{}\",\
                 \"Tokens\":{},\"Group\":\"{}\"}}",
                item.id,
                item.path,
                item.events,
                base64(&item.body),
                255 + item.events,
                item.group
            )
        })
        .collect();
    format!(
        "{{\"Step\":0,\"Model\":\"{MODEL}\",\"MinVersion\":1,\"Desired\":{desired},\
         \"Requests\":[{}]}}",
        items.join(",")
    )
}

/// Submits a batch job until it is accepted or the trials are used up; returns the last status.
pub fn submit(site: &Site, job: &str, path: &str, body: &str) -> u16 {
    let mut last = 0;
    for attempt in 0..20 {
        let front = site.fronts()[attempt % GATEWAYS];
        let headers = [
            ("Host", HOST),
            ("Request-Id", job),
            ("Content-Type", "application/json"),
        ];
        let limit = Duration::from_secs(4);
        let got = call(front, "POST", path, &headers, body.as_bytes(), limit);
        last = got.map_or(0, |got| got.status);
        site.record
            .add(format!("trainer submitted {job}: answer {last}"));
        if last == 202 || (400..429).contains(&last) {
            return last;
        }
        thread::sleep(Duration::from_millis(250));
    }
    last
}

/// Reads the results of a job from a position on; `None` without a 200.
pub fn read_results(site: &Site, gateway: usize, job: &str, from: usize) -> Option<Json> {
    let target = format!("/lots/{job}?AfterRev={from}");
    let headers = [("Host", HOST), ("Wait-Ms", "500")];
    let limit = Duration::from_secs(3);
    let got = call(site.fronts()[gateway], "GET", &target, &headers, b"", limit)?;
    if got.status != 200 {
        return None;
    }
    Json::parse(&got.body)
}

pub fn is_troubled() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends a run: saves the record and returns the exit code.
pub fn verdict(record: &Record, broken: &[String]) -> i32 {
    for line in broken {
        record.add(format!("BROKEN {line}"));
        println!("broken: {line}");
    }
    if broken.is_empty() {
        record.add("the rule held");
        println!("the rule held");
    }
    record.save();
    i32::from(!broken.is_empty())
}
