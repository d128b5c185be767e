//! Event-driven replay of generated jobs against a placement engine.
//!
//! The replay stands in for the owner of the partition and for the workers: it submits the jobs,
//! carries out the decisions of the engine and reports the ends of attempts to it. Events take
//! effect in rounds, each of which ends with decisions of the engine.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::sync::Arc;

use hdrhistogram::Histogram;
use magnolia_config::ConfigDocument;
use magnolia_policy::{AttemptRecord, PreemptionAction, TaskEnd, WorkerView, new_engine};
use magnolia_types::{AttemptId, JobId, JobKind, JobSpec, Millis, TaskRef, WorkerId};

use crate::BenchError;
use crate::cluster::{BenchCluster, RoundOutcome};

/// Time between two rounds of decisions.
const ROUND_MS: u64 = 10;
/// Time between two samples of the processors that each kind of work holds.
const SAMPLE_MS: u64 = 100;
/// Maximum number of starts per round.
const STARTS_PER_ROUND: usize = 1000;
/// Time from the order to checkpoint until the attempt ends.
const CHECKPOINT_MS: u64 = 500;
/// Time from the order to stop until the attempt ends.
const STOP_MS: u64 = 100;
/// Time after which a task of a faulty job, or on a faulty worker, fails.
const FAILURE_MS: u64 = 1000;
/// Longest waiting time that the histograms record.
const MAX_WAIT_MS: u64 = 24 * 3600 * 1000;

/// A job of the replay.
#[derive(Clone)]
pub struct ReplayJob {
    /// When it is submitted.
    pub at: Millis,
    /// The job.
    pub spec: Arc<JobSpec>,
    /// Run time of each task at full speed.
    pub run: Millis,
    /// Whether its tasks fail on every worker.
    pub fails: bool,
}

/// Input of a replay.
pub struct ReplaySetup<'a> {
    /// Configuration, including the choice of the engine.
    pub rules: &'a ConfigDocument,
    /// The fleet.
    pub workers: Vec<WorkerView>,
    /// Workers on which every task fails.
    pub faulty: HashSet<WorkerId>,
    /// Jobs in the order of their submission.
    pub jobs: &'a [ReplayJob],
    /// When the replay ends.
    pub end: Millis,
    /// Length of the phases by which waiting times and held processors are reported.
    pub phase: Millis,
    /// Whether the owner gives up a job once a task has used up its attempts, for engines that do
    /// not do so themselves.
    pub owner_gives_up: bool,
}

/// Measurements of a replay.
#[derive(Default)]
pub struct ReplayOutcome {
    /// Time from submission to the first start, by kind of work; for tasks that never started, to
    /// the end of the replay. Tasks that had not started when their job was given up do not count.
    pub waits: BTreeMap<&'static str, Histogram<u64>>,
    /// The same by kind of work and phase of submission.
    pub phase_waits: BTreeMap<(&'static str, u64), Histogram<u64>>,
    /// Sum over all samples of the processors held, in thousandths, by kind of work and phase.
    pub held: BTreeMap<(&'static str, u64), f64>,
    /// Number of samples by phase.
    pub samples: BTreeMap<u64, f64>,
    /// Processor time of completed tasks, in thousandths of a processor times milliseconds.
    pub useful: f64,
    /// Processor time of attempts that failed or were preempted without a usable checkpoint, in the
    /// same unit.
    pub lost: f64,
    /// Number of jobs refused because they could never run.
    pub refused: usize,
    /// Number of jobs given up, and how many of them were not faulty.
    pub given_up: (usize, usize),
    /// Time from the start to the quarantine of each faulty worker that was quarantined.
    pub quarantine_ms: Vec<u64>,
    /// Number of workers that were quarantined although they are not faulty.
    pub wrongly_quarantined: usize,
    /// Number of orders to throttle, to checkpoint and to stop an attempt.
    pub preempted: [usize; 3],
}

impl ReplayOutcome {
    /// Returns the mean waiting time of a kind of work, in milliseconds.
    pub fn mean_wait_ms(&self, kind: &str) -> f64 {
        self.waits.get(kind).map_or(0.0, Histogram::mean)
    }

    /// Returns a quantile of the waiting time of a kind of work, in milliseconds.
    pub fn wait_ms(&self, kind: &str, quantile: f64) -> f64 {
        let waits = self.waits.get(kind);
        waits.map_or(0.0, |waits| waits.value_at_quantile(quantile) as f64)
    }
}

/// An event of the replay.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ReplayEvent {
    /// The job with this index is submitted.
    Arrive(usize),
    /// The attempt ends by itself, unless its progress has another version by then.
    End(AttemptId, u32),
    /// The attempt ends because it was checkpointed or stopped.
    EndPreempted(AttemptId),
}

/// Progress of a running attempt.
struct Progress {
    /// Remaining run time at full speed.
    remaining_ms: f64,
    /// Speed relative to full speed; lower while the attempt is throttled.
    speed: f64,
    /// Time at which `remaining_ms` was last updated.
    since: Millis,
    /// Increased whenever the expected end changes.
    version: u32,
    /// Whether the attempt ends with a checkpoint.
    is_checkpointed: bool,
    /// Whether the attempt fails at its end.
    fails: bool,
}

impl Progress {
    /// Subtracts the progress made since the last update.
    fn advance(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.since).get() as f64;
        self.remaining_ms = (self.remaining_ms - passed * self.speed).max(0.0);
        self.since = now;
    }
}

