//! The platform's store: keyed topics with one partition, conditional appends and producer epochs.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::http::{Request, Response, serve};
use crate::json::{Json, table};
use crate::record::{Record, lock};

/// Limits from the settings of the platform.
const RECORD_BYTES: usize = 262_144;
const CALL_BYTES: usize = 2_097_152;
const KEYS_PER_PAGE: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
const RESPONSES_KEPT: usize = 5;
/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Producer {
    epoch: u64,
    last: Option<u64>,
    responses: VecDeque<(u64, String)>,
}

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

/// The store.
pub struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
    down: Mutex<bool>,
    /// Sizes of the appends that were rejected.
    rejected: Mutex<BTreeSet<usize>>,
    record: Arc<Record>,
}

impl Store {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            topics: Mutex::default(),
            changed: Condvar::new(),
            down: Mutex::new(false),
            rejected: Mutex::default(),
            record,
        })
    }

    pub fn start(self: &Arc<Self>) -> SocketAddr {
        let store = Arc::clone(self);
        serve(Arc::new(move |request| store.answer(request)))
    }

    /// While the store is down, every call is answered with 503 and nothing is done.
    pub fn set_down(&self, down: bool) {
        *lock(&self.down) = down;
        let text = if down {
            "store down: 503 to every call"
        } else {
            "store back"
        };
        self.record.line(text);
    }

    pub fn is_down(&self) -> bool {
        *lock(&self.down)
    }

    /// Appends a record for the operator or an executor.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = lock(&self.topics);
        let topic = topics.entry(topic.to_owned()).or_default();
        topic
            .records
            .push((key.to_owned(), value.as_bytes().to_vec()));
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Option<Response> {
        if self.is_down() {
            return Some((503, b"{}".to_vec()));
        }
        let response = match request.path.as_str() {
            "/api/log-append" => self.append(request),
            "/api/log-newest" => self.newest(request),
            "/api/log-read" => self.read(request),
            _ => (404, b"{}".to_vec()),
        };
        std::thread::sleep(ANSWER_TIME);
        Some(response)
    }

    fn append(&self, request: &Request) -> Response {
        let name = request.parameter("topic").unwrap_or_default();
        if name == "keyed.op" || name == "keyed.servers" {
            return (403, b"{}".to_vec());
        }
        let Some(records) = split_records(&request.body) else {
            let size = request.body.len();
            let mut rejected = lock(&self.rejected);
            if rejected.insert(size) {
                self.record.line(format!(
                    "store rejects an append of {size} bytes with 400: a record is longer than \
                     {RECORD_BYTES} bytes; further ones of this size are not noted"
                ));
            }
            return (400, b"{\"error\":\"record_bytes\"}".to_vec());
        };
        let mut topics = lock(&self.topics);
        let topic = topics.entry(name.to_owned()).or_default();
        let end = topic.records.len() as u64;
        let writer = request.parameter("producer").map(|producer| {
            let epoch = request.numeric("epoch").unwrap_or(0);
            (producer, epoch, request.numeric("seq").unwrap_or(0))
        });
        if let Some((producer, epoch, seq)) = writer {
            let known = topic.producers.entry(producer.to_owned()).or_default();
            if epoch < known.epoch {
                return (409, b"{\"reason\":\"fenced\"}".to_vec());
            }
            if epoch > known.epoch {
                *known = Producer {
                    epoch,
                    ..Producer::default()
                };
            }
            if let Some((_, body)) = known.responses.iter().find(|(at, _)| *at == seq) {
                return (200, body.clone().into_bytes());
            }
            if let Some(last) = known.last
                && seq != last + 1
            {
                let body = format!("{{\"reason\":\"seq\",\"seq\":{}}}", last + 1);
                return (409, body.into_bytes());
            }
        }
        if request.numeric("at").is_some_and(|at| at != end) {
            return (412, format!("{{\"end_offset\":{end}}}").into_bytes());
        }
        topic.records.extend(records);
        let after = topic.records.len();
        let body = format!("{{\"offset\":{end},\"end_offset\":{after}}}");
        if let Some((producer, _, seq)) = writer
            && let Some(known) = topic.producers.get_mut(producer)
        {
            known.last = Some(seq);
            known.responses.push_back((seq, body.clone()));
            if known.responses.len() > RESPONSES_KEPT {
                known.responses.pop_front();
            }
        }
        self.changed.notify_all();
        (200, body.into_bytes())
    }

    fn newest(&self, request: &Request) -> Response {
        let topics = lock(&self.topics);
        let name = request.parameter("topic").unwrap_or_default();
        let after = request.parameter("after").unwrap_or_default();
        let mut newest: BTreeMap<&str, (&[u8], u64)> = BTreeMap::new();
        let mut end = 0;
        if let Some(topic) = topics.get(name) {
            end = topic.records.len() as u64;
            for (offset, (key, value)) in (0u64..).zip(&topic.records) {
                if value.is_empty() {
                    newest.remove(key.as_str());
                } else {
                    newest.insert(key, (value, offset));
                }
            }
        }
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, (value, offset)) in newest {
            if !after.is_empty() && key <= after {
                continue;
            }
            if items.len() == KEYS_PER_PAGE || (bytes + value.len() > PAGE_BYTES && bytes > 0) {
                more = true;
                break;
            }
            bytes += value.len();
            items.push(table([
                ("key", key.into()),
                ("value", base64(value).into()),
                ("offset", offset.into()),
            ]));
        }
        let body = table([
            ("items", Json::List(items)),
            ("more", Json::Bool(more)),
            ("end_offset", end.into()),
        ]);
        (200, body.to_string().into_bytes())
    }

    fn read(&self, request: &Request) -> Response {
        let name = request.parameter("topic").unwrap_or_default();
        let from = request.numeric("from").unwrap_or(0) as usize;
        let limit = request.numeric("fetch_limit").unwrap_or(1024) as usize;
        let wait = Duration::from_millis(request.numeric("wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut topics = lock(&self.topics);
        loop {
            let empty = Vec::new();
            let records = topics.get(name).map_or(&empty, |topic| &topic.records);
            let left = deadline.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() || self.is_down() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0u64.to_be_bytes());
                for (key, value) in records.iter().skip(from).take(limit) {
                    let length = 1 + key.len() + value.len();
                    body.extend((length as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return (200, body);
            }
            let slice = left.min(Duration::from_millis(100));
            let waited = self.changed.wait_timeout(topics, slice);
            topics = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// Splits the body of an append into keys and values; `None` if it exceeds a limit.
fn split_records(mut body: &[u8]) -> Option<Vec<(String, Vec<u8>)>> {
    if body.len() > CALL_BYTES {
        return None;
    }
    let mut records = Vec::new();
    while let Some((length, rest)) = body.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        let record = rest.get(..length).filter(|_| length <= RECORD_BYTES)?;
        body = &rest[length..];
        let (key_length, content) = record.split_first()?;
        let key = content.get(..usize::from(*key_length))?;
        let key = String::from_utf8(key.to_vec()).ok()?;
        records.push((key, content[usize::from(*key_length)..].to_vec()));
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() / 3 * 4 + 4);
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for position in 0..4 {
            if position <= chunk.len() {
                let digit = group >> (18 - 6 * position) & 63;
                text.push(DIGITS[digit as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
