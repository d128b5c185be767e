//! Stores the decisions of the scheduler in order, and notifies the tasks that wait for that.
//!
//! Appends overlap while the store is slow, which means some 400 ms per call. A submission that
//! waited for the append under way and then for its own would miss the latency objective of an
//! urgent job.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesOrdered;
use magnolia_scheduler::{
    JobKey, OutageDecision, RefusedRecords, StoreBatch, SubmissionState, decide_outage,
};
use magnolia_types::{Epoch, Millis};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until};

use crate::owner::{OwnerSession, executor_record, job_record};
use crate::pending_appends::PendingAppends;
use crate::ports::{AppendCondition, AppendOutcome, StoreError, StreamName, StreamRecord};
use crate::refused_appends::{OmittedKeys, store_records};

/// Delay before an append is retried. It is short because callers near their deadline wait for the
/// store to return. The retries of one daemon are a thirtieth of the writes that the store can
/// take.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Shortest time between two appends, in which submissions and ends of runs are collected. Their
/// latency objectives are 250 ms.
const MIN_COMMIT_INTERVAL: Duration = Duration::from_millis(13);
/// Shortest time to the next append while one is pending. With a slow store, which takes 400 ms,
/// four appends then follow each other evenly.
const MIN_OVERLAP_INTERVAL: Duration = Duration::from_millis(60);
/// Latency of the last append from which appends overlap. Below it, nothing is sent while an append
/// is unanswered: what was sent can't be refused any more if the store turns out to be unavailable.
const OVERLAP_LATENCY: Millis = Millis::new(80);
/// Limit of pending appends. The store recognises repeats of the last five appends only.
const MAX_PENDING_APPENDS: usize = 4;
/// Size in bytes from which an append takes no further record, below the limit of the platform. The
/// parts of a larger batch are stored one after the other, which takes long while the store is slow.
const MAX_APPEND_BYTES: usize = 1 << 20;

/// Key of the record with which an owner opens its epoch.
const EPOCH_KEY: &str = "epoch";

/// How an append ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AppendEnd {
    Stored,
    /// The store refuses it as malformed or too large. Its sequence number is still the next one.
    Refused,
    /// Ownership ended.
    Closed,
}

/// Outcome for a task that waits for a decision to be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreOutcome {
    /// The decision is stored.
    Stored,
    /// The submission was not sent to the store and never will be.
    Withdrawn {
        /// Time for which the store has been unavailable.
        outage: Millis,
        /// Time after which the caller may retry.
        retry_after: Millis,
    },
    /// The store refused the record of the job, and no longer holds one.
    Refused,
    /// Ownership ended; only the next owner can tell the outcome.
    Abandoned,
}

/// A task that waits for the next batch to be stored.
struct StoreWaiter {
    /// A submitted job that may be withdrawn, and the time until which its caller waits.
    submission: Option<(JobKey, Millis)>,
    sender: oneshot::Sender<StoreOutcome>,
}

/// Writer of the stream of jobs.
pub(crate) struct Committer {
    pub(crate) epoch: Epoch,
    /// Sequence number of the next append.
    next_sequence: AtomicU64,
    commit_requested: Notify,
    waiters: Mutex<Vec<StoreWaiter>>,
    pub(crate) pending_appends: PendingAppends,
    /// Whether nothing is sent before the last append has an outcome: the store refused records and
    /// did not tell which.
    pub(crate) serial: AtomicBool,
    /// Number of batches stored.
    stored_count: watch::Sender<u64>,
}

