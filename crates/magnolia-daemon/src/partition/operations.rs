//! Operations of callers on the jobs of a partition.

use std::sync::Arc;

use magnolia_protocol::{JobOperation, JobReply, JobView, TaskCounts};
use magnolia_state::{JobEntry, JournalEntry, KeyLookup, KeyUse};
use magnolia_types::{
    CustomerName, JobId, JobOutcome, JobSpec, JobState, Millis, ResultCode, TaskRef,
};

use super::events::{JournalWaiter, OwnerCommand, ReplySender};
use super::owner::{OwnerPhase, PartitionOwner, refused, wall_clock};
use super::run_once::KEY_MOVED;
use crate::metrics::names;

/// Maximum number of jobs in one listing.
const MAX_LISTED: usize = 1000;
/// Maximum number of running tasks in one explanation.
const MAX_EXPLAINED_TASKS: usize = 20;

impl PartitionOwner {
    /// Runs an operation; some are answered later.
    pub(super) fn handle_command(&mut self, command: OwnerCommand) {
        if matches!(self.phase, OwnerPhase::Opening) {
            let message = "the owner is still reading the journal";
            command
                .reply
                .send(refused(ResultCode::NoOwner, message))
                .ok();
            return;
        }
        let reply = match command.operation {
            JobOperation::Submit { job, spec } => return self.submit(job, spec, command.reply),
            JobOperation::RunOnce { request, spec } => {
                return self.run_once(request, spec, command.reply);
            }
            JobOperation::Wait { job, timeout_ms } => {
                return self.wait(job, timeout_ms, command.reply);
            }
            JobOperation::Get { job } => self.view_reply(&job),
            JobOperation::List {
                customer,
                state,
                limit,
            } => self.list(customer.as_ref(), state, limit),
            JobOperation::Cancel { jobs } => self.cancel(&jobs),
            JobOperation::Explain { job } => self.explain(&job),
        };
        command.reply.send(reply).ok();
    }

    fn submit(&mut self, job: JobId, spec: JobSpec, reply: ReplySender) {
        let refusal = match self.check_submission(&job, &spec) {
            Submission::New => self.check_fit(&spec),
            Submission::Known(job) => {
                reply.send(self.view_reply(&job)).ok();
                return;
            }
            Submission::InFlight(job) => {
                self.waiting_submitters.entry(job).or_default().push(reply);
                return;
            }
            Submission::Refused(code, message) => Some((code, message.into())),
        };
        if let Some((code, message)) = refusal {
            self.notes.add_refusal(&job, Arc::clone(&message));
            reply.send(refused(code, &message)).ok();
            return;
        }
        let spec = Arc::new(spec);
        let at = wall_clock();
        if let Some(key) = &spec.idempotency_key {
            let key = (spec.customer.clone(), key.clone());
            let content = magnolia_state::job_content(&spec);
            self.submitted_keys.insert(key, (content, job.clone()));
        }
        self.waiting_submitters.insert(job.clone(), vec![reply]);
        let entry = JournalEntry::JobAccepted {
            job: job.clone(),
            spec: Arc::clone(&spec),
            at,
        };
        let waiter = JournalWaiter::Submit { job, spec, at };
        self.committer.push_urgent(entry, waiter, true, self.now());
    }

    fn check_submission(&self, job: &JobId, spec: &JobSpec) -> Submission {
        if self.table.get(job).is_some() {
            return Submission::Known(job.clone());
        }
        if self.waiting_submitters.contains_key(job) {
            return Submission::InFlight(job.clone());
        }
        match self.table.lookup_job(spec) {
            KeyLookup::Same(KeyUse::Job(first)) => return Submission::Known(first),
            KeyLookup::Same(KeyUse::Request { .. }) | KeyLookup::Reused => {
                let message = "the key was used with other content";
                return Submission::Refused(ResultCode::KeyReused, message);
            }
            KeyLookup::Unused => {}
        }
        if let Some(key) = &spec.idempotency_key {
            if !spec.repeatable && !self.keeps_key(&spec.customer, key) {
                return Submission::Refused(ResultCode::NotOwner, KEY_MOVED);
            }
            let key = (spec.customer.clone(), key.clone());
            match self.submitted_keys.get(&key) {
                Some((content, first)) if *content == magnolia_state::job_content(spec) => {
                    return Submission::InFlight(first.clone());
                }
                Some(_) => {
                    let message = "the key was used with other content";
                    return Submission::Refused(ResultCode::KeyReused, message);
                }
                None if self.once_running.contains_key(&key) => {
                    let message = "the key was used for a quick request";
                    return Submission::Refused(ResultCode::KeyReused, message);
                }
                None => {}
            }
        } else if !spec.repeatable {
            let message = "a job that may not repeat needs an idempotency key";
            return Submission::Refused(ResultCode::KeyRequired, message);
        }
        if spec.tasks == 0 {
            return Submission::Refused(ResultCode::BadRequest, "a job has at least one task");
        }
        if !self.is_serving() {
            return Submission::Refused(ResultCode::Draining, "the owner is handing over");
        }
        if !self.committer.is_healthy() {
            return Submission::Refused(ResultCode::LogUnavailable, "the log does not answer");
        }
        Submission::New
    }

