//! Client that sends work at a constant rate.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use magnolia_http::{ErrorBody, HttpClient, PoolSettings};
use magnolia_types::{Ran, stable_hash};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use super::{LoadMix, WorkKind};
use crate::history::{HistoryEvent, HistoryWriter, QuickResult};

/// Deadline of a quick request.
const QUICK_DEADLINE: Duration = Duration::from_secs(2);
/// Time after the deadline during which the client still waits for the answer.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);
/// Largest number of calls of a request that is not repeatable, all with the same key.
const MAX_CALLS_PER_KEY: u32 = 4;
/// Largest number of attempts to reach a daemon, each at a random one, until a connection succeeds.
pub(super) const MAX_CONNECT_ATTEMPTS: u32 = 8;
/// Delay between two calls with the same key.
const REPEAT_DELAY: Duration = Duration::from_millis(300);
/// Upper bound of the random padding of a body.
const MAX_PADDING_BYTES: usize = 200;

/// Number of the next load of this process; it keeps call ids and keys of the loads apart.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Settings of a load.
#[derive(Clone)]
pub struct LoadSettings {
    /// Names and addresses of the daemons; each call goes to a random one.
    pub daemons: Vec<(Arc<str>, SocketAddr)>,
    /// Requests and jobs per second.
    pub rate: u32,
    /// Weights of the kinds of work.
    pub mix: LoadMix,
    /// Time during which work is sent.
    pub duration: Duration,
    /// Longest time to wait after `duration` until all accepted jobs have ended.
    pub max_job_wait: Duration,
    /// Seed of the random choices.
    pub seed: u64,
    /// Writer of the events.
    pub history: HistoryWriter,
}

/// Client that generates a load.
pub struct LoadClient {
    pub(super) http: HttpClient,
    pub(super) settings: LoadSettings,
    /// Set when the client sends no new work.
    pub(super) has_stopped_sending: AtomicBool,
    random: Mutex<ChaCha8Rng>,
    /// Prefix of call ids and keys, unique among the loads on a machine.
    prefix: String,
    calls: AtomicU64,
}

impl LoadClient {
    /// Creates the client.
    pub fn new(settings: LoadSettings) -> Self {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
        Self {
            http: HttpClient::new(PoolSettings::new()),
            random: Mutex::new(ChaCha8Rng::seed_from_u64(settings.seed)),
            prefix: format!("{}-{number}", std::process::id()),
            calls: AtomicU64::new(0),
            has_stopped_sending: AtomicBool::new(false),
            settings,
        }
    }

    /// Sends work for the duration of the load, then waits until every call and job has ended.
    pub async fn run(self) {
        let client = Arc::new(self);
        let interval = Duration::from_secs(1) / client.settings.rate.max(1);
        let mut ticks = tokio::time::interval(interval);
        let end = tokio::time::Instant::now() + client.settings.duration;
        let mut running = JoinSet::new();
        while ticks.tick().await < end {
            let total = client.settings.mix.total();
            let kind = client.settings.mix.pick(client.random_number(0, total));
            running.spawn(Arc::clone(&client).send(kind));
        }
        client.has_stopped_sending.store(true, Ordering::SeqCst);
        while running.join_next().await.is_some() {}
    }

    async fn send(self: Arc<Self>, kind: WorkKind) {
        match kind {
            WorkKind::Quick => {
                let body = self.body();
                self.call_quick(&body, None).await;
            }
            WorkKind::Once => self.call_unrepeatable().await,
            _ => self.run_job(kind).await,
        }
    }

    /// Sends a request that is not repeatable, and repeats the call with the same key until the
    /// request is known to have run, at most `MAX_CALLS_PER_KEY` times in total.
    async fn call_unrepeatable(&self) {
        let body = self.body();
        for _ in 0..MAX_CALLS_PER_KEY {
            let result = self.call_quick(&body, Some(&body)).await;
            let may_still_run = match result {
                QuickResult::Answered(_) => false,
                QuickResult::Refused { ran, .. } => ran != Ran::Yes,
                QuickResult::Lost { .. } => true,
            };
            if !may_still_run {
                return;
            }
            tokio::time::sleep(REPEAT_DELAY).await;
        }
    }

    /// Sends a request. When a daemon refuses the connection, picks a random daemon again, much as
    /// a load balancer tries another one.
    async fn call_quick(&self, body: &str, key: Option<&str>) -> QuickResult {
        let mut result = self.call_daemon(body, key).await;
        for _ in 1..MAX_CONNECT_ATTEMPTS {
            if result != (QuickResult::Lost { sent: false }) {
                break;
            }
            result = self.call_daemon(body, key).await;
        }
        result
    }

    async fn call_daemon(&self, body: &str, key: Option<&str>) -> QuickResult {
        let (daemon, address) = self.random_daemon();
        let id: Arc<str> = self.next_id().into();
        // Keys are scoped to a customer, so all calls with a key have to name the same customer.
        let is_guild = match key {
            Some(key) => stable_hash(key.as_bytes()) % 2 == 1,
            None => self.random_number(0, 2) == 1,
        };
        let mut request = json!({
            "customer": if is_guild { "guild" } else { "board" },
            "class": "quick",
            "deadline_ms": u64::try_from(QUICK_DEADLINE.as_millis()).unwrap_or(u64::MAX),
            "body": body,
            "repeatable": key.is_none(),
        });
        if let Some(key) = key {
            // The length of keys is limited, so the padding of the body is left out.
            request["idempotency_key"] = key.split('/').next().into();
        }
        self.settings.history.write(HistoryEvent::QuickSent {
            id: Arc::clone(&id),
            daemon,
            body: body.into(),
            repeatable: key.is_none(),
        });
        let result = self.exchange_quick(address, &request).await;
        self.settings.history.write(HistoryEvent::QuickDone {
            id,
            result: result.clone(),
        });
        result
    }

    async fn exchange_quick(&self, address: SocketAddr, request: &Value) -> QuickResult {
        let limit = QUICK_DEADLINE + ANSWER_MARGIN;
        let answer = self
            .http
            .post_json(address, "/v1/requests", request, limit)
            .await;
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => {
                let sent = !error.is_not_sent();
                return QuickResult::Lost { sent };
            }
        };
        if !answer.status.is_success() {
            return match answer.json::<ErrorBody>() {
                Ok(ErrorBody { code, ran, .. }) => QuickResult::Refused { code, ran },
                Err(_) => QuickResult::Lost { sent: true },
            };
        }
        let text = answer.json::<Value>().ok();
        let text = text.and_then(|body| body["answer"].as_str().map(Arc::from));
        text.map_or(QuickResult::Lost { sent: true }, QuickResult::Answered)
    }

    /// Returns the body of a new request: a unique id and padding of random length.
    fn body(&self) -> String {
        let padding = self.random_number(0, MAX_PADDING_BYTES);
        format!("{}/{}", self.next_id(), "x".repeat(padding))
    }

    pub(super) fn next_id(&self) -> String {
        let call = self.calls.fetch_add(1, Ordering::SeqCst);
        format!("{}-{call}", self.prefix)
    }

    /// Returns the name and address of a random daemon.
    pub(super) fn random_daemon(&self) -> (Arc<str>, SocketAddr) {
        let daemons = &self.settings.daemons;
        let (daemon, address) = &daemons[self.random_number(0, daemons.len())];
        (Arc::clone(daemon), *address)
    }

    /// Returns a random number in `from..until`.
    pub(super) fn random_number<T>(&self, from: T, until: T) -> T
    where
        T: rand::distr::uniform::SampleUniform + PartialOrd,
    {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        random.random_range(from..until)
    }
}
