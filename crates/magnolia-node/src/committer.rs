//! Stores what the scheduler decides, in order, and tells who waits for it.
//!
//! Answers days on which the store takes 400 ms a call: a submission that waits for the call under way
//! and then for its own has lost the objective of an urgent job, so that calls overlap.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesOrdered;
use magnolia_scheduler::{JobKey, OutageDecision, StoreBatch, decide_outage};
use magnolia_types::{Epoch, Millis};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::{Instant, sleep_until};

use crate::open_calls::OpenCalls;
use crate::owner::{OwnerSession, executor_record, job_record};
use crate::ports::{AppendCondition, AppendOutcome, StoreError, StreamName, StreamRecord};

/// Pause before a call to the store is repeated: callers whose time ends wait for its return, and one
/// daemon's repeats are a thirtieth of the writes that the store takes.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);
/// Shortest time between two calls: gathers submissions and ends, whose objectives are 250 ms.
const COMMIT_GAP: Duration = Duration::from_millis(13);
/// Shortest time to the next call while one is under way: with a store that takes 400 ms, as a slow
/// one does, four calls follow each other evenly.
const OVERLAP_GAP: Duration = Duration::from_millis(60);
/// Time of the last call from which calls overlap. What a call has carried can't be refused any more, so
/// that nothing follows the first call without an answer while the store was fast.
const OVERLAP_FROM: Millis = Millis::new(80);
/// Most calls under way: the store repeats the answers of the last five appends.
const MAX_OPEN_CALLS: usize = 4;
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
    Withdrawn {
        /// For how long the store has been away.
        away: Millis,
        /// When to come back.
        retry_after: Millis,
    },
    /// Ownership ended; the next owner knows.
    Abandoned,
}

/// Who waits for the next batch.
struct StoreWaiter {
    /// A job that may be withdrawn, with the time until which its caller waits.
    submission: Option<(JobKey, Millis)>,
    sender: oneshot::Sender<StoreOutcome>,
}

/// Writer of the jobs' stream.
pub(crate) struct Committer {
    epoch: Epoch,
    /// Sequence of the next call.
    next_sequence: AtomicU64,
    wanted: Notify,
    waiters: Mutex<Vec<StoreWaiter>>,
    open_calls: OpenCalls,
    /// Number of batches stored.
    stored: watch::Sender<u64>,
}