impl Committer {
    pub(crate) fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            next_sequence: AtomicU64::new(0),
            commit_requested: Notify::new(),
            waiters: Mutex::default(),
            pending_appends: PendingAppends::default(),
            serial: AtomicBool::new(false),
            stored_count: watch::Sender::new(0),
        }
    }

    /// Requests that a batch is stored.
    pub(crate) fn request_commit(&self) {
        self.commit_requested.notify_one();
    }

    /// Waits until everything decided so far is stored. `submission` names a job that may be
    /// withdrawn instead, and the time until which its caller waits.
    pub(crate) async fn wait_until_stored(
        &self,
        submission: Option<(JobKey, Millis)>,
    ) -> StoreOutcome {
        let (sender, receiver) = oneshot::channel();
        self.lock_waiters().push(StoreWaiter { submission, sender });
        self.request_commit();
        receiver.await.unwrap_or(StoreOutcome::Abandoned)
    }

    /// Returns the time for which the store has been unavailable; `None` if it counts as available.
    pub(crate) fn outage_duration(&self, now: Millis) -> Option<Millis> {
        self.pending_appends.outage_duration(now)
    }

    /// If the store is unavailable, withdraws the submissions that were not sent yet, except those
    /// that may wait for its return according to [`decide_outage`].
    pub(crate) fn withdraw_unsent(&self, session: &OwnerSession) {
        let now = session.now();
        let Some(outage) = self.outage_duration(now) else {
            return;
        };
        let waiters = std::mem::take(&mut *self.lock_waiters());
        // A caller may have repeated its submission. The job is kept until the one with the latest
        // deadline is refused.
        let mut latest: BTreeMap<JobKey, Millis> = BTreeMap::new();
        for (key, deadline) in waiters.iter().filter_map(|waiter| waiter.submission) {
            let known = latest.entry(key).or_insert(deadline);
            *known = deadline.max(*known);
        }
        let mut kept = Vec::new();
        for waiter in waiters {
            let refusal = waiter.submission.and_then(|(key, _)| {
                let time_left = latest.get(&key)?.saturating_sub(now);
                match decide_outage(outage, time_left) {
                    OutageDecision::Refuse { retry_after } => Some((key, retry_after)),
                    OutageDecision::Wait => None,
                }
            });
            match refusal {
                Some((key, retry_after)) if session.lock().withdraw(key) => {
                    let outcome = StoreOutcome::Withdrawn {
                        outage,
                        retry_after,
                    };
                    // The receiver is gone if the caller no longer waits.
                    waiter.sender.send(outcome).ok();
                }
                _ => kept.push(waiter),
            }
        }
        self.lock_waiters().append(&mut kept);
    }

    /// Subscribes to the number of stored batches.
    pub(crate) fn stored_batches(&self) -> watch::Receiver<u64> {
        self.stored_count.subscribe()
    }

    /// Tells all waiting tasks that nothing more will be stored.
    pub(crate) fn abandon(&self) {
        self.lock_waiters().clear();
    }

    fn lock_waiters(&self) -> std::sync::MutexGuard<'_, Vec<StoreWaiter>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens the epoch at the store, which fences all earlier writers; false if ownership ended.
    pub(crate) async fn open(&self, session: &OwnerSession) -> bool {
        let sequence = self.take_sequence();
        let record = [self.epoch_record()];
        loop {
            match self.append(session, sequence, &record).await {
                AppendEnd::Stored => return true,
                AppendEnd::Refused => sleep(RETRY_DELAY).await,
                AppendEnd::Closed => return false,
            }
        }
    }

    /// Returns the record that opens the epoch, which may be stored again at any time.
    pub(crate) fn epoch_record(&self) -> StreamRecord {
        StreamRecord {
            key: EPOCH_KEY.into(),
            value: self.epoch.to_string().into_bytes(),
        }
    }

    pub(crate) fn take_sequence(&self) -> u64 {
        self.next_sequence.fetch_add(1, Ordering::SeqCst)
    }

    /// Appends records, retrying until there is an outcome.
    pub(crate) async fn append(
        &self,
        session: &OwnerSession,
        sequence: u64,
        records: &[StreamRecord],
    ) -> AppendEnd {
        let condition = AppendCondition::Writer {
            epoch: self.epoch,
            sequence,
        };
        let appends = &self.pending_appends;
        let first_sent_at = appends.begin(sequence, session.now());
        loop {
            let first = appends.is_first(sequence);
            let store = &session.node.store;
            match store.append(StreamName::Jobs, records, condition).await {
                Ok(AppendOutcome::Stored { .. }) => {
                    appends.end(sequence);
                    // The store answers a repeat as it answered the first call, also after it has
                    // fenced the epoch.
                    session.record_confirmation(first_sent_at);
                    return AppendEnd::Stored;
                }
                Ok(AppendOutcome::Fenced) => {
                    session.close("the store fenced the epoch");
                    return AppendEnd::Closed;
                }
                // An earlier append has not reached the store yet.
                Ok(AppendOutcome::OutOfSequence { expected }) if !first && expected < sequence => {
                    appends.wait_until_first(sequence).await;
                    continue;
                }
                Ok(outcome) => {
                    log::error!(outcome:? = outcome, sequence = sequence;
                        "sequence number rejected by the store");
                    session.close("the store rejected the sequence number");
                    return AppendEnd::Closed;
                }
                Err(StoreError::Refused(reason)) => {
                    log::error!(reason = &*reason, records = records.len();
                        "append refused by the store");
                    appends.record_refusal(sequence);
                    return AppendEnd::Refused;
                }
                Err(StoreError::Malformed(reason)) => {
                    log::error!(reason = &*reason; "answer to an append malformed; retrying");
                }
                Err(error) => log::debug!(error:% = error; "append without an outcome; retrying"),
            }
            appends.record_failure(sequence);
            self.withdraw_unsent(session);
            let retry_at = Instant::now() + RETRY_DELAY;
            appends.wait_until_first(sequence).await;
            sleep_until(retry_at).await;
        }
    }
}

