//! Transitions of tasks and jobs.

use std::sync::Arc;

use magnolia_types::{Millis, ResourceVector};

use crate::cell::{CellScheduler, ReadyKey};
use crate::executor_state::{ActiveRun, RunPhase};
use crate::executors::ExecutorIndex;
use crate::job::{JobState, open_steps};
use crate::need_classes::NeedClasses;
use crate::step::{StepState, TaskPhase, TaskState};
use crate::{
    CellAction, EndKind, JobKey, JobStatus, LogSpeed, RunNumber, StepRef, StepSpec, StopOrder,
    TaskRef,
};

/// Delay before a task starts again after a failed run, for each failure so far, and before a
/// long-running task does after any end.
const RETRY_PAUSE: Millis = Millis::new(100);
/// Longest such delay; long-running tasks have to be back within seconds.
const MAX_RETRY_PAUSE: Millis = Millis::new(1000);
/// Time after which an unconfirmed stop is sent again; several round trips.
pub(crate) const STOP_RESEND_INTERVAL: Millis = Millis::new(400);

impl CellScheduler {
    pub(crate) fn step_state_mut(&mut self, step: StepRef) -> Option<&mut StepState> {
        let job = self.jobs.get_mut(&step.job)?;
        let occurrence = job.occurrences.get_mut(step.occurrence as usize)?;
        occurrence.steps.get_mut(usize::from(step.step))
    }

    pub(crate) fn step_spec(&self, step: StepRef) -> Option<&StepSpec> {
        let spec = self.jobs.get(&step.job)?.spec.as_ref()?;
        spec.steps.get(usize::from(step.step))
    }

    pub(crate) fn task_state_mut(&mut self, task: TaskRef) -> Option<&mut TaskState> {
        let step = self.step_state_mut(task.step)?;
        step.tasks.get_mut(task.index)
    }

    fn ready_key(classes: &mut NeedClasses, job: &JobState, step: StepRef) -> Option<ReadyKey> {
        let spec = job.spec.as_ref()?.steps.get(usize::from(step.step))?;
        Some(ReadyKey {
            priority: job.rules.priority,
            beyond_share: job.beyond_share,
            order_unix_ms: job.order_unix_ms,
            step,
            class: classes.class_of(&job.rules.service, spec),
        })
    }

    /// Adds a step to the ready set or removes it, depending on whether it can start tasks.
    pub(crate) fn update_ready(&mut self, step: StepRef) {
        self.unplaceable.remove(step);
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        let Some(key) = Self::ready_key(&mut self.need_classes, job, step) else {
            return;
        };
        let can_start = job.stored && job.ending.is_none();
        let state = self.step_state(step);
        if can_start && state.is_some_and(|state| state.open && state.waiting > 0) {
            self.ready.insert(key);
        } else {
            self.ready.remove(&key);
            self.eligibility_queue.remove(step);
        }
    }

    /// Updates the ready set for all steps of a job.
    pub(crate) fn queue_open_steps(&mut self, key: JobKey) {
        for step in self.steps_of(key) {
            self.update_ready(step);
        }
    }

    fn steps_of(&self, key: JobKey) -> Vec<StepRef> {
        let Some(job) = self.jobs.get(&key) else {
            return Vec::new();
        };
        let mut steps = Vec::new();
        for (occurrence, state) in (0u32..).zip(&job.occurrences) {
            let numbers = 0..u16::try_from(state.steps.len()).unwrap_or(u16::MAX);
            steps.extend(numbers.map(|step| StepRef {
                job: key,
                occurrence,
                step,
            }));
        }
        steps
    }

    /// Sets the outcome of a job and stops its runs.
    pub(crate) fn end_job(&mut self, key: JobKey, status: JobStatus, now: Millis) {
        let steps = self.steps_of(key);
        if let Some(job) = self.jobs.get_mut(&key) {
            job.ending = Some(status);
        }
        for step in &steps {
            self.update_ready(*step);
        }
        self.stop_job_runs(key, now);
        self.mark_dirty(key);
    }

    fn stop_job_runs(&mut self, key: JobKey, now: Millis) {
        let mut placed = Vec::new();
        for step in self.steps_of(key) {
            let Some(state) = self.step_state_mut(step) else {
                continue;
            };
            for (index, task) in state.tasks.touched() {
                if let TaskPhase::Placed(executor_index, run) = task.phase {
                    placed.push((executor_index, TaskRef { step, index }, run));
                }
            }
        }
        let need = |(_, task, _): &(ExecutorIndex, TaskRef, RunNumber)| {
            self.step_spec(task.step).map(|spec| spec.need)
        };
        let stopping = placed
            .iter()
            .filter_map(need)
            .fold(ResourceVector::default(), |sum, need| {
                sum.saturating_add(&need)
            });
        if let Some(job) = self.jobs.get_mut(&key) {
            job.stopping = stopping;
        }
        for (executor_index, task, run) in placed {
            self.order_stop(executor_index, task, run, now);
        }
    }

