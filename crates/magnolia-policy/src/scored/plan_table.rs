//! Reservations of future resources for jobs that do not fit now, and the limits within which
//! other work is backfilled on the reserved workers.

use std::collections::{BTreeMap, HashMap};

use magnolia_types::{Millis, ResourceVector};

use super::job_queues::JobIndex;
use crate::resource_ledger::WorkerIndex;

/// Resources on one worker that are reserved for a waiting job.
#[derive(Clone, Debug)]
pub struct WorkerReservation {
    /// The job.
    pub job: JobIndex,
    /// When the reserved resources are expected to be free.
    pub expected_start: Millis,
    /// Resources that other work may use beyond `expected_start`.
    pub slack: ResourceVector,
}

/// Where and when a waiting job is expected to start.
#[derive(Clone, Debug)]
pub struct JobPlan {
    /// Reserved workers.
    pub workers: Vec<WorkerIndex>,
    /// When the reserved resources are expected to be free.
    pub expected_start: Millis,
    /// When the plan was made.
    pub made: Millis,
    /// How many earlier plans of the job this one replaces.
    pub replans: u32,
}

/// All plans; a worker is reserved by at most one.
#[derive(Default)]
pub struct PlanTable {
    plans: BTreeMap<JobIndex, JobPlan>,
    reservations: HashMap<WorkerIndex, WorkerReservation>,
}

impl PlanTable {
    /// Returns the plan of a job.
    pub fn plan(&self, job: JobIndex) -> Option<&JobPlan> {
        self.plans.get(&job)
    }

    /// Returns the jobs with a plan.
    pub fn jobs(&self) -> impl Iterator<Item = JobIndex> {
        self.plans.keys().copied()
    }

    /// Returns the reservation of a worker.
    pub fn reservation(&self, worker: WorkerIndex) -> Option<&WorkerReservation> {
        self.reservations.get(&worker)
    }

    /// Tells whether a task may use resources of the worker.
    ///
    /// Work that ends by the expected start of the job that holds the reservation, and work that
    /// fits in the slack, does not delay that job.
    pub fn admits(
        &self,
        worker: WorkerIndex,
        job: JobIndex,
        size: &ResourceVector,
        end: Option<Millis>,
    ) -> bool {
        let Some(reservation) = self.reservations.get(&worker) else {
            return true;
        };
        reservation.job == job
            || end.is_some_and(|end| end <= reservation.expected_start)
            || size.fits_in(&reservation.slack)
    }

    /// Returns the slack of a reservation if the task uses it: the task is of another job and not
    /// expected to end by the expected start.
    fn slack_for(
        &mut self,
        worker: WorkerIndex,
        job: JobIndex,
        end: Option<Millis>,
    ) -> Option<&mut ResourceVector> {
        let reservation = self.reservations.get_mut(&worker)?;
        let uses_slack =
            reservation.job != job && end.is_none_or(|end| end > reservation.expected_start);
        uses_slack.then_some(&mut reservation.slack)
    }

    /// Records a start, and subtracts the task from the slack that it uses, if any.
    pub fn started(
        &mut self,
        worker: WorkerIndex,
        job: JobIndex,
        size: &ResourceVector,
        end: Option<Millis>,
    ) {
        if let Some(slack) = self.slack_for(worker, job, end) {
            *slack = slack.checked_sub(size).unwrap_or_default();
        }
    }

    /// Records that a start was cancelled, and gives back the slack that it used.
    pub fn start_cancelled(
        &mut self,
        worker: WorkerIndex,
        job: JobIndex,
        size: &ResourceVector,
        end: Option<Millis>,
    ) {
        if let Some(slack) = self.slack_for(worker, job, end) {
            *slack = slack.saturating_add(size);
        }
    }

    /// Adds a plan with its reservations.
    pub fn insert(
        &mut self,
        job: JobIndex,
        plan: JobPlan,
        slack: impl Fn(WorkerIndex) -> ResourceVector,
    ) {
        for &worker in &plan.workers {
            let reservation = WorkerReservation {
                job,
                expected_start: plan.expected_start,
                slack: slack(worker),
            };
            self.reservations.insert(worker, reservation);
        }
        self.plans.insert(job, plan);
    }

    /// Releases one worker of a plan; the plan ends with its last worker.
    pub fn release_worker(&mut self, job: JobIndex, worker: WorkerIndex) {
        let Some(plan) = self.plans.get_mut(&job) else {
            return;
        };
        plan.workers.retain(|&kept| kept != worker);
        let is_over = plan.workers.is_empty();
        if self
            .reservations
            .get(&worker)
            .is_some_and(|reservation| reservation.job == job)
        {
            self.reservations.remove(&worker);
        }
        if is_over {
            self.plans.remove(&job);
        }
    }

    /// Removes a plan and returns the workers that it reserved.
    pub fn remove(&mut self, job: JobIndex) -> Vec<WorkerIndex> {
        let Some(plan) = self.plans.remove(&job) else {
            return Vec::new();
        };
        for worker in &plan.workers {
            self.reservations.remove(worker);
        }
        plan.workers
    }
}
