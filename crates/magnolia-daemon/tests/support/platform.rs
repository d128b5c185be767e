//! Fakes of the log service and the instance list.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::future::BoxFuture;
use magnolia_backing::{AppendAnswer, AppendBody, InstanceEntry, ReadAnswer, RecordBody};
use magnolia_http::{
    HttpHandler, HttpRequest, HttpResponse, error_response, json_response, read_body, serve,
};
use magnolia_types::{LogOffset, ResultCode};
use tokio::net::TcpListener;

/// Maximum time for which a read waits for records.
const MAX_WAIT: Duration = Duration::from_millis(200);

/// Serves a fake on an unused port.
pub fn start(handler: Arc<dyn HttpHandler>) -> SocketAddr {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    listener.set_nonblocking(true).expect("a setting");
    let listener = TcpListener::from_std(listener).expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(serve(
        listener,
        handler,
        std::future::pending(),
        Duration::from_secs(1),
    ));
    address
}

/// A log in memory.
#[derive(Default)]
pub struct FakeLog {
    streams: Mutex<HashMap<String, Vec<String>>>,
    /// Whether the log refuses all requests.
    pub is_unavailable: AtomicBool,
    /// Whether appends take effect but are not answered.
    pub loses_answers: AtomicBool,
}

impl FakeLog {
    /// Returns the number of records of a stream.
    pub fn len(&self, stream: &str) -> usize {
        let streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        streams.get(stream).map_or(0, Vec::len)
    }

    /// Returns the records of a stream, in base64.
    pub fn records(&self, stream: &str) -> Vec<String> {
        let streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        streams.get(stream).cloned().unwrap_or_default()
    }

    /// Appends a record.
    pub fn append(&self, stream: &str, data: String) -> LogOffset {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let records = streams.entry(stream.to_owned()).or_default();
        records.push(data);
        LogOffset::new(records.len() as u64 - 1)
    }

    fn read(&self, stream: &str, from: usize) -> ReadAnswer {
        let streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let records = streams.get(stream).map(Vec::as_slice).unwrap_or_default();
        let found = (0..).zip(records).skip(from);
        let found = found.map(|(offset, data)| RecordBody {
            offset: LogOffset::new(offset),
            data: data.clone(),
        });
        ReadAnswer {
            first: LogOffset::new(0),
            next: LogOffset::new(records.len() as u64),
            records: found.collect(),
        }
    }

    async fn answer(&self, request: HttpRequest) -> HttpResponse {
        if self.is_unavailable.load(Ordering::SeqCst) {
            return error_response(ResultCode::LogUnavailable, "away");
        }
        let (parts, body) = request.into_parts();
        let stream = parts.uri.path().split('/').nth(3).unwrap_or_default();
        if parts.method == http::Method::POST {
            let body = read_body(body, 1 << 20).await.unwrap_or_default();
            let body: AppendBody = serde_json::from_slice(&body).expect("a record");
            let offset = self.append(stream, body.data);
            if self.loses_answers.load(Ordering::SeqCst) {
                std::future::pending::<()>().await;
            }
            return json_response(200, &AppendAnswer { offset });
        }
        let query = parts.uri.query().unwrap_or_default();
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .and_then(|(_, text)| text.parse::<usize>().ok())
        };
        let from = number("from").unwrap_or(0);
        let deadline = tokio::time::Instant::now()
            + Duration::from_millis(number("wait_ms").unwrap_or(0) as u64).min(MAX_WAIT);
        loop {
            let answer = self.read(stream, from);
            if !answer.records.is_empty() || tokio::time::Instant::now() >= deadline {
                return json_response(200, &answer);
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

impl HttpHandler for FakeLog {
    fn handle(self: Arc<Self>, request: HttpRequest) -> BoxFuture<'static, HttpResponse> {
        Box::pin(async move { self.answer(request).await })
    }
}

/// The path of one daemon to the log, which can be cut.
pub struct LogPath {
    pub log: Arc<FakeLog>,
    pub is_cut: AtomicBool,
}

impl HttpHandler for LogPath {
    fn handle(self: Arc<Self>, request: HttpRequest) -> BoxFuture<'static, HttpResponse> {
        if self.is_cut.load(Ordering::SeqCst) {
            return Box::pin(async { error_response(ResultCode::LogUnavailable, "cut off") });
        }
        Arc::clone(&self.log).handle(request)
    }
}

/// An instance list in memory.
#[derive(Default)]
pub struct FakeInstances {
    entries: Mutex<Vec<InstanceEntry>>,
}

impl FakeInstances {
    /// Replaces the list.
    pub fn set(&self, entries: Vec<InstanceEntry>) {
        *self.entries.lock().unwrap_or_else(PoisonError::into_inner) = entries;
    }
}

impl HttpHandler for FakeInstances {
    fn handle(self: Arc<Self>, _: HttpRequest) -> BoxFuture<'static, HttpResponse> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let response = json_response(200, &*entries);
        Box::pin(async move { response })
    }
}
