//! Stand-in for the platform's metadata store: keyed topics, conditional appends, producer epochs.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::Json;
use crate::net::{Request, Response, bind_free, serve};

/// Time that each call takes.
const CALL_TIME: Duration = Duration::from_millis(4);
/// Appends of a producer whose answers are repeated.
const REPEATED_ANSWERS: usize = 5;
/// Limits of a page of newest records.
const PAGE_KEYS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct Producer {
    epoch: u64,
    last: Option<u64>,
    answers: VecDeque<(u64, String)>,
}

#[derive(Default)]
struct Topic {
    /// Key and value of each record; an empty value deletes the key.
    records: Vec<(String, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
    /// Whether it refuses all calls.
    down: AtomicBool,
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let served = Arc::clone(&store);
        let handler = Arc::new(move |request: Request| Some(served.answer(&request)));
        (store, serve(bind_free(), handler))
    }

    /// Begins or ends to refuse all calls.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Appends a record of the operator or of an executor, unless it is down.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        if self.down.load(Ordering::SeqCst) {
            return;
        }
        let mut topics = self.topics.lock().expect("no panic in the store");
        let topic = topics.entry(topic.to_owned()).or_default();
        topic
            .records
            .push((key.to_owned(), value.as_bytes().to_vec()));
        drop(topics);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Response {
        thread::sleep(CALL_TIME);
        if self.down.load(Ordering::SeqCst) {
            return Response::new(503, "{}");
        }
        match request.path.as_str() {
            "/api/log-append" => self.append(request),
            "/api/log-read" => self.read(request),
            "/api/log-newest" => self.newest(request),
            _ => Response::new(404, "{}"),
        }
    }

    fn append(&self, request: &Request) -> Response {
        let Some(name) = request.query.get("topic") else {
            return Response::new(400, "{}");
        };
        if name == "keyed.op" || name == "keyed.servers" {
            return Response::new(403, "{}");
        }
        let Some(records) = decode_records(&request.body) else {
            return Response::new(400, "{}");
        };
        let mut topics = self.topics.lock().expect("no panic in the store");
        let topic = topics.entry(name.clone()).or_default();
        if let Some(answer) = topic.check_producer(request) {
            return answer;
        }
        let offset = topic.records.len() as u64;
        if request.query_number("at").is_some_and(|at| at != offset) {
            return Response::new(412, format!("{{\"end_offset\":{offset}}}"));
        }
        topic.records.extend(records);
        let end = topic.records.len();
        let body = format!("{{\"offset\":{offset},\"end_offset\":{end}}}");
        topic.keep_answer(request, &body);
        drop(topics);
        self.changed.notify_all();
        Response::new(200, body)
    }

    /// Answers once there is a record from the given offset on, or after the time to wait.
    fn read(&self, request: &Request) -> Response {
        let name = request.query.get("topic").cloned().unwrap_or_default();
        let from = request.query_number("from").unwrap_or(0) as usize;
        let limit = request.query_number("fetch_limit").unwrap_or(1024) as usize;
        let wait = Duration::from_millis(request.query_number("wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut topics = self.topics.lock().expect("no panic in the store");
        loop {
            let records = topics.get(&name).map_or(&[][..], |topic| &topic.records);
            let left = deadline.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for (key, value) in records.iter().skip(from).take(limit) {
                    let length = 1 + key.len() + value.len();
                    body.extend_from_slice(&(length as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                return Response::new(200, body);
            }
            topics = self
                .changed
                .wait_timeout(topics, left)
                .expect("no panic in the store")
                .0;
        }
    }

    fn newest(&self, request: &Request) -> Response {
        let name = request.query.get("topic").cloned().unwrap_or_default();
        let after = request.query.get("after").cloned().unwrap_or_default();
        let topics = self.topics.lock().expect("no panic in the store");
        let records = topics.get(&name).map_or(&[][..], |topic| &topic.records);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            if value.is_empty() {
                newest.remove(key.as_str());
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, (offset, value)) in newest.into_iter().filter(|(key, _)| *key > after.as_str()) {
            if items.len() >= PAGE_KEYS || (bytes + value.len() > PAGE_BYTES && !items.is_empty()) {
                more = true;
                break;
            }
            bytes += value.len();
            items.push(Json::object([
                ("key", key.into()),
                ("value", encode_base64(value).into()),
                ("offset", (offset as u64).into()),
            ]));
        }
        let body = Json::object([
            ("items", items.into()),
            ("more", more.into()),
            ("end_offset", (records.len() as u64).into()),
        ]);
        Response::new(200, body.to_string())
    }
}

impl Topic {
    /// Answers an append with an old epoch, one that is repeated and one out of sequence.
    fn check_producer(&mut self, request: &Request) -> Option<Response> {
        let name = request.query.get("producer")?;
        let (epoch, seq) = (request.query_number("epoch")?, request.query_number("seq")?);
        let producer = self.producers.entry(name.clone()).or_default();
        if epoch < producer.epoch {
            let body = format!("{{\"reason\":\"fenced\",\"epoch\":{}}}", producer.epoch);
            return Some(Response::new(409, body));
        }
        if epoch > producer.epoch {
            *producer = Producer {
                epoch,
                ..Producer::default()
            };
        }
        if let Some((_, body)) = producer.answers.iter().find(|(known, _)| *known == seq) {
            return Some(Response::new(200, body.clone()));
        }
        match producer.last {
            Some(last) if seq != last + 1 => {
                let body = format!("{{\"reason\":\"seq\",\"seq\":{}}}", last + 1);
                Some(Response::new(409, body))
            }
            _ => None,
        }
    }

    fn keep_answer(&mut self, request: &Request, body: &str) {
        let seq = request.query_number("seq");
        let producer = request
            .query
            .get("producer")
            .and_then(|name| self.producers.get_mut(name));
        if let (Some(producer), Some(seq)) = (producer, seq) {
            producer.last = Some(seq);
            producer.answers.push_back((seq, body.to_owned()));
            if producer.answers.len() > REPEATED_ANSWERS {
                producer.answers.pop_front();
            }
        }
    }
}

fn decode_records(mut body: &[u8]) -> Option<Vec<(String, Vec<u8>)>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_first_chunk::<4>()?;
        let length = u32::from_be_bytes(*length) as usize;
        let (record, rest) = rest.split_at_checked(length)?;
        body = rest;
        let (key_length, content) = record.split_first()?;
        let (key, value) = content.split_at_checked(usize::from(*key_length))?;
        records.push((String::from_utf8(key.to_vec()).ok()?, value.to_vec()));
    }
    Some(records)
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let part = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let word = part(0) << 16 | part(1) << 8 | part(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let value = word >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[value as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