    fn check_fit(&self, spec: &JobSpec) -> Option<(ResultCode, Arc<str>)> {
        let reason = self.engine.never_fits(spec)?;
        Some((ResultCode::NeverFits, reason))
    }

    /// Accepts a job whose entry is in the journal and replies to its callers.
    pub(super) fn job_accepted(&mut self, job: &JobId, spec: &Arc<JobSpec>, at: Millis) {
        self.remove_submitted_key(spec);
        self.table
            .accept(job.clone(), Arc::clone(spec), at, self.claim.epoch);
        self.context.metrics.count(names::JOBS_ACCEPTED);
        self.enqueue_ready(job);
        let reply = self.view_reply(job);
        for sender in self.waiting_submitters.remove(job).unwrap_or_default() {
            sender.send(reply.clone()).ok();
        }
    }

    /// Refuses a job whose entry is not known to be in the journal.
    pub(super) fn job_not_accepted(
        &mut self,
        job: &JobId,
        spec: &JobSpec,
        code: ResultCode,
        message: &str,
    ) {
        self.remove_submitted_key(spec);
        for sender in self.waiting_submitters.remove(job).unwrap_or_default() {
            sender.send(refused(code, message)).ok();
        }
    }

    fn remove_submitted_key(&mut self, spec: &JobSpec) {
        if let Some(key) = &spec.idempotency_key {
            self.submitted_keys
                .remove(&(spec.customer.clone(), key.clone()));
        }
    }

    fn wait(&mut self, job: JobId, timeout: Millis, reply: ReplySender) {
        match self.table.get(&job) {
            Some(entry) if entry.outcome.is_none() => {
                let deadline = self.now().saturating_add(timeout);
                self.job_waiters
                    .entry(job)
                    .or_default()
                    .push((deadline, reply));
            }
            _ => {
                reply.send(self.view_reply(&job)).ok();
            }
        }
    }

    /// Replies to the callers that wait for a job, which is final now.
    pub(super) fn answer_waiters(&mut self, job: &JobId) {
        for (_, reply) in self.job_waiters.remove(job).unwrap_or_default() {
            reply.send(self.view_reply(job)).ok();
        }
    }

    /// Replies to the callers whose wait has timed out.
    pub(super) fn expire_waiters(&mut self, now: Millis) {
        for (job, waits) in std::mem::take(&mut self.job_waiters) {
            let (expired, remaining): (Vec<_>, Vec<_>) = waits
                .into_iter()
                .partition(|(deadline, _)| *deadline <= now);
            for (_, reply) in expired {
                reply.send(self.view_reply(&job)).ok();
            }
            if !remaining.is_empty() {
                self.job_waiters.insert(job, remaining);
            }
        }
    }

    fn cancel(&mut self, jobs: &[JobId]) -> JobReply {
        for job in jobs {
            let outcome = JobOutcome {
                state: JobState::Cancelled,
                code: ResultCode::Cancelled,
                reason: "cancelled by the caller".into(),
            };
            self.end_job(job, outcome);
        }
        let views = jobs.iter().filter_map(|job| self.view(job));
        JobReply::Jobs(views.collect())
    }

    /// Ends a job with `outcome` and stops its attempts.
    pub(super) fn end_job(&mut self, job: &JobId, outcome: JobOutcome) {
        let open = self
            .table
            .get(job)
            .is_some_and(|entry| entry.ending.is_none());
        let open = open
            && self
                .table
                .get(job)
                .is_some_and(|entry| entry.outcome.is_none());
        if !open {
            return;
        }
        let at = wall_clock();
        let entry = JournalEntry::JobEnded {
            job: job.clone(),
            outcome: outcome.clone(),
            at,
        };
        self.committer.push(entry, None, self.now());
        self.engine.withdraw(std::slice::from_ref(job));
        self.held_for_log.remove(job);
        if let Some(effects) = self.table.end_job(job, outcome, at) {
            self.apply_effects(job, effects);
        }
    }

    fn list(
        &self,
        customer: Option<&CustomerName>,
        state: Option<JobState>,
        limit: u32,
    ) -> JobReply {
        let jobs = self.table.iter();
        let mut found: Vec<(&JobId, &JobEntry)> = jobs
            .filter(|(_, entry)| customer.is_none_or(|wanted| entry.spec.customer == *wanted))
            .filter(|(_, entry)| state.is_none_or(|wanted| entry.state() == wanted))
            .collect();
        found.sort_by(|a, b| b.1.submitted.cmp(&a.1.submitted).then_with(|| a.0.cmp(b.0)));
        let limit = MAX_LISTED.min(limit as usize);
        let views = found.into_iter().take(limit);
        JobReply::Jobs(views.map(|(job, entry)| view_of(job, entry)).collect())
    }

