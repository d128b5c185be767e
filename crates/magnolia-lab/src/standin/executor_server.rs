//! Stand-ins for executors, one address each. The answer is the body after a fixed prefix.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use futures_util::future::{BoxFuture, try_join_all};
use http::HeaderValue;
use http_body_util::Full;
use magnolia_backing::{ExecutorStatus, HEADER_NOT_RUN, HEADER_REQUEST_ID};
use magnolia_config::ConfigDocument;
use magnolia_http::{HttpResponse, error_response, json_response};
use magnolia_types::{ExecutorId, ResultCode, wire_types};

use super::{
    FaultState, StandinError, StandinHandler, StandinOptions, StandinReply, StandinRequest,
    serve_forever,
};
use crate::history::{HistoryEvent, HistoryWriter, monotonic_us};

/// Time that a request takes, unless `service_ms` is set.
const SERVICE_TIME_MS: u64 = 2;
/// Interval at which a hanging request checks whether the fault was cleared.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(20);

wire_types! {
    /// Faults of an executor.
    #[serde(deny_unknown_fields, default)]
    #[derive(Default)]
    pub struct ExecutorFaults {
        /// Time that a request takes; `None` for the default.
        pub service_ms: Option<u64>,
        /// Percentage of requests that run and fail.
        pub fail_percent: u8,
        /// Percentage of requests that run, and whose connection is closed without an answer.
        pub lose_answers_percent: u8,
        /// Whether requests hold their slot until the fault is cleared.
        pub hang: bool,
        /// Whether requests of all kinds are neither run nor answered.
        pub unreachable: bool,
        /// Whether the executor reports that it is leaving and refuses requests.
        pub leaving: bool,
        /// Connections opened before this monotonic time get no responses; 0 for none.
        pub silent_before_us: u64,
        /// Misbehaviour: number of slots in the status, instead of the true one.
        pub claimed_slots: Option<u32>,
        /// Misbehaviour: accepts requests and connections beyond its limits.
        pub ignore_limits: bool,
    }
}

struct ExecutorServer {
    executor: ExecutorId,
    slots: u32,
    max_connections: u32,
    /// Number of requests in progress.
    busy: AtomicU32,
    /// Number of open connections.
    open: AtomicU32,
    /// Number of the next run.
    runs: AtomicU64,
    faults: FaultState<ExecutorFaults>,
    history: HistoryWriter,
}

impl ExecutorServer {
    async fn answer(&self, request: StandinRequest) -> StandinReply {
        if request.path == "/faults" {
            let was_leaving = self.faults.get().leaving;
            let response = self.faults.answer(&request);
            self.record_leaving(was_leaving);
            return response.into();
        }
        if self.faults.get().unreachable {
            return StandinReply::Hold;
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/status") => json_response(200, &self.status()).into(),
            ("POST", "/v1/execute") => self.execute(&request).await,
            _ => error_response(ResultCode::NotFound, "no such path").into(),
        }
    }

    fn record_leaving(&self, was_leaving: bool) {
        let leaving = self.faults.get().leaving;
        if leaving != was_leaving {
            let endpoint = self.executor.as_str().into();
            self.history
                .write(HistoryEvent::Leaving { endpoint, leaving });
        }
    }

    fn status(&self) -> ExecutorStatus {
        let faults = self.faults.get();
        ExecutorStatus {
            executor: self.executor.clone(),
            slots: faults.claimed_slots.unwrap_or(self.slots),
            busy: self.busy.load(Ordering::SeqCst),
            max_connections: self.max_connections,
            connections: self.open.load(Ordering::SeqCst),
            leaving: faults.leaving,
        }
    }

