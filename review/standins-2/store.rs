//! Stand-in for the platform's store: logs with conditions, producers and keys.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::net::{Reply, Request, json_reply};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Appends of a producer whose answers are kept.
const ANSWERS_KEPT: usize = 5;
/// Most keys in a page.
const PAGE_KEYS: usize = 500;
/// Most bytes of values in a page.
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct Producer {
    epoch: u64,
    last: Option<u64>,
    answers: VecDeque<(u64, String)>,
}

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    producers: BTreeMap<String, Producer>,
}

#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
    last_writer: AtomicUsize,
}

impl Store {
    /// Appends a record on behalf of the platform.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        let records = &mut topics.entry(topic.to_owned()).or_default().records;
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        drop(topics);
        self.changed.notify_all();
    }

    /// Returns the daemon that last appended as a producer, which only the owner does.
    pub fn last_writer(&self) -> usize {
        self.last_writer.load(Ordering::SeqCst)
    }

    /// Answers a request of a daemon.
    pub fn answer(&self, daemon: usize, request: &Request) -> Reply {
        if request.query.contains_key("producer") {
            self.last_writer.store(daemon, Ordering::SeqCst);
        }
        std::thread::sleep(ANSWER_TIME);
        let topic = request.query.get("topic").map_or("", String::as_str);
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/api/log-append") => self.append(topic, request),
            ("GET", "/api/log-newest") => self.newest(topic, request),
            ("GET", "/api/log-read") => self.read(topic, request),
            _ => json_reply(404, "{}"),
        }
    }

    fn append(&self, name: &str, request: &Request) -> Reply {
        if name == "keyed.op" || name == "keyed.servers" {
            return json_reply(403, "{}");
        }
        let number = |field| request.query.get(field).and_then(|text| text.parse::<u64>().ok());
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name.to_owned()).or_default();
        let end = topic.records.len() as u64;
        let writer = request.query.get("producer").cloned();
        let sequence = number("seq").unwrap_or(0);
        if let Some(writer) = &writer {
            let epoch = number("epoch").unwrap_or(0);
            let producer = topic.producers.entry(writer.clone()).or_default();
            if epoch < producer.epoch {
                return json_reply(409, "{\"reason\":\"fenced\"}");
            }
            if epoch > producer.epoch {
                *producer = Producer { epoch, ..Producer::default() };
            }
            if let Some((_, body)) = producer.answers.iter().find(|(known, _)| *known == sequence) {
                return json_reply(200, body);
            }
            if let Some(last) = producer.last.filter(|last| sequence != last + 1) {
                return json_reply(409, &format!("{{\"reason\":\"seq\",\"seq\":{}}}", last + 1));
            }
        }
        if number("at").is_some_and(|at| at != end) {
            return json_reply(412, &format!("{{\"end_offset\":{end}}}"));
        }
        topic.records.extend(decode_records(&request.body));
        let after = topic.records.len();
        let body = format!("{{\"offset\":{end},\"end_offset\":{after}}}");
        if let Some(producer) = writer.and_then(|writer| topic.producers.get_mut(&writer)) {
            producer.last = Some(sequence);
            producer.answers.push_back((sequence, body.clone()));
            if producer.answers.len() > ANSWERS_KEPT {
                producer.answers.pop_front();
            }
        }
        drop(topics);
        self.changed.notify_all();
        json_reply(200, &body)
    }

    fn newest(&self, name: &str, request: &Request) -> Reply {
        let topics = self.topics.lock().unwrap();
        let empty = Topic::default();
        let topic = topics.get(name).unwrap_or(&empty);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in topic.records.iter().enumerate() {
            if value.is_empty() {
                newest.remove(key.as_str());
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let after = request.query.get("after").map_or("", String::as_str);
        let mut rest = newest.into_iter().filter(|(key, _)| *key > after).peekable();
        let mut items = Vec::new();
        let mut bytes = 0;
        while items.len() < PAGE_KEYS {
            let fits = |(_, (_, value)): &(&str, (usize, &[u8]))| bytes + value.len() <= PAGE_BYTES;
            let Some((key, (offset, value))) = rest.next_if(fits) else { break };
            bytes += value.len();
            let value = base64(value);
            items.push(format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"));
        }
        let more = rest.peek().is_some();
        let (items, end) = (items.join(","), topic.records.len());
        json_reply(200, &format!("{{\"items\":[{items}],\"more\":{more},\"end_offset\":{end}}}"))
    }

    fn read(&self, name: &str, request: &Request) -> Reply {
        let number = |field| request.query.get(field).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let limit = number("fetch_limit").unwrap_or(1024) as usize;
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut topics = self.topics.lock().unwrap();
        loop {
            let records = topics.get(name).map_or(&[][..], |topic| &topic.records[..]);
            let left = deadline.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for (key, value) in records.iter().skip(from).take(limit) {
                    let length = (1 + key.len() + value.len()) as u32;
                    body.extend_from_slice(&length.to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                return Some((200, body));
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }
}

fn decode_records(mut body: &[u8]) -> Vec<(String, Vec<u8>)> {
    let mut records = Vec::new();
    while let Some((length, rest)) = body.split_first_chunk::<4>() {
        let (record, rest) = rest.split_at(u32::from_be_bytes(*length) as usize);
        body = rest;
        let (key, value) = record[1..].split_at(usize::from(record[0]));
        records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let part = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for digit in 0..4 {
            let value = (bits >> (18 - 6 * digit)) & 63;
            let used = digit <= chunk.len();
            text.push(if used { char::from(DIGITS[value as usize]) } else { '=' });
        }
    }
    text
}
