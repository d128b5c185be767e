//! What the owner answers callers.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use magnolia_scheduler::{JobKey, JobSpec, QueueRules, SubmitOutcome};
use magnolia_types::Millis;

use crate::callers::{CallerAnswer, CallerRequest, ServeOutcome};
use crate::committer::StoreOutcome;
use crate::owner::OwnerSession;

/// Bounds of the time after which callers come back while the store is away; the header that carries
/// it counts whole seconds.
const MIN_OUTAGE_RETRY: Millis = Millis::new(1000);
const MAX_OUTAGE_RETRY: Millis = Millis::new(4000);

impl OwnerSession {
    /// Serves a caller.
    pub(crate) async fn serve(self: &Arc<Self>, request: &CallerRequest) -> ServeOutcome {
        if !self.serving.load(Ordering::SeqCst) {
            return ServeOutcome::Elsewhere;
        }
        match request {
            CallerRequest::Submit { key, rules, spec } => {
                self.serve_submission(*key, rules, spec).await
            }
            CallerRequest::Status { key } => self.serve_status(*key).await,
            CallerRequest::Cancel { key } => self.serve_cancel(*key).await,
            CallerRequest::Pending { queue } => {
                let count = self.lock().pending(queue);
                ServeOutcome::Answered(CallerAnswer::Pending(count))
            }
        }
    }

    async fn serve_submission(
        &self,
        key: JobKey,
        rules: &Arc<QueueRules>,
        spec: &Arc<JobSpec>,
    ) -> ServeOutcome {
        self.node.metrics.count("submissions");
        let started = self.now();
        if let Some(away) = self.committer.away_for(started)
            && !self.lock().knows(key)
        {
            return self.refuse_unstored(key, rules, away);
        }
        let unix_ms = self.node.clock.unix_ms();
        let outcome = self.lock().submit(key, rules, spec, started, unix_ms);
        match outcome {
            SubmitOutcome::Known => return ServeOutcome::Answered(CallerAnswer::Accepted),
            SubmitOutcome::Refused { retry_after } => {
                log::info!(job:% = key, queue:% = rules.name, retry_after:% = retry_after;
                    "job refused: it can't be served in time");
                self.node.metrics.count("refusals");
                return ServeOutcome::Answered(CallerAnswer::Refused { retry_after });
            }
            SubmitOutcome::Accepted => {}
        }
        let stored = self.committer.stored(Some(key)).await;
        let took = self.now().saturating_sub(started);
        self.node.metrics.latency("accept", took);
        log::info!(job:% = key, queue:% = rules.name, stored:? = stored, took:% = took;
            "job submitted");
        match stored {
            StoreOutcome::Stored => ServeOutcome::Answered(CallerAnswer::Accepted),
            StoreOutcome::Withdrawn => self.refuse_unstored(key, rules, took),
            StoreOutcome::Abandoned => ServeOutcome::Unsettled,
        }
    }

    /// Refuses a submission that can't be stored now and never was sent to the store.
    fn refuse_unstored(&self, key: JobKey, rules: &QueueRules, away: Millis) -> ServeOutcome {
        let retry_after = outage_retry(away);
        log::info!(job:% = key, queue:% = rules.name, away:% = away, retry_after:% = retry_after;
            "job refused: the store is away");
        self.node.metrics.count("refusals");
        ServeOutcome::Answered(CallerAnswer::Unavailable { retry_after })
    }

    async fn serve_status(&self, key: JobKey) -> ServeOutcome {
        if let Some(status) = self.lock().status(key) {
            return ServeOutcome::Answered(CallerAnswer::Status(status));
        }
        self.confirm_unknown().await
    }

    /// Answers for a job that this owner does not know, unless a later owner may know it.
    async fn confirm_unknown(&self) -> ServeOutcome {
        if self.node.confirms_epoch(self.epoch()).await && !self.is_closed() {
            return ServeOutcome::Answered(CallerAnswer::NoSuchJob);
        }
        ServeOutcome::Elsewhere
    }

    async fn serve_cancel(self: &Arc<Self>, key: JobKey) -> ServeOutcome {
        let now = self.now();
        let cancelled = self.lock().cancel(key, now);
        self.plan_now();
        match cancelled {
            Some(true) => ServeOutcome::Answered(CallerAnswer::Cancelled),
            Some(false) => {
                let stored = self.committer.stored(None).await;
                log::info!(job:% = key, stored:? = stored; "job cancelled");
                match stored {
                    StoreOutcome::Stored => ServeOutcome::Answered(CallerAnswer::Cancelled),
                    StoreOutcome::Withdrawn | StoreOutcome::Abandoned => ServeOutcome::Unsettled,
                }
            }
            None => self.confirm_unknown().await,
        }
    }
}

/// Returns when callers come back while the store is away: an outage of unknown length is expected
/// to last as long again as it has lasted.
fn outage_retry(away: Millis) -> Millis {
    away.clamp(MIN_OUTAGE_RETRY, MAX_OUTAGE_RETRY)
}
