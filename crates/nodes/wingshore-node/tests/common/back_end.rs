//! A scripted back end on a raw socket: it can answer, truncate an answer, stall, or close the
//! connection without an answer.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// A request as received by the back end.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedRequest {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(found, _)| found.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns whether the request is a probe of the node.
    fn is_probe(&self) -> bool {
        let path = self.target.split('?').next().unwrap_or_default();
        matches!(path, "/load" | "/state" | "/cache_events")
    }
}

type Script = dyn Fn(&ReceivedRequest, &mut TcpStream) + Send + Sync;

/// A scripted back end. It answers probes like an idle, healthy server with weight version 1 and
/// passes all other requests to the script, which writes raw bytes. Each connection serves one
/// request.
pub struct BackEnd {
    address: SocketAddr,
    arrived: Arc<Mutex<Vec<ReceivedRequest>>>,
    probe_reply: Arc<Mutex<ProbeReply>>,
}

/// How a back end answers probes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeReply {
    Staying,
    Draining,
    /// Closes the connection without an answer.
    Disconnect,
}

impl BackEnd {
    pub fn start(
        script: impl Fn(&ReceivedRequest, &mut TcpStream) + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener
            .local_addr()
            .expect("a bound socket has an address");
        let arrived = Arc::new(Mutex::new(Vec::new()));
        let script: Arc<Script> = Arc::new(script);
        let log = Arc::clone(&arrived);
        let probe_reply = Arc::new(Mutex::new(ProbeReply::Staying));
        let shared_probe_reply = Arc::clone(&probe_reply);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, log) = (Arc::clone(&script), Arc::clone(&log));
                let probe_reply = *shared_probe_reply.lock().unwrap();
                thread::spawn(move || serve(stream, script.as_ref(), &log, probe_reply));
            }
        });
        Self {
            address,
            arrived,
            probe_reply,
        }
    }

    /// Sets how the following probes are answered.
    pub fn set_probe_reply(&self, probe_reply: ProbeReply) {
        *self.probe_reply.lock().unwrap() = probe_reply;
    }

    /// Starts a back end that answers every request with status 200 and `body`.
    pub fn answering(body: &'static str) -> Self {
        Self::start(move |_, stream| write_response(stream, 200, "", body.as_bytes()))
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the received requests without the probes.
    pub fn arrived(&self) -> Vec<ReceivedRequest> {
        self.arrived.lock().unwrap().clone()
    }

    pub fn count(&self) -> usize {
        self.arrived.lock().unwrap().len()
    }
}

/// Writes a complete answer with its content length.
pub fn write_response(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) {
    let head = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\nConnection: close\r\n{headers}\r\n",
        body.len()
    );
    write(stream, head.as_bytes());
    write(stream, body);
}

/// Writes raw bytes; returns false if the peer has closed the connection.
pub fn write(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    stream
        .write_all(bytes)
        .and_then(|()| stream.flush())
        .is_ok()
}

/// Writes the head of an event stream.
pub fn write_stream_head(stream: &mut TcpStream) {
    let head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
        Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
    write(stream, head);
}

/// Writes one event as a chunk.
pub fn write_event(stream: &mut TcpStream, data: &str) -> bool {
    let event = format!("data: {data}\n\n");
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    write(stream, chunk.as_bytes())
}

/// Writes the end of a chunked body.
pub fn write_end(stream: &mut TcpStream) {
    write(stream, b"0\r\n\r\n");
}

fn serve(
    mut stream: TcpStream,
    script: &Script,
    log: &Mutex<Vec<ReceivedRequest>>,
    probe_reply: ProbeReply,
) {
    let Some(arrived) = read_request(&stream) else {
        return;
    };
    if arrived.is_probe() {
        if probe_reply != ProbeReply::Disconnect {
            let body = probe_answer(&arrived.target, probe_reply == ProbeReply::Draining);
            write_response(&mut stream, 200, "", body.as_bytes());
        }
    } else {
        log.lock().unwrap().push(arrived.clone());
        script(&arrived, &mut stream);
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn probe_answer(target: &str, is_draining: bool) -> String {
    if target.starts_with("/state") {
        return serde_json::json!({
            "boot_id": 1, "role": "rollout", "models": ["fare-explainer"], "weight_version": 1,
            "loading": null, "last_order": null, "draining": is_draining, "in_flight": 0, "queue": 0,
            "kv_free": 1000
        })
        .to_string();
    }
    if target.starts_with("/load") {
        return r#"{"in_flight":0,"queue":0,"age_ms":0}"#.to_owned();
    }
    r#"{"boot_id":1,"events":[]}"#.to_owned()
}

fn read_request(stream: &TcpStream) -> Option<ReceivedRequest> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut arrived = ReceivedRequest {
        method,
        target,
        headers,
        body: Vec::new(),
    };
    let length = arrived
        .header("content-length")
        .map_or(Some(0), |text| text.parse().ok())?;
    arrived.body.resize(length, 0);
    reader.read_exact(&mut arrived.body).ok()?;
    Some(arrived)
}
