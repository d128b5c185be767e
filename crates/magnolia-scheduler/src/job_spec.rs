//! Specification of a job: steps of tasks, with dependencies between the steps.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use std::sync::Arc;

use magnolia_types::{Millis, ResourceVector, wire_types};

wire_types! {
    /// A job as submitted.
    pub struct JobSpec {
        /// Opaque text that is passed to each task.
        pub payload: Arc<str>,
        /// Steps; each may depend on earlier ones.
        pub steps: Vec<StepSpec>,
        /// Schedule of repeated runs; without it, the steps run once, immediately.
        pub recurrence: Option<RecurrenceSpec>,
    }

    /// Schedule of a recurring job, by wall clock.
    pub struct RecurrenceSpec {
        /// Number of occurrences.
        pub count: u32,
        /// Due time of the first occurrence, in Unix milliseconds.
        pub start_unix_ms: u64,
        /// Time between the due times of two occurrences.
        pub interval: Millis,
    }

    /// A step: a number of tasks of the same size.
    pub struct StepSpec {
        /// Number of tasks.
        pub tasks: u32,
        /// Resources that each task needs; the processors of a filler task are not reserved.
        pub need: ResourceVector,
        /// Estimated run time of a task.
        pub estimate: Millis,
        /// Earlier steps that must succeed before this one starts.
        pub after: Vec<u16>,
        /// Whether the tasks save checkpoints.
        pub checkpoints: bool,
        /// Whether all tasks must start together.
        pub gang: bool,
        /// Whether the tasks slow down when spread over racks.
        pub one_rack: bool,
        /// Label that the executor must have.
        pub label: Option<Arc<str>>,
        /// Rack that holds the step's data.
        pub data_rack: Option<Arc<str>>,
        /// Most tasks of the step on one executor.
        pub spread_limit: Option<u32>,
        /// Whether copies of a task may run at the same time.
        pub copies_allowed: bool,
        /// Whether the tasks are long-running: they run until the job is cancelled.
        pub lasting: bool,
        /// Image that the tasks run; tasks of the same image behave alike.
        pub image: Option<Arc<str>>,
        /// Target for the tail latency that the users of a long-running task see.
        pub latency_target: Option<Millis>,
        /// Whether the tasks are fillers: they use only processors that other tasks leave idle.
        pub filler: bool,
        /// Number of long-running tasks that orders of the owner may interrupt at the same time.
        pub may_miss: u32,
    }
}

/// Reason why a job specification is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SpecError {
    /// The job has no step.
    #[error("a job needs at least one step")]
    NoSteps,
    /// A step has no task.
    #[error("step {0}: a step needs at least one task")]
    NoTasks(usize),
    /// A step waits for itself, a later step, or one that does not exist.
    #[error("step {0}: depends on step {1}, which is not an earlier step")]
    BadDependency(usize, u16),
    /// The job has more tasks than allowed.
    #[error("more than {limit} tasks")]
    TooManyTasks {
        /// Most tasks of one occurrence.
        limit: u64,
    },
    /// The recurrence has several occurrences but no interval.
    #[error("a recurrence needs an interval above zero")]
    BadRecurrence,
}

impl JobSpec {
    /// Most tasks of one occurrence; limits the memory of the owner.
    pub const MAX_TASKS: u64 = 10_000;

    /// Validates the specification, independently of load and configuration.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() {
            return Err(SpecError::NoSteps);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                return Err(SpecError::NoTasks(number));
            }
            // Steps depend on earlier ones only, so that there can be no cycle.
            let later = |after: &&u16| usize::from(**after) >= number;
            if let Some(after) = step.after.iter().find(later) {
                return Err(SpecError::BadDependency(number, *after));
            }
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        if tasks > Self::MAX_TASKS {
            return Err(SpecError::TooManyTasks {
                limit: Self::MAX_TASKS,
            });
        }
        let repeats = |times: &RecurrenceSpec| times.count > 1 && times.interval.get() == 0;
        match &self.recurrence {
            Some(times) if repeats(times) => Err(SpecError::BadRecurrence),
            _ => Ok(()),
        }
    }

    /// Tells whether the job has long-running tasks, so that it runs until it is cancelled.
    pub fn is_lasting(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }

    /// Returns the estimated run time of the critical path: the longest chain of dependent steps.
    pub fn critical_path(&self) -> Millis {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let ready = step.after.iter().map(|after| ends[usize::from(*after)]);
            let start = ready.max().unwrap_or(0);
            ends.push(start.saturating_add(step.estimate.get()));
        }
        Millis::new(ends.into_iter().max().unwrap_or(0))
    }

    /// Returns the estimated work of all steps, in core-milliseconds.
    pub fn work(&self) -> u64 {
        let works = self.steps.iter().map(StepSpec::work);
        works.fold(0, u64::saturating_add)
    }
}

impl StepSpec {
    /// Returns the estimated work of all tasks, in core-milliseconds.
    pub fn work(&self) -> u64 {
        let cpu_millis = self.need.cpu_millis.get();
        let each = cpu_millis.saturating_mul(self.estimate.get()) / 1000;
        each.saturating_mul(u64::from(self.tasks))
    }

    /// Returns the resources that a task reserves on its executor.
    pub fn reserved(&self) -> ResourceVector {
        let mut need = self.need;
        if self.filler {
            need.cpu_millis = magnolia_types::CpuMillis::new(0);
        }
        need
    }
}
