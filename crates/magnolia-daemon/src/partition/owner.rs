//! The owner of one partition.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use magnolia_platform::{AttemptEnd, AttemptState, StartCommand, WorkerReport};
use magnolia_protocol::{JobOperation, JobReply, encode};
use magnolia_state::ClaimRecord;
use magnolia_types::{AttemptId, Epoch, JobId, JobSpec, ResultCode, TaskRef, UnitId, WorkerId};
use tokio::sync::{mpsc, oneshot};

use super::job_table::{JobTable, TaskState};
use super::registry::OwnerCommand;
use super::worker_link::{LeaseTerms, WorkerLink};
use crate::context::DaemonContext;

/// Most operations that wait for the owner.
const COMMAND_QUEUE: usize = 1024;
/// Time between two rounds of placement.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// Starts to serve a claimed partition, once.
pub fn start_owner(context: &Arc<DaemonContext>, claim: &ClaimRecord) {
    let (sender, receiver) = mpsc::channel(COMMAND_QUEUE);
    if !context.partitions.insert(claim.unit.clone(), sender) {
        return;
    }
    log::info!("owner of {} at epoch {}", claim.unit, claim.epoch);
    let owner = PartitionOwner::new(Arc::clone(context), claim.clone());
    tokio::spawn(owner.run(receiver));
}

/// Stops to serve a partition whose claim is superseded.
pub fn stop_owner(context: &DaemonContext, unit: &UnitId, _superseded_by: Epoch) {
    context.partitions.remove(unit);
}

/// State of the owner.
struct PartitionOwner {
    context: Arc<DaemonContext>,
    claim: ClaimRecord,
    partition: Arc<str>,
    table: JobTable,
    workers: BTreeMap<WorkerId, WorkerLink>,
    ended: BTreeMap<WorkerId, Vec<AttemptId>>,
    waiters: Vec<(JobId, oneshot::Sender<JobReply>)>,
}

impl PartitionOwner {
    fn new(context: Arc<DaemonContext>, claim: ClaimRecord) -> Self {
        let partition: Arc<str> = claim.unit.partition().unwrap_or_default().into();
        let workers = context.with_document(|document| {
            let workers = document.workers_of(&partition);
            let links = workers.map(|(_, worker, capacity)| {
                (
                    worker.name.clone(),
                    WorkerLink::new(worker.address, capacity),
                )
            });
            links.collect()
        });
        Self {
            context,
            claim,
            partition,
            table: JobTable::default(),
            workers: workers.unwrap_or_default(),
            ended: BTreeMap::new(),
            waiters: Vec::new(),
        }
    }

    async fn run(mut self, mut commands: mpsc::Receiver<OwnerCommand>) {
        let mut rounds = tokio::time::interval(ROUND_INTERVAL);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.answer(command).await,
                    None => return,
                },
                _ = rounds.tick() => self.round().await,
            }
        }
    }

    async fn answer(&mut self, command: OwnerCommand) {
        let reply = match command.operation {
            JobOperation::Submit { job, spec } => self.submit(job, spec).await,
            JobOperation::Get { job } => self.view(&job),
            JobOperation::Wait { job, .. } => {
                self.waiters.push((job, command.reply));
                return;
            }
            _ => refused(ResultCode::NotFound, "the operation is not supported"),
        };
        command.reply.send(reply).ok();
    }

    async fn submit(&mut self, job: JobId, spec: JobSpec) -> JobReply {
        let stream = format!("partition-{}", self.partition);
        let Ok(data) = encode(&(self.claim.epoch, &job, &spec)) else {
            return refused(ResultCode::Internal, "the job cannot be encoded");
        };
        if let Err(error) = self.context.log.append(&stream, Bytes::from(data)).await {
            return refused(ResultCode::LogUnavailable, &error.to_string());
        }
        self.table.insert(job.clone(), spec);
        self.view(&job)
    }

    fn view(&self, job: &JobId) -> JobReply {
        match self.table.view(job) {
            Some(view) => JobReply::Job(view),
            None => refused(ResultCode::NotFound, "no such job"),
        }
    }

    async fn round(&mut self) {
        let mut starts = self.place();
        let Some(terms) = self.lease_terms() else {
            return;
        };
        let mut reports = Vec::new();
        for (id, worker) in &mut self.workers {
            let starts = starts.remove(id).unwrap_or_default();
            let ended = self.ended.remove(id).unwrap_or_default();
            let exchange = worker.exchange(&self.context, &terms, starts, ended);
            reports.extend(exchange.await);
        }
        reports.iter().for_each(|report| self.take_report(report));
        self.wake_waiters();
    }

    fn lease_terms(&self) -> Option<LeaseTerms> {
        self.context.with_document(|document| LeaseTerms {
            partition: Arc::clone(&self.partition),
            epoch: self.claim.epoch,
            lease: document.rules.lease_ms,
            start_window: document.rules.start_window_ms,
        })
    }

    fn place(&mut self) -> BTreeMap<WorkerId, Vec<StartCommand>> {
        let mut starts: BTreeMap<WorkerId, Vec<StartCommand>> = BTreeMap::new();
        for (job, entry) in &mut self.table.jobs {
            for (index, state) in (0..).zip(&mut entry.tasks) {
                if *state != TaskState::Waiting {
                    continue;
                }
                let size = entry.spec.size;
                let task = TaskRef::new(job.clone(), index);
                let Ok(attempt) = task.attempt(self.claim.epoch, 1) else {
                    continue;
                };
                let found = self
                    .workers
                    .iter_mut()
                    .find(|(_, worker)| worker.has_room(&size));
                let Some((id, worker)) = found else {
                    return starts;
                };
                worker.reserved.push((attempt.clone(), size));
                *state = TaskState::Running(attempt.clone());
                let start = StartCommand {
                    attempt,
                    task,
                    size,
                    run_ms: entry.spec.run_ms,
                };
                starts.entry(id.clone()).or_default().push(start);
            }
        }
        starts
    }

    fn take_report(&mut self, report: &WorkerReport) {
        for attempt in &report.attempts {
            let AttemptState::Ended(end) = attempt.state else {
                continue;
            };
            if let Some(worker) = self.workers.get_mut(&report.worker) {
                worker.reserved.retain(|(held, _)| *held != attempt.attempt);
            }
            let state = match end {
                AttemptEnd::Succeeded => TaskState::Done,
                _ => TaskState::Failed,
            };
            self.table
                .set_task(&attempt.task.job, attempt.task.task, state);
            self.ended
                .entry(report.worker.clone())
                .or_default()
                .push(attempt.attempt.clone());
        }
    }

    fn wake_waiters(&mut self) {
        for (job, reply) in std::mem::take(&mut self.waiters) {
            match self.table.view(&job) {
                Some(view) if !view.state.is_final() => self.waiters.push((job, reply)),
                _ => {
                    reply.send(self.view(&job)).ok();
                }
            }
        }
    }
}

fn refused(code: ResultCode, message: &str) -> JobReply {
    JobReply::Refused {
        code,
        message: message.into(),
    }
}