/// State of a replay.
struct Replay<'a> {
    setup: &'a ReplaySetup<'a>,
    cluster: BenchCluster,
    events: BinaryHeap<Reverse<(Millis, u64, ReplayEvent)>>,
    next_event: u64,
    progress: HashMap<AttemptId, Progress>,
    /// Remaining run time of checkpointed tasks, in milliseconds.
    remaining_ms: HashMap<TaskRef, f64>,
    /// Tasks that have not started yet, with the time of their submission.
    waiting: HashMap<TaskRef, Millis>,
    /// Jobs with their index in the setup.
    jobs: HashMap<JobId, usize>,
    /// Number of failed attempts by task.
    failures: HashMap<TaskRef, u32>,
    /// Jobs that were given up.
    given_up_jobs: HashSet<JobId>,
    /// Workers that have been quarantined at any time.
    quarantined: HashSet<WorkerId>,
    outcome: ReplayOutcome,
}

/// Runs a replay to its end.
///
/// # Errors
///
/// Fails when generated ids are not valid.
pub fn replay(setup: &ReplaySetup<'_>) -> Result<ReplayOutcome, BenchError> {
    let cluster = BenchCluster::new(new_engine(setup.rules), setup.workers.clone());
    let mut state = Replay {
        setup,
        cluster,
        events: BinaryHeap::new(),
        next_event: 0,
        progress: HashMap::new(),
        remaining_ms: HashMap::new(),
        waiting: HashMap::new(),
        jobs: HashMap::new(),
        failures: HashMap::new(),
        given_up_jobs: HashSet::new(),
        quarantined: HashSet::new(),
        outcome: ReplayOutcome::default(),
    };
    for (index, job) in setup.jobs.iter().enumerate() {
        state.push(job.at, ReplayEvent::Arrive(index));
    }
    for now in (0..setup.end.get()).step_by(ROUND_MS as usize) {
        state.round(Millis::new(now))?;
    }
    Ok(state.finish())
}

