//! A fake executor that does not enforce its slots and counts the requests that it receives.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::future::BoxFuture;
use http::HeaderValue;
use http_body_util::Full;
use magnolia_backing::{ExecutorStatus, HEADER_NOT_RUN, HEADER_REQUEST_ID};
use magnolia_http::{
    HttpHandler, HttpRequest, HttpResponse, error_response, json_response, read_body,
};
use magnolia_types::{ExecutorId, ResultCode};

use super::platform;

/// How the executor handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutorMode {
    /// Answers after a delay.
    Answer(Duration),
    /// Refuses requests as not run.
    Refuse,
    /// Never answers.
    Hang,
    /// Holds requests until another mode is set, then answers them.
    Hold,
}

/// A running fake executor.
pub struct FakeExecutor {
    pub name: String,
    pub address: SocketAddr,
    server: Arc<ExecutorServer>,
}

struct ExecutorServer {
    name: String,
    slots: u32,
    mode: Mutex<ExecutorMode>,
    busy: AtomicU32,
    max_busy: AtomicU32,
    requests: AtomicUsize,
    is_leaving: AtomicBool,
    bodies: Mutex<Vec<String>>,
}

impl FakeExecutor {
    /// Starts an executor that answers after 2 ms.
    pub async fn start(name: &str, slots: u32) -> Arc<Self> {
        let server = Arc::new(ExecutorServer {
            name: name.to_owned(),
            slots,
            mode: Mutex::new(ExecutorMode::Answer(Duration::from_millis(2))),
            busy: AtomicU32::new(0),
            max_busy: AtomicU32::new(0),
            requests: AtomicUsize::new(0),
            is_leaving: AtomicBool::new(false),
            bodies: Mutex::default(),
        });
        let address = platform::start(Arc::clone(&server) as _);
        let name = name.to_owned();
        Arc::new(Self {
            name,
            address,
            server,
        })
    }

    /// Sets how the executor handles requests from now on.
    pub fn set_mode(&self, mode: ExecutorMode) {
        let mut current = self.server.mode.lock();
        *current
            .as_deref_mut()
            .unwrap_or_else(|_| panic!("poisoned")) = mode;
    }

    /// Makes the executor report that it is leaving.
    pub fn leave(&self) {
        self.server.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Returns the maximum number of requests that ran at the same time.
    pub fn max_busy(&self) -> u32 {
        self.server.max_busy.load(Ordering::SeqCst)
    }

    /// Returns the number of requests that are running.
    pub fn busy(&self) -> u32 {
        self.server.busy.load(Ordering::SeqCst)
    }

    /// Returns the number of requests that arrived, including refused ones.
    pub fn requests(&self) -> usize {
        self.server.requests.load(Ordering::SeqCst)
    }

    /// Returns how often a request with this body arrived.
    pub fn count_body(&self, body: &str) -> usize {
        let bodies = self
            .server
            .bodies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        bodies.iter().filter(|seen| *seen == body).count()
    }
}

impl ExecutorServer {
    fn status(&self) -> ExecutorStatus {
        ExecutorStatus {
            executor: ExecutorId::new(&self.name).expect("a name"),
            slots: self.slots,
            busy: self.busy.load(Ordering::SeqCst),
            max_connections: 16,
            connections: 0,
            leaving: self.is_leaving.load(Ordering::SeqCst),
        }
    }

    fn mode(&self) -> ExecutorMode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn execute(&self, body: &str) -> HttpResponse {
        match self.mode() {
            ExecutorMode::Refuse => {
                let mut response = error_response(ResultCode::NoBackend, "refused");
                let yes = HeaderValue::from_static("1");
                response.headers_mut().insert(HEADER_NOT_RUN, yes);
                response
            }
            ExecutorMode::Hang => std::future::pending().await,
            ExecutorMode::Hold => {
                while self.mode() == ExecutorMode::Hold {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                HttpResponse::new(Full::from(format!("answer to {body}")))
            }
            ExecutorMode::Answer(time) => {
                tokio::time::sleep(time).await;
                HttpResponse::new(Full::from(format!("answer to {body}")))
            }
        }
    }
}

impl HttpHandler for ExecutorServer {
    fn handle(self: Arc<Self>, request: HttpRequest) -> BoxFuture<'static, HttpResponse> {
        Box::pin(async move {
            let (parts, body) = request.into_parts();
            if parts.uri.path() == "/v1/status" {
                return json_response(200, &self.status());
            }
            let body = read_body(body, 1 << 20).await.unwrap_or_default();
            let body = String::from_utf8_lossy(&body).into_owned();
            self.requests.fetch_add(1, Ordering::SeqCst);
            let busy = self.busy.fetch_add(1, Ordering::SeqCst) + 1;
            self.max_busy.fetch_max(busy, Ordering::SeqCst);
            self.bodies
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(body.clone());
            // Runs in a task of its own, so that it completes even if the connection breaks.
            let server = Arc::clone(&self);
            let run = tokio::spawn(async move {
                let response = server.execute(&body).await;
                server.busy.fetch_sub(1, Ordering::SeqCst);
                response
            });
            let mut response = run.await.expect("a response");
            if let Some(id) = parts.headers.get(HEADER_REQUEST_ID) {
                response.headers_mut().insert(HEADER_REQUEST_ID, id.clone());
            }
            response
        })
    }
}
