//! Stores what the scheduler decides, one call at a time, and tells who waits for it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use magnolia_scheduler::{JobKey, StoreBatch};
use magnolia_types::{Epoch, Millis};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::sleep;

use crate::owner::{OwnerSession, executor_record, job_record};
use crate::ports::{AppendCondition, AppendOutcome, StoreError, StreamName, StreamRecord};

/// Pause before a call to the store is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause before a repeat, while the store is away.
const MAX_REPEAT_PAUSE: Duration = Duration::from_millis(400);
/// Shortest time between two calls: gathers submissions and ends, whose objectives are 250 ms.
const COMMIT_GAP: Duration = Duration::from_millis(8);
/// Time from which the store counts as away after a call failed: beyond its usual answer of 5 ms and
/// one repeat, and within the objective of an urgent job.
const FAILED_LIMIT: Millis = Millis::new(120);
/// Time from which the store counts as away without an answer: a slow store takes some 400 ms.
const SILENT_LIMIT: Millis = Millis::new(700);
/// Most bytes of records in one call, below the platform's bound.
const MAX_CALL_BYTES: usize = 1 << 20;

/// Key of the record that an owner writes first.
const EPOCH_KEY: &str = "epoch";

/// What became of something to store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreOutcome {
    /// It is stored.
    Stored,
    /// It was never sent and never will be.
    Withdrawn,
    /// Ownership ended; the next owner knows.
    Abandoned,
}

/// A call to the store without an outcome.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    since: Millis,
    /// Whether a try failed.
    failed: bool,
}

/// Who waits for the next batch.
struct StoreWaiter {
    submission: Option<JobKey>,
    sender: oneshot::Sender<StoreOutcome>,
}

/// Writer of the jobs' stream.
pub(crate) struct Committer {
    epoch: Epoch,
    sequence: AtomicU64,
    wanted: Notify,
    waiters: Mutex<Vec<StoreWaiter>>,
    /// The call to the store that has no outcome yet.
    open_call: Mutex<Option<OpenCall>>,
    /// Number of batches stored.
    stored: watch::Sender<u64>,
}

impl Committer {
    pub(crate) fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            sequence: AtomicU64::new(0),
            wanted: Notify::new(),
            waiters: Mutex::default(),
            open_call: Mutex::new(None),
            stored: watch::Sender::new(0),
        }
    }

    /// Asks for a batch.
    pub(crate) fn want(&self) {
        self.wanted.notify_one();
    }

    /// Waits until everything decided so far is stored; `submission` names a job that may be
    /// withdrawn instead.
    pub(crate) async fn stored(&self, submission: Option<JobKey>) -> StoreOutcome {
        let (sender, receiver) = oneshot::channel();
        self.lock_waiters().push(StoreWaiter { submission, sender });
        self.want();
        receiver.await.unwrap_or(StoreOutcome::Abandoned)
    }

    /// Returns for how long the store has been away, as far as this writer can tell.
    pub(crate) fn away_for(&self, now: Millis) -> Option<Millis> {
        let call = (*self.lock_call())?;
        let lasted = now.saturating_sub(call.since);
        let limit = if call.failed {
            FAILED_LIMIT
        } else {
            SILENT_LIMIT
        };
        (lasted >= limit).then_some(lasted)
    }

    fn lock_call(&self) -> std::sync::MutexGuard<'_, Option<OpenCall>> {
        self.open_call
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Withdraws the submissions that no call has carried, when the store is away.
    pub(crate) fn withdraw_unsent(&self, session: &OwnerSession) {
        if self.away_for(session.now()).is_none() {
            return;
        }
        let waiters = std::mem::take(&mut *self.lock_waiters());
        let mut kept = Vec::new();
        for waiter in waiters {
            let withdrawn = waiter
                .submission
                .is_some_and(|key| session.lock().withdraw(key));
            if withdrawn {
                // A caller that left does not wait any more.
                waiter.sender.send(StoreOutcome::Withdrawn).ok();
            } else {
                kept.push(waiter);
            }
        }
        self.lock_waiters().append(&mut kept);
    }

    /// Returns a receiver of the number of stored batches.
    pub(crate) fn batches(&self) -> watch::Receiver<u64> {
        self.stored.subscribe()
    }

    /// Lets all who wait know that nothing more is stored.
    pub(crate) fn abandon(&self) {
        self.lock_waiters().clear();
    }

    fn lock_waiters(&self) -> std::sync::MutexGuard<'_, Vec<StoreWaiter>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens the epoch at the store, which fences every earlier writer.
    pub(crate) async fn open(&self, session: &OwnerSession) -> bool {
        let record = StreamRecord {
            key: EPOCH_KEY.into(),
            value: self.epoch.to_string().into_bytes(),
        };
        self.append(session, &[record]).await
    }

    /// Appends records, repeating the call until it has an outcome; false when fenced.
    async fn append(&self, session: &OwnerSession, records: &[StreamRecord]) -> bool {
        let sequence = self.sequence.load(Ordering::SeqCst);
        let condition = AppendCondition::Writer {
            epoch: self.epoch,
            sequence,
        };
        let mut pause = REPEAT_PAUSE;
        *self.lock_call() = Some(OpenCall {
            since: session.now(),
            failed: false,
        });
        loop {
            let store = &session.node.store;
            match store.append(StreamName::Jobs, records, condition).await {
                Ok(AppendOutcome::Stored { .. }) => {
                    *self.lock_call() = None;
                    self.sequence.store(sequence + 1, Ordering::SeqCst);
                    return true;
                }
                Ok(AppendOutcome::Fenced) => {
                    session.close("the store has fenced the epoch");
                    return false;
                }
                Ok(outcome) => {
                    log::error!(outcome:? = outcome, sequence = sequence;
                        "the store does not follow the writer's sequence");
                    session.close("the store does not follow the writer's sequence");
                    return false;
                }
                Err(StoreError::Malformed(reason)) => {
                    log::error!(reason = &*reason; "append refused as malformed");
                }
                Err(error) => log::debug!(error:% = error; "append has no outcome; repeating"),
            }
            if let Some(call) = &mut *self.lock_call() {
                call.failed = true;
            }
            self.withdraw_unsent(session);
            sleep(pause).await;
            pause = (pause * 2).min(MAX_REPEAT_PAUSE);
        }
    }
}

