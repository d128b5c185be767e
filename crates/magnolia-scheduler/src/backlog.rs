//! The work and the capacity that decide on the admission of a job.

use crate::admission::{AccountBacklog, AdmissionLoad, latest_useful_end};
use crate::cell::CellScheduler;
use crate::job::JobState;
use crate::step_selection::UnplaceableSteps;
use crate::{AccountName, JobKey, JobSpec, QueueRules, ServiceName};

impl CellScheduler {
    /// Returns the load that a new job has to wait for.
    pub(crate) fn admission_load(&self, new: &JobState, spec: &JobSpec) -> AdmissionLoad {
        let rules = &*new.rules;
        let position = |job: &JobState| (job.rules.priority, job.beyond_share, job.order_unix_ms);
        let objective = rules.objective(spec.critical_path());
        let competes = |job: &JobState| job.rules.priority <= rules.priority;
        let mut backlog = AccountBacklog::default();
        for (key, job) in self
            .live_jobs_of(&rules.service)
            .filter(|(_, job)| competes(job))
        {
            let comes_first = position(job) <= position(new);
            let work = open_work(key, job, comes_first, &self.unplaceable);
            backlog.add(job.account.as_ref().map(|account| &account.name), work);
        }
        let cap = |name: &AccountName| self.account_cap(name).cpu_millis.get();
        let own = new.account.as_ref().map(|account| &account.name);
        AdmissionLoad {
            backlog_work: backlog.total(latest_useful_end(objective), cap),
            capacity_millis: self.shared_capacity(rules),
            account_work: own.map_or(0, |name| backlog.of(name)),
            account_millis: own.map(cap).filter(|cap| *cap > 0),
            eligibility_backlog: self
                .eligibility_queue
                .backlog(new.beyond_share, rules.priority),
            objective,
            critical_path: spec.critical_path(),
            beyond_share: new.beyond_share,
        }
    }

    /// Returns the jobs of a service whose end is not stored.
    fn live_jobs_of(&self, service: &ServiceName) -> impl Iterator<Item = (JobKey, &JobState)> {
        let live = self.live.iter();
        live.filter_map(|key| Some((*key, self.jobs.get(key)?)))
            .filter(move |(_, job)| job.rules.service == *service)
    }

    /// Returns the processors of the queue's service, less those that its long-running jobs
    /// reserve, in thousandths.
    fn shared_capacity(&self, rules: &QueueRules) -> u64 {
        let executors = self
            .executors
            .iter()
            .filter(|(_, executor)| executor.listed && executor.entry.service == rules.service);
        let total: u64 = executors
            .map(|(_, executor)| executor.entry.capacity.cpu_millis.get())
            .fold(0, u64::saturating_add);
        let lasting = |job: &JobState| job.spec.as_ref().is_some_and(|spec| spec.is_lasting());
        let reserved = self
            .live_jobs_of(&rules.service)
            .filter(|(_, job)| lasting(job))
            .map(|(key, job)| reserved_cpu(key, job, &self.unplaceable));
        let reserved = reserved.fold(0, u64::saturating_add);
        total.saturating_sub(reserved)
    }
}

/// Returns the remaining work of a job, in core-milliseconds. Tasks that run count half; tasks that
/// wait count only with `comes_first`, and not in steps that can't proceed. Long-running jobs and
/// filler steps don't count.
fn open_work(
    key: JobKey,
    job: &JobState,
    comes_first: bool,
    unplaceable: &UnplaceableSteps,
) -> u64 {
    let Some(spec) = job.spec.as_ref().filter(|spec| !spec.is_lasting()) else {
        return 0;
    };
    let occurrences = (0u32..).zip(&job.occurrences);
    let of_steps = occurrences.flat_map(|(number, occurrence)| {
        let stuck = unplaceable.stuck_steps(key, number, job);
        let steps = occurrence.steps.iter().zip(&spec.steps);
        steps.zip(stuck)
    });
    of_steps
        .filter(|((_, spec), _)| !spec.filler)
        .map(|((step, spec), stuck)| {
            let open = u64::from(spec.tasks.saturating_sub(step.done));
            let waiting = u64::from(step.waiting);
            let halves = if comes_first && !stuck {
                open + waiting
            } else {
                open.saturating_sub(waiting)
            };
            spec.work().saturating_mul(halves) / u64::from(spec.tasks.max(1)) / 2
        })
        .fold(0, u64::saturating_add)
}

/// Returns the processors that the tasks of a long-running job reserve or will reserve, in
/// thousandths. Steps that can't proceed reserve nothing.
fn reserved_cpu(key: JobKey, job: &JobState, unplaceable: &UnplaceableSteps) -> u64 {
    let steps = job.spec.iter().flat_map(|spec| &spec.steps);
    let stuck = unplaceable.stuck_steps(key, 0, job);
    steps
        .zip(stuck)
        .filter(|(_, stuck)| !stuck)
        .map(|(step, _)| {
            let cpu_millis = step.reserved().cpu_millis.get();
            cpu_millis.saturating_mul(u64::from(step.tasks))
        })
        .fold(0, u64::saturating_add)
}
