//! In-memory workers with injected faults, and a history of the tasks that ran on them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use futures_util::future::BoxFuture;
use magnolia_backing::{
    BackingError, CommandAnswer, CommandBatch, FenceRequest, WorkerClient, WorkerReport,
};
use magnolia_http::HttpError;
use magnolia_lab::standin::{WorkerAction, WorkerModel};
use magnolia_types::{AttemptId, Epoch, Incarnation, Millis, ResourceVector, TaskRef, WorkerId};

use super::gate::PauseGate;

/// One run of a task: its start and, once it is over, its end.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// The worker.
    pub worker: WorkerId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The task.
    pub task: TaskRef,
    /// Epoch of the owner that sent the start.
    pub epoch: Epoch,
    /// When it started.
    pub started: Millis,
    /// When it ended.
    pub ended: Option<Millis>,
}

struct FleetWorker {
    model: WorkerModel,
    name: WorkerId,
    is_reachable: bool,
    /// Number of further answers to lose.
    lost_answers: u32,
}

#[derive(Default)]
struct FleetState {
    workers: BTreeMap<SocketAddr, FleetWorker>,
    runs: Vec<RunRecord>,
    /// Index in `runs` of each attempt that has not ended.
    open: HashMap<AttemptId, usize>,
    calls: u64,
}

/// All workers of a test.
pub struct FakeFleet {
    state: Mutex<FleetState>,
    origin: Instant,
}

impl FakeFleet {
    /// Creates an empty fleet.
    pub fn new() -> Self {
        Self {
            state: Mutex::default(),
            origin: Instant::now(),
        }
    }

    /// Adds a worker.
    pub fn add(&self, address: SocketAddr, name: &WorkerId, capacity: ResourceVector) {
        let worker = FleetWorker {
            model: WorkerModel::new(name.clone(), Incarnation::new(1), capacity),
            name: name.clone(),
            is_reachable: true,
            lost_answers: 0,
        };
        self.with(|state| state.workers.insert(address, worker));
    }

    /// Sets whether daemons can reach a worker.
    pub fn set_reachable(&self, address: SocketAddr, is_reachable: bool) {
        self.with(|state| {
            if let Some(worker) = state.workers.get_mut(&address) {
                worker.is_reachable = is_reachable;
            }
        });
    }

    /// Loses the answers of every worker to its next `count` messages, which take effect.
    pub fn lose_answers(&self, count: u32) {
        self.with(|state| {
            let workers = state.workers.values_mut();
            workers.for_each(|worker| worker.lost_answers = count);
        });
    }

    /// Restarts a worker: a new process with a new incarnation.
    pub fn restart(&self, address: SocketAddr) {
        let now = self.now();
        self.with(|state| {
            if let Some(worker) = state.workers.get_mut(&address) {
                worker.model.restart(now, Incarnation::new(2));
            }
        });
    }

    /// Returns the time on the clock of the fleet.
    pub fn now(&self) -> Millis {
        Millis::new(u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the number of messages that workers received.
    pub fn calls(&self) -> u64 {
        self.with(|state| state.calls)
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<RunRecord> {
        let now = self.now();
        self.with(|state| {
            state.collect(now);
            state.runs.clone()
        })
    }

    /// Panics if two runs of a task overlap.
    pub fn assert_single_runs(&self) {
        let mut by_task: HashMap<TaskRef, Vec<RunRecord>> = HashMap::new();
        for run in self.runs() {
            by_task.entry(run.task.clone()).or_default().push(run);
        }
        for (task, mut runs) in by_task {
            runs.sort_by_key(|run| run.started);
            for pair in runs.windows(2) {
                let ended = pair[0].ended.is_some_and(|ended| ended <= pair[1].started);
                assert!(ended, "{task:?} ran in two places: {pair:?}");
            }
        }
    }

    fn with<T>(&self, run: impl FnOnce(&mut FleetState) -> T) -> T {
        run(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn call<T>(
        &self,
        address: SocketAddr,
        call: impl FnOnce(&mut WorkerModel, Millis) -> T,
    ) -> Result<T, BackingError> {
        let now = self.now();
        self.with(|state| {
            state.calls += 1;
            let lost = || HttpError::Lost("no answer in time".into());
            let worker = state.workers.get_mut(&address).ok_or_else(lost)?;
            if !worker.is_reachable {
                return Err(lost().into());
            }
            let answer = call(&mut worker.model, now);
            let is_lost = worker.lost_answers > 0;
            worker.lost_answers = worker.lost_answers.saturating_sub(1);
            state.collect(now);
            if is_lost {
                Err(lost().into())
            } else {
                Ok(answer)
            }
        })
    }
}

impl FleetState {
    /// Advances all workers to `now` and records the starts and ends of attempts.
    fn collect(&mut self, now: Millis) {
        for worker in self.workers.values_mut() {
            worker.model.advance(now);
            for (at, action) in worker.model.take_actions() {
                match action {
                    WorkerAction::Started(start, epoch) => {
                        self.open.insert(start.attempt.clone(), self.runs.len());
                        self.runs.push(RunRecord {
                            worker: worker.name.clone(),
                            attempt: start.attempt,
                            task: start.task,
                            epoch,
                            started: at,
                            ended: None,
                        });
                    }
                    WorkerAction::Ended(attempt, _) => {
                        if let Some(index) = self.open.remove(&attempt) {
                            self.runs[index].ended = Some(at);
                        }
                    }
                    WorkerAction::Refused(..) | WorkerAction::Throttled(..) => {}
                }
            }
        }
    }
}

/// The workers as one daemon reaches them, behind its gate.
pub struct GatedFleet {
    /// The workers.
    pub fleet: Arc<FakeFleet>,
    /// Pauses all calls of the daemon.
    pub gate: PauseGate,
    /// Workers that this daemon cannot reach, although others may.
    pub unreachable: Arc<Mutex<BTreeSet<SocketAddr>>>,
}

impl GatedFleet {
    /// Waits at the gate; fails if this daemon cannot reach the worker.
    async fn enter(&self, worker: SocketAddr) -> Result<(), BackingError> {
        self.gate.pass().await;
        let unreachable = self
            .unreachable
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if unreachable.contains(&worker) {
            return Err(HttpError::NotConnected("the worker is unreachable".into()).into());
        }
        Ok(())
    }
}

impl WorkerClient for GatedFleet {
    fn status<'a>(
        &'a self,
        worker: SocketAddr,
        partition: &'a str,
    ) -> BoxFuture<'a, Result<WorkerReport, BackingError>> {
        Box::pin(async move {
            self.enter(worker).await?;
            self.fleet
                .call(worker, |model, now| model.report(now, partition, None))
        })
    }

    fn fence<'a>(
        &'a self,
        worker: SocketAddr,
        request: &'a FenceRequest,
    ) -> BoxFuture<'a, Result<CommandAnswer, BackingError>> {
        Box::pin(async move {
            self.enter(worker).await?;
            let answer = self
                .fleet
                .call(worker, |model, now| model.fence(now, request));
            self.gate.pass().await;
            answer
        })
    }

    fn command<'a>(
        &'a self,
        worker: SocketAddr,
        batch: &'a CommandBatch,
    ) -> BoxFuture<'a, Result<CommandAnswer, BackingError>> {
        Box::pin(async move {
            self.enter(worker).await?;
            let answer = self
                .fleet
                .call(worker, |model, now| model.command(now, batch));
            self.gate.pass().await;
            answer
        })
    }
}
