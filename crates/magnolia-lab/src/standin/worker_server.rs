//! Stand-ins for workers, one address each.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::{BoxFuture, try_join_all};
use magnolia_backing::CommandBatch;
use magnolia_config::ConfigDocument;
use magnolia_http::{HttpResponse, error_response, json_response};
use magnolia_types::{Incarnation, Millis, ResourceVector, ResultCode, WorkerId, wire_types};

use super::worker_model::{CheckpointStore, WorkerAction};
use super::{
    FaultState, StandinError, StandinHandler, StandinOptions, StandinReply, StandinRequest,
    WorkerModel, query_value, serve_forever,
};
use crate::history::{HistoryEvent, HistoryWriter, monotonic_us};

/// Interval at which attempts that have ended are recorded.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(10);

wire_types! {
    /// Faults of a worker.
    #[serde(deny_unknown_fields, default)]
    #[derive(Default)]
    pub struct WorkerFaults {
        /// Whether every task fails.
        pub fail_tasks: bool,
        /// Whether calls are neither answered nor carried out; running tasks continue.
        pub unreachable: bool,
        /// Percentage of calls that take effect, and whose connection is closed without an answer.
        pub lose_answers_percent: u8,
        /// Time before a call takes effect.
        pub delay_ms: u64,
        /// Time between the effect of a call and its answer.
        pub answer_delay_ms: u64,
        /// Percentage of command batches that are carried out twice.
        pub double_percent: u8,
        /// Whether the worker reports that it is leaving and refuses starts.
        pub leaving: bool,
        /// Number of restarts; an increase restarts the worker with a new incarnation.
        pub restarts: u32,
        /// True run time in percent of the declared one.
        pub run_time_percent: Option<u64>,
        /// True usage in percent of the declared size.
        pub usage_percent: Option<u64>,
        /// Misbehaviour: carries out commands of superseded epochs.
        pub ignore_fences: bool,
        /// Misbehaviour: capacity in reports, instead of the true one.
        pub claimed_capacity: Option<ResourceVector>,
        /// Misbehaviour: starts tasks that do not fit.
        pub ignore_limits: bool,
    }
}

struct WorkerServer {
    worker: WorkerId,
    capacity: ResourceVector,
    model: Mutex<WorkerModel>,
    /// Monotonic time at which the clock of the worker reads 0.
    origin_us: u64,
    faults: FaultState<WorkerFaults>,
    history: HistoryWriter,
}

impl WorkerServer {
    fn now(&self) -> Millis {
        Millis::new((monotonic_us() - self.origin_us) / 1000)
    }

    fn model(&self) -> MutexGuard<'_, WorkerModel> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies `action` to the model and records its effects before a caller can observe them.
    fn with_model<T>(&self, action: impl FnOnce(&mut WorkerModel, Millis) -> T) -> T {
        let mut model = self.model();
        let result = action(&mut model, self.now());
        for (at, action) in model.take_actions() {
            let at_us = self.origin_us + at.get() * 1000;
            self.history.write_at(at_us, self.event(action));
        }
        result
    }

    fn event(&self, action: WorkerAction) -> HistoryEvent {
        let worker = self.worker.clone();
        match action {
            WorkerAction::Started(start, epoch) => HistoryEvent::AttemptStarted {
                worker,
                attempt: start.attempt,
                task: start.task,
                size: start.size,
                epoch,
            },
            WorkerAction::Throttled(attempt, percent) => HistoryEvent::AttemptThrottled {
                worker,
                attempt,
                percent,
            },
            WorkerAction::Ended(attempt, end) => HistoryEvent::AttemptEnded {
                worker,
                attempt,
                end: format!("{end:?}").into(),
            },
            WorkerAction::Refused(attempt, reason) => HistoryEvent::StartRefused {
                worker,
                attempt,
                reason: format!("{reason:?}").into(),
            },
        }
    }

    fn record_start(&self, incarnation: Incarnation) {
        self.history.write(HistoryEvent::WorkerUp {
            worker: self.worker.clone(),
            incarnation,
            capacity: self.capacity,
        });
    }

