//! HTTP/1.1 over threads: a server that keeps connections open, and calls on connections of their own.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Interval of looking for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }

    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            body: body.into(),
        }
    }
}

/// Answers a request; `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(Request) -> Option<Response> + Send + Sync>;

/// A server on one port, which can be ended like a process: its port then refuses connections.
pub struct Server {
    pub address: SocketAddr,
    ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<JoinHandle<()>>,
}

impl Server {
    pub fn start(listener: TcpListener, handler: Handler) -> Self {
        let address = listener.local_addr().expect("a bound listener");
        let ended = Arc::new(AtomicBool::new(false));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let (flag, open) = (Arc::clone(&ended), Arc::clone(&streams));
        listener.set_nonblocking(true).expect("a socket");
        let accepting = thread::spawn(move || {
            while !flag.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ACCEPT_INTERVAL);
                    continue;
                };
                stream.set_nonblocking(false).expect("a socket");
                let kept = stream.try_clone().expect("a descriptor");
                open.lock().expect("no panic").push(kept);
                let handler = Arc::clone(&handler);
                thread::spawn(move || serve_connection(stream, &handler));
            }
        });
        Self {
            address,
            ended,
            streams,
            accepting: Some(accepting),
        }
    }

    /// Closes the port; open connections stay.
    pub fn end_listening(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            accepting.join().expect("no panic while accepting");
        }
    }

    /// Closes the port and all connections.
    pub fn end(&mut self) {
        self.end_listening();
        for stream in self.streams.lock().expect("no panic").drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
    }
}

/// Serves for as long as the process runs; returns the address.
pub fn serve(listener: TcpListener, handler: Handler) -> SocketAddr {
    let server = Server::start(listener, handler);
    let address = server.address;
    std::mem::forget(server);
    address
}

/// Binds a free loopback port.
pub fn bind_free() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    stream.set_nodelay(true).ok();
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some(response) = handler(request) else {
            return;
        };
        let head = format!(
            "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&response.body);
        if writer.write_all(&bytes).is_err() {
            return;
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Some((first.trim_end().to_owned(), headers));
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_body(reader: &mut impl Read, headers: &BTreeMap<String, String>) -> Option<Vec<u8>> {
    let length = headers
        .get("content-length")
        .map_or(Some(0), |text| text.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let target = words.nth(1)?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), decode_percent(value)));
    let body = read_body(reader, &headers)?;
    Some(Request {
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body,
    })
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = bytes
            .get(at + 1..at + 3)
            .and_then(|two| std::str::from_utf8(two).ok());
        let code = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match code.filter(|_| bytes[at] == b'%') {
            Some(code) => {
                decoded.push(code);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Makes a call on a new connection; `None` if no complete answer arrives in time.
pub fn call(
    peer: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&peer, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n\
         x-deadline-ms: {}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers)?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
