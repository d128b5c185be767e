//! Finds the records for which the store refuses an append, and stores the others.
//!
//! An append that was refused has not used up its sequence number, and later appends may be under
//! way that the store takes as soon as it is used up. All other records of the refused append must
//! be stored before these, in one append. So the refused records are looked for with appends that
//! the store never carries out, because their sequence number is far ahead.
//!
//! A store that looks at the sequence number first does not tell anything that way. Then the append
//! is stored in parts if it is the last one that was sent. If it is not, the jobs that are not
//! accepted yet are left for a later append: nothing depends on them. From then on appends don't
//! overlap, so that the later one is the last one that was sent. If the append is still refused,
//! ownership ends, which fences those that follow.
//!
//! A refusal is believed only if the store takes another record at the same time. A store, or a
//! proxy on the way, that refuses everything for a while is waited for like one that is unavailable.

use std::collections::BTreeSet;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::{StreamExt, stream};
use magnolia_scheduler::{JobKey, RefusedRecords, SubmissionState};
use magnolia_types::ExecutorId;
use tokio::time::sleep;

use crate::committer::AppendEnd;
use crate::owner::{EXECUTOR_PREFIX, OwnerSession};
use crate::ports::{AppendCondition, AppendOutcome, StoreError, StreamName, StreamRecord};

/// Number of parts into which refused records are divided, which are tried at the same time: a slow
/// store takes 0.4 s a call.
const SEARCH_PARTS: usize = 8;
/// Delay before a call without an outcome is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Distance from the next sequence number to one that is never reached.
const UNREACHED_DISTANCE: u64 = 1_000_000;

/// Result of the search for refused records.
enum SearchResult {
    /// Positions of the records that the store refuses; none if it does not look at them.
    Found(BTreeSet<usize>),
    /// The store refuses everything at present.
    AllRefused,
}

/// Keys of the records of an append that were not stored.
#[derive(Default)]
pub(crate) struct OmittedKeys {
    /// The store refuses them.
    refused: Vec<Arc<str>>,
    /// They go into a later append.
    deferred: Vec<Arc<str>>,
}

impl OmittedKeys {
    pub(crate) fn extend(&mut self, other: Self) {
        self.refused.extend(other.refused);
        self.deferred.extend(other.deferred);
    }

    /// Returns the jobs and executors that the keys belong to.
    pub(crate) fn to_records(&self) -> RefusedRecords {
        let mut records = RefusedRecords::default();
        for key in &self.refused {
            log::error!(key = &**key; "record refused by the store");
            if let Some(id) = key.strip_prefix(EXECUTOR_PREFIX) {
                records.executors.extend(id.parse::<ExecutorId>());
            } else {
                records.jobs.extend(key.parse::<JobKey>());
            }
        }
        let deferred = self.deferred.iter().filter_map(|key| key.parse().ok());
        records.deferred = deferred.collect();
        records
    }
}

/// Stores all records that the store takes; returns the keys of the others, and `None` if ownership
/// ended.
pub(crate) async fn store_records(
    session: &OwnerSession,
    sequence: u64,
    mut records: Vec<StreamRecord>,
) -> Option<OmittedKeys> {
    let committer = &session.committer;
    let mut omitted = OmittedKeys::default();
    let mut searched_in_vain = false;
    loop {
        match committer.append(session, sequence, &records).await {
            AppendEnd::Stored => return Some(omitted),
            AppendEnd::Closed => return None,
            AppendEnd::Refused => {}
        }
        let is_last = committer.pending_appends.is_last(sequence);
        // No search helps with this store.
        if is_last && committer.serial.load(Ordering::SeqCst) {
            let divided = store_divided(session, sequence, records).await;
            omitted.refused.extend(divided?);
            return Some(omitted);
        }
        match find_refused(session, sequence, &records).await? {
            SearchResult::AllRefused => sleep(RETRY_DELAY).await,
            SearchResult::Found(found) if !found.is_empty() => {
                let mut position = 0;
                omitted.refused.extend(take_keys(&mut records, |_| {
                    position += 1;
                    found.contains(&(position - 1))
                }));
            }
            SearchResult::Found(_) if !searched_in_vain => searched_in_vain = true,
            SearchResult::Found(_) if is_last => committer.serial.store(true, Ordering::SeqCst),
            SearchResult::Found(_) => {
                committer.serial.store(true, Ordering::SeqCst);
                let deferred = take_keys(&mut records, |record| is_unaccepted(session, record));
                if deferred.is_empty() {
                    session.close("the store refused an append before others that were sent");
                    return None;
                }
                omitted.deferred.extend(deferred);
            }
        }
        if records.is_empty() {
            // Appends that follow need the sequence number to be used up.
            records.push(committer.epoch_record());
        }
    }
}