    async fn execute(&self, request: &StandinRequest) -> StandinReply {
        let faults = self.faults.get();
        let busy = self.busy.fetch_add(1, Ordering::SeqCst) + 1;
        let reply = if faults.leaving {
            self.refuse("leaving").into()
        } else if busy > self.slots && !faults.ignore_limits {
            self.refuse("no free slot").into()
        } else {
            self.run(&String::from_utf8_lossy(&request.body), &faults)
                .await
        };
        self.busy.fetch_sub(1, Ordering::SeqCst);
        let StandinReply::Answer(mut response) = reply else {
            return reply;
        };
        if let Some(id) = request.headers.get(HEADER_REQUEST_ID) {
            response.headers_mut().insert(HEADER_REQUEST_ID, id.clone());
        }
        StandinReply::Answer(response)
    }

    fn refuse(&self, reason: &str) -> HttpResponse {
        self.history.write(HistoryEvent::RequestRefused {
            executor: self.executor.clone(),
            reason: reason.into(),
        });
        let mut response = error_response(ResultCode::NoBackend, reason);
        response
            .headers_mut()
            .insert(HEADER_NOT_RUN, HeaderValue::from_static("1"));
        response
    }

    async fn run(&self, body: &str, faults: &ExecutorFaults) -> StandinReply {
        let run = self.runs.fetch_add(1, Ordering::SeqCst);
        self.history.write(HistoryEvent::RequestStarted {
            executor: self.executor.clone(),
            run,
            body: body.into(),
        });
        while self.faults.get().hang {
            tokio::time::sleep(HANG_POLL_INTERVAL).await;
        }
        let service = Duration::from_millis(faults.service_ms.unwrap_or(SERVICE_TIME_MS));
        tokio::time::sleep(service).await;
        self.history.write(HistoryEvent::RequestEnded {
            executor: self.executor.clone(),
            run,
        });
        if self.faults.should_inject(faults.lose_answers_percent) {
            StandinReply::Drop
        } else if self.faults.should_inject(faults.fail_percent) {
            error_response(ResultCode::WorkFailed, "the request failed").into()
        } else {
            HttpResponse::new(Full::from(format!("answer to {body}"))).into()
        }
    }
}

impl StandinHandler for ExecutorServer {
    fn handle(self: Arc<Self>, request: StandinRequest) -> BoxFuture<'static, StandinReply> {
        // A separate task: a started request runs to its end even when the caller disconnects.
        let running = tokio::spawn(async move { self.answer(request).await });
        Box::pin(async move { running.await.unwrap_or(StandinReply::Drop) })
    }

    fn set_open_connections(&self, open: u32) -> bool {
        self.open.store(open, Ordering::SeqCst);
        let is_allowed = open <= self.max_connections || self.faults.get().ignore_limits;
        if is_allowed {
            self.history.write(HistoryEvent::Connections {
                executor: self.executor.clone(),
                open,
            });
        }
        is_allowed
    }

    fn is_silent(&self, opened_us: u64) -> bool {
        opened_us < self.faults.get().silent_before_us.min(monotonic_us())
    }
}

/// Runs a stand-in for every executor of the inventory until the process ends.
///
/// # Errors
///
/// Fails when an address cannot be bound or the faults are malformed.
pub async fn run_executors(
    document: &ConfigDocument,
    options: &StandinOptions,
) -> Result<(), StandinError> {
    let mut servers = Vec::new();
    for block in &document.executor_blocks {
        for executor in &block.executors {
            options.history.write(HistoryEvent::ExecutorUp {
                executor: executor.name.clone(),
                slots: block.slots,
                connections: block.connections,
            });
            let server = ExecutorServer {
                executor: executor.name.clone(),
                slots: block.slots,
                max_connections: block.connections,
                busy: AtomicU32::new(0),
                open: AtomicU32::new(0),
                runs: AtomicU64::new(0),
                faults: FaultState::new(executor.name.as_str(), options)?,
                history: options.history.clone(),
            };
            servers.push(serve_forever(executor.address, Arc::new(server)));
        }
    }
    try_join_all(servers).await?;
    Ok(())
}
