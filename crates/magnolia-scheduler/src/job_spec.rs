//! What a caller asks for: steps of tasks that depend on each other.

use std::sync::Arc;

use magnolia_types::{Millis, ResourceVector, wire_types};

wire_types! {
    /// A job as submitted.
    pub struct JobSpec {
        /// Opaque text passed to each task.
        pub payload: Arc<str>,
        /// Steps in their order.
        pub steps: Vec<StepSpec>,
        /// Times at which the steps run; once and at once when absent.
        pub recurrence: Option<RecurrenceSpec>,
    }

    /// Repeated runs by wall clock.
    pub struct RecurrenceSpec {
        /// Number of occurrences.
        pub count: u32,
        /// Due time of the first one, in Unix milliseconds.
        pub start_unix_ms: u64,
        /// Time between due times.
        pub interval: Millis,
    }

    /// A step: tasks of the same size.
    pub struct StepSpec {
        /// Number of tasks.
        pub tasks: u32,
        /// What each task needs; the processors of a filler are not reserved.
        pub need: ResourceVector,
        /// Rough run time of a task.
        pub estimate: Millis,
        /// Earlier steps that must be done first.
        pub after: Vec<u16>,
        /// Whether tasks save checkpoints.
        pub checkpoints: bool,
        /// Whether all tasks must start together.
        pub gang: bool,
        /// Whether the tasks slow down when spread over racks.
        pub one_rack: bool,
        /// Label that the executor must have.
        pub label: Option<Arc<str>>,
        /// Rack of the step's data.
        pub data_rack: Option<Arc<str>>,
        /// Most tasks of the step on one executor.
        pub spread_limit: Option<u32>,
        /// Whether copies of a task may run at the same time.
        pub copies_allowed: bool,
        /// Whether the tasks run until the job is cancelled.
        pub lasting: bool,
        /// What the tasks run; tasks of one image behave alike.
        pub image: Option<Arc<str>>,
        /// Bound of the tail latency of a lasting task's own users.
        pub latency_target: Option<Millis>,
        /// Whether the tasks use only processors left idle by others.
        pub filler: bool,
        /// Lasting tasks that may be away at once through orders of the owner.
        pub may_miss: u32,
    }
}

/// Why a job can't be accepted, whatever the load.
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
    /// The job is larger than any that is served.
    #[error("more than {limit} tasks")]
    TooManyTasks {
        /// Most tasks of a job.
        limit: u64,
    },
    /// The recurrence never ends or has no interval.
    #[error("a recurrence needs an interval above zero")]
    BadRecurrence,
}

impl JobSpec {
    /// Most tasks of one occurrence; bounds the memory of the owner.
    pub const MAX_TASKS: u64 = 10_000;

    /// Checks what no load or configuration can change.
    ///
    /// # Errors
    ///
    /// Fails with the first fault.
    pub fn check(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() {
            return Err(SpecError::NoSteps);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                return Err(SpecError::NoTasks(number));
            }
            // Dependencies on earlier steps only leave no room for a cycle.
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

    /// Tells whether the job runs until it is cancelled.
    pub fn is_lasting(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }

    /// Returns the longest chain of estimated run times through the steps.
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
        self.steps.iter().map(StepSpec::work).sum()
    }
}

impl StepSpec {
    /// Returns the estimated work of all tasks, in core-milliseconds.
    pub fn work(&self) -> u64 {
        let each = self.need.cpu_millis.get() * self.estimate.get() / 1000;
        each.saturating_mul(u64::from(self.tasks))
    }

    /// Returns what a task takes of an executor's capacity.
    pub fn reserved(&self) -> ResourceVector {
        let mut need = self.need;
        if self.filler {
            need.cpu_millis = magnolia_types::CpuMillis::new(0);
        }
        need
    }
}