    /// Releases the memory of a job whose end is stored; its runs may still be stopping.
    pub(crate) fn close_job(&mut self, key: JobKey) {
        self.live.remove(&key);
        for step in self.steps_of(key) {
            self.update_ready(step);
        }
        if let Some(job) = self.jobs.get_mut(&key) {
            job.spec = None;
            job.occurrences = Vec::new();
        }
    }

    /// Orders the stop of a run; its resources stay reserved until its end is known.
    pub(crate) fn order_stop(
        &mut self,
        executor_index: ExecutorIndex,
        task: TaskRef,
        run: RunNumber,
        now: Millis,
    ) {
        let executor = self.executors.get_mut(executor_index);
        let (id, life) = (executor.entry.id.clone(), executor.entry.life);
        let token = executor.token(self.epoch);
        if let Some(active) = executor.runs.get_mut(&(task, run)) {
            let recent = |sent: Millis| now.saturating_sub(sent) < STOP_RESEND_INTERVAL;
            active.phase = RunPhase::Stopping;
            if active.stop_acked || active.stop_sent.is_some_and(recent) {
                return;
            }
            active.stop_sent = Some(now);
        }
        self.actions.push(CellAction::Stop(StopOrder {
            executor: id,
            life,
            token,
            task,
            run,
        }));
    }

    /// Repeats stop orders that are not confirmed.
    pub(crate) fn resend_stops(&mut self, now: Millis) {
        let mut due = Vec::new();
        for (executor_index, executor) in self.executors.iter() {
            let responsive = executor.is_responsive(now);
            let stopping = executor.runs.iter().filter(|(_, active)| {
                active.phase == RunPhase::Stopping && !active.stop_acked && responsive
            });
            due.extend(stopping.map(|((task, run), _)| (executor_index, *task, *run)));
        }
        for (executor_index, task, run) in due {
            self.order_stop(executor_index, task, run, now);
        }
    }

    /// Reserves the resources of a run on an executor and marks its task as placed.
    pub(crate) fn place_run(
        &mut self,
        executor_index: ExecutorIndex,
        task: TaskRef,
        run: RunNumber,
        reserved: ResourceVector,
        filler_cpu: u64,
        now: Millis,
    ) {
        let active = ActiveRun::new(reserved, now).with_filler_cpu(filler_cpu);
        self.add_run(executor_index, task, run, active);
        if let Some(state) = self.step_state_mut(task.step) {
            state.waiting = state.waiting.saturating_sub(1);
            if let Some(task) = state.tasks.get_mut(task.index) {
                task.phase = TaskPhase::Placed(executor_index, run);
            }
        }
        self.update_ready(task.step);
    }

    /// Records that a task of a job has begun.
    pub(crate) fn mark_started(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get_mut(&key) {
            job.started = true;
        }
    }

    /// Releases the resources of a run and returns its task to the waiting ones, unless a later life
    /// of the executor may still begin the run.
    pub(crate) fn release_run(
        &mut self,
        executor_index: ExecutorIndex,
        task: TaskRef,
        run: RunNumber,
        now: Millis,
    ) {
        if self.keep_bound_run(executor_index, task, run, now) {
            return;
        }
        self.remove_run(executor_index, task, run, now);
        self.return_task(executor_index, task, run, now);
    }

    /// Releases the resources of a run and keeps its checkpoint.
    pub(crate) fn remove_run(
        &mut self,
        executor_index: ExecutorIndex,
        task: TaskRef,
        run: RunNumber,
        now: Millis,
    ) {
        let removed = self.take_run(executor_index, task, run, now);
        if removed.as_ref().is_some_and(ActiveRun::has_lasting_start) {
            self.mark_executor_dirty(executor_index);
        }
        let checkpoint = removed.and_then(|active| active.checkpoint);
        if let Some(entry) = self.task_state_mut(task)
            && checkpoint.is_some()
            && entry.phase == TaskPhase::Placed(executor_index, run)
        {
            entry.checkpoint = checkpoint;
        }
    }