/// A batch that was taken for storing, and the tasks that wait for it.
struct SentBatch {
    batch: StoreBatch,
    waiters: Vec<StoreWaiter>,
    sent_at: Millis,
    /// Keys of the records that were not stored.
    omitted: OmittedKeys,
}

/// Stores batches until ownership ends. A batch may be sent before the previous one is stored.
pub(crate) async fn run_committer(session: Arc<OwnerSession>) {
    let committer = &session.committer;
    let mut appends = FuturesOrdered::new();
    let mut last_sent = Instant::now();
    let mut last_latency = Millis::new(0);
    let mut commit_due = false;
    loop {
        let interval = if appends.is_empty() {
            MIN_COMMIT_INTERVAL
        } else {
            MIN_OVERLAP_INTERVAL
        };
        let may_overlap = last_latency >= OVERLAP_LATENCY
            && !committer.pending_appends.has_failed()
            && !committer.serial.load(Ordering::SeqCst);
        let may_send = appends.is_empty() || (may_overlap && appends.len() < MAX_PENDING_APPENDS);
        tokio::select! {
            biased;
            stored = appends.next(), if !appends.is_empty() => match stored.flatten() {
                Some(sent) => last_latency = complete_batch(&session, sent),
                None => return,
            },
            () = committer.commit_requested.notified(), if !commit_due => commit_due = true,
            () = sleep_until(last_sent + interval), if commit_due && may_send => {
                commit_due = false;
                let Some(mut sent) = take_batch(&session) else {
                    continue;
                };
                let mut parts = split_records(&sent.batch);
                let records = parts.pop().unwrap_or_default();
                if !parts.is_empty() {
                    // The store recognises repeats of the last few appends only, so a batch of
                    // several appends waits for the pending ones and is stored one by one.
                    while let Some(stored) = appends.next().await {
                        match stored {
                            Some(sent) => last_latency = complete_batch(&session, sent),
                            None => return,
                        }
                    }
                    match store_parts(&session, parts).await {
                        Some(omitted) => sent.omitted = omitted,
                        None => return,
                    }
                }
                appends.push_back(store_batch(Arc::clone(&session), sent, records));
                last_sent = Instant::now();
            }
        }
    }
}

/// Takes what is not stored yet, and the tasks that wait for it; `None` if there is neither.
fn take_batch(session: &OwnerSession) -> Option<SentBatch> {
    let waiters = std::mem::take(&mut *session.committer.lock_waiters());
    let (now, unix_ms) = (session.now(), session.node.clock.unix_ms());
    let mut scheduler = session.lock();
    if waiters.is_empty() && !scheduler.has_unbatched() {
        return None;
    }
    Some(SentBatch {
        batch: scheduler.begin_batch(now, unix_ms),
        waiters,
        sent_at: now,
        omitted: OmittedKeys::default(),
    })
}

