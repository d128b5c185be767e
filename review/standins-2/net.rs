//! HTTP/1.1 over blocking sockets, and JSON, as far as the stand-ins need them.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A request with its whole body.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// A response; `None` in its place closes the connection without one.
pub type Reply = Option<(u16, Vec<u8>)>;

pub fn json_reply(status: u16, body: &str) -> Reply {
    Some((status, body.as_bytes().to_vec()))
}

/// Serves requests on a free port of 127.0.0.1, each connection in a thread.
pub fn serve(handler: impl Fn(Request) -> Reply + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, handler: &(dyn Fn(Request) -> Reply + Send + Sync)) {
    stream.set_nodelay(true).ok();
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(request) else { return };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let bytes = [head.as_bytes(), &body].concat();
        if writer.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// Reads the head of a message: its first line and its headers, in lower case.
fn read_head(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|length| *length > 0)?;
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &BTreeMap<String, String>) -> Option<Vec<u8>> {
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let body = read_body(reader, &headers)?;
    let (path, text) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), decode_percent(value))).collect();
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match code.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends a request on a connection of its own; returns the status and the body, or nothing if no
/// whole response arrives in time.
pub fn call(
    peer: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&peer, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Deadline-Ms: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
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

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut rest = bytes;
        parse_value(&mut rest)
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Self::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Self::Text(text)) => text,
            _ => "",
        }
    }
}

fn skip_space(rest: &mut &[u8]) {
    while rest.first().is_some_and(u8::is_ascii_whitespace) {
        *rest = &rest[1..];
    }
}

fn take(rest: &mut &[u8], byte: u8) -> bool {
    skip_space(rest);
    let found = rest.first() == Some(&byte);
    if found {
        *rest = &rest[1..];
    }
    found
}

fn parse_value(rest: &mut &[u8]) -> Option<Json> {
    skip_space(rest);
    match rest.first()? {
        b'"' => parse_text(rest).map(Json::Text),
        b'[' => {
            *rest = &rest[1..];
            let mut items = Vec::new();
            while !take(rest, b']') {
                items.push(parse_value(rest)?);
                take(rest, b',');
            }
            Some(Json::List(items))
        }
        b'{' => {
            *rest = &rest[1..];
            let mut fields = BTreeMap::new();
            while !take(rest, b'}') {
                skip_space(rest);
                let name = parse_text(rest)?;
                if !take(rest, b':') {
                    return None;
                }
                fields.insert(name, parse_value(rest)?);
                take(rest, b',');
            }
            Some(Json::Object(fields))
        }
        _ => {
            let end = rest.iter().position(|byte| b",]} \r\n\t".contains(byte));
            let (word, tail) = rest.split_at(end.unwrap_or(rest.len()));
            *rest = tail;
            match std::str::from_utf8(word).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

/// Parses a text; of the escapes, only those that the messages here may hold.
fn parse_text(rest: &mut &[u8]) -> Option<String> {
    if !take(rest, b'"') {
        return None;
    }
    let mut bytes = Vec::new();
    loop {
        let (first, tail) = rest.split_first()?;
        *rest = tail;
        match first {
            b'"' => return String::from_utf8(bytes).ok(),
            b'\\' => {
                let (escaped, tail) = rest.split_first()?;
                *rest = tail;
                bytes.push(*escaped);
            }
            byte => bytes.push(*byte),
        }
    }
}