/// Removes the records that `omit` chooses; returns their keys.
fn take_keys(
    records: &mut Vec<StreamRecord>,
    omit: impl FnMut(&mut StreamRecord) -> bool,
) -> Vec<Arc<str>> {
    let omitted = records.extract_if(.., omit);
    omitted.map(|record| record.key).collect()
}

/// Tells whether a record holds a job that is not accepted yet.
fn is_unaccepted(session: &OwnerSession, record: &StreamRecord) -> bool {
    let state = |key| session.lock().submission_state(key);
    let key = record.key.parse::<JobKey>();
    !record.value.is_empty() && key.is_ok_and(|key| state(key) == SubmissionState::Pending)
}

/// Looks for the records that the store refuses; `None` if ownership ended.
async fn find_refused(
    session: &OwnerSession,
    sequence: u64,
    records: &[StreamRecord],
) -> Option<SearchResult> {
    let control = [session.committer.epoch_record()];
    let mut found = BTreeSet::new();
    let all = 0..records.len();
    let mut open = vec![all];
    while !open.is_empty() {
        let parts: Vec<Range<usize>> = open.drain(..).flat_map(divide_range).collect();
        let control = is_refused(session, sequence, &control);
        let refusals = stream::iter(parts.clone())
            .map(|part| is_refused(session, sequence, &records[part]))
            .buffered(SEARCH_PARTS)
            .collect::<Vec<_>>();
        let (all_refused, refusals) = tokio::join!(control, refusals);
        if all_refused? {
            return Some(SearchResult::AllRefused);
        }
        for (part, refused) in parts.iter().zip(refusals) {
            match (refused?, part.len()) {
                (true, 1) => drop(found.insert(part.start)),
                (true, _) => open.push(part.clone()),
                (false, _) => {}
            }
        }
    }
    Some(SearchResult::Found(found))
}

/// Divides a range into parts of equal size.
fn divide_range(range: Range<usize>) -> impl Iterator<Item = Range<usize>> {
    let size = range.len().div_ceil(SEARCH_PARTS).max(1);
    let starts = range.clone().step_by(size);
    starts.map(move |start| start..(start + size).min(range.end))
}

/// Tells whether the store refuses records, without storing them; `None` if ownership ended.
async fn is_refused(
    session: &OwnerSession,
    sequence: u64,
    records: &[StreamRecord],
) -> Option<bool> {
    let condition = AppendCondition::Writer {
        epoch: session.committer.epoch,
        sequence: sequence.saturating_add(UNREACHED_DISTANCE),
    };
    let store = &session.node.store;
    loop {
        match store.append(StreamName::Jobs, records, condition).await {
            Err(StoreError::Refused(_)) => return Some(true),
            Ok(AppendOutcome::OutOfSequence { .. }) => return Some(false),
            Ok(AppendOutcome::Fenced) => {
                session.close("the store fenced the epoch");
                return None;
            }
            Ok(outcome) => {
                log::error!(outcome:? = outcome; "append stored out of sequence");
                session.close("the store took an append out of sequence");
                return None;
            }
            Err(error) => log::debug!(error:% = error; "append without an outcome; retrying"),
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Stores a refused append in parts, down to the single records; returns the keys of the refused
/// ones, and `None` if ownership ended. No later append may be pending.
async fn store_divided(
    session: &OwnerSession,
    sequence: u64,
    records: Vec<StreamRecord>,
) -> Option<Vec<Arc<str>>> {
    let committer = &session.committer;
    let control = [committer.epoch_record()];
    let mut refused = Vec::new();
    let mut unused = Some(sequence);
    let mut open = vec![records];
    while let Some(mut part) = open.pop() {
        let sequence = unused.take().unwrap_or_else(|| committer.take_sequence());
        match committer.append(session, sequence, &part).await {
            AppendEnd::Stored => continue,
            AppendEnd::Closed => return None,
            AppendEnd::Refused => {}
        }
        if let [record] = &*part {
            match committer.append(session, sequence, &control).await {
                AppendEnd::Stored => {
                    refused.push(Arc::clone(&record.key));
                    continue;
                }
                AppendEnd::Closed => return None,
                AppendEnd::Refused => {
                    // The store refuses everything at present.
                    open.push(part);
                    sleep(RETRY_DELAY).await;
                }
            }
        } else {
            let rest = part.split_off(part.len() / 2);
            open.extend([rest, part]);
        }
        unused = Some(sequence);
    }
    Some(refused)
}