/// Encodes the records of a batch, split into appends of limited size.
fn split_records(batch: &StoreBatch) -> Vec<Vec<StreamRecord>> {
    let jobs = batch
        .records
        .iter()
        .filter_map(|(key, job)| job_record(*key, job.as_ref()));
    let executors = batch
        .executors
        .iter()
        .filter_map(|(id, record)| executor_record(id, record.as_ref()));
    let mut parts: Vec<Vec<StreamRecord>> = Vec::new();
    let mut bytes = MAX_APPEND_BYTES;
    for record in executors.chain(jobs) {
        if bytes >= MAX_APPEND_BYTES {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += record.key.len() + record.value.len();
        if let Some(part) = parts.last_mut() {
            part.push(record);
        }
    }
    parts
}

/// Stores appends one after the other; returns the keys of omitted records, and `None` if ownership
/// ended.
async fn store_parts(session: &OwnerSession, parts: Vec<Vec<StreamRecord>>) -> Option<OmittedKeys> {
    let mut omitted = OmittedKeys::default();
    for part in parts {
        let sequence = session.committer.take_sequence();
        omitted.extend(store_records(session, sequence, part).await?);
    }
    Some(omitted)
}

/// Stores the last append of a batch; `None` if ownership ended.
fn store_batch(
    session: Arc<OwnerSession>,
    mut sent: SentBatch,
    records: Vec<StreamRecord>,
) -> impl Future<Output = Option<SentBatch>> {
    // The sequence number is taken before the future first runs, so that batches keep their order.
    let sequence = (!records.is_empty()).then(|| session.committer.take_sequence());
    async move {
        if let Some(sequence) = sequence {
            let omitted = store_records(&session, sequence, records).await?;
            sent.omitted.extend(omitted);
        }
        Some(sent)
    }
}

/// Tells the scheduler and the waiting tasks that a batch is stored; returns how long that took.
fn complete_batch(session: &Arc<OwnerSession>, sent: SentBatch) -> Millis {
    let took = session.now().saturating_sub(sent.sent_at);
    let mut batch = sent.batch;
    let metrics = &session.node.metrics;
    if !batch.records.is_empty() || !batch.executors.is_empty() {
        metrics.count("store_appends");
        let records = u64::try_from(batch.records.len()).unwrap_or(0);
        metrics.add("store_records", records);
        metrics.latency("store_append", took);
    }
    let refused = sent.omitted.to_records();
    if refused != RefusedRecords::default() {
        let count = refused.jobs.len() + refused.executors.len();
        metrics.add(
            "store_records_refused",
            u64::try_from(count).unwrap_or(u64::MAX),
        );
        session
            .lock()
            .refuse_records(&mut batch, &refused, session.now());
    }
    let ended = session.lock().finish_batch(batch);
    for (job, status) in ended {
        metrics.count("jobs_ended");
        log::info!(job:% = job, status:? = status; "job ended");
    }
    session
        .committer
        .stored_count
        .send_modify(|count| *count += 1);
    answer_waiters(session, sent.waiters, !refused.jobs.is_empty());
    session.request_plan();
    took
}

/// Tells the tasks that waited for a batch its outcome. Those whose job was in a refused record wait
/// for the next batch, which deletes the record, and so do the others if a job's record was
/// `refused`: the state that they wait for may be part of it.
fn answer_waiters(session: &OwnerSession, waiters: Vec<StoreWaiter>, refused: bool) {
    let mut kept = Vec::new();
    for waiter in waiters {
        let outcome = match waiter.submission {
            Some((key, _)) => match session.lock().submission_state(key) {
                SubmissionState::Stored => Some(StoreOutcome::Stored),
                SubmissionState::Pending => None,
                SubmissionState::Refused => Some(StoreOutcome::Refused),
            },
            None => (!refused).then_some(StoreOutcome::Stored),
        };
        match outcome {
            // The receiver is gone if the caller no longer waits.
            Some(outcome) => drop(waiter.sender.send(outcome)),
            None => kept.push(waiter),
        }
    }
    if !kept.is_empty() {
        session.committer.lock_waiters().append(&mut kept);
        session.committer.request_commit();
    }
}