/// Stores batch after batch.
pub(crate) async fn run_committer(session: Arc<OwnerSession>) {
    let committer = &session.committer;
    loop {
        committer.wanted.notified().await;
        let waiters = std::mem::take(&mut *committer.lock_waiters());
        let unix_ms = session.node.clock.unix_ms();
        let batch = {
            let mut scheduler = session.lock();
            if waiters.is_empty() && !scheduler.has_unstored() {
                continue;
            }
            scheduler.begin_batch(unix_ms)
        };
        let started = session.now();
        if !store_records(&session, &batch).await {
            return;
        }
        finish(&session, batch, started);
        waiters.into_iter().for_each(|waiter| {
            // A caller that left does not wait any more.
            waiter.sender.send(StoreOutcome::Stored).ok();
        });
        sleep(COMMIT_GAP).await;
    }
}

async fn store_records(session: &OwnerSession, batch: &StoreBatch) -> bool {
    let jobs = batch
        .records
        .iter()
        .filter_map(|(key, job)| job_record(*key, job.as_ref()));
    let executors = batch
        .executors
        .iter()
        .filter_map(|(id, entry)| executor_record(id, entry.as_ref()));
    let mut records = Vec::new();
    let mut bytes = 0;
    for record in executors.chain(jobs) {
        bytes += record.key.len() + record.value.len();
        records.push(record);
        if bytes > MAX_CALL_BYTES {
            if !session.committer.append(session, &records).await {
                return false;
            }
            records.clear();
            bytes = 0;
        }
    }
    records.is_empty() || session.committer.append(session, &records).await
}

fn finish(session: &Arc<OwnerSession>, batch: StoreBatch, started: Millis) {
    let now = session.now();
    let metrics = &session.node.metrics;
    if !batch.records.is_empty() || !batch.executors.is_empty() {
        metrics.count("store_appends");
        let records = u64::try_from(batch.records.len()).unwrap_or(0);
        metrics.add("store_records", records);
        metrics.latency("store_append", now.saturating_sub(started));
    }
    let ended = session.lock().finish_batch(batch);
    for (job, status) in ended {
        metrics.count("jobs_ended");
        log::info!(job:% = job, status:? = status; "job ended");
    }
    session.committer.stored.send_modify(|count| *count += 1);
    session.want_plan();
}