    /// Returns the task of a run to the waiting ones, unless it has another run or is done.
    pub(crate) fn return_task(
        &mut self,
        executor_index: ExecutorIndex,
        task: TaskRef,
        run: RunNumber,
        now: Millis,
    ) {
        let Some(state) = self.step_state_mut(task.step) else {
            return;
        };
        let placed = TaskPhase::Placed(executor_index, run);
        if state
            .tasks
            .get(task.index)
            .is_none_or(|entry| entry.phase != placed)
        {
            return;
        }
        let Some(entry) = state.tasks.get_mut(task.index) else {
            return;
        };
        entry.phase = TaskPhase::Waiting;
        state.waiting += 1;
        state.ready_since = now;
        self.update_ready(task.step);
    }

    /// Applies the end of a run that an executor reported.
    pub(crate) fn apply_end(
        &mut self,
        executor_index: ExecutorIndex,
        task: TaskRef,
        run: RunNumber,
        kind: EndKind,
        checkpoint: Option<Arc<str>>,
        now: Millis,
    ) {
        self.mark_started(task.step.job);
        let runs = &mut self.executors.get_mut(executor_index).runs;
        if let Some(active) = runs.get_mut(&(task, run)) {
            active.closed = true;
            if checkpoint.is_some() {
                // It is newer than the one that was reported while the run was active.
                active.checkpoint.clone_from(&checkpoint);
            }
            if active.settle_single_start() {
                self.mark_executor_dirty(executor_index);
            }
        }
        if let Some(checkpoint) = checkpoint
            && let Some(state) = self.task_state_mut(task)
        {
            state.checkpoint = Some(checkpoint);
            // The executor forgets the checkpoint once the end is stored.
            self.mark_dirty(task.step.job);
        }
        match kind {
            EndKind::Done => self.apply_done(executor_index, task, run, now),
            EndKind::Failed => self.apply_failure(executor_index, task, run, now),
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {
                let id = self.executor_id(executor_index);
                log::info!(task:% = task, run:% = run, executor:% = id, kind:? = kind;
                    "run ended without completing its work");
                self.release_run(executor_index, task, run, now);
            }
        }
    }

    fn apply_done(
        &mut self,
        executor_index: ExecutorIndex,
        task: TaskRef,
        run: RunNumber,
        now: Millis,
    ) {
        self.executors
            .get_mut(executor_index)
            .health
            .record_success();
        if self.step_spec(task.step).is_some_and(|spec| spec.lasting) {
            self.restart_lasting(executor_index, task, run, now);
            return;
        }
        self.update_speed(executor_index, task, run, now);
        let gang = self.step_spec(task.step).is_some_and(|spec| spec.gang);
        let count = match self.step_state_mut(task.step) {
            Some(state) if gang => u32::try_from(state.tasks.len()).unwrap_or(u32::MAX),
            _ => 1,
        };
        // The success of one member completes the whole gang.
        let first = if gang { 0 } else { task.index };
        for index in first..first.saturating_add(count) {
            self.mark_done(TaskRef { index, ..task }, now);
        }
        self.take_run(executor_index, task, run, now);
        self.update_ready(task.step);
    }

    /// Returns a long-running task whose run ended by itself to the waiting ones. Such a task runs
    /// until its job is cancelled, however its runs end.
    fn restart_lasting(
        &mut self,
        executor_index: ExecutorIndex,
        task: TaskRef,
        run: RunNumber,
        now: Millis,
    ) {
        let id = self.executor_id(executor_index);
        log::info!(task:% = task, run:% = run, executor:% = id;
            "long-running task ended by itself; it starts again");
        self.release_run(executor_index, task, run, now);
        if let Some(entry) = self.task_state_mut(task) {
            entry.not_before = now.saturating_add(RETRY_PAUSE);
        }
    }

    fn mark_done(&mut self, task: TaskRef, now: Millis) {
        let Some(state) = self.step_state_mut(task.step) else {
            return;
        };
        let Some(entry) = state.tasks.get_mut(task.index) else {
            return;
        };
        match entry.phase {
            TaskPhase::Done | TaskPhase::DoneUnstored => return,
            TaskPhase::Waiting => state.waiting = state.waiting.saturating_sub(1),
            TaskPhase::Placed(..) => {}
        }
        entry.phase = TaskPhase::DoneUnstored;
        state.succeeded = state.succeeded.saturating_add(1);
        let last = state.all_tasks_done();
        self.done_unbatched.push(task);
        self.mark_dirty(task.step.job);
        if last {
            self.open_dependents(task.step, now);
        }
    }