impl Replay<'_> {
    fn push(&mut self, at: Millis, event: ReplayEvent) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    /// Handles the events that are due, then makes and carries out one round of decisions.
    fn round(&mut self, now: Millis) -> Result<(), BenchError> {
        while let Some(Reverse((at, ..))) = self.events.peek() {
            if *at > now {
                break;
            }
            let Some(Reverse((_, _, event))) = self.events.pop() else {
                break;
            };
            match event {
                ReplayEvent::Arrive(index) => self.arrive(index, now)?,
                ReplayEvent::End(attempt, version) => self.end(&attempt, version, now),
                ReplayEvent::EndPreempted(attempt) => self.end_preempted(&attempt, now),
            }
        }
        let outcome = self.cluster.decide(now, STARTS_PER_ROUND)?;
        self.apply_round(outcome, now);
        self.note_quarantined(now);
        if now.get().is_multiple_of(SAMPLE_MS) {
            self.sample_held(now);
        }
        Ok(())
    }

    /// Submits a job, or counts it as refused if it could never run.
    fn arrive(&mut self, index: usize, now: Millis) -> Result<(), BenchError> {
        let job = &self.setup.jobs[index];
        if self.cluster.engine.never_fits(&job.spec).is_some() {
            self.outcome.refused += 1;
            return Ok(());
        }
        let id = self.cluster.submit(&job.spec, now)?;
        for task in 0..job.spec.tasks {
            self.waiting.insert(TaskRef::new(id.clone(), task), job.at);
        }
        self.jobs.insert(id, index);
        Ok(())
    }

    fn apply_round(&mut self, round: RoundOutcome, now: Millis) {
        for record in round.started {
            self.start(&record, now);
        }
        for (attempt, action) in round.preempted {
            self.preempt(attempt, action, now);
        }
        for job in round.given_up {
            self.give_up_job(&job);
        }
    }

    fn start(&mut self, record: &AttemptRecord, now: Millis) {
        let Some(&index) = self.jobs.get(&record.task.job) else {
            return;
        };
        let job = &self.setup.jobs[index];
        if let Some(submitted) = self.waiting.remove(&record.task) {
            self.record_wait(&job.spec, submitted, now);
        }
        let fails = job.fails || self.setup.faulty.contains(&record.worker);
        let full = job.run.get() as f64;
        let remaining_ms = self.remaining_ms.get(&record.task).copied().unwrap_or(full);
        let progress = Progress {
            remaining_ms: if fails {
                FAILURE_MS as f64
            } else {
                remaining_ms
            },
            speed: 1.0,
            since: now,
            version: 0,
            is_checkpointed: false,
            fails,
        };
        let end = now.saturating_add(Millis::new(progress.remaining_ms.ceil() as u64));
        self.progress.insert(record.attempt.clone(), progress);
        self.push(end, ReplayEvent::End(record.attempt.clone(), 0));
    }

    /// Changes the throttling of an attempt or schedules its end by a checkpoint or a stop.
    fn preempt(&mut self, attempt: AttemptId, action: PreemptionAction, now: Millis) {
        let Some(progress) = self.progress.get_mut(&attempt) else {
            return;
        };
        match action {
            PreemptionAction::Throttle(percent) => {
                self.outcome.preempted[0] += usize::from(percent < 100);
                progress.advance(now);
                progress.speed = f64::from(percent) / 100.0;
                progress.version += 1;
                let end = (progress.remaining_ms / progress.speed).ceil() as u64;
                let end = now.saturating_add(Millis::new(end));
                let event = ReplayEvent::End(attempt, progress.version);
                self.push(end, event);
            }
            PreemptionAction::Checkpoint => {
                self.outcome.preempted[1] += 1;
                progress.is_checkpointed = true;
                let at = now.saturating_add(Millis::new(CHECKPOINT_MS));
                self.push(at, ReplayEvent::EndPreempted(attempt));
            }
            PreemptionAction::Stop => {
                self.outcome.preempted[2] += 1;
                let at = now.saturating_add(Millis::new(STOP_MS));
                self.push(at, ReplayEvent::EndPreempted(attempt));
            }
        }
    }

    /// Ends an attempt by itself, as a success or a failure.
    fn end(&mut self, attempt: &AttemptId, version: u32, now: Millis) {
        let current = self.progress.get(attempt);
        if current.is_none_or(|progress| progress.version != version) {
            return;
        }
        let Some(progress) = self.progress.remove(attempt) else {
            return;
        };
        if progress.fails {
            self.fail(attempt, now);
            return;
        }
        self.report_usage(attempt);
        if let Some(record) = self.cluster.end(attempt, TaskEnd::Succeeded, now) {
            let job = &self.setup.jobs[self.jobs[&record.task.job]];
            self.outcome.useful += processor_time(&record, job.run);
        }
    }

    /// Reports to the engine that the attempt used exactly its declared size.
    fn report_usage(&mut self, attempt: &AttemptId) {
        if let Some(record) = self.cluster.running.get(attempt) {
            let usage = record.spec.size;
            self.cluster.engine.observe_usage(attempt, usage);
        }
    }

    /// Ends a failed attempt; queues its task again unless the job is given up.
    fn fail(&mut self, attempt: &AttemptId, now: Millis) {
        let Some(record) = self.cluster.end(attempt, TaskEnd::Failed, now) else {
            return;
        };
        let ran = now.saturating_sub(record.started);
        self.outcome.lost += processor_time(&record, ran);
        let failures = self.failures.entry(record.task.clone()).or_default();
        *failures += 1;
        let is_over = self.setup.owner_gives_up && *failures >= record.spec.max_attempts;
        if is_over {
            self.give_up_job(&record.task.job);
        } else if !self.given_up_jobs.contains(&record.task.job) {
            self.cluster.resubmit(&record.task, &record.spec, now);
        }
    }

    /// Ends a preempted attempt and queues its task again.
    fn end_preempted(&mut self, attempt: &AttemptId, now: Millis) {
        let Some(mut progress) = self.progress.remove(attempt) else {
            return;
        };
        let Some(record) = self.cluster.end(attempt, TaskEnd::Interrupted, now) else {
            return;
        };
        progress.advance(now);
        if progress.is_checkpointed && !progress.fails {
            self.remaining_ms
                .insert(record.task.clone(), progress.remaining_ms);
        } else {
            let ran = now.saturating_sub(record.started);
            self.outcome.lost += processor_time(&record, ran);
        }
        if !self.given_up_jobs.contains(&record.task.job) {
            self.cluster.resubmit(&record.task, &record.spec, now);
        }
    }

    /// Withdraws the waiting tasks of a job; its running attempts continue.
    fn give_up_job(&mut self, job: &JobId) {
        if !self.given_up_jobs.insert(job.clone()) {
            return;
        }
        self.cluster.engine.withdraw(std::slice::from_ref(job));
        self.waiting.retain(|task, _| task.job != *job);
        let fails = self
            .jobs
            .get(job)
            .is_some_and(|&index| self.setup.jobs[index].fails);
        self.outcome.given_up.0 += 1;
        self.outcome.given_up.1 += usize::from(!fails);
    }

    /// Records the workers that the engine has newly quarantined.
    fn note_quarantined(&mut self, now: Millis) {
        if self.setup.faulty.is_empty() {
            return;
        }
        for worker in self.cluster.engine.quarantined_workers() {
            if !self.quarantined.insert(worker.clone()) {
                continue;
            }
            if self.setup.faulty.contains(&worker) {
                self.outcome.quarantine_ms.push(now.get());
            } else {
                self.outcome.wrongly_quarantined += 1;
            }
        }
    }

    /// Adds the processors that each kind of work holds now to the measurements of the phase.
    fn sample_held(&mut self, now: Millis) {
        let phase = self.phase_of(now);
        *self.outcome.samples.entry(phase).or_default() += 1.0;
        for record in self.cluster.running.values() {
            let kind = kind_of(&record.spec);
            let held = self.outcome.held.entry((kind, phase)).or_default();
            *held += record.size.cpu_millis.get() as f64;
        }
    }

    fn phase_of(&self, at: Millis) -> u64 {
        at.get() / self.setup.phase.get().max(1)
    }

    fn record_wait(&mut self, spec: &JobSpec, submitted: Millis, now: Millis) {
        let kind = kind_of(spec);
        let wait = now.saturating_sub(submitted).get();
        let phase = self.phase_of(submitted);
        let outcome = &mut self.outcome;
        let all = outcome.waits.entry(kind).or_insert_with(new_histogram);
        all.saturating_record(wait);
        let of_phase = outcome.phase_waits.entry((kind, phase));
        of_phase
            .or_insert_with(new_histogram)
            .saturating_record(wait);
    }

    /// Records the waits of the tasks that never started and returns the measurements.
    fn finish(mut self) -> ReplayOutcome {
        let end = self.setup.end;
        for (task, submitted) in std::mem::take(&mut self.waiting) {
            let spec = Arc::clone(&self.setup.jobs[self.jobs[&task.job]].spec);
            self.record_wait(&spec, submitted, end);
        }
        self.outcome
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_WAIT_MS, 3).expect("the bounds are constants")
}

/// Returns the kind of work of a job: gangs and services by themselves, other jobs by class. The
/// class `service` is called `middle` here, to tell its batch jobs from services.
pub fn kind_of(spec: &JobSpec) -> &'static str {
    match (spec.kind, spec.class.as_str()) {
        (JobKind::Gang, _) => "gang",
        (JobKind::Service, _) => "service",
        (JobKind::Batch, "urgent") => "urgent",
        (JobKind::Batch, "service") => "middle",
        (JobKind::Batch, _) => "batch",
    }
}

/// Returns the processor time of an attempt, in thousandths of a processor times milliseconds.
fn processor_time(record: &AttemptRecord, ran: Millis) -> f64 {
    record.spec.size.cpu_millis.get() as f64 * ran.get() as f64
}
