//! Renewal of the leases of executors, and handling of their reports.

use std::sync::Arc;
use std::time::Duration;

use magnolia_scheduler::{ExecutorEntry, RenewalKind, RenewalPlan};
use magnolia_types::{ExecutorId, Millis};
use tokio::time::{sleep, timeout};

use crate::owner::OwnerSession;
use crate::ports::OrderError;

/// Delay after a report with ended runs, in which further ends are collected: the runs of one step
/// end close together.
const COLLECT_DELAY: Duration = Duration::from_millis(15);
/// Longest wait for reported ends to be stored before the lease is renewed without acknowledging
/// them.
const STORE_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay between renewals while reported ends are not stored, or can't be acknowledged yet.
const UNSTORED_DELAY: Duration = Duration::from_millis(300);
/// Delay after a failed renewal, times the number of consecutive failures.
const FAILURE_DELAY: Duration = Duration::from_millis(100);
/// Longest delay after failed renewals.
const MAX_FAILURE_DELAY: Duration = Duration::from_millis(600);
/// Delay after an executor rejected the epoch: only a restart lets it accept the epoch again.
const FENCED_DELAY: Duration = Duration::from_secs(2);
/// Delay between two inquiries of an owner without evidence, well below the longest age of evidence.
const INQUIRY_DELAY: Duration = Duration::from_millis(400);

/// Starts a lease renewal loop for each executor that has none.
pub(crate) fn ensure_renewal_loops(session: &Arc<OwnerSession>) {
    // An executor gets tasks only after the record that it is in use is stored.
    session.committer.request_commit();
    let entries = session.lock().executors_to_renew();
    for entry in entries {
        let mut renewal_loops = session
            .renewal_loops
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if renewal_loops.insert(entry.id.clone()) {
            drop(renewal_loops);
            session.spawn(renew_executor(Arc::clone(session), entry.id));
        }
    }
}

/// Renews the lease of an executor until the scheduler no longer uses it.
async fn renew_executor(session: Arc<OwnerSession>, id: ExecutorId) {
    let mut failures = 0u32;
    let mut stored_batches = session.committer.stored_batches();
    loop {
        stored_batches.mark_unchanged();
        // The lease counts from the time for which the evidence was checked, also if the process is
        // paused in between.
        let now = session.now();
        let kind = session.renewal_kind(now);
        let Some((entry, plan)) = session.lock().plan_executor_renewal(&id, kind, now) else {
            break;
        };
        match renew_once(&session, &entry, &plan, now).await {
            Ok(true) => {
                failures = 0;
                // The next renewal acknowledges the ends, so they have to be stored first.
                let stored = async {
                    while session.lock().has_unstored_ends(&id) {
                        if stored_batches.changed().await.is_err() {
                            return;
                        }
                    }
                };
                if timeout(STORE_TIMEOUT, stored).await.is_err() {
                    sleep(UNSTORED_DELAY).await;
                }
                sleep(COLLECT_DELAY).await;
            }
            Ok(false) => {
                failures = 0;
                if kind == RenewalKind::Inquiry {
                    sleep(INQUIRY_DELAY).await;
                } else if session.lock().withholds_ends(&id) {
                    // The executor answers at once as long as it lists ends.
                    sleep(UNSTORED_DELAY).await;
                }
            }
            Err(error) => {
                failures += 1;
                handle_failure(&session, &entry, &plan, &error, failures);
                let delay = if error == OrderError::Fenced {
                    FENCED_DELAY
                } else {
                    (FAILURE_DELAY * failures.min(6)).min(MAX_FAILURE_DELAY)
                };
                sleep(delay).await;
            }
        }
    }
    let mut renewal_loops = session
        .renewal_loops
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    renewal_loops.remove(&id);
}

/// Renews a lease as planned at `sent_at`; returns whether reported ends still have to be stored.
async fn renew_once(
    session: &Arc<OwnerSession>,
    entry: &ExecutorEntry,
    plan: &RenewalPlan,
    sent_at: Millis,
) -> Result<bool, OrderError> {
    let node = &session.node;
    let report = node.ports.executors.renew_lease(entry, plan).await?;
    node.metrics.count("holds");
    let now = session.now();
    let has_ends = !report.ends.is_empty();
    let unstored = {
        let mut scheduler = session.lock();
        scheduler.apply_report(&entry.id, report, sent_at, now);
        scheduler.has_unstored_ends(&entry.id)
    };
    if unstored {
        session.committer.request_commit();
    }
    // The plan grants no lease to an executor that has not answered yet; after its answer, it may
    // get tasks.
    if has_ends || plan.lease_until.is_none() {
        session.request_plan();
    }
    Ok(unstored)
}

/// Tells the scheduler what a failed renewal says about the executor. No failure shows that the
/// executor's process has ended: a firewall can refuse connections to a process that runs on, so its
/// runs are lost only when their lease expires or a later life of the executor answers.
fn handle_failure(
    session: &Arc<OwnerSession>,
    entry: &ExecutorEntry,
    plan: &RenewalPlan,
    error: &OrderError,
    failures: u32,
) {
    if *error == OrderError::Fenced {
        session.node.metrics.count("fenced_renewals");
        let now = session.now();
        session.lock().apply_fence(&entry.id, plan.token, now);
        return;
    }
    if failures <= 2 {
        log::info!(executor:% = entry.id, error:% = error; "lease renewal failed");
    }
    // If the answer to a renewal was lost or a refusal, the executor counts as unreachable only
    // after the next renewal fails as well.
    let unreachable = matches!(error, OrderError::NotSent(_) | OrderError::OtherExecutor);
    if unreachable || failures > 1 {
        session.lock().apply_unreachable(&entry.id);
    }
}