    async fn answer(&self, request: StandinRequest) -> StandinReply {
        if request.path == "/faults" {
            let before = self.faults.get();
            let response = self.faults.answer(&request);
            self.apply_faults(&before);
            return response.into();
        }
        let faults = self.faults.get();
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if self.faults.get().unreachable {
            return StandinReply::Hold;
        }
        let response = self.execute_call(&request);
        tokio::time::sleep(Duration::from_millis(faults.answer_delay_ms)).await;
        if self.faults.should_inject(faults.lose_answers_percent) {
            StandinReply::Drop
        } else if self.faults.get().unreachable {
            StandinReply::Hold
        } else {
            response.into()
        }
    }

    fn execute_call(&self, request: &StandinRequest) -> HttpResponse {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/status") => self.with_model(|model, now| {
                model.advance(now);
                let partition = query_value(request.query.as_deref(), "partition");
                json_response(200, &model.report(now, partition.unwrap_or_default(), None))
            }),
            ("POST", "/v1/fence") => match serde_json::from_slice(&request.body) {
                Ok(fence) => {
                    json_response(200, &self.with_model(|model, now| model.fence(now, &fence)))
                }
                Err(error) => error_response(ResultCode::BadRequest, &error.to_string()),
            },
            ("POST", "/v1/commands") => match serde_json::from_slice(&request.body) {
                Ok(batch) => self.command(&batch),
                Err(error) => error_response(ResultCode::BadRequest, &error.to_string()),
            },
            _ => error_response(ResultCode::NotFound, "no such path"),
        }
    }

    fn command(&self, batch: &CommandBatch) -> HttpResponse {
        let is_duplicate = self.faults.should_inject(self.faults.get().double_percent);
        if is_duplicate {
            self.with_model(|model, now| model.command(now, batch));
        }
        json_response(
            200,
            &self.with_model(|model, now| model.command(now, batch)),
        )
    }

    fn apply_faults(&self, before: &WorkerFaults) {
        let faults = self.faults.get();
        if faults.restarts > before.restarts {
            let incarnation = Incarnation::new(rand::random());
            self.with_model(|model, now| model.restart(now, incarnation));
            self.record_start(incarnation);
        }
        if faults.leaving != before.leaving {
            let (endpoint, leaving) = (self.worker.as_str().into(), faults.leaving);
            self.history
                .write(HistoryEvent::Leaving { endpoint, leaving });
        }
        self.model().set_faults(faults);
    }
}

impl StandinHandler for WorkerServer {
    fn handle(self: Arc<Self>, request: StandinRequest) -> BoxFuture<'static, StandinReply> {
        Box::pin(async move { self.answer(request).await })
    }
}

async fn advance_periodically(servers: Vec<Arc<WorkerServer>>) {
    loop {
        for server in &servers {
            server.with_model(WorkerModel::advance);
        }
        tokio::time::sleep(ADVANCE_INTERVAL).await;
    }
}

/// Runs a stand-in for every worker of the inventory until the process ends.
///
/// # Errors
///
/// Fails when an address cannot be bound or the faults are malformed.
pub async fn run_workers(
    document: &ConfigDocument,
    options: &StandinOptions,
) -> Result<(), StandinError> {
    let origin_us = monotonic_us();
    let checkpoints = CheckpointStore::default();
    let mut running = Vec::new();
    let mut servers = Vec::new();
    for partition in document.partitions() {
        for (_, worker, capacity) in document.workers_of(&partition) {
            let incarnation = Incarnation::new(rand::random());
            let model = WorkerModel::new(worker.name.clone(), incarnation, capacity)
                .with_checkpoints(Arc::clone(&checkpoints));
            let server = Arc::new(WorkerServer {
                worker: worker.name.clone(),
                capacity,
                model: Mutex::new(model),
                origin_us,
                faults: FaultState::new(worker.name.as_str(), options)?,
                history: options.history.clone(),
            });
            server.record_start(incarnation);
            server.apply_faults(&WorkerFaults::default());
            servers.push(Arc::clone(&server));
            running.push(serve_forever(worker.address, server));
        }
    }
    tokio::spawn(advance_periodically(servers));
    try_join_all(running).await?;
    Ok(())
}
