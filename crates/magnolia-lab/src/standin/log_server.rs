//! Stand-in for the log service.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base64::prelude::{BASE64_STANDARD, Engine};
use futures_util::future::BoxFuture;
use magnolia_backing::{AppendAnswer, AppendBody, ReadAnswer, RecordBody};
use magnolia_http::{HttpResponse, error_response, json_response};
use magnolia_types::{LogOffset, ResultCode, value_types, wire_types};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::{
    FaultState, StandinError, StandinHandler, StandinOptions, StandinReply, StandinRequest,
    query_value, serve_forever,
};
use crate::history::{HistoryEvent, HistoryWriter};

/// Appends per second of all clients together, unless `appends_per_second` is set.
const APPENDS_PER_SECOND: u32 = 300;
/// Longest time that the rate limit delays an append; a longer delay refuses it.
const MAX_APPEND_WAIT: Duration = Duration::from_secs(1);
/// Largest number of records that a read without `max` returns.
const DEFAULT_READ_RECORDS: u64 = 100;

value_types! {
    /// Whether and how the log is unavailable.
    #[serde(rename_all = "snake_case")]
    #[derive(Default)]
    pub enum LogOutage {
        /// The log is available.
        #[default]
        None,
        /// Every call is refused with status 503.
        Refuse,
        /// Calls are neither answered nor carried out.
        Hang,
    }
}

wire_types! {
    /// Faults of the log.
    #[serde(deny_unknown_fields, default)]
    #[derive(Default)]
    pub struct LogFaults {
        /// Appends per second; `None` for the default.
        pub appends_per_second: Option<u32>,
        /// Records older than this are trimmed; offsets stay.
        pub retention_ms: Option<u64>,
        /// The outage, if any.
        pub outage: LogOutage,
        /// Time before an append takes effect.
        pub append_delay_ms: u64,
        /// Percentage of appends that take effect, and whose connection is closed without an
        /// answer.
        pub lose_answers_percent: u8,
        /// Percentage of appends before which a record that readers have to skip is stored: the
        /// first half of the appended record, or bytes of no known format.
        pub foreign_percent: u8,
    }
}

#[derive(Default)]
struct LogStream {
    /// Offset of the oldest record.
    first: u64,
    /// Time of the append and data in base64 of each record.
    records: VecDeque<(Instant, String)>,
}

