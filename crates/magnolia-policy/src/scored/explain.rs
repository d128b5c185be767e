//! Explanations of why a job waits.

use std::sync::Arc;

use magnolia_types::{JobId, JobKind, Millis};

use super::ScoredEngine;
use super::job_queues::{JobEntry, JobIndex, dominant_share};

impl ScoredEngine {
    /// Explains why a job waits, one sentence per line.
    pub fn explain_job(&self, id: &JobId, now: Millis) -> Vec<Arc<str>> {
        let index = self.queues.index_of(id);
        let entry = index.and_then(|index| Some((index, self.queues.job(index)?)));
        let Some((index, job)) = entry.filter(|(_, job)| !job.waiting.is_empty()) else {
            return vec!["no task of the job waits".into()];
        };
        let mut lines = vec![self.describe_wait(job, now)];
        lines.extend(self.describe_never_fits(job));
        lines.extend(self.describe_size(index, job, now));
        lines.push(self.describe_resources(index, job, now));
        lines.extend(self.describe_turn(index, job));
        lines.extend(self.describe_failures(job));
        lines.into_iter().map(Arc::from).collect()
    }

    fn describe_wait(&self, job: &JobEntry, now: Millis) -> String {
        let waiting = job.waiting.len();
        let seconds = now.saturating_sub(job.submitted).get() / 1000;
        format!("{waiting} tasks have waited for {seconds} s since submission")
    }

    fn describe_never_fits(&self, job: &JobEntry) -> Option<String> {
        let reason = crate::PlacementEngine::never_fits(self, &job.spec)?;
        Some(format!("the job can never run as things are: {reason}"))
    }

    fn describe_size(&self, index: JobIndex, job: &JobEntry, now: Millis) -> Option<String> {
        let demand = self.demand_of(index, now)?;
        (demand.size != job.spec.size).then(|| {
            format!(
                "each task reserves {} instead of the declared {}, as learned from earlier tasks",
                demand.size, job.spec.size
            )
        })
    }

    fn describe_resources(&self, index: JobIndex, job: &JobEntry, now: Millis) -> String {
        let Some(demand) = self.demand_of(index, now) else {
            return "the job is not queued".to_owned();
        };
        if !self.is_within_quota(index, &demand) {
            let customer = &job.spec.customer;
            return format!("the quota of customer {customer} is used up by its running tasks");
        }
        if let Some(plan) = self.plans.plan(index) {
            let workers = plan.workers.len();
            let seconds = plan.expected_start.saturating_sub(now).get() / 1000;
            return format!(
                "room on {workers} workers is reserved; it is expected to be free in {seconds} s"
            );
        }
        if self.find_worker(&demand).is_none() {
            let headroom = demand.fit.headroom_percent;
            let size = demand.size;
            return format!("no usable worker has {size} free beside {headroom}% headroom");
        }
        match job.spec.kind {
            JobKind::Gang => "there is room for some tasks, but not for the whole gang".to_owned(),
            _ => "there is room; the next round tries the job in its turn".to_owned(),
        }
    }

    fn describe_turn(&self, index: JobIndex, job: &JobEntry) -> Vec<String> {
        let queue = self.queues.queue(job.queue);
        let ahead = queue.jobs.range(..job.order).count();
        let class = &self.queues.classes[queue.class];
        let share = dominant_share(&class.used, &self.total) * 100.0;
        let mut lines = vec![format!(
            "{ahead} jobs of the same customer and class go first; class {} holds {share:.0}% \
             of the fleet, its floor is {}%",
            class.name, class.rule.floor_percent
        )];
        let more_urgent = (self.class_order().into_iter())
            .take_while(|&other| other != queue.class)
            .map(|other| self.queues.classes[other].name.to_string());
        let more_urgent: Vec<String> = more_urgent.collect();
        if !more_urgent.is_empty() && self.plans.plan(index).is_none() {
            lines.push(format!("classes that go first: {}", more_urgent.join(", ")));
        }
        lines
    }

    fn describe_failures(&self, job: &JobEntry) -> Option<String> {
        let failed = self.health.failed_workers(&job.id);
        (failed > 0).then(|| format!("tasks of the job failed on {failed} workers so far"))
    }
}