impl Committer {
    pub(crate) fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            next_sequence: AtomicU64::new(0),
            wanted: Notify::new(),
            waiters: Mutex::default(),
            open_calls: OpenCalls::default(),
            stored: watch::Sender::new(0),
        }
    }

    /// Asks for a batch.
    pub(crate) fn want(&self) {
        self.wanted.notify_one();
    }

    /// Waits until everything decided so far is stored; `submission` names a job that may be
    /// withdrawn instead, and until when its caller waits.
    pub(crate) async fn stored(&self, submission: Option<(JobKey, Millis)>) -> StoreOutcome {
        let (sender, receiver) = oneshot::channel();
        self.lock_waiters().push(StoreWaiter { submission, sender });
        self.want();
        receiver.await.unwrap_or(StoreOutcome::Abandoned)
    }

    /// Returns for how long the store has been away, as far as this writer can tell.
    pub(crate) fn away_for(&self, now: Millis) -> Option<Millis> {
        self.open_calls.away_for(now)
    }

    /// Withdraws submissions that no call has carried while the store is away, unless their callers
    /// could not come back in time.
    pub(crate) fn withdraw_unsent(&self, session: &OwnerSession) {
        let now = session.now();
        let Some(away) = self.away_for(now) else {
            return;
        };
        let waiters = std::mem::take(&mut *self.lock_waiters());
        // A job that several tries of its caller wait for stays until the last of them is refused.
        let mut latest: BTreeMap<JobKey, Millis> = BTreeMap::new();
        for (key, deadline) in waiters.iter().filter_map(|waiter| waiter.submission) {
            let known = latest.entry(key).or_insert(deadline);
            *known = deadline.max(*known);
        }
        let mut kept = Vec::new();
        for waiter in waiters {
            let refusal = waiter.submission.and_then(|(key, _)| {
                let time_left = latest.get(&key)?.saturating_sub(now);
                match decide_outage(away, time_left) {
                    OutageDecision::Refuse { retry_after } => Some((key, retry_after)),
                    OutageDecision::Wait => None,
                }
            });
            match refusal {
                Some((key, retry_after)) if session.lock().withdraw(key) => {
                    let outcome = StoreOutcome::Withdrawn { away, retry_after };
                    // A caller that left does not wait any more.
                    waiter.sender.send(outcome).ok();
                }
                _ => kept.push(waiter),
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
        let sequence = self.take_sequence();
        self.append(session, sequence, &[record]).await
    }

    fn take_sequence(&self) -> u64 {
        self.next_sequence.fetch_add(1, Ordering::SeqCst)
    }

    /// Appends records, repeating the call until it has an outcome; false when ownership ended.
    async fn append(
        &self,
        session: &OwnerSession,
        sequence: u64,
        records: &[StreamRecord],
    ) -> bool {
        let condition = AppendCondition::Writer {
            epoch: self.epoch,
            sequence,
        };
        let calls = &self.open_calls;
        calls.begin(sequence, session.now());
        loop {
            let first = calls.is_first(sequence);
            let store = &session.node.store;
            match store.append(StreamName::Jobs, records, condition).await {
                Ok(AppendOutcome::Stored { .. }) => {
                    calls.end(sequence);
                    return true;
                }
                Ok(AppendOutcome::Fenced) => {
                    session.close("the store has fenced the epoch");
                    return false;
                }
                // An earlier call has not arrived yet.
                Ok(AppendOutcome::OutOfSequence { expected }) if !first && expected < sequence => {
                    calls.first_in_line(sequence).await;
                    continue;
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
            calls.note_failure(sequence);
            self.withdraw_unsent(session);
            let resume = Instant::now() + REPEAT_PAUSE;
            calls.first_in_line(sequence).await;
            sleep_until(resume).await;
        }
    }
}

/// A batch on its way to the store.
struct SentBatch {
    batch: StoreBatch,
    waiters: Vec<StoreWaiter>,
    sent_at: Millis,
}

/// Stores batch after batch; the next one may follow before the last one is stored.
pub(crate) async fn run_committer(session: Arc<OwnerSession>) {
    let committer = &session.committer;
    let mut calls = FuturesOrdered::new();
    let mut last_sent = Instant::now();
    let mut last_took = Millis::new(0);
    let mut due = false;
    loop {
        let gap = if calls.is_empty() {
            COMMIT_GAP
        } else {
            OVERLAP_GAP
        };
        let slow = last_took >= OVERLAP_FROM && !committer.open_calls.has_failed();
        let room = calls.is_empty() || (slow && calls.len() < MAX_OPEN_CALLS);
        tokio::select! {
            biased;
            stored = calls.next(), if !calls.is_empty() => match stored.flatten() {
                Some(sent) => last_took = finish(&session, sent),
                None => return,
            },
            () = committer.wanted.notified(), if !due => due = true,
            () = sleep_until(last_sent + gap), if due && room => {
                due = false;
                let Some(sent) = take_batch(&session) else {
                    continue;
                };
                let mut parts = split_records(&sent.batch);
                let records = parts.pop().unwrap_or_default();
                if !parts.is_empty() {
                    // Repeats are safe among the last few calls only, so that a large batch goes alone.
                    while let Some(stored) = calls.next().await {
                        match stored {
                            Some(sent) => last_took = finish(&session, sent),
                            None => return,
                        }
                    }
                    if !store_parts(&session, &parts).await {
                        return;
                    }
                }
                calls.push_back(store_batch(Arc::clone(&session), sent, records));
                last_sent = Instant::now();
            }
        }
    }
}

/// Takes what waits to be stored, with those that wait for it.
fn take_batch(session: &OwnerSession) -> Option<SentBatch> {
    let waiters = std::mem::take(&mut *session.committer.lock_waiters());
    let (now, unix_ms) = (session.now(), session.node.clock.unix_ms());
    let mut scheduler = session.lock();
    if waiters.is_empty() && !scheduler.has_unstored() {
        return None;
    }
    Some(SentBatch {
        batch: scheduler.begin_batch(now, unix_ms),
        waiters,
        sent_at: now,
    })
}

/// Makes the records of a batch, in calls that the store takes.
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
    let mut bytes = MAX_CALL_BYTES;
    for record in executors.chain(jobs) {
        if bytes >= MAX_CALL_BYTES {
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

/// Stores calls one after the other; false when ownership ended.
async fn store_parts(session: &OwnerSession, parts: &[Vec<StreamRecord>]) -> bool {
    for part in parts {
        let sequence = session.committer.take_sequence();
        if !session.committer.append(session, sequence, part).await {
            return false;
        }
    }
    true
}

/// Stores the last call of a batch; `None` when ownership ended.
fn store_batch(
    session: Arc<OwnerSession>,
    sent: SentBatch,
    records: Vec<StreamRecord>,
) -> impl Future<Output = Option<SentBatch>> {
    // The sequence is that of the batches, not of the tasks that send them.
    let sequence = (!records.is_empty()).then(|| session.committer.take_sequence());
    async move {
        if let Some(sequence) = sequence
            && !session.committer.append(&session, sequence, &records).await
        {
            return None;
        }
        Some(sent)
    }
}

/// Applies what the storing of a batch proves, and tells those that wait; returns how long it took.
fn finish(session: &Arc<OwnerSession>, sent: SentBatch) -> Millis {
    let took = session.now().saturating_sub(sent.sent_at);
    let batch = sent.batch;
    let metrics = &session.node.metrics;
    if !batch.records.is_empty() || !batch.executors.is_empty() {
        metrics.count("store_appends");
        let records = u64::try_from(batch.records.len()).unwrap_or(0);
        metrics.add("store_records", records);
        metrics.latency("store_append", took);
    }
    let ended = session.lock().finish_batch(batch);
    for (job, status) in ended {
        metrics.count("jobs_ended");
        log::info!(job:% = job, status:? = status; "job ended");
    }
    session.committer.stored.send_modify(|count| *count += 1);
    for waiter in sent.waiters {
        // A caller that left does not wait any more.
        waiter.sender.send(StoreOutcome::Stored).ok();
    }
    session.want_plan();
    took
}