    /// Returns the reply that describes a job, or a refusal if there is none.
    pub(super) fn view_reply(&self, job: &JobId) -> JobReply {
        match self.view(job) {
            Some(view) => JobReply::Job(view),
            None => refused(ResultCode::NotFound, "no such job"),
        }
    }

    fn view(&self, job: &JobId) -> Option<JobView> {
        self.table.get(job).map(|entry| view_of(job, entry))
    }

    fn explain(&self, job: &JobId) -> JobReply {
        let Some(entry) = self.table.get(job) else {
            return match self.notes.refusal(job) {
                Some(reason) => JobReply::Explanation(vec![
                    "the job was refused and did not run".into(),
                    reason,
                ]),
                None => refused(ResultCode::NotFound, "no such job"),
            };
        };
        let tally = entry.tally;
        let mut lines: Vec<Arc<str>> = vec![
            format!(
                "{} tasks: {} wait, {} run, {} done, {} failed, {} unknown",
                entry.spec.tasks,
                tally.waiting,
                tally.running,
                tally.done,
                tally.failed,
                tally.unknown
            )
            .into(),
        ];
        let ended = entry.outcome.as_ref().or(entry.ending.as_ref());
        lines.extend(ended.map(|outcome| Arc::clone(&outcome.reason)));
        if tally.waiting > 0 {
            lines.extend(self.explain_waiting(job, entry));
        }
        let running = entry.running().take(MAX_EXPLAINED_TASKS);
        lines.extend(running.map(|(task, running)| {
            let link = self.links.get(&running.worker);
            let rack = link.map_or("unknown", |link| link.rack.as_str());
            format!("task {task} runs on {} in rack {rack}", running.worker).into()
        }));
        lines.extend(self.notes.of(job).cloned());
        JobReply::Explanation(lines)
    }

    fn explain_waiting(&self, job: &JobId, entry: &JobEntry) -> Vec<Arc<str>> {
        if self.waits_for_takeover(entry) {
            let unfenced = self.tracker.unfenced().count();
            return vec![
                format!(
                    "tasks of an earlier owner may still run: {unfenced} workers have not accepted \
                     the new owner"
                )
                .into(),
            ];
        }
        if self.held_for_log.contains(job) {
            return vec!["tasks that may not repeat wait for the log".into()];
        }
        let delayed = entry
            .ready()
            .into_iter()
            .filter(|task| {
                self.retry_delays
                    .is_delayed(&TaskRef::new(job.clone(), *task))
            })
            .count();
        let mut lines = self.engine.explain(job, self.now());
        if delayed > 0 {
            lines.push(format!("{delayed} tasks failed and wait before their next attempt").into());
        }
        lines
    }

    /// Queues the tasks of a job that may be placed now.
    pub(super) fn enqueue_ready(&mut self, job: &JobId) {
        let Some(entry) = self.table.get(job) else {
            return;
        };
        let ready = entry.ready();
        let mut tasks = ready.clone();
        tasks.retain(|task| {
            !self
                .retry_delays
                .is_delayed(&TaskRef::new(job.clone(), *task))
        });
        // The tasks of a gang start together, after the longest of their delays.
        let is_partial = entry.is_gang() && tasks.len() < ready.len();
        if tasks.is_empty() || is_partial || self.waits_for_takeover(entry) {
            return;
        }
        self.engine.enqueue(magnolia_policy::WaitingJob {
            job: job.clone(),
            spec: Arc::clone(&entry.spec),
            submitted: entry.submitted,
            tasks,
        });
        self.placement_due = true;
    }

    fn waits_for_takeover(&self, entry: &JobEntry) -> bool {
        entry.epoch < self.claim.epoch && !self.tracker.is_complete()
    }
}

/// Result of the check of a submission.
enum Submission {
    /// A new job, to be journalled.
    New,
    /// A repeat of a job in the table.
    Known(JobId),
    /// A repeat of a job that is being journalled.
    InFlight(JobId),
    /// Not accepted.
    Refused(ResultCode, &'static str),
}

fn view_of(job: &JobId, entry: &JobEntry) -> JobView {
    let tally = entry.tally;
    JobView {
        job: job.clone(),
        customer: entry.spec.customer.clone(),
        class: entry.spec.class.clone(),
        kind: entry.spec.kind,
        state: entry.state(),
        tasks: TaskCounts {
            waiting: tally.waiting,
            running: tally.running,
            done: tally.done,
            failed: tally.failed + tally.unknown,
        },
        outcome: entry.outcome.clone(),
    }
}
