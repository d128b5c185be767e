//! Stand-in of the log service.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::future::BoxFuture;
use magnolia_http::{
    HttpHandler, HttpRequest, HttpResponse, error_response, json_response, read_body,
};
use magnolia_platform::{AppendAnswer, AppendBody, ReadAnswer, RecordBody};
use magnolia_types::{LogOffset, ResultCode};
use tokio::sync::Notify;

use super::{StandinError, query_value, serve_forever};

/// Largest record in bytes of base64.
const MAX_RECORD_BYTES: usize = 8 << 20;

/// Streams in memory.
#[derive(Default)]
struct LogServer {
    streams: Mutex<HashMap<String, Vec<String>>>,
    appended: Notify,
}

impl LogServer {
    fn append(&self, stream: &str, data: String) -> LogOffset {
        let mut streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let records = streams.entry(stream.to_owned()).or_default();
        records.push(data);
        let offset = LogOffset::new(records.len() as u64 - 1);
        drop(streams);
        self.appended.notify_waiters();
        offset
    }

    fn read(&self, stream: &str, from: u64, max: usize) -> ReadAnswer {
        let streams = self.streams.lock().unwrap_or_else(PoisonError::into_inner);
        let records = streams.get(stream).map(Vec::as_slice).unwrap_or_default();
        let found = (0..)
            .zip(records)
            .skip(usize::try_from(from).unwrap_or(usize::MAX))
            .take(max);
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

    async fn read_waiting(&self, stream: &str, query: Option<&str>) -> ReadAnswer {
        let number = |name| query_value(query, name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0);
        let max = usize::try_from(number("max").unwrap_or(100)).unwrap_or(100);
        let deadline =
            tokio::time::Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        loop {
            let appended = self.appended.notified();
            tokio::pin!(appended);
            appended.as_mut().enable();
            let answer = self.read(stream, from, max);
            let waited = answer.records.is_empty()
                && tokio::time::timeout_at(deadline, appended).await.is_ok();
            if !waited {
                return answer;
            }
        }
    }

    async fn answer(&self, request: HttpRequest) -> HttpResponse {
        let (parts, body) = request.into_parts();
        let segments: Vec<&str> = parts.uri.path().trim_matches('/').split('/').collect();
        match (parts.method.as_str(), segments.as_slice()) {
            ("GET", ["v1", "streams", stream, "records"]) => {
                json_response(200, &self.read_waiting(stream, parts.uri.query()).await)
            }
            ("POST", ["v1", "streams", stream, "records"]) => {
                let Ok(body) = read_body(body, MAX_RECORD_BYTES).await else {
                    return error_response(ResultCode::BadRequest, "the body could not be read");
                };
                match serde_json::from_slice::<AppendBody>(&body) {
                    Ok(body) => {
                        let offset = self.append(stream, body.data);
                        json_response(200, &AppendAnswer { offset })
                    }
                    Err(error) => error_response(ResultCode::BadRequest, &error.to_string()),
                }
            }
            _ => error_response(ResultCode::NotFound, "no such path"),
        }
    }
}

impl HttpHandler for LogServer {
    fn handle(self: Arc<Self>, request: HttpRequest) -> BoxFuture<'static, HttpResponse> {
        Box::pin(async move { self.answer(request).await })
    }
}

/// Runs the log service until the process ends.
///
/// # Errors
///
/// Fails when the address cannot be used.
pub async fn run_log(address: SocketAddr) -> Result<(), StandinError> {
    serve_forever(address, Arc::new(LogServer::default())).await
}