    /// Opens the steps that depend on a step whose tasks have all succeeded. This does not wait for
    /// the ends to be stored: until they are, the executors report them, and the runs started
    /// because of them, to the next owner too.
    fn open_dependents(&mut self, step: StepRef, now: Millis) {
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return;
        };
        let spec = job.spec.clone();
        let Some(occurrence) = job.occurrences.get_mut(step.occurrence as usize) else {
            return;
        };
        for number in open_steps(spec.as_deref(), occurrence, now) {
            self.update_ready(StepRef {
                step: number,
                ..step
            });
        }
    }

    /// Marks a task as done after its success is stored.
    pub(crate) fn finish_task(&mut self, task: TaskRef) {
        let Some(step) = self.step_state_mut(task.step) else {
            return;
        };
        let unstored = |entry: &TaskState| entry.phase == TaskPhase::DoneUnstored;
        if step.tasks.get(task.index).is_some_and(unstored) {
            step.tasks.finish(task.index);
            step.done += 1;
        }
    }

    /// Releases the memory of an occurrence once the success of all its tasks is stored.
    pub(crate) fn release_finished_occurrence(&mut self, task: TaskRef) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        if let Some(occurrence) = job.occurrences.get_mut(task.step.occurrence as usize) {
            occurrence.release_finished();
        }
    }

    fn apply_failure(
        &mut self,
        executor_index: ExecutorIndex,
        task: TaskRef,
        run: RunNumber,
        now: Millis,
    ) {
        let job = task.step.job;
        if self
            .executors
            .get_mut(executor_index)
            .health
            .record_failure(job, now)
        {
            let id = self.executor_id(executor_index);
            log::info!(executor:% = id; "executor set aside after failed runs of several jobs");
        }
        self.release_run(executor_index, task, run, now);
        let Some(rules) = self.jobs.get(&job).map(|job| Arc::clone(&job.rules)) else {
            return;
        };
        let lasting = self.step_spec(task.step).is_some_and(|spec| spec.lasting);
        let gang = self.step_spec(task.step).is_some_and(|spec| spec.gang);
        let Some(entry) = self.task_state_mut(task) else {
            return;
        };
        if matches!(entry.phase, TaskPhase::Done | TaskPhase::DoneUnstored) {
            return;
        }
        entry.avoid = Some(executor_index);
        entry.failed.insert(run.get());
        let failures = entry.failed.len() as u64;
        let pause = Millis::new(RETRY_PAUSE.get().saturating_mul(failures)).min(MAX_RETRY_PAUSE);
        entry.not_before = now.saturating_add(pause);
        if lasting {
            entry.failed.clear();
            return;
        }
        // The members of a gang share run numbers, so that each failed run counts once.
        let counted = if gang {
            let step = self.step_state_mut(task.step);
            let runs = step.iter().flat_map(|step| step.tasks.touched());
            let runs = runs.flat_map(|(_, task)| task.failed.iter());
            runs.collect::<std::collections::BTreeSet<_>>().len() as u64
        } else {
            failures
        };
        self.mark_dirty(job);
        let id = self.executor_id(executor_index);
        log::info!(task:% = task, run:% = run, executor:% = id, failed = counted,
            limit = rules.max_attempts; "run failed");
        if counted >= u64::from(rules.max_attempts) {
            self.end_job(job, JobStatus::Failed, now);
        }
    }

    /// Updates the measured speed of an executor by comparing a run's time with those of the other
    /// tasks of its step, whose work is about the same.
    fn update_speed(
        &mut self,
        executor_index: ExecutorIndex,
        task: TaskRef,
        run: RunNumber,
        now: Millis,
    ) {
        let executor = self.executors.get(executor_index);
        let speed = executor.speed;
        let Some(started) = executor
            .runs
            .get(&(task, run))
            .filter(|active| active.checkpoint.is_none())
            .map(|active| active.sent_at)
        else {
            return;
        };
        let took = now.saturating_sub(started).get() as f64;
        let Some(state) = self.step_state_mut(task.step) else {
            return;
        };
        if took < 1.0 {
            return;
        }
        let work = took.ln() + speed.ln();
        let known = state.mean_log_work;
        state.measured += 1;
        state.mean_log_work += (work - known) / f64::from(state.measured);
        if state.measured <= MIN_MEASURED_RUNS {
            return;
        }
        let seen = LogSpeed::new(known - took.ln());
        let executor = self.executors.get_mut(executor_index);
        executor.measured_speed.observe(seen);
        let labels = &executor.entry.labels;
        self.speeds.observe(labels, seen);
        let speed = self.speeds.estimate(&executor.measured_speed, labels);
        executor.set_speed(speed);
    }

    /// Updates the speeds of all executors by what others of their kind have shown.
    pub(crate) fn refresh_speeds(&mut self) {
        for (_, executor) in self.executors.iter_mut() {
            let labels = &executor.entry.labels;
            let speed = self.speeds.estimate(&executor.measured_speed, labels);
            executor.set_speed(speed);
        }
    }
}

/// Number of measured runs of a step before further ones are compared with their mean.
const MIN_MEASURED_RUNS: u32 = 2;
