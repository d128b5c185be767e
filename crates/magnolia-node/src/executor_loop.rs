//! Renewal of one executor's lease, and the reports that come back.

use std::sync::Arc;
use std::time::Duration;

use magnolia_scheduler::ExecutorEntry;
use magnolia_types::ExecutorId;
use tokio::time::{sleep, timeout};

use crate::owner::OwnerSession;
use crate::ports::OrderError;

/// Pause after an answer with ends: gathers those of one step, which end close together.
const GATHER_PAUSE: Duration = Duration::from_millis(15);
/// Longest wait for the storing of ends before the lease is renewed without them.
const STORE_WAIT: Duration = Duration::from_millis(600);
/// Pause between renewals while ends are not stored.
const UNSTORED_PAUSE: Duration = Duration::from_millis(300);
/// Refused connections in a row from which the executor's process counts as gone; one may come from
/// a listener that is being replaced.
const REFUSALS_UNTIL_GONE: u32 = 2;
/// Pause after a failed renewal.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed renewals.
const MAX_FAILURE_PAUSE: Duration = Duration::from_millis(600);
/// Pause while the owner is isolated.
const ISOLATED_PAUSE: Duration = Duration::from_millis(200);

/// Starts loops for executors that have none.
pub(crate) fn ensure_loops(session: &Arc<OwnerSession>) {
    // An executor is used only once the store holds that it is in use.
    session.committer.want();
    let entries = session.lock().held_executors();
    for entry in entries {
        let mut loops = session
            .loops
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if loops.insert(entry.id.clone()) {
            drop(loops);
            session.spawn(hold_executor(Arc::clone(session), entry.id));
        }
    }
}

async fn hold_executor(session: Arc<OwnerSession>, id: ExecutorId) {
    let mut failures = 0u32;
    let mut refusals = 0u32;
    let mut batches = session.committer.batches();
    loop {
        if session.is_isolated() {
            sleep(ISOLATED_PAUSE).await;
            continue;
        }
        batches.mark_unchanged();
        let Some((entry, plan)) = session.lock().plan_executor_hold(&id, session.now()) else {
            break;
        };
        match hold_once(&session, &entry, &plan).await {
            Ok(true) => {
                (failures, refusals) = (0, 0);
                // The next renewal acknowledges the ends, which have to be stored first.
                let stored = async {
                    while session.lock().has_unstored_ends(&id) {
                        if batches.changed().await.is_err() {
                            return;
                        }
                    }
                };
                if timeout(STORE_WAIT, stored).await.is_err() {
                    sleep(UNSTORED_PAUSE).await;
                }
                sleep(GATHER_PAUSE).await;
            }
            Ok(false) => (failures, refusals) = (0, 0),
            Err(error) => {
                failures += 1;
                on_failure(&session, &entry, &error, failures, &mut refusals);
                let pause = FAILURE_PAUSE * failures.min(6);
                sleep(pause.min(MAX_FAILURE_PAUSE)).await;
            }
        }
    }
    let mut loops = session
        .loops
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    loops.remove(&id);
}

/// Renews once; returns whether ends wait to be stored.
async fn hold_once(
    session: &Arc<OwnerSession>,
    entry: &ExecutorEntry,
    plan: &magnolia_scheduler::HoldPlan,
) -> Result<bool, OrderError> {
    let sent_at = session.now();
    let node = &session.node;
    let report = node
        .ports
        .executors
        .renew_lease(entry, session.epoch(), plan)
        .await?;
    node.metrics.count("holds");
    let now = session.now();
    let changed = !report.ends.is_empty();
    let unstored = {
        let mut scheduler = session.lock();
        scheduler.apply_report(&entry.id, report, sent_at, now);
        scheduler.has_unstored_ends(&entry.id)
    };
    if unstored {
        session.committer.want();
    }
    if changed || plan.lease_until.is_none() {
        session.want_plan();
    }
    Ok(unstored)
}

fn on_failure(
    session: &Arc<OwnerSession>,
    entry: &ExecutorEntry,
    error: &OrderError,
    failures: u32,
    refusals: &mut u32,
) {
    if *error == OrderError::Fenced {
        session.lock().apply_fenced();
        session.close("an executor has seen a later epoch");
        return;
    }
    if *error == OrderError::NoProcess {
        *refusals += 1;
    } else {
        *refusals = 0;
    }
    if *refusals >= REFUSALS_UNTIL_GONE {
        session.lock().apply_gone(&entry.id, session.now());
        session.want_plan();
    }
    if failures <= 2 {
        log::info!(executor:% = entry.id, error:% = error; "executor does not answer");
    }
    let gone = matches!(
        error,
        OrderError::NoProcess | OrderError::NotSent(_) | OrderError::OtherExecutor
    );
    if gone || failures > 1 {
        session.lock().apply_unreachable(&entry.id);
    }
}
