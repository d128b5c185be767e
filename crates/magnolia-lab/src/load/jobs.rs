//! Submission and tracking of the jobs of a load.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use magnolia_http::ErrorBody;
use magnolia_types::{JobId, JobKind, JobState, Ran, ResourceVector};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::client::MAX_CONNECT_ATTEMPTS;
use super::{LoadClient, WorkKind};
use crate::history::HistoryEvent;

/// Timeout of a submission.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(8);
/// Largest number of submissions of a job while its acceptance is unknown, all with the same key,
/// and of calls that cancel a service.
const MAX_SUBMISSIONS: u32 = 4;
/// Time that one call waits for the end of a job, in milliseconds.
const WAIT_MS: u64 = 2000;
/// Timeout of a call that waits for the end of a job or cancels it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay between two calls about a job.
const CALL_DELAY: Duration = Duration::from_millis(200);

/// A job to submit.
struct LoadJob {
    key: Arc<str>,
    kind: WorkKind,
    tasks: u32,
    size: ResourceVector,
    body: Value,
}

/// Result of one submission.
enum Submission {
    Accepted(JobId),
    Refused,
    NotConnected,
    Unknown,
}

impl LoadClient {
    /// Submits a job and waits for its end. A service is cancelled when the load ends.
    pub(super) async fn run_job(&self, kind: WorkKind) {
        let job = self.job(kind);
        let mut unknown = 0;
        let mut not_connected = 0;
        while unknown < MAX_SUBMISSIONS && not_connected < MAX_CONNECT_ATTEMPTS {
            match self.submit(&job).await {
                Submission::Accepted(id) => {
                    if kind == WorkKind::Service {
                        self.cancel_service_at_end(&id).await;
                    }
                    return self.wait_until_final(&id).await;
                }
                Submission::Refused => return,
                Submission::NotConnected => not_connected += 1,
                Submission::Unknown => {
                    unknown += 1;
                    tokio::time::sleep(CALL_DELAY).await;
                }
            }
        }
    }

    /// Creates a job of random size.
    fn job(&self, kind: WorkKind) -> LoadJob {
        let key: Arc<str> = format!("job-{}", self.next_id()).into();
        let size = ResourceVector::new(
            self.random_number(250, 2000),
            self.random_number(64, 1024),
            0,
        );
        let tasks = match kind {
            WorkKind::Gang => self.random_number(2, 5),
            WorkKind::Service => 1,
            _ => self.random_number(1, 4),
        };
        let mut body = json!({
            "customer": if self.random_number(0, 2) == 1 { "guild" } else { "board" },
            "class": if kind == WorkKind::Service { "service" } else { "batch" },
            "kind": job_kind(kind),
            "tasks": tasks,
            "size": size,
            "repeatable": kind != WorkKind::BatchOnce,
            "idempotency_key": &*key,
        });
        if kind != WorkKind::Service {
            body["run_ms"] = self.random_number(50, 500).into();
        }
        LoadJob {
            key,
            kind,
            tasks,
            size,
            body,
        }
    }

    async fn submit(&self, job: &LoadJob) -> Submission {
        let (_, address) = self.random_daemon();
        let id: Arc<str> = self.next_id().into();
        let history = &self.settings.history;
        history.write(HistoryEvent::JobSent {
            id: Arc::clone(&id),
            key: Arc::clone(&job.key),
            kind: job_kind(job.kind),
            tasks: job.tasks,
            size: job.size,
            repeatable: job.kind != WorkKind::BatchOnce,
        });
        let answer = self
            .http
            .post_json(address, "/v1/jobs", &job.body, SUBMIT_TIMEOUT)
            .await;
        let (ran, code) = match answer {
            Ok(answer) if answer.status.is_success() => match accepted_id(answer.json().ok()) {
                Some(job) => {
                    let name = job.clone();
                    history.write(HistoryEvent::JobAccepted { id, job: name });
                    return Submission::Accepted(job);
                }
                None => (Ran::Unknown, None),
            },
            Ok(answer) => match answer.json::<ErrorBody>() {
                Ok(body) => (body.ran, Some(body.code)),
                Err(_) => (Ran::Unknown, None),
            },
            Err(error) if error.is_not_sent() => (Ran::No, None),
            Err(_) => (Ran::Unknown, None),
        };
        history.write(HistoryEvent::JobNotAccepted { id, ran, code });
        match (ran, code) {
            (Ran::Unknown, _) => Submission::Unknown,
            (Ran::No, None) => Submission::NotConnected,
            _ => Submission::Refused,
        }
    }

    async fn cancel_service_at_end(&self, job: &JobId) {
        while !self.has_stopped_sending.load(Ordering::SeqCst) {
            tokio::time::sleep(CALL_DELAY).await;
        }
        for _ in 0..MAX_SUBMISSIONS {
            let (_, address) = self.random_daemon();
            let path = format!("/v1/jobs/{job}/cancel");
            let answer = self
                .http
                .post_json(address, &path, &json!({}), WAIT_TIMEOUT)
                .await;
            if answer.is_ok_and(|answer| answer.status.is_success()) {
                return;
            }
            tokio::time::sleep(CALL_DELAY).await;
        }
    }

    /// Waits until a job is final, at most until `max_job_wait` after the end of the load.
    async fn wait_until_final(&self, job: &JobId) {
        let mut deadline = None;
        loop {
            if self.has_stopped_sending.load(Ordering::SeqCst) {
                let last = *deadline.get_or_insert(Instant::now() + self.settings.max_job_wait);
                if Instant::now() > last {
                    return;
                }
            }
            if let Some(state) = self.wait(job).await {
                let job = job.clone();
                self.settings
                    .history
                    .write(HistoryEvent::JobFinal { job, state });
                return;
            }
        }
    }

    async fn wait(&self, job: &JobId) -> Option<JobState> {
        let (_, address) = self.random_daemon();
        let path = format!("/v1/jobs/{job}/wait?timeout_ms={WAIT_MS}");
        let answer = self.http.get(address, &path, WAIT_TIMEOUT).await.ok();
        let answer = answer.filter(|answer| answer.status.is_success());
        let state = answer
            .and_then(|answer| answer.json::<Value>().ok())
            .and_then(|view| serde_json::from_value::<JobState>(view["state"].clone()).ok());
        if state.is_none() {
            tokio::time::sleep(CALL_DELAY).await;
        }
        state.filter(|state| state.is_final())
    }
}

fn job_kind(kind: WorkKind) -> JobKind {
    match kind {
        WorkKind::Gang => JobKind::Gang,
        WorkKind::Service => JobKind::Service,
        _ => JobKind::Batch,
    }
}

fn accepted_id(body: Option<Value>) -> Option<JobId> {
    JobId::new(body?["job"].as_str()?).ok()
}
