//! How the owner serves requests from callers.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use magnolia_scheduler::{
    AccountAccess, AccountRules, JobKey, JobSpec, OutageDecision, QueueRules, SubmitOutcome,
    decide_outage,
};
use magnolia_types::Millis;

use crate::access::recheck_access;
use crate::callers::{CallerAnswer, CallerRequest, ServeOutcome, TimedCallerRequest};
use crate::committer::StoreOutcome;
use crate::owner::OwnerSession;

/// A job that a caller submits.
struct SubmittedJob<'a> {
    key: JobKey,
    rules: &'a Arc<QueueRules>,
    spec: &'a Arc<JobSpec>,
    account: Option<&'a Arc<AccountRules>>,
}

/// Returns the jobs that a caller of this account may read and cancel.
fn job_access(account: Option<&Arc<AccountRules>>) -> AccountAccess<'_> {
    account.map_or(AccountAccess::Any, |account| {
        AccountAccess::Account(&account.name)
    })
}

impl OwnerSession {
    /// Serves the request of a caller that still waits for `time_left`.
    pub(crate) async fn serve(
        self: &Arc<Self>,
        timed: &TimedCallerRequest,
        time_left: Millis,
    ) -> ServeOutcome {
        if !self.serving.load(Ordering::SeqCst) {
            return ServeOutcome::NotOwner;
        }
        let Some(account) = recheck_access(&self.node.rules(), &timed.access) else {
            log::info!(call = timed.request.name(), queue:% = timed.access.queue;
                "request rejected: its key is not valid in a newer configuration");
            return ServeOutcome::Answered(CallerAnswer::Unauthorized);
        };
        match &timed.request {
            CallerRequest::Submit { key, rules, spec } => {
                let deadline = self.now().saturating_add(time_left);
                let job = SubmittedJob {
                    key: *key,
                    rules,
                    spec,
                    account: account.as_ref(),
                };
                self.serve_submission(job, deadline).await
            }
            CallerRequest::Status { key } | CallerRequest::Cancel { key }
                if !self.lock().is_visible(*key, job_access(account.as_ref())) =>
            {
                self.confirm_unknown().await
            }
            CallerRequest::Status { key } => self.serve_status(*key).await,
            CallerRequest::Cancel { key } => self.serve_cancel(*key).await,
            CallerRequest::Pending { queue } => {
                let count = self.lock().pending(queue);
                ServeOutcome::Answered(CallerAnswer::Pending(count))
            }
        }
    }

    async fn serve_submission(&self, job: SubmittedJob<'_>, deadline: Millis) -> ServeOutcome {
        let SubmittedJob {
            key,
            rules,
            spec,
            account,
        } = job;
        self.node.metrics.count("submissions");
        let started = self.now();
        if let Some(outage) = self.committer.outage_duration(started)
            && !self.lock().knows(key)
        {
            let time_left = deadline.saturating_sub(started);
            match decide_outage(outage, time_left) {
                OutageDecision::Refuse { retry_after } => {
                    return self.refuse_unavailable(key, rules, outage, retry_after);
                }
                OutageDecision::Wait => {
                    log::info!(job:% = key, queue:% = rules.name, away:% = outage,
                        time_left:% = time_left; "submission waits for the store to return");
                }
            }
        }
        let unix_ms = self.node.clock.unix_ms();
        let outcome = self
            .lock()
            .submit_as(account, key, rules, spec, started, unix_ms);
        match outcome {
            SubmitOutcome::Known => return ServeOutcome::Answered(CallerAnswer::Accepted),
            SubmitOutcome::Refused {
                retry_after,
                reason,
            } => {
                log::info!(job:% = key, queue:% = rules.name, retry_after:% = retry_after,
                    reason:? = reason, account:? = account.map(|account| account.name.as_str());
                    "job refused: it can't be served in time");
                self.node.metrics.count("refusals");
                return ServeOutcome::Answered(CallerAnswer::Refused { retry_after });
            }
            SubmitOutcome::TooLarge { needed, limit } => {
                log::info!(job:% = key, queue:% = rules.name, needed = needed, limit = limit;
                    "job refused: it takes more memory than all jobs may take");
                self.node.metrics.count("refusals");
                return ServeOutcome::Answered(CallerAnswer::TooLarge { needed, limit });
            }
            SubmitOutcome::AboveCap { step } => {
                log::info!(job:% = key, queue:% = rules.name, step = step;
                    "job refused: a step needs more than its client account may use");
                self.node.metrics.count("refusals");
                return ServeOutcome::Answered(CallerAnswer::AboveCap { step });
            }
            SubmitOutcome::OtherAccount => {
                log::info!(job:% = key, queue:% = rules.name;
                    "job refused: its key belongs to a job of another client account");
                return ServeOutcome::Answered(CallerAnswer::OtherAccount);
            }
            SubmitOutcome::Accepted => {}
        }
        let stored = self
            .committer
            .wait_until_stored(Some((key, deadline)))
            .await;
        let took = self.now().saturating_sub(started);
        self.node.metrics.latency("accept", took);
        log::info!(job:% = key, queue:% = rules.name, stored:? = stored, took:% = took;
            "job submitted");
        match stored {
            StoreOutcome::Stored => ServeOutcome::Answered(CallerAnswer::Accepted),
            StoreOutcome::Withdrawn {
                outage,
                retry_after,
            } => self.refuse_unavailable(key, rules, outage, retry_after),
            StoreOutcome::Refused => {
                self.node.metrics.count("refusals");
                ServeOutcome::Answered(CallerAnswer::Unstorable)
            }
            StoreOutcome::Abandoned => ServeOutcome::OwnershipLost,
        }
    }

    /// Refuses a submission that was not sent to the store, because the store is unavailable.
    fn refuse_unavailable(
        &self,
        key: JobKey,
        rules: &QueueRules,
        outage: Millis,
        retry_after: Millis,
    ) -> ServeOutcome {
        log::info!(job:% = key, queue:% = rules.name, away:% = outage, retry_after:% = retry_after;
            "job refused: the store is unavailable");
        self.node.metrics.count("refusals");
        ServeOutcome::Answered(CallerAnswer::Unavailable { retry_after })
    }

    async fn serve_status(&self, key: JobKey) -> ServeOutcome {
        if let Some(status) = self.lock().status(key) {
            return ServeOutcome::Answered(CallerAnswer::Status(status));
        }
        self.confirm_unknown().await
    }

    /// Answers that a job does not exist, after confirming that no later owner may know it.
    async fn confirm_unknown(&self) -> ServeOutcome {
        if self.node.confirms_epoch(self.epoch()).await && !self.is_closed() {
            return ServeOutcome::Answered(CallerAnswer::NoSuchJob);
        }
        ServeOutcome::NotOwner
    }

    async fn serve_cancel(self: &Arc<Self>, key: JobKey) -> ServeOutcome {
        let now = self.now();
        let cancelled = self.lock().cancel(key, now);
        self.plan_now();
        match cancelled {
            Some(true) => ServeOutcome::Answered(CallerAnswer::Cancelled),
            Some(false) => {
                let stored = self.committer.wait_until_stored(None).await;
                log::info!(job:% = key, stored:? = stored; "job cancelled");
                match stored {
                    StoreOutcome::Stored => ServeOutcome::Answered(CallerAnswer::Cancelled),
                    StoreOutcome::Withdrawn { .. }
                    | StoreOutcome::Refused
                    | StoreOutcome::Abandoned => ServeOutcome::OwnershipLost,
                }
            }
            None => self.confirm_unknown().await,
        }
    }
}