impl LogStream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn trim(&mut self, retention: Duration) {
        while self
            .records
            .front()
            .is_some_and(|(stored, _)| stored.elapsed() > retention)
        {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

struct LogServer {
    streams: Mutex<HashMap<String, LogStream>>,
    /// Wakes waiting reads after each append.
    appended: Notify,
    /// Earliest time at which the rate limit admits the next append.
    next_append: Mutex<Instant>,
    faults: FaultState<LogFaults>,
    history: HistoryWriter,
}

impl LogServer {
    fn store(&self, stream: &str, data: String, answered: bool) -> u64 {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let records = streams.entry(stream.to_owned()).or_default();
        let offset = records.next();
        records.records.push_back((Instant::now(), data));
        drop(streams);
        self.history.write(HistoryEvent::LogAppended {
            stream: stream.into(),
            offset,
            answered,
        });
        self.appended.notify_waiters();
        offset
    }

    fn read(&self, stream: &str, from: u64, max: usize) -> ReadAnswer {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let stream = streams.entry(stream.to_owned()).or_default();
        if let Some(retention) = self.faults.get().retention_ms {
            stream.trim(Duration::from_millis(retention));
        }
        let skipped = usize::try_from(from.saturating_sub(stream.first)).unwrap_or(usize::MAX);
        let found = (stream.first..)
            .zip(&stream.records)
            .skip(skipped)
            .take(max);
        let found = found.map(|(offset, (_, data))| RecordBody {
            offset: LogOffset::new(offset),
            data: data.clone(),
        });
        ReadAnswer {
            first: LogOffset::new(stream.first),
            next: LogOffset::new(stream.next()),
            records: found.collect(),
        }
    }

    async fn read_waiting(&self, stream: &str, query: Option<&str>) -> ReadAnswer {
        let number = |name| query_value(query, name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0);
        let max = number("max").unwrap_or(DEFAULT_READ_RECORDS);
        let max = usize::try_from(max).unwrap_or(usize::MAX);
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        loop {
            let appended = self.appended.notified();
            tokio::pin!(appended);
            appended.as_mut().enable();
            let answer = self.read(stream, from, max);
            let was_woken = answer.records.is_empty()
                && tokio::time::timeout_at(deadline, appended).await.is_ok();
            if !was_woken {
                return answer;
            }
        }
    }

    /// Waits until the rate limit admits an append; `false` when that takes too long.
    async fn wait_for_append(&self, per_second: u32) -> bool {
        let now = Instant::now();
        let append_at = {
            let mut next = self
                .next_append
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let append_at = (*next).max(now);
            if append_at - now > MAX_APPEND_WAIT {
                return false;
            }
            *next = append_at + Duration::from_secs(1) / per_second.max(1);
            append_at
        };
        tokio::time::sleep_until(append_at).await;
        true
    }

    async fn append(&self, stream: &str, body: &[u8]) -> StandinReply {
        let data = match serde_json::from_slice::<AppendBody>(body) {
            Ok(body) => body.data,
            Err(error) => return error_response(ResultCode::BadRequest, &error.to_string()).into(),
        };
        let faults = self.faults.get();
        let per_second = faults.appends_per_second.unwrap_or(APPENDS_PER_SECOND);
        if !self.wait_for_append(per_second).await {
            return refusal("too many appends").into();
        }
        tokio::time::sleep(Duration::from_millis(faults.append_delay_ms)).await;
        // An outage that began during the wait applies to this append too.
        if let Some(reply) = self.outage() {
            return reply;
        }
        if self.faults.should_inject(faults.foreign_percent) {
            self.store(stream, foreign_record(&data), false);
        }
        let is_lost = self.faults.should_inject(faults.lose_answers_percent);
        let offset = LogOffset::new(self.store(stream, data, !is_lost));
        if is_lost {
            StandinReply::Drop
        } else {
            json_response(200, &AppendAnswer { offset }).into()
        }
    }

    fn outage(&self) -> Option<StandinReply> {
        match self.faults.get().outage {
            LogOutage::None => None,
            LogOutage::Refuse => Some(refusal("the log is unavailable").into()),
            LogOutage::Hang => Some(StandinReply::Hold),
        }
    }

    async fn answer(&self, request: StandinRequest) -> StandinReply {
        if request.path == "/faults" {
            return self.faults.answer(&request).into();
        }
        if let Some(reply) = self.outage() {
            return reply;
        }
        let segments: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        match (request.method.as_str(), segments.as_slice()) {
            ("GET", ["v1", "streams", stream, "records"]) => {
                let answer = self.read_waiting(stream, request.query.as_deref()).await;
                match self.outage() {
                    Some(reply) => reply,
                    None => json_response(200, &answer).into(),
                }
            }
            ("POST", ["v1", "streams", stream, "records"]) => {
                self.append(stream, &request.body).await
            }
            _ => error_response(ResultCode::NotFound, "no such path").into(),
        }
    }
}

fn refusal(message: &str) -> HttpResponse {
    error_response(ResultCode::LogUnavailable, message)
}

/// Returns the first half of a record, or bytes of no known format when it has less than 2 bytes.
fn foreign_record(data: &str) -> String {
    let bytes = BASE64_STANDARD.decode(data).unwrap_or_default();
    match bytes.len() / 2 {
        0 => BASE64_STANDARD.encode(b"foreign"),
        half => BASE64_STANDARD.encode(&bytes[..half]),
    }
}

impl StandinHandler for LogServer {
    fn handle(self: Arc<Self>, request: StandinRequest) -> BoxFuture<'static, StandinReply> {
        Box::pin(async move { self.answer(request).await })
    }
}

/// Runs the stand-in for the log service until the process ends.
///
/// # Errors
///
/// Fails when the address cannot be bound or the faults are malformed.
pub async fn run_log(address: SocketAddr, options: &StandinOptions) -> Result<(), StandinError> {
    let server = LogServer {
        streams: Mutex::default(),
        appended: Notify::new(),
        next_append: Mutex::new(Instant::now()),
        faults: FaultState::new("log", options)?,
        history: options.history.clone(),
    };
    serve_forever(address, Arc::new(server)).await
}
